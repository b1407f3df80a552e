#pragma once

#include "state/configobjects.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Apricot {

struct ConfigSetFields
{
    std::map<DataCentreName, DataCentre> dataCentres;
    std::map<RankName, Rank> ranks;
    std::map<ServiceName, Service> services;
    std::map<PoolName, Pool> pools;
    std::map<std::string, Endpoint> endpoints;
    std::map<WorkspaceName, Workspace> workspaces;

    friend bool operator==(const ConfigSetFields &, const ConfigSetFields &) = default;
};

/// A complete, validated configuration.
using ConfigSet = Immutable<ConfigSetFields>;

struct GenerationFields
{
    std::uint64_t number = 0; ///< 0 means none
    std::string hash; ///< content hash of the snapshot
    std::uint64_t chunks = 0; ///< chunk objects that hold the snapshot

    friend auto operator<=>(const GenerationFields &, const GenerationFields &) = default;
};

/// Identifies the active configuration snapshot. Its number only increases.
using Generation = Immutable<GenerationFields>;

/// Returns the endpoints of the pools of \a service that have the given role.
std::vector<Endpoint> endpointsOf(const ConfigSet &config, const ServiceName &service, PoolRole role);

}
