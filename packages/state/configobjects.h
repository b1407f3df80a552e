#pragma once

#include "state/immutable.h"
#include "state/name.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Apricot {

struct DataCentreFields
{
    DataCentreName name;
    std::string region;

    friend auto operator<=>(const DataCentreFields &, const DataCentreFields &) = default;
};

/// A data centre that hosts VMs.
using DataCentre = Immutable<DataCentreFields>;

struct RankFields
{
    RankName name;
    std::int64_t priority = 0; ///< 0 is the most urgent
    double floorShare = 0; ///< fraction of engine time, 0 to 1, guaranteed while another rank overloads the service
    std::int64_t firstTokenMs = 1200; ///< target time to the first token, ms
    std::int64_t tokenGapMs = 25; ///< target gap between tokens, ms

    friend auto operator<=>(const RankFields &, const RankFields &) = default;
};

/// A priority class of requests with its latency targets.
using Rank = Immutable<RankFields>;

/// Whether engines serve a model or endpoints answer plain calls.
enum class ServiceType { Model, Plain };

struct ServiceFields
{
    ServiceName name;
    ServiceType type = ServiceType::Model;
    std::vector<std::string> operations; ///< plain services only
    std::vector<std::string> nonIdempotent; ///< operations that run at most once per key
    std::vector<std::string> retryable; ///< operations that may be sent again after an unknown outcome
    std::int64_t maxPromptTokens = 20000;
    std::int64_t maxOutputTokens = 400;
    std::int64_t callTimeoutMs = 2000; ///< plain calls
    std::string modelVersion; ///< version of the model that engines are ordered to load
    bool autoRoles = false; ///< whether engines change between prefill and decode with the measured load

    friend auto operator<=>(const ServiceFields &, const ServiceFields &) = default;
};

/// A service that callers address by name: a model served by engines, or a plain service.
using Service = Immutable<ServiceFields>;

/// Work that the endpoints of a pool perform.
enum class PoolRole { Prefill, Decode, Plain };

struct PoolFields
{
    PoolName name;
    ServiceName service;
    PoolRole role = PoolRole::Plain;
    std::int64_t slots = 20; ///< requests that one engine decodes concurrently
    std::int64_t pieces = 2000; ///< KV cache memory of one engine, in pieces; a piece is a KV cache block of tokensPerPiece tokens
    std::int64_t tokensPerPiece = 16;
    double prefillMsPerThousandTokens = 66; ///< initial estimate; measured speeds replace it
    double decodeGapMs = 15; ///< gap between tokens on an unloaded engine, ms
    double loadedGapMs = 22; ///< gap between tokens with all slots in use, ms
    double transferMsPerThousandTokens = 8; ///< KV transfer time from a prefill engine in the same data centre
    std::int64_t resultLifetimeMs = 800; ///< how long an engine keeps the result of a prefill

    friend auto operator<=>(const PoolFields &, const PoolFields &) = default;
};

/// Engines or endpoints of one service that have the same role.
using Pool = Immutable<PoolFields>;

struct EndpointFields
{
    std::string name;
    PoolName pool;
    DataCentreName dataCentre;
    std::string address; ///< "IP:port"
    bool drain = false; ///< the operator has ordered it to drain
    bool checksFencing = false; ///< whether it refuses orders with an outdated fencing number

    friend auto operator<=>(const EndpointFields &, const EndpointFields &) = default;
};

/// One network address that belongs to a pool.
using Endpoint = Immutable<EndpointFields>;

struct WorkspaceFields
{
    WorkspaceName name;
    double weight = 1; ///< relative weight among the workspaces of the same rank

    friend auto operator<=>(const WorkspaceFields &, const WorkspaceFields &) = default;
};

/// A group of callers that the operators configure.
using Workspace = Immutable<WorkspaceFields>;

struct VmFields
{
    std::string name;
    std::string address; ///< "IP:port" of the process that runs on it
    bool leaving = false;

    friend auto operator<=>(const VmFields &, const VmFields &) = default;
};

/// One entry of the platform's VM list.
using Vm = Immutable<VmFields>;

}
