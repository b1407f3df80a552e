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

/// A place where VMs run.
using DataCentre = Immutable<DataCentreFields>;

struct RankFields
{
    RankName name;
    std::int64_t priority = 0; ///< 0 is the most urgent
    double floorShare = 0; ///< part of engine time kept in a flood of another rank, 0 to 1
    std::int64_t firstTokenMs = 1200; ///< target for the first token, ms
    std::int64_t tokenGapMs = 25; ///< target between tokens, ms

    friend auto operator<=>(const RankFields &, const RankFields &) = default;
};

/// A class of work with its targets.
using Rank = Immutable<RankFields>;

/// What a service is made of.
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
    std::string modelVersion; ///< that engines are ordered to load
    bool autoRoles = false; ///< engines change between prefill and decode by measured need

    friend auto operator<=>(const ServiceFields &, const ServiceFields &) = default;
};

/// Something that callers name: a model served by engines, or a plain service.
using Service = Immutable<ServiceFields>;

/// What the endpoints of a pool do.
enum class PoolRole { Prefill, Decode, Plain };

struct PoolFields
{
    PoolName name;
    ServiceName service;
    PoolRole role = PoolRole::Plain;
    std::int64_t slots = 20; ///< requests decoded at once by one engine
    std::int64_t pieces = 2000; ///< pieces of memory of one engine
    std::int64_t tokensPerPiece = 16;
    double prefillMsPerThousandTokens = 66; ///< first estimate; speeds are learnt afterwards
    double decodeGapMs = 15; ///< between tokens on an unloaded engine
    double loadedGapMs = 22; ///< between tokens with all slots in use
    double transferMsPerThousandTokens = 8; ///< KV transfer from a prefill engine of the same data centre
    std::int64_t resultLifetimeMs = 800; ///< how long a prefill's result survives

    friend auto operator<=>(const PoolFields &, const PoolFields &) = default;
};

/// Engines or endpoints of one service that do the same job.
using Pool = Immutable<PoolFields>;

struct EndpointFields
{
    std::string name;
    PoolName pool;
    DataCentreName dataCentre;
    std::string address; ///< "IP:port"
    bool drain = false; ///< the operator wants it empty
    bool checksFencing = false; ///< refuses orders with an old fencing number

    friend auto operator<=>(const EndpointFields &, const EndpointFields &) = default;
};

/// One address behind a pool.
using Endpoint = Immutable<EndpointFields>;

struct WorkspaceFields
{
    WorkspaceName name;
    double weight = 1; ///< share against other workspaces of the same rank

    friend auto operator<=>(const WorkspaceFields &, const WorkspaceFields &) = default;
};

/// A caller as the operators know it.
using Workspace = Immutable<WorkspaceFields>;

struct VmFields
{
    std::string name;
    std::string address; ///< "IP:port" of the process of interest on it
    bool leaving = false;

    friend auto operator<=>(const VmFields &, const VmFields &) = default;
};

/// One line of the platform's VM list.
using Vm = Immutable<VmFields>;

}
