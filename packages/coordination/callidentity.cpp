#include "coordination/callidentity.h"

#include "state/overloaded.h"

namespace Apricot {

CallIdentity identifyCall(const RouteTable &table, const Route &route, const Credential &credential)
{
    if (!table.desired()->requiresKeys || route->anonymous) {
        return Anonymous{};
    }
    return std::visit(Overloaded{
                          [](const NoCredential &) { return CallIdentity(Rejected{KeyRejection::Missing}); },
                          [](const MalformedCredential &) { return CallIdentity(Rejected{KeyRejection::Malformed}); },
                          [&](const KeyDigest &key) {
                              const RoutedWorkspace *workspace = table.workspace(key);
                              return workspace == nullptr ? CallIdentity(Rejected{KeyRejection::Unknown})
                                                          : CallIdentity(Identified{*workspace});
                          },
                      },
                      credential);
}

std::int64_t effectiveRank(const Route &route, const CallIdentity &identity)
{
    const auto *identified = std::get_if<Identified>(&identity);
    return identified == nullptr ? route->rank : identified->workspace->rank.value_or(route->rank);
}

std::string_view keyRejectionName(KeyRejection reason)
{
    switch (reason) {
    case KeyRejection::Missing:
        return "missing";
    case KeyRejection::Malformed:
        return "malformed";
    case KeyRejection::Unknown:
        return "unknown";
    }
    return "unknown";
}

}
