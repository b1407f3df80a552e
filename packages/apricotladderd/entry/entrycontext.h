#pragma once

#include "apricotladderd/entry/entrymetrics.h"
#include "apricotladderd/entry/eventlog.h"
#include "coordination/membership.h"
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

/// How far a node is on its way out.
enum class LeavePhase : std::uint8_t {
    Serving,
    Leaving, ///< no longer handed out as an address; calls are served
    Closing, ///< new streams are refused, as they would not end before the process does
};

/**
 * \class RouteKeeper
 * \brief The desired state in force. It only ever moves to a higher version, and for all threads at once.
 */
class RouteKeeper
{
public:
    /// Puts \a table in force if it is newer; returns whether it was.
    bool offer(std::shared_ptr<const RouteTable> table)
    {
        const MutexLock lock(m_mutex);
        if (table->desired()->version <= m_table->desired()->version) {
            return false;
        }
        m_table = std::move(table);
        return true;
    }

    /// The table in force; version 0 if none was ever learnt.
    std::shared_ptr<const RouteTable> current() const
    {
        const MutexLock lock(m_mutex);
        return m_table;
    }

private:
    mutable Mutex m_mutex;
    std::shared_ptr<const RouteTable> m_table ABSL_GUARDED_BY(m_mutex) = std::make_shared<const RouteTable>();
};

/// What the threads of an entry node share. Each part has its own lock, or its shards have.
struct EntryContext
{
    EntryContext(const EntrySettings &given, ServicePoolMap::GrantHandler granted)
        : settings(given)
        , log(given->node, logLevelFromName(given->logLevel))
        , board(std::move(granted))
    {
    }

    /// Runs \a function with this node's share of the repeats to \a service.
    template<class Function>
    auto withRepeats(const ServiceName &service, Function &&function)
    {
        return repeats.update(service, [&](std::optional<RetryQuota> &share) {
            if (!share) {
                share.emplace(RetryLimit{settings->repeatRatio, settings->repeatHeadroom, absl::Seconds(settings->repeatWindowS)});
            }
            return function(*share);
        });
    }

    /// Nodes that share the bound on repeats.
    std::size_t nodeCount() const
    {
        return knownNodes.load(std::memory_order_relaxed);
    }

    EntrySettings settings;
    EventLog log;
    EntryMetrics metrics;
    RouteKeeper routes;
    ServicePoolMap board;
    ShardedMap<ServiceName, std::optional<RetryQuota>, 8> repeats;
    ShardedMap<std::string, absl::Duration, 8> longestTimeLeft; ///< that callers of a route gave lately
    std::atomic<std::size_t> knownNodes{1};
    std::atomic<LeavePhase> phase{LeavePhase::Serving};
    std::function<void()> loadsChanged; ///< tells the peers soon; any thread may call it
};

}
