#pragma once

#include "coordination/routetable.h"
#include "state/routedcall.h"
#include "state/routedworkspace.h"

#include <cstdint>
#include <string_view>
#include <variant>

namespace Apricot {

/// The call belongs to no workspace and needs no key.
struct Anonymous
{
    friend bool operator==(const Anonymous &, const Anonymous &) = default;
};

/// The call belongs to a workspace.
struct Identified
{
    RoutedWorkspace workspace;

    friend bool operator==(const Identified &, const Identified &) = default;
};

/// Why a call has no valid key.
enum class KeyRejection { Missing, Malformed, Unknown };

/// The call needs a valid key and has none.
struct Rejected
{
    KeyRejection reason = KeyRejection::Missing;

    friend bool operator==(const Rejected &, const Rejected &) = default;
};

/// Whose call it is.
using CallIdentity = std::variant<Anonymous, Identified, Rejected>;

/// Decides whose call it is that matches \a route of \a table. On an anonymous route the credential does not count.
CallIdentity identifyCall(const RouteTable &table, const Route &route, const Credential &credential);

/// Returns the rank of a call on \a route: that of its workspace, if it has one.
std::int64_t effectiveRank(const Route &route, const CallIdentity &identity);

/// Returns the name of \a reason in log lines and metrics.
std::string_view keyRejectionName(KeyRejection reason);

}
