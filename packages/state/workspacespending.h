#pragma once

#include <cstdint>
#include <vector>

namespace Apricot {

/// Identifies a workspace in spending reports: a 40 bit hash of its name, not an API key. Waiting calls use the shorter WorkspaceTag.
using WorkspaceKey = std::uint64_t;

/// What one node has spent of the allowance of one workspace.
struct WorkspaceSpending
{
    WorkspaceKey workspace = 0;
    std::uint64_t epoch = 0; ///< the counters start at 0 in each epoch; a later epoch of the same node has a higher number
    std::int64_t epochAgeMs = 0; ///< time since the epoch began
    std::int64_t charged = 0; ///< cost of the requests that were admitted in the epoch; it only increases
    std::int64_t refunded = 0; ///< the part of it that was given back because the requests did not run; it only increases
    std::int64_t level = 0; ///< what is left of the allowance, as the sender knows

    friend auto operator<=>(const WorkspaceSpending &, const WorkspaceSpending &) = default;
};

/// The spending that a node tells the others: the workspaces whose spending has changed.
using SpendingReport = std::vector<WorkspaceSpending>;

}
