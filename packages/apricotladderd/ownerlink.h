#pragma once

#include "apricotladderd/cellservice.h"
#include "apricotladderd/slicehost.h"
#include "coordination/rankratelimiter.h"
#include "state/mutex.h"
#include "state/shardedmap.h"
#include "transport/periodictask.h"

#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace Apricot {

/**
 * \class PendingWork
 * \brief What the owner said about one request, for the flow that waits for it.
 */
class PendingWork
{
public:
    void push(const Action &action);

    /// Waits at most \a wait for the next order.
    std::optional<Action> next(absl::Duration wait);

    /// What is renewed at the owner while the flow holds engines; nothing before that.
    void setRenewal(std::optional<WorkRenewed> renewal);
    std::optional<WorkRenewed> renewal() const;

private:
    mutable Mutex m_mutex;
    CondVar m_changed;
    std::deque<Action> m_actions ABSL_GUARDED_BY(m_mutex);
    std::optional<WorkRenewed> m_renewal ABSL_GUARDED_BY(m_mutex);
};

/**
 * \class OwnerLink
 * \brief The coordinators' side towards the owners of slices: questions out, orders in, renewals in batches.
 */
class OwnerLink
{
public:
    OwnerLink(CellService &cell, SliceHost &host, Journal &journal);

    void start();
    void stop();

    /// Registers a request and returns where its orders arrive.
    std::shared_ptr<PendingWork> open(const ServiceName &service, const RequestId &id);

    /// Ends the registration, unless a later attempt on this node has replaced it.
    void close(const RequestId &id, const std::shared_ptr<PendingWork> &pending);

    /// Sends events to the owner of the slice, wherever it is.
    void send(const ServiceName &service, const std::vector<Event> &events);

    /// Takes in orders of an owner.
    void deliver(const ServiceName &service, const std::vector<Action> &actions, const std::vector<RankLimit> &limits);

    /// Whether the owner's limits leave room for one more request of \a rank.
    bool admits(const ServiceName &service, const RankName &rank);

private:
    struct Entry
    {
        ServiceName service;
        std::shared_ptr<PendingWork> pending;
    };

    void renew();

    CellService &m_cell;
    SliceHost &m_host;
    Journal &m_journal;
    ShardedMap<RequestId, Entry> m_entries;
    ShardedMap<ServiceName, RankRateLimiter> m_gates;
    std::unique_ptr<PeriodicTask> m_renewals;
};

}
