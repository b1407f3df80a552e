#include "apricotladderd/entry/calls/streamcall.h"

#include "apricotladderd/entry/calls/errorresponse.h"
#include "apricotladderd/entry/engines/enginenotices.h"
#include "apricotladderd/entry/engines/enginerequest.h"

#include <algorithm>
#include <utility>

namespace Apricot {

namespace {

/// Maximum wait for capacity, as a multiple of the route's target latency. After a longer wait the first event would miss
/// the target, so the call is refused with a Retry-After that outlasts the burst. A late retry has already missed its target
/// and may wait longer, because only its complete answer can still arrive in time.
constexpr double maxWaitInTargets = 0.65;
constexpr double lateMaxWaitInTargets = 3;

/// Upper bound of the wait for capacity: callers abandon a stream after two seconds or more without data.
constexpr absl::Duration maxPlacementWait = absl::Milliseconds(2200);

/// A call is refused without waiting only if its expected wait exceeds this: a shorter estimate is based on few calls.
constexpr absl::Duration minRefusalWait = absl::Milliseconds(1500);

}

StreamCall::StreamCall(EntryLoop &loop, HttpServerConnection::Ptr caller, CallFacts facts, AllowanceCharge charge, HttpRequestHead head,
                       std::string body)
    : m_loop(loop)
    , m_caller(std::move(caller))
    , m_facts(std::move(facts))
    , m_charge(std::move(charge))
    , m_head(std::move(head))
    , m_body(std::move(body))
    , m_reservation(loop.context(), m_facts.service)
    , m_takeoverReservation(loop.context(), m_facts.service)
    , m_kvHandle(loop, m_facts.call->promptTokens)
    , m_promptGuard(loop.context().quarantine, m_facts)
    , m_responseBody(loop.context().bufferedAnswerBytes)
    , m_eventBytes(loop.context().bufferedAnswerBytes)
{
}

void StreamCall::start()
{
    if (refuseQuarantined()) {
        return;
    }
    const absl::Duration timeLeft = m_facts.deadline() - m_loop.events().now();
    const std::shared_ptr<StreamCall> self = shared_from_this();
    m_caller->setPeerClosedHandler([self] { self->handleCallerDisconnected(); });
    m_caller->setInterruptHandler([self] { self->handleNodeEnding(); });
    m_deadlineTimer = m_loop.events().after(timeLeft, [self] { self->handleDeadline(); });
    const double waitInTargets = m_facts.isLate ? lateMaxWaitInTargets : maxWaitInTargets;
    requestPlacement(std::min(m_facts.route->targetLatency * waitInTargets, maxPlacementWait));
}

ModelDemand StreamCall::makeDemand(absl::Duration maxWait) const
{
    EntryContext &context = m_loop.context();
    const std::int64_t tokensPerEvent
        = context.pools.withPool(m_facts.service, [](const ServicePool &pool) { return pool.tokensPerEvent(); });
    ModelDemand demand;
    demand.nearTo = context.settings->dataCentre;
    demand.promptTokens = m_facts.call->promptTokens;
    demand.generatedTokens = m_events.count() * tokensPerEvent;
    demand.hintedOutputTokens = m_facts.call->hintedOutputTokens;
    demand.maxOutputTokens = m_facts.call->maxOutputTokens;
    demand.rank = m_facts.rank;
    demand.workspace = m_facts.workspaceName();
    demand.targetLatency = m_facts.route->targetLatency;
    demand.maxEventGap = m_facts.route->maxEventGap;
    demand.maxWait = maxWait;
    demand.excludedEngines = m_excludedEngines;
    demand.jitterSeed = m_loop.randomBits();
    return demand;
}

void StreamCall::requestPlacement(absl::Duration maxWait)
{
    EntryContext &context = m_loop.context();
    const absl::Time now = m_loop.events().now();
    const ModelDemand demand = this->makeDemand(maxWait);
    // A call whose prompt is prefilled had capacity already, and its KV handle lapses soon: it does not queue behind others.
    const bool isPrefilled = m_kvHandle.isFresh(now);
    const std::optional<ModelPlacement> placement = context.pools.withPool(
        m_facts.service, [&](ServicePool &pool) { return isPrefilled ? pool.placeModel(demand, now) : pool.placeNewCall(demand, now); });
    if (placement) {
        handlePlacement(*placement);
        return;
    }
    if (!m_streamStarted && retryAfterBackOff(m_loop, m_facts.service)) {
        handleNoCapacity();
        return;
    }
    const absl::Duration expectedWait
        = context.pools.withPool(m_facts.service, [&](ServicePool &pool) { return pool.expectedWait(demand, now); });
    if (!m_streamStarted && expectedWait > std::max(maxWait, minRefusalWait)) {
        handleNoCapacity();
        return;
    }
    const std::shared_ptr<StreamCall> self = shared_from_this();
    m_waiter = m_loop.addWaiter([self](const ModelPlacement &it) { self->handlePlacement(it); });
    m_waitTimer = m_loop.events().after(maxWait, [self] { self->handleNoCapacity(); });
    context.pools.withPool(m_facts.service, [&](ServicePool &pool) { pool.addWaiter(m_waiter, demand, now); });
    context.pools.grantCapacity(m_facts.service, now);
    context.onLoadsChanged();
}

void StreamCall::handlePlacement(const ModelPlacement &placement)
{
    m_loop.events().cancel(std::exchange(m_waitTimer, 0));
    m_waiter = 0;
    m_placement = placement;
    m_placedAt = m_loop.events().now();
    m_basis = placement.basis;
    m_reservation.adopt(placement);
    if (!m_kvHandle.isFresh(m_placedAt)) {
        m_kvHandle.release("expired");
    }
    if (!placement.prefill || m_streamStarted) {
        startDecode();
    } else if (m_kvHandle.hasHandle()) {
        // The prefill is complete and only its decode engine was lost: the newly placed prefill engine is not needed.
        m_reservation.release((*placement.prefill)->id, m_loop.events().now());
        startDecode();
    } else if (m_promptGuard.isTrial()) {
        // Only one engine is put at risk.
        m_reservation.release((*placement.prefill)->id, m_loop.events().now());
        startLocalPrefill();
    } else if (m_sentPrefills > 0 && !trySpendRetry()) {
        refuse(ErrorKind::NoCapacity, shortRetryAfter);
    } else {
        startPrefill();
    }
}

void StreamCall::abandonPlacement(EngineId failed)
{
    m_excludedEngines.push_back(std::move(failed));
    m_reservation.releaseAll(m_loop.events().now());
    m_placement.reset();
}

void StreamCall::handleNoCapacity()
{
    m_waitTimer = 0;
    if (m_streamStarted) {
        abortStream("no engine to resume at");
        return;
    }
    const ErrorKind kind = m_wasSent ? ErrorKind::AnswerIncomplete : ErrorKind::NoCapacity;
    if (retryAfterBackOff(m_loop, m_facts.service)) {
        refuse(kind, std::nullopt); // Its Retry-After is the end of the back-off.
        return;
    }
    const absl::Time now = m_loop.events().now();
    const ModelDemand demand = makeDemand(absl::ZeroDuration());
    const CapacityRefusal refusal = m_loop.context().pools.withPool(
        m_facts.service, [&](ServicePool &pool) { return pool.recordRefused(demand, m_facts.deadline() - now, m_loop.random(), now); });
    m_loop.context().metrics.countRefusal(refusal.isAboveShare ? "above" : "within");
    refuse(kind, refusal.retryAfter);
}

EngineRequestOptions StreamCall::makeRequestOptions(const EngineEntry &engine) const
{
    EngineRequestOptions options = makeEngineOptions(engine, m_facts, m_loop.events().now());
    options.rank = m_facts.rank;
    return options;
}

ExchangeRequest StreamCall::makeEngineRequest(const EngineEntry &engine, const EngineRequestOptions &options) const
{
    ExchangeRequest request = makeEngineExchange(engine, m_head, m_body, options, m_facts.call->requestId);
    observeEngineNotices(m_loop, engine, m_facts.call->requestId, request);
    // Always a new connection: a handshake costs far less than a generation that is lost on a kept connection which its
    // engine has just closed.
    request.maxIdleTime = absl::ZeroDuration();
    request.keepAliveTime = absl::ZeroDuration();
    return request;
}

void StreamCall::handleDeadline()
{
    m_deadlineTimer = 0;
    cancelExchange();
    if (m_streamStarted) {
        abortStream("its time is up");
        return;
    }
    refuse(m_wasSent ? ErrorKind::OutcomeUnknown : ErrorKind::NoCapacity, std::nullopt);
}

void StreamCall::handleNodeEnding()
{
    cancelExchange();
    if (m_streamStarted) {
        abortStream("node stopped");
        return;
    }
    refuse(m_wasSent || m_promptGuard.hasBroken() ? ErrorKind::OutcomeUnknown : ErrorKind::Draining, shortRetryAfter);
}

void StreamCall::handleCallerDisconnected()
{
    if (m_finished) {
        return;
    }
    cancelExchange();
    finish("caller left", 0);
}

void StreamCall::cancelExchange()
{
    if (m_prefillFetch) {
        m_prefillFetch->cancel();
    }
    if (m_exchange) {
        m_exchange->cancel();
    }
    cancelTakeover();
}

void StreamCall::refuse(ErrorKind kind, std::optional<absl::Duration> retryAfter)
{
    const bool isNotRun = errorDescriptor(kind).outcome == Outcome::NotRun;
    const bool needsEngine = isNotRun && kind != ErrorKind::Draining;
    if (const auto backOff = needsEngine ? retryAfterBackOff(m_loop, m_facts.service) : std::nullopt) {
        m_isRefusedForBackOff = true;
        retryAfter = backOff;
    }
    finish(errorDescriptor(kind).name.data(), errorDescriptor(kind).httpStatus);
    respondWithError(*m_caller, kind, isNotRun ? retryAfter : std::nullopt, errorDescriptor(kind).text);
}

bool StreamCall::refuseQuarantined()
{
    const std::optional<PromptRefused> refusal = m_promptGuard.isOutlived() ? std::nullopt : m_promptGuard.check(m_loop.events().now());
    if (!refusal) {
        return false;
    }
    if (m_streamStarted) {
        abortStream("its prompt is quarantined");
        return true;
    }
    refuse(m_wasSent || m_promptGuard.hasBroken() ? ErrorKind::AnswerIncomplete : ErrorKind::PromptQuarantined, refusal->retryAfter);
    return true;
}

void StreamCall::abortStream(const char *why)
{
    finish(why, 0);
    m_caller->abort();
}

bool StreamCall::trySpendRetry()
{
    return m_loop.context().trySpendRetry(m_facts.service, m_loop.events().now());
}

void StreamCall::finish(const char *outcome, int status)
{
    m_finished = true;
    m_eventBytes.set(0);
    m_charge.settle();
    EntryContext &context = m_loop.context();
    EventLoop &events = m_loop.events();
    events.cancel(std::exchange(m_deadlineTimer, 0));
    events.cancel(std::exchange(m_stallTimer, 0));
    events.cancel(std::exchange(m_waitTimer, 0));
    if (m_waiter != 0) {
        m_loop.removeWaiter(m_waiter);
        context.pools.withPool(m_facts.service, [&](ServicePool &pool) { pool.removeWaiter(m_waiter); });
        context.onLoadsChanged();
    }
    cancelTakeover();
    m_reservation.releaseAll(m_loop.events().now());
    m_kvHandle.release("unused");
    const absl::Time now = events.now();
    m_promptGuard.end(now);
    const bool isGood = status > 0 && status < 500;
    context.metrics.countCall("stream", outcome);
    const bool wasPlaced = m_placedAt != absl::Time();
    if (!wasPlaced) {
        m_basis.loadsAge = context.pools.withPool(m_facts.service, [&](const ServicePool &pool) { return pool.loadsAge(now); });
    }
    context.log.add(isGood ? LogLevel::Info : LogLevel::Warning, "call.end", m_facts.call->requestId,
                    {{"route", m_facts.route->name},
                     {"workspace", m_facts.workspaceName().text()},
                     {"version", static_cast<std::int64_t>(m_facts.desiredVersion)},
                     {"rank", m_facts.rank},
                     {"late", m_facts.isLate},
                     {"promptTokens", m_facts.call->promptTokens},
                     {"quarantined", m_promptGuard.refusedParts().text()},
                     {"promptParts", joinPartIds(m_facts.call->promptParts)},
                     {"mostOutputTokens", m_facts.call->maxOutputTokens},
                     {"timeLeftMs", absl::ToDoubleMilliseconds(m_facts.call->timeLeft.value_or(absl::ZeroDuration()))},
                     {"likelyOutputTokens", m_facts.call->hintedOutputTokens},
                     {"events", m_events.lastId()},
                     {"decode", m_lastDecodeEngine.text()},
                     {"prefill", m_placement && m_placement->prefill ? (*m_placement->prefill)->id.text() : std::string()},
                     {"outcome", std::string(outcome)},
                     {"status", std::int64_t{status}},
                     {"arrivals", m_sentAttempts},
                     {"allBackOff", m_isRefusedForBackOff},
                     {"waitedMs", wasPlaced ? absl::ToDoubleMilliseconds(m_placedAt - m_facts.arrival) : -1.0},
                     {"memoryPart", m_basis.memoryFraction},
                     {"runsThere", m_basis.runCount},
                     {"loadsAgeMs", absl::ToDoubleMilliseconds(m_basis.loadsAge)},
                     {"firstMs", m_streamStarted ? absl::ToDoubleMilliseconds(m_firstEventTime - m_facts.arrival) : -1.0},
                     {"pauseMs", absl::ToDoubleMilliseconds(m_longestEventGap)},
                     {"ms", absl::ToDoubleMilliseconds(now - m_facts.arrival)}});
}

}
