#pragma once

#include "state/desiredstate.h"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Apricot {

/**
 * \class RouteTable
 * \brief The routes of one desired state, ready for look-ups. It never changes once it is built.
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

    /// The route of \a host with the longest prefix that begins \a path; null if there is none.
    /// The host may carry a port and may be in any case.
    const Route *find(std::string_view host, std::string_view path) const;

    /// The service called \a name; null if there is none.
    const RoutedService *service(const ServiceName &name) const;

    /// The names of all services.
    std::vector<ServiceName> serviceNames() const;

private:
    DesiredState m_desired;
    absl::flat_hash_map<std::string, std::vector<Route>> m_routesByHost; ///< longest prefix first
};

/// One of the services of \a route by weight; \a random in [0, 1) decides. An empty name if the route has none.
ServiceName chooseService(const Route &route, double random);

}
