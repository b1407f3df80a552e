#pragma once

#include "state/desiredstate.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Apricot {

/**
 * \class RouteTable
 * \brief The routes of one desired state, indexed by host, and its workspaces, indexed by key. It is immutable.
 */
class RouteTable
{
public:
    RouteTable() = default;
    explicit RouteTable(DesiredState desired);

    const DesiredState &desired() const
    {
        return m_desired;
    }

    /// Returns the route of \a host whose path prefix is the longest one that \a path starts with; null if there is none.
    /// \a host may include a port; case is ignored.
    const Route *find(std::string_view host, std::string_view path) const;

    /// Returns the service called \a name; null if there is none.
    const RoutedService *service(const ServiceName &name) const;

    /// Returns the workspace that \a key belongs to; null if there is none. A key of several workspaces belongs to the first of them.
    const RoutedWorkspace *workspace(const KeyDigest &key) const;

    /// Returns the names of all services.
    std::vector<ServiceName> serviceNames() const;

private:
    DesiredState m_desired;
    absl::flat_hash_map<std::string, std::vector<Route>> m_routesByHost; ///< longest prefix first
    absl::flat_hash_map<KeyDigest, std::size_t> m_workspacesByKey; ///< index of the workspace in the desired state
};

/// Chooses one of the services of \a route by weight, using \a random in [0, 1). Returns an empty name if the route has none.
ServiceName chooseService(const Route &route, double random);

}
