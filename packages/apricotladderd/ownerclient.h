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
 * \class OwnerActionQueue
 * \brief Queue of the owner's actions for one request, read by the flow that serves the request.
 */
class OwnerActionQueue
{
public:
    /// Appends an action and wakes the waiting flow.
    void push(const Action &action);

    /// Waits at most \a timeout for the next action and removes it from the queue.
    std::optional<Action> waitAndPop(absl::Duration timeout);

    /// Sets the renewal that is sent to the owner periodically; empty while the flow occupies no engine.
    void setRenewal(std::optional<WorkRenewed> renewal);
    std::optional<WorkRenewed> renewal() const;

private:
    mutable Mutex m_mutex;
    CondVar m_changed;
    std::deque<Action> m_actions ABSL_GUARDED_BY(m_mutex);
    std::optional<WorkRenewed> m_renewal ABSL_GUARDED_BY(m_mutex);
};

/**
 * \class OwnerClient
 * \brief Connects the coordinators of this node with the owners of slices.
 *
 * It sends events and batches of renewals to the owners, and passes the owners' actions to the flows.
 */
class OwnerClient
{
public:
    OwnerClient(CellService &cell, SliceHost &host, Journal &journal);

    void start();
    void stop();

    /// Registers a request and returns the queue of its actions.
    std::shared_ptr<OwnerActionQueue> registerRequest(const ServiceName &service, const RequestId &id);

    /// Removes the registration unless a later registration of the same request has replaced it.
    void unregisterRequest(const RequestId &id, const std::shared_ptr<OwnerActionQueue> &actions);

    /// Sends events to the owner of the slice, on this node or another.
    void send(const ServiceName &service, const std::vector<Event> &events);

    /// Handles the actions and rank limits that an owner sent.
    void handleActions(const ServiceName &service, const std::vector<Action> &actions, const std::vector<RankLimit> &limits);

    /// Whether the owner's limits admit one more request of \a rank; if they do, the request is counted against the limit.
    bool admits(const ServiceName &service, const RankName &rank);

private:
    struct RegisteredRequest
    {
        ServiceName service;
        std::shared_ptr<OwnerActionQueue> actions;
    };

    void sendRenewals();

    CellService &m_cell;
    SliceHost &m_host;
    Journal &m_journal;
    ShardedMap<RequestId, RegisteredRequest> m_requests;
    ShardedMap<ServiceName, RankRateLimiter> m_rankLimiters;
    std::unique_ptr<PeriodicTask> m_renewalTask;
};

}
