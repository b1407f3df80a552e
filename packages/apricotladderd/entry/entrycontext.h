#pragma once

#include "apricotladderd/entry/callers/calleraccount.h"
#include "apricotladderd/entry/callers/callerguard.h"
#include "apricotladderd/entry/entrymetrics.h"
#include "apricotladderd/entry/eventlog.h"
#include "apricotladderd/entry/peers/sharedallowance.h"
#include "apricotladderd/entry/peers/sharedquarantine.h"
#include "coordination/recentmaximum.h"
#include "coordination/retryquota.h"
#include "coordination/routetable.h"
#include "coordination/servicepoolmap.h"
#include "state/entrysettings.h"
#include "state/mutex.h"
#include "state/shardedmap.h"

#include <absl/time/time.h>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>

namespace Apricot {

/// Phases of a node's shutdown.
enum class LeavePhase : std::uint8_t {
    Serving,
    Leaving, ///< no longer returned by discovery; calls are still served
    Ending, ///< the grace period is over: the calls that are left are ended
};

/**
 * \class CurrentRoutes
 * \brief Holds the current route table. Its version only increases, and a new table applies to all threads at once.
 */
class CurrentRoutes
{
public:
    /// Replaces the current table if \a table has a higher version; returns whether it was replaced.
    bool updateIfNewer(std::shared_ptr<const RouteTable> table)
    {
        const MutexLock lock(m_mutex);
        if (table->desired()->version <= m_table->desired()->version) {
            return false;
        }
        m_table = std::move(table);
        return true;
    }

    /// The current table; its version is 0 until the first desired state is received.
    std::shared_ptr<const RouteTable> current() const
    {
        const MutexLock lock(m_mutex);
        return m_table;
    }

private:
    mutable Mutex m_mutex;
    std::shared_ptr<const RouteTable> m_table ABSL_GUARDED_BY(m_mutex) = std::make_shared<const RouteTable>();
};

/// State shared by the threads of an entry node. Members that change are atomic, have their own lock, or have one lock per shard.
struct EntryContext
{
    EntryContext(const EntrySettings &initialSettings, ServicePoolMap::GrantHandler onGrant)
        : settings(initialSettings)
        , log(initialSettings->node, logLevelFromName(initialSettings->logLevel))
        , quarantine(initialSettings->node, log, metrics)
        , allowance(initialSettings)
        , pools(std::move(onGrant))
        , callers(callerMemoryLimits(initialSettings), bufferedAnswerBytes)
    {
    }

    /// Runs \a function with this node's retry quota for \a service.
    template<class Function>
    auto withRetryQuota(const ServiceName &service, Function &&function)
    {
        return retryQuotas.update(service, [&](std::optional<RetryQuota> &quota) {
            if (!quota) {
                quota.emplace(RetryLimit{settings->repeatRatio, settings->repeatHeadroom, absl::Seconds(settings->repeatWindowS)});
            }
            return function(*quota);
        });
    }

    /// Whether the retry quota of \a service allows another retry at \a now.
    bool allowsRetry(const ServiceName &service, absl::Time now)
    {
        const double share = retryHeadroomShare.load(std::memory_order_relaxed);
        return withRetryQuota(service, [&](RetryQuota &quota) { return quota.allows(share, now); });
    }

    /// Spends one retry of the quota of \a service if it allows one; returns whether it did.
    bool trySpendRetry(const ServiceName &service, absl::Time now)
    {
        const double share = retryHeadroomShare.load(std::memory_order_relaxed);
        return withRetryQuota(service, [&](RetryQuota &quota) { return quota.trySpend(share, now); });
    }

    EntrySettings settings;
    EventLog log;
    EntryMetrics metrics;
    SharedQuarantine quarantine; ///< parts of prompts that crash engines
    SharedAllowance allowance; ///< what the workspaces may spend
    CurrentRoutes routes;
    ServicePoolMap pools;
    ShardedMap<ServiceName, std::optional<RetryQuota>, 8> retryQuotas;
    ShardedMap<std::string, RecentMaximum, 8> maxTimeLeft; ///< per route: the longest time left of the recent calls on their arrival
    std::atomic<double> retryHeadroomShare{1}; ///< this node's share of the retry headroom, 0 to 1
    std::atomic<std::uint64_t> callCount{0}; ///< calls received since the start
    std::atomic<std::size_t> bufferedAnswerBytes{0}; ///< of all calls; \see AnswerBuffer
    CallerAccount callers; ///< what is held for callers of the address for calls
    std::function<void(CallerConnectionId, CallerCloseReason)> closeCaller; ///< closes a connection of any loop; any thread may call it
    std::atomic<LeavePhase> phase{LeavePhase::Serving};
    std::function<void()> onLoadsChanged; ///< schedules a load report to the peers; any thread may call it
};

}
