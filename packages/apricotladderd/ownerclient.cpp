#include "apricotladderd/ownerclient.h"

#include <absl/time/clock.h>

#include <map>
#include <utility>

namespace Apricot {

namespace {

/// Maximum number of renewals in one datagram.
constexpr std::size_t renewalsPerMessage = 150;

const RequestId &requestOf(const Action &action)
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

std::optional<Action> OwnerActionQueue::next(absl::Duration wait)
{
    const absl::Time until = absl::Now() + wait;
    const MutexLock lock(m_mutex);
    while (m_actions.empty() && absl::Now() < until) {
        m_changed.waitFor(m_mutex, until - absl::Now());
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
    m_renewals = std::make_unique<PeriodicTask>("renewals", SchedulerTimes::renewalInterval, [this] { renew(); });
}

void OwnerClient::stop()
{
    m_renewals.reset();
}

std::shared_ptr<OwnerActionQueue> OwnerClient::open(const ServiceName &service, const RequestId &id)
{
    auto pending = std::make_shared<OwnerActionQueue>();
    m_entries.update(id, [&](Entry &entry) { entry = Entry{service, pending}; });
    return pending;
}

void OwnerClient::close(const RequestId &id, const std::shared_ptr<OwnerActionQueue> &pending)
{
    m_entries.eraseOneIf(id, [&](const Entry &entry) { return entry.pending == pending; });
}

void OwnerClient::send(const ServiceName &service, const std::vector<Event> &events)
{
    const NodeId owner = m_cell.ownerOf(service);
    if (owner == m_cell.self() || owner.isEmpty()) {
        m_host.handle(service, m_cell.self(), events);
    } else {
        m_cell.send(owner, OwnerEventsMessage{service, m_cell.self(), m_journal.stamp(), events});
    }
}

void OwnerClient::deliver(const ServiceName &service, const std::vector<Action> &actions, const std::vector<RankLimit> &limits)
{
    const std::size_t nodes = m_cell.owners().size();
    m_gates.update(service, [&](FloodGate &gate) { gate.update(limits, nodes, absl::Now()); });
    for (const Action &action : actions) {
        const Entry entry = m_entries.find(requestOf(action));
        if (entry.pending) {
            entry.pending->push(action);
        }
    }
}

bool OwnerClient::admits(const ServiceName &service, const RankName &rank)
{
    return m_gates.update(service, [&](FloodGate &gate) { return gate.admits(rank, absl::Now()); });
}

void OwnerClient::renew()
{
    std::map<ServiceName, std::vector<Event>> batches;
    m_entries.forEach([&](const RequestId &, const Entry &entry) {
        if (std::optional<WorkRenewed> renewal = entry.pending->renewal()) {
            batches[entry.service].emplace_back(std::move(*renewal));
        }
    });
    for (const auto &[service, events] : batches) {
        for (std::size_t i = 0; i < events.size(); i += renewalsPerMessage) {
            const auto first = events.begin() + static_cast<std::ptrdiff_t>(i);
            const auto last = events.begin() + static_cast<std::ptrdiff_t>(std::min(i + renewalsPerMessage, events.size()));
            send(service, std::vector<Event>(first, last));
        }
    }
}

}
