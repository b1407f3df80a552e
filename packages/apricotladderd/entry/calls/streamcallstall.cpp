#include "apricotladderd/entry/calls/streamcall.h"

#include "apricotladderd/entry/engines/enginerequest.h"

#include <algorithm>
#include <utility>

namespace Apricot {

namespace {

/// Stall timeout of a resumable stream, as a multiple of the route's maximum event gap, and its lower bound: a sound engine may be
/// silent for a second, and callers disconnect after two.
constexpr double stallTimeoutInGaps = 3;
constexpr absl::Duration minStallTimeout = absl::Milliseconds(1500);

/// Interval at which the node looks for another engine while an engine is stalled.
constexpr absl::Duration stallCheckInterval = absl::Milliseconds(100);

}

void StreamCall::armStallTimer()
{
    if (!m_facts.route->resumable || m_stallTimer != 0) {
        return;
    }
    const absl::Duration stallTimeout = std::max(m_facts.route->maxEventGap * stallTimeoutInGaps, minStallTimeout);
    const absl::Duration untilStall = m_lastEventTime + stallTimeout - m_loop.events().now();
    m_stallTimer = m_loop.events().after(std::max(untilStall, stallCheckInterval), [self = shared_from_this(), stallTimeout] {
        self->m_stallTimer = 0;
        if (self->m_loop.events().now() - self->m_lastEventTime >= stallTimeout) {
            self->handleStall();
        }
        if (!self->m_finished && self->m_isStream) {
            self->armStallTimer();
        }
    });
}

void StreamCall::handleStall()
{
    // While the caller does not read, the engine is not read either, and its silence means nothing.
    if (!m_streamStarted || m_finished || m_takeover || m_caller->unsentBytes() > 0 || !canResumeOnOtherEngine()) {
        return;
    }
    const absl::Time now = m_loop.events().now();
    if (!m_promptGuard.isOutlived() && m_promptGuard.check(now)) {
        return;
    }
    // The engine may be sound and go on, so it is only given up for one that has accepted the stream.
    const EngineId stalled = m_placement->decode->id;
    ModelDemand demand = makeDemand(absl::ZeroDuration());
    demand.excludedEngines.push_back(stalled);
    const std::optional<ModelPlacement> placement
        = m_loop.context().pools.withPool(m_facts.service, [&](ServicePool &pool) { return pool.placeNewCall(demand, now); });
    if (!placement) {
        return;
    }
    m_takeoverReservation.adopt(*placement);
    if (!trySpendRetry()) {
        m_takeoverReservation.releaseAll(now);
        return;
    }
    m_loop.context().log.add(LogLevel::Info, "call.stall", m_facts.call->requestId,
                             {{"workspace", m_facts.workspaceName().text()},
                              {"engine", stalled.text()},
                              {"after", m_events.lastId()},
                              {"silentMs", absl::ToDoubleMilliseconds(now - m_lastEventTime)}});
    startTakeover(*placement);
}

void StreamCall::startTakeover(const ModelPlacement &placement)
{
    const std::shared_ptr<StreamCall> self = shared_from_this();
    EngineRequestOptions options = makeRequestOptions(placement.decode);
    options.lastEventId = m_events.lastId();
    StreamTakeover::Callbacks callbacks;
    callbacks.onSent = [self] {
        ++self->m_sentAttempts;
        self->m_charge.recordSent();
    };
    callbacks.onAccepted = [self] {
        self->handleTakeoverAccepted();
    };
    callbacks.onDeclined = [self](const HttpResponseHead &head, ExchangeOutcome outcome) {
        self->handleTakeoverDeclined(head, outcome);
    };
    callbacks.stream = decodeCallbacks(placement.decode);
    m_takeover = StreamTakeover::start(m_loop.events(), m_loop.engines(), placement, makeEngineRequest(placement.decode, options),
                                       std::move(callbacks));
}

void StreamCall::handleTakeoverAccepted()
{
    m_reservation.recordResult(m_placement->decode->id, EngineResult::Failed, m_loop.events().now());
    switchToTakeover();
}

void StreamCall::switchToTakeover()
{
    const std::shared_ptr<StreamTakeover> takeover = std::exchange(m_takeover, nullptr);
    const absl::Time now = m_loop.events().now();
    m_exchange->cancel();
    leaveEngine();
    m_reservation.replaceBy(m_takeoverReservation, now);
    m_placement = takeover->placement();
    m_placedAt = now;
    m_basis = m_placement->basis;
    m_exchange = takeover->exchange();
    m_wasSent = true;
    m_lastEventTime = now;
    beginResponse(m_placement->decode, now);
}

void StreamCall::handleTakeoverDeclined(const HttpResponseHead &head, ExchangeOutcome outcome)
{
    const EngineId engine = std::exchange(m_takeover, nullptr)->placement().decode->id;
    const AttemptOutcome result = classifyOutcome(head, outcome);
    const bool isDeclined = std::holds_alternative<Declined>(result);
    if (isDeclined) { // It has run nothing.
        --m_sentAttempts;
        m_charge.recordNotRun();
    }
    const absl::Time now = m_loop.events().now();
    m_takeoverReservation.recordResult(engine,
                                       isDeclined                                    ? EngineResult::Refused
                                           : std::holds_alternative<NotSent>(result) ? EngineResult::Unreachable
                                                                                     : EngineResult::Failed,
                                       now);
    m_takeoverReservation.releaseAll(now);
    m_excludedEngines.push_back(engine);
    m_loop.context().log.add(LogLevel::Info, "call.takeoverfailed", m_facts.call->requestId,
                             {{"workspace", m_facts.workspaceName().text()},
                              {"engine", engine.text()},
                              {"status", std::int64_t{head.status}},
                              {"declined", isDeclined}});
}

void StreamCall::cancelTakeover()
{
    if (const std::shared_ptr<StreamTakeover> takeover = std::exchange(m_takeover, nullptr)) {
        takeover->cancel();
        m_takeoverReservation.releaseAll(m_loop.events().now());
    }
}

}
