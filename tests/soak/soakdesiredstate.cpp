#include "soak/soakdesiredstate.h"

#include "state/overloaded.h"

#include <absl/strings/str_cat.h>

namespace Apricot {

namespace {

/// Version of the first desired state, and the distance between two versions.
constexpr int firstVersion = 10;
constexpr int versionStep = 3;

/// Services of the routes: a route's calls are shared between the first and the second service of its kind.
struct ServicePair
{
    const char *first;
    const char *second;
};

constexpr ServicePair plainServices{"desk", "desk-2"};
constexpr ServicePair modelServices{"model", "model-2"};

Json routeJson(const SoakDesiredState &state, const std::string &prefix, const char *type, const ServicePair &services, int attempts)
{
    Json route{{"name", "r" + prefix},
               {"host", "soak.example"},
               {"path-prefix", prefix},
               {"type", type},
               {"timeout-ms", absl::ToInt64Milliseconds(state.timeout)},
               {"target-latency-ms", 800},
               {"priority", 0},
               {"max-attempts", attempts},
               {"resumable", std::string(type) == "streaming" && attempts > 1},
               {"itl-target-ms", 400}};
    if (state.secondWeight == 0 || state.secondWeight == totalRouteWeight) {
        route["service"] = state.secondWeight == 0 ? services.first : services.second;
    } else {
        route["backends"] = Json::array({Json{{"service", services.first}, {"weight", totalRouteWeight - state.secondWeight}},
                                         Json{{"service", services.second}, {"weight", state.secondWeight}}});
    }
    return route;
}

}

SoakDesiredState withChange(SoakDesiredState state, const DesiredChange &change)
{
    ++state.changes;
    std::visit(Overloaded{
                   [&](const AddRoute &) { ++state.addedRoutes; },
                   [&](const ToggleRecurringRoute &) { state.hasRecurringRoute = !state.hasRecurringRoute; },
                   [&](const ShiftRoutes &it) { state.secondWeight = it.secondWeight; },
                   [&](const ChangeTimeouts &it) { state.timeout = it.timeout; },
                   [&](const ChangeIdleTimeout &it) { state.idleTimeout = it.idleTimeout; },
                   [&](const ChangeSizeLimits &it) {
                       state.headerBytes = it.headerBytes;
                       state.bodyBytes = it.bodyBytes;
                   },
               },
               change);
    return state;
}

Json encodeDesiredState(const SoakDesiredState &state, int slots)
{
    Json routes = Json::array(
        {routeJson(state, "/read/", "idempotent", plainServices, 2), routeJson(state, "/book/", "non_idempotent", plainServices, 1),
         routeJson(state, "/draft/", "streaming", modelServices, 1), routeJson(state, "/resumable/", "streaming", modelServices, 2)});
    for (int number = 1; number <= state.addedRoutes; ++number) {
        routes.push_back(routeJson(state, addedRoutePrefix(number), "idempotent", plainServices, 2));
    }
    if (state.hasRecurringRoute) {
        routes.push_back(routeJson(state, recurringRoutePrefix, "idempotent", plainServices, 2));
    }
    const Json model{{"slots", slots}, {"kv-capacity", 200000}, {"stride", 1}, {"kv-hold-s", 0.5}};
    const Json limits{{"max-header-bytes", state.headerBytes},
                      {"max-body-bytes", state.bodyBytes},
                      {"header-timeout-ms", 5000},
                      {"idle-timeout-ms", absl::ToInt64Milliseconds(state.idleTimeout)}};
    return Json{
        {"version", firstVersion + versionStep * state.changes},
        {"routes", routes},
        {"services",
         Json::array({Json{{"name", plainServices.first}}, Json{{"name", plainServices.second}},
                      Json{{"name", modelServices.first}, {"engine", model}}, Json{{"name", modelServices.second}, {"engine", model}}})},
        {"limits", limits}};
}

std::string addedRoutePrefix(int number)
{
    return absl::StrCat("/change-", number, "/");
}

std::string describeChange(const DesiredChange &change)
{
    return std::visit(
        Overloaded{
            [](const AddRoute &) { return std::string("a route is added"); },
            [](const ToggleRecurringRoute &) { return std::string("the recurring route is added or removed"); },
            [](const ShiftRoutes &it) { return absl::StrCat("weight of the second services ", it.secondWeight, " of ", totalRouteWeight); },
            [](const ChangeTimeouts &it) { return absl::StrCat("route timeouts ", absl::ToInt64Milliseconds(it.timeout), " ms"); },
            [](const ChangeIdleTimeout &it) { return absl::StrCat("idle timeout ", absl::ToInt64Milliseconds(it.idleTimeout), " ms"); },
            [](const ChangeSizeLimits &it) {
                return absl::StrCat("size limits ", it.headerBytes, " bytes of header, ", it.bodyBytes, " bytes of body");
            },
        },
        change);
}

}
