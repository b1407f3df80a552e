#include "apricotladderd/node.h"

#include "coordination/addressselection.h"
#include "protocol/timelinejson.h"
#include "state/invariant.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace Apricot {

namespace {

constexpr absl::Duration housekeepingInterval = absl::Seconds(1);
constexpr absl::Duration flushTimeout = absl::Seconds(5);

}

Node::Node(NodeSettings settings, DatagramAuthenticator authenticator)
    : m_settings(std::move(settings))
    , m_journal(m_settings->node, static_cast<std::size_t>(m_settings->ringEvents))
    , m_store(m_settings->storeUrl, absl::Milliseconds(m_settings->storeTimeoutMs), m_metrics)
    , m_config(m_journal, m_metrics)
    , m_cell(m_settings, std::move(authenticator), m_journal, m_metrics)
    , m_host(m_cell, m_config, m_journal, m_metrics)
    , m_ownerClient(m_cell, m_host, m_journal)
    , m_runStore(m_store, m_journal)
    , m_sync(m_cell, m_config, m_store, m_journal)
    , m_publisher(m_cell, m_store, m_journal, m_metrics)
    , m_poller(m_host, m_config, m_cell, m_journal)
    , m_fleet(m_cell, m_config, m_store, m_publisher, m_journal)
    , m_frontEnd(NodeContext{m_settings, m_journal, m_metrics, m_config, m_cell, m_ownerClient, m_runStore, m_retries}, m_callThreads,
                 FrontEnd::Callbacks{[this] { return statusJson(); },
                                     [this] {
                                         m_drainRequested = true;
                                     }})
{
}

std::string Node::start()
{
    Invariants::setHandler([this](std::string_view name, const std::string &values) {
        m_journal.warning(RequestId(), "invariant.violated", absl::StrCat(std::string(name), ": ", values));
        if (m_settings->endOnViolation) {
            std::abort();
        }
    });
    CellService::Handlers handlers;
    handlers.onOwnerEvents = [this](const OwnerEventsMessage &it) {
        m_host.handleEvents(it.service, it.from, it.events);
    };
    handlers.onOwnerActions = [this](const OwnerActionsMessage &it) {
        if (!it.isStale(absl::Now())) {
            m_ownerClient.handleActions(it.service, it.actions, it.limits);
        }
    };
    handlers.onNewerGeneration = [this](const Member &) {
        m_sync.handleNewerGeneration();
    };
    handlers.onQuery = [this](const PeerQuery &it) {
        return answerQuery(it);
    };
    if (std::string problem = m_cell.start(std::move(handlers)); !problem.empty()) {
        return problem;
    }
    m_host.start([this](const ServiceName &service, const std::vector<Action> &actions, const std::vector<RankLimit> &limits) {
        m_ownerClient.handleActions(service, actions, limits);
    });
    m_ownerClient.start();
    m_sync.start([this] { m_host.handleConfigChange(); });
    m_publisher.start();
    m_poller.start();
    m_fleet.start();
    m_housekeeping = std::make_unique<PeriodicTask>("housekeeping", housekeepingInterval, [this] { housekeeping(); });
    if (std::string problem = m_frontEnd.start(); !problem.empty()) {
        return problem;
    }
    m_journal.info(RequestId(), "node.started",
                   absl::StrCat("caller address ", m_settings->callerAddress, " peer address ", m_settings->peerAddress));
    return {};
}

bool Node::drain()
{
    const absl::Time deadline = absl::Now() + absl::Seconds(m_settings->drainSeconds);
    m_journal.info(RequestId(), "node.leaving", "the address of this node is no longer given to callers");
    m_cell.setLeaving();
    absl::SleepFor(std::min(addressKeepTime, deadline - absl::Now()));
    m_frontEnd.refuseCalls();
    const bool idle = m_callThreads.waitUntilIdle(deadline - absl::Now());
    m_runStore.flush(std::max(absl::ZeroDuration(), std::min(flushTimeout, deadline - absl::Now())));
    const bool answered = m_frontEnd.finishAnswers(deadline - absl::Now());
    m_journal.info(RequestId(), "node.left",
                   idle && answered ? "every call in progress has ended"
                                    : "the time to drain (drainSeconds) is over; calls in progress are aborted");
    return idle && answered;
}

void Node::stop()
{
    m_frontEnd.stop();
    m_housekeeping.reset();
    m_fleet.stop();
    m_poller.stop();
    m_publisher.stop();
    m_sync.stop();
    m_ownerClient.stop();
    m_host.stop();
    m_cell.stop();
    Invariants::setHandler({});
}

PeerReply Node::answerQuery(const PeerQuery &query)
{
    return std::visit(
        Overloaded{
            [&](const SnapshotQuery &it) -> PeerReply {
                auto [generation, snapshot] = m_config.snapshot();
                return generation->number > it.newerThan ? SnapshotReply{generation, snapshot} : SnapshotReply{};
            },
            [&](const TimelineQuery &it) -> PeerReply { return TimelineReply{m_journal.events(it.request)}; },
            [&](const AttemptStatusQuery &it) -> PeerReply { return AttemptStatusReply{m_runStore.attemptStatus(it.attempt)}; },
        },
        query);
}

std::string Node::statusJson()
{
    NodeStatus status;
    status.node = m_settings->node;
    status.generation = m_config.generation()->number;
    status.leaseHeld = m_publisher.holdsLease();
    status.violations = Invariants::violationCount();
    status.activeCalls = m_callThreads.active();
    status.members = m_cell.members();
    for (const ServiceName &service : m_host.hostedServices()) {
        const SliceCounts counts = m_host.counts(service);
        status.slices.push_back(
            SliceStatus{service, counts.waiting, counts.prefilling + counts.awaitingSlot, counts.decoding, counts.reservedPieces});
    }
    return encodeNodeStatus(status);
}

void Node::housekeeping()
{
    const absl::Time now = absl::Now();
    m_frontEnd.removeExpiredAnswers(now);
    m_runStore.removeExpiredAttempts(now);
    m_metrics.setViolations(static_cast<double>(Invariants::violationCount()));
}

}
