#include "coordination/routetable.h"
#include "state/abslview.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>

#include <algorithm>
#include <utility>

namespace Apricot {

namespace {

std::string hostKey(std::string_view host)
{
    return absl::AsciiStrToLower(abslView(host.substr(0, host.find(':'))));
}

}

RouteTable::RouteTable(DesiredState desired)
    : m_desired(std::move(desired))
{
    for (const Route &route : m_desired->routes) {
        m_routesByHost[hostKey(route->host)].push_back(route);
    }
    for (auto &[host, routes] : m_routesByHost) {
        std::stable_sort(routes.begin(), routes.end(),
                         [](const Route &left, const Route &right) { return left->pathPrefix.size() > right->pathPrefix.size(); });
    }
    for (std::size_t i = 0; i < m_desired->workspaces.size(); ++i) {
        for (const KeyDigest &key : m_desired->workspaces[i]->keys) {
            m_workspacesByKey.try_emplace(key, i);
        }
    }
}

const Route *RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto it = m_routesByHost.find(hostKey(host));
    if (it == m_routesByHost.end()) {
        return nullptr;
    }
    const auto route = std::find_if(it->second.begin(), it->second.end(),
                                    [&](const Route &r) { return absl::StartsWith(abslView(path), r->pathPrefix); });
    return route == it->second.end() ? nullptr : &*route;
}

const RoutedService *RouteTable::service(const ServiceName &name) const
{
    const auto &services = m_desired->services;
    const auto it = std::find_if(services.begin(), services.end(), [&](const RoutedService &s) { return s->name == name; });
    return it == services.end() ? nullptr : &*it;
}

const RoutedWorkspace *RouteTable::workspace(const KeyDigest &key) const
{
    const auto it = m_workspacesByKey.find(key);
    return it == m_workspacesByKey.end() ? nullptr : &m_desired->workspaces[it->second];
}

std::vector<ServiceName> RouteTable::serviceNames() const
{
    std::vector<ServiceName> names;
    for (const RoutedService &service : m_desired->services) {
        names.push_back(service->name);
    }
    return names;
}

ServiceName chooseService(const Route &route, double random)
{
    std::int64_t totalWeight = 0;
    for (const WeightedService &target : route->services) {
        totalWeight += std::max<std::int64_t>(0, target.weight);
    }
    double remaining = random * static_cast<double>(totalWeight);
    for (const WeightedService &target : route->services) {
        remaining -= static_cast<double>(std::max<std::int64_t>(0, target.weight));
        if (remaining < 0) {
            return target.service;
        }
    }
    return route->services.empty() ? ServiceName() : route->services.back().service;
}

}
