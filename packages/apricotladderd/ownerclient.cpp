#include "apricotladderd/ownerclient.h"

#include <absl/time/clock.h>

#include <map>
#include <utility>

namespace Apricot {

namespace {

/// Maximum number of renewals in one datagram.
constexpr std::size_t maxRenewalsPerMessage = 150;

const RequestId &requestIdOf(const Action &action)
{
    return std::visit([](const auto &it) -> const RequestId & { return it.id; }, action);
}

}

void OwnerActionQueue::push(const Action &action)
{
    const MutexLock lock(m_mutex);
    m_actions.push_back(action);
    m_changed.signalAll();
}

std::optional<Action> OwnerActionQueue::waitAndPop(absl::Duration timeout)
{
    const absl::Time deadline = absl::Now() + timeout;
    const MutexLock lock(m_mutex);
    while (m_actions.empty() && absl::Now() < deadline) {
        m_changed.waitFor(m_mutex, deadline - absl::Now());
    }
    if (m_actions.empty()) {
        return std::nullopt;
    }
    Action action = std::move(m_actions.front());
    m_actions.pop_front();
    return action;
}

void OwnerActionQueue::setRenewal(std::optional<WorkRenewed> renewal)
{
    const MutexLock lock(m_mutex);
    m_renewal = std::move(renewal);
}

std::optional<WorkRenewed> OwnerActionQueue::renewal() const
{
    const MutexLock lock(m_mutex);
    return m_renewal;
}

OwnerClient::OwnerClient(CellService &cell, SliceHost &host, Journal &journal)
    : m_cell(cell)
    , m_host(host)
    , m_journal(journal)
{
}

void OwnerClient::start()
{
    m_renewalTask = std::make_unique<PeriodicTask>("renewals", SchedulerTimings::renewalInterval, [this] { sendRenewals(); });
}

void OwnerClient::stop()
{
    m_renewalTask.reset();
}

std::shared_ptr<OwnerActionQueue> OwnerClient::registerRequest(const ServiceName &service, const RequestId &id)
{
    auto actions = std::make_shared<OwnerActionQueue>();
    m_requests.update(id, [&](RegisteredRequest &request) { request = RegisteredRequest{service, actions}; });
    return actions;
}

void OwnerClient::unregisterRequest(const RequestId &id, const std::shared_ptr<OwnerActionQueue> &actions)
{
    m_requests.eraseOneIf(id, [&](const RegisteredRequest &request) { return request.actions == actions; });
}

void OwnerClient::send(const ServiceName &service, const std::vector<Event> &events)
{
    const NodeId owner = m_cell.ownerOf(service);
    if (owner == m_cell.self() || owner.isEmpty()) {
        m_host.handleEvents(service, m_cell.self(), events);
    } else {
        m_cell.send(owner, OwnerEventsMessage{service, m_cell.self(), m_journal.nextTimestamp(), events});
    }
}

void OwnerClient::handleActions(const ServiceName &service, const std::vector<Action> &actions, const std::vector<RankLimit> &limits)
{
    const std::size_t nodes = m_cell.owners().size();
    m_rankLimiters.update(service, [&](RankRateLimiter &limiter) { limiter.update(limits, nodes, absl::Now()); });
    for (const Action &action : actions) {
        const RegisteredRequest request = m_requests.find(requestIdOf(action));
        if (request.actions) {
            request.actions->push(action);
        }
    }
}

bool OwnerClient::admits(const ServiceName &service, const RankName &rank)
{
    return m_rankLimiters.update(service, [&](RankRateLimiter &limiter) { return limiter.tryAcquire(rank, absl::Now()); });
}

void OwnerClient::sendRenewals()
{
    std::map<ServiceName, std::vector<Event>> batches;
    m_requests.forEach([&](const RequestId &, const RegisteredRequest &request) {
        if (std::optional<WorkRenewed> renewal = request.actions->renewal()) {
            batches[request.service].emplace_back(std::move(*renewal));
        }
    });
    for (const auto &[service, events] : batches) {
        for (std::size_t i = 0; i < events.size(); i += maxRenewalsPerMessage) {
            const auto first = events.begin() + static_cast<std::ptrdiff_t>(i);
            const auto last = events.begin() + static_cast<std::ptrdiff_t>(std::min(i + maxRenewalsPerMessage, events.size()));
            send(service, std::vector<Event>(first, last));
        }
    }
}

}
