#pragma once

#include "coordination/workspaceallowance.h"
#include "state/entrysettings.h"
#include "state/mutex.h"
#include "state/routedcall.h"
#include "state/routedworkspace.h"

#include <absl/time/time.h>

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <variant>
#include <vector>

namespace Apricot {

class SharedAllowance;

/**
 * \class AllowanceCharge
 * \brief The charge of one call to its workspace's allowance. It is given back unless an engine may run the call.
 */
class AllowanceCharge
{
public:
    AllowanceCharge() = default;
    AllowanceCharge(SharedAllowance &allowance, const ChargedCost &cost);
    ~AllowanceCharge();

    AllowanceCharge(AllowanceCharge &&other) noexcept;
    AllowanceCharge &operator=(AllowanceCharge &&other) noexcept;
    AllowanceCharge(const AllowanceCharge &) = delete;
    AllowanceCharge &operator=(const AllowanceCharge &) = delete;

    std::int64_t cost() const
    {
        return m_cost.cost;
    }

    /// Records that the call was sent to an engine that may run it.
    void recordSent()
    {
        ++m_attempts;
    }

    /// Records that an engine, to which the call was sent, has not run it and will not.
    void recordNotRun()
    {
        --m_attempts;
    }

    /// Ends the charge: gives it back if no engine may have run the call.
    void settle();

private:
    SharedAllowance *m_allowance = nullptr;
    ChargedCost m_cost;
    int m_attempts = 0; ///< attempts that an engine may have run
};

/// The call is above the allowance of its workspace.
struct AllowanceRefusal
{
    OverAllowance over;
    std::int64_t cost = 0;

    friend bool operator==(const AllowanceRefusal &, const AllowanceRefusal &) = default;
};

using ChargedCall = std::variant<AllowanceCharge, AllowanceRefusal>;

/**
 * \class SharedAllowance
 * \brief The node's WorkspaceAllowances in shards, each under its own lock. Any thread may call it.
 *
 * While no workspace has a limit, nothing is stored and no lock is taken.
 */
class SharedAllowance
{
public:
    explicit SharedAllowance(const EntrySettings &settings);

    SharedAllowance(const SharedAllowance &) = delete;
    SharedAllowance &operator=(const SharedAllowance &) = delete;

    /// Whether a workspace has a limit.
    bool isEnabled() const
    {
        return m_isEnabled.load(std::memory_order_relaxed);
    }

    /// Replaces the limits by those of \a workspaces.
    void setWorkspaces(const std::vector<RoutedWorkspace> &workspaces, absl::Time now);

    /// Sets the nodes that share the allowances. Only the thread that calls setWorkspaces() may call it.
    void setPeers(const AllowancePeers &peers, absl::Time now);

    /// Charges \a call to its workspace, or refuses it.
    ChargedCall charge(const RoutedWorkspace &workspace, const RoutedCall &call, absl::Time now);

    void refund(const ChargedCost &charge, absl::Time now);

    /// Takes over a load report of \a peer that was sent at \a sentAt, a time on this node's clock.
    void merge(NodeKey peer, const SpendingReport &report, absl::Time sentAt, absl::Time now);

    /// Returns what the peers have to know now.
    SpendingReport report(absl::Time now);

    /// Whether the peers have to know soon what this node has spent.
    bool hasUrgentChange() const
    {
        return m_hasUrgentChange.load(std::memory_order_relaxed);
    }

private:
    struct Shard
    {
        Mutex mutex;
        std::unique_ptr<WorkspaceAllowances> allowances ABSL_GUARDED_BY(mutex);
    };

    Shard &shardOf(WorkspaceKey workspace)
    {
        return m_shards[workspace % m_shards.size()];
    }

    AllowanceTolerance m_tolerance;
    std::atomic<bool> m_isEnabled{false};
    std::atomic<bool> m_hasUrgentChange{false};
    AllowancePeers m_peers;
    std::array<Shard, 8> m_shards;
    std::size_t m_firstShard = 0; ///< shard that the next report begins with
};

}
