#include "apricotladderd/entry/streamcall.h"

#include "apricotladderd/entry/enginenotices.h"
#include "apricotladderd/entry/enginerequest.h"
#include "apricotladderd/entry/errorresponse.h"
#include "state/abslview.h"
#include "state/overloaded.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

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

/// Maximum wait of an interrupted stream for capacity on another engine: callers disconnect after two seconds without data.
constexpr absl::Duration maxResumptionWait = absl::Milliseconds(900);

/// A call is refused without waiting only if its expected wait exceeds this: a shorter estimate is based on few calls.
constexpr absl::Duration minRefusalWait = absl::Milliseconds(1500);

/// Retry-After of a call that is refused after an engine failure. \see ReturnSchedule for calls that find no capacity
constexpr absl::Duration shortRetryAfter = absl::Milliseconds(50);

/// Prefill timeout, as a fraction of the route's target latency. After it the decode engine computes the prefill itself if
/// its other streams tolerate that, or another prefill engine is tried.
constexpr double prefillTimeoutFraction = 0.75;

/// Stall timeout of a resumable stream, as a multiple of the route's maximum event gap, and its lower bound: a sound engine may be
/// silent for a second, and callers disconnect after two.
constexpr double stallTimeoutInGaps = 3;
constexpr absl::Duration minStallTimeout = absl::Milliseconds(1500);

/// Interval at which the node looks for another engine while an engine is stalled.
constexpr absl::Duration stallCheckInterval = absl::Milliseconds(100);

/// Longest event of a stream: an engine in trouble may send bytes without end that complete no event.
constexpr std::size_t maxEventBytes = 1U << 20;

/// Bytes not yet sent to the caller above which reading from the engine pauses.
constexpr std::size_t maxUnsentBytes = 256 * 1024;

/// Minimum time left before the deadline for another attempt.
constexpr absl::Duration minAttemptTime = absl::Milliseconds(300);

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

void StreamCall::startPrefill()
{
    if (refuseQuarantined()) {
        return;
    }
    const EngineEntry engine = *m_placement->prefill;
    m_stageStart = m_loop.events().now();
    if (!m_loop.context().pools.withPool(m_facts.service,
                                         [&](const ServicePool &pool) { return pool.acceptsCalls(engine, m_stageStart); })) {
        abandonPlacement(engine->id);
        requestPlacement(m_facts.route->targetLatency);
        return;
    }
    EngineRequestOptions options = makeRequestOptions(engine);
    options.prefillOnly = true;
    m_prefillFetch = HttpFetch::start(m_loop.events(), m_loop.engines(), makeEngineRequest(engine, options),
                                      m_facts.route->targetLatency * prefillTimeoutFraction,
                                      [self = shared_from_this()](const FetchResult &result) { self->handlePrefillResult(result); });
}

void StreamCall::handlePrefillResult(const FetchResult &result)
{
    std::visit(Overloaded{
                   [&](FetchError why) { handlePrefillError(why); },
                   [&](const FullResponse &response) {
                       recordPrefillSent();
                       handlePrefillResponse(response);
                   },
               },
               result);
}

void StreamCall::recordPrefillSent()
{
    m_sentAttempts += m_sentPrefills > 0 ? 1 : 0;
    ++m_sentPrefills;
}

void StreamCall::handlePrefillError(FetchError why)
{
    if (why == FetchError::NoConnection) {
        continueAfterFailedPrefill(EngineResult::Unreachable, fetchErrorText(why));
        return;
    }
    recordPrefillSent();
    if (why == FetchError::TimedOut) {
        m_loop.context().metrics.countWastedPrefillTokens(static_cast<double>(m_facts.call->promptTokens));
    }
    continueAfterFailedPrefill(EngineResult::Failed, fetchErrorText(why));
}

void StreamCall::handlePrefillResponse(const FullResponse &response)
{
    const EngineEntry engine = *m_placement->prefill;
    const std::optional<PrefillHandle> result = response.head.status == statusOk ? readPrefillHandle(response.body) : std::nullopt;
    if (!result) {
        m_prefillFailureCounts = true;
        const bool isRefusal = provesNotRun(response.head.status, readEngineResponse(response.head));
        continueAfterFailedPrefill(isRefusal ? EngineResult::Refused : EngineResult::Failed, isRefusal ? "declined" : "failed");
        return;
    }
    const absl::Time now = m_loop.events().now();
    const absl::Duration lifetime = m_loop.context().pools.withPool(m_facts.service, [&](ServicePool &pool) {
        const double units = static_cast<double>(std::max<std::int64_t>(1, m_facts.call->promptTokens));
        pool.recordResult(engine->id, EngineResult::Succeeded, now);
        pool.recordCost(engine->id, units, now - m_stageStart, now);
        return pool.handleLifetime();
    });
    m_loop.context().metrics.countAttempt("prefill", "good");
    m_kvHandle.set(engine, result->handle, now + lifetime);
    m_isHandleDeclined = false;
    m_reservation.release(engine->id, now);
    startDecode();
}

void StreamCall::continueAfterFailedPrefill(EngineResult result, const char *why)
{
    const EngineEntry engine = *m_placement->prefill;
    m_reservation.recordResult(engine->id, result, m_loop.events().now());
    m_loop.context().metrics.countAttempt("prefill", why);
    m_loop.context().log.add(LogLevel::Info, "call.prefillfailed", m_facts.call->requestId,
                             {{"workspace", m_facts.workspaceName().text()}, {"engine", engine->id.text()}, {"why", std::string(why)}});
    m_reservation.release(engine->id, m_loop.events().now());
    // A prefill alone does not count as running the call, so a refusal that reports "not run" is still correct here.
    if (std::exchange(m_prefillFailureCounts, false) && !trySpendRetry()) {
        refuse(ErrorKind::NoCapacity, shortRetryAfter);
        return;
    }
    const ModelDemand demand = this->makeDemand(absl::ZeroDuration());
    const EngineId decode = m_placement->decode->id;
    const bool allowsLocalPrefill = m_loop.context().pools.withPool(
        m_facts.service, [&](const ServicePool &pool) { return pool.allowsLocalPrefill(decode, demand, m_loop.events().now()); });
    if (allowsLocalPrefill || !canRetryPrefill()) {
        startLocalPrefill();
        return;
    }
    // A prefill at the decode engine would delay the events of its other streams by more than their routes allow.
    abandonPlacement(engine->id);
    requestPlacement(m_facts.route->targetLatency);
}

bool StreamCall::canRetryPrefill() const
{
    // The first prefill does not count as an attempt; every further one does.
    return m_sentPrefills == 0 || m_sentAttempts + 1 < m_facts.route->maxAttempts;
}

void StreamCall::startLocalPrefill()
{
    m_placement->prefill.reset();
    m_reservation.add(EngineReservation{m_placement->decode->id, 0, m_facts.call->promptTokens, std::nullopt});
    startDecode();
}

void StreamCall::startDecode()
{
    if (refuseQuarantined()) {
        return;
    }
    const EngineEntry engine = m_placement->decode;
    EntryContext &context = m_loop.context();
    const absl::Time now = m_loop.events().now();
    if (!context.pools.withPool(m_facts.service, [&](const ServicePool &pool) { return pool.acceptsCalls(engine, now); })) {
        abandonPlacement(engine->id);
        requestPlacement(m_facts.route->targetLatency);
        return;
    }
    beginResponse(engine, now);
    m_wasSent = false;
    EngineRequestOptions options = makeRequestOptions(engine);
    options.kvSource = m_kvHandle.source();
    options.lastEventId = m_events.lastId();
    m_exchange = HttpExchange::start(m_loop.events(), m_loop.engines(), makeEngineRequest(engine, options), decodeCallbacks(engine));
}

void StreamCall::beginResponse(const EngineEntry &engine, absl::Time now)
{
    m_stageStart = now;
    m_lastDecodeEngine = engine->id;
    m_responseHead = {};
    m_responseBody.clear();
    m_isStream = false;
    m_answerBegin.reset();
    m_events.beginResponse();
}

HttpExchange::Callbacks StreamCall::decodeCallbacks(const EngineEntry &engine)
{
    const std::shared_ptr<StreamCall> self = shared_from_this();
    HttpExchange::Callbacks callbacks;
    callbacks.onSent = [self] {
        self->m_wasSent = true;
        ++self->m_sentAttempts;
        self->m_charge.recordSent();
    };
    callbacks.onHead = [self](const HttpResponseHead &head) {
        self->handleDecodeHead(head);
    };
    callbacks.onBody = [self](const std::string &chunk) {
        self->handleDecodeBody(chunk);
    };
    callbacks.onEnded = [self, engine](ExchangeOutcome outcome) {
        if (outcome == ExchangeOutcome::Incomplete) {
            self->m_promptGuard.recordBroken(engine, self->m_loop.events().now());
        }
        self->handleDecodeOutcome(outcome);
    };
    return callbacks;
}

void StreamCall::handleDecodeHead(const HttpResponseHead &head)
{
    const EngineResponseInfo info = readEngineResponse(head);
    const bool isGood = head.status == statusOk && info.isSigned && !info.isEncoded && !info.requestId.empty();
    m_isStream = isGood && absl::StartsWithIgnoreCase(abslView(headerValue(head.headers, "Content-Type")), "text/event-stream");
    if (m_isStream) {
        m_loop.context().pools.withPool(m_facts.service,
                                        [&](ServicePool &pool) { pool.recordAccepted(m_placement->decode->id, m_loop.events().now()); });
        m_kvHandle.markFetched();
    }
    // A resumed stream keeps the response head of its first engine.
    if (!m_streamStarted) {
        m_responseHead = head;
    }
    m_lastEventTime = m_loop.events().now();
    if (m_isStream) {
        armStallTimer();
    } else if (m_streamStarted) {
        cutOffEngine(); // It does not resume the stream, so its body is of no use.
    }
}

void StreamCall::handleDecodeBody(const std::string &chunk)
{
    if (!m_isStream) {
        if (!m_responseBody.append(chunk)) {
            cutOffEngine();
        }
        return;
    }
    const std::string events = m_events.feed(chunk);
    if (!m_events.isContinuous()) {
        cutOffEngine();
        return;
    }
    if (!events.empty()) {
        forwardEvents(events);
    }
    if (m_events.pendingBytes() > maxEventBytes && !m_finished) {
        cutOffEngine();
    }
}

void StreamCall::cutOffEngine()
{
    m_exchange->cancel();
    handleDecodeOutcome(ExchangeOutcome::Incomplete);
}

void StreamCall::forwardEvents(const std::string &events)
{
    cancelTakeover(); // The engine goes on.
    const absl::Time now = m_loop.events().now();
    if (!m_answerBegin) {
        m_answerBegin = now;
    }
    m_promptGuard.recordEvents(*m_answerBegin, now);
    if (m_streamStarted) {
        m_longestEventGap = std::max(m_longestEventGap, now - m_lastEventTime);
        m_lastEventTime = now;
        m_caller->sendChunk(events);
    } else {
        m_streamStarted = true;
        m_firstEventTime = now;
        m_lastEventTime = now;
        m_loop.context().metrics.observeFirstAnswer("stream", absl::ToDoubleSeconds(now - m_facts.arrival));
        m_caller->beginStream(callerResponse(m_responseHead), events);
    }
    m_reservation.recordEvents(m_events.count(), m_stageStart, now);
    if (m_caller->unsentBytes() > maxUnsentBytes) {
        m_exchange->setReading(false);
        m_caller->setDrainedHandler([self = shared_from_this()] {
            self->m_lastEventTime = self->m_loop.events().now();
            self->m_exchange->setReading(true);
        });
    }
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

void StreamCall::handleDecodeOutcome(ExchangeOutcome outcome)
{
    if (m_finished) {
        return;
    }
    m_loop.events().cancel(std::exchange(m_stallTimer, 0));
    if (m_isStream) {
        // A response without any event may come from an engine that does not know the stream: its end proves nothing.
        const bool isContinued = !m_events.awaitsContinuation();
        handleStreamOutcome(isContinued ? outcome : ExchangeOutcome::Incomplete);
    } else if (m_streamStarted) {
        // The engine that should have resumed the stream did not answer with a stream.
        m_reservation.recordResult(m_placement->decode->id,
                                   outcome == ExchangeOutcome::NotSent ? EngineResult::Unreachable : EngineResult::Refused,
                                   m_loop.events().now());
        resumeOnOtherEngine();
    } else {
        handleNonStreamOutcome(outcome);
    }
}

void StreamCall::handleStreamOutcome(ExchangeOutcome outcome)
{
    const EngineId engine = m_placement->decode->id;
    if (outcome == ExchangeOutcome::Complete && !m_events.isInsideEvent()) {
        m_promptGuard.recordComplete(m_loop.events().now());
        m_reservation.recordResult(engine, EngineResult::Succeeded, m_loop.events().now());
        m_reservation.recordAnswerCompleted(m_events.count());
        m_reservation.releaseAll(m_loop.events().now());
        if (!m_streamStarted) {
            // A stream that completes without any event is sent as a complete response with an empty body.
            const HttpResponseHead head = callerResponse(m_responseHead);
            finish("answered", head.status);
            m_caller->respond(head, {});
            return;
        }
        finish("answered", statusOk);
        m_caller->endStream();
        return;
    }
    m_reservation.recordResult(engine, EngineResult::Failed, m_loop.events().now());
    resumeOnOtherEngine();
}

bool StreamCall::canResumeOnOtherEngine()
{
    const absl::Time now = m_loop.events().now();
    return m_facts.route->resumable && m_sentAttempts < m_facts.route->maxAttempts && m_facts.deadline() - now > minAttemptTime
        && m_promptGuard.mayRepeat(now) && m_loop.context().allowsRetry(m_facts.service, now);
}

void StreamCall::leaveEngine()
{
    m_events.dropPending();
    m_isStream = false;
    abandonPlacement(m_placement->decode->id);
    m_loop.context().log.add(
        LogLevel::Info, "call.resume", m_facts.call->requestId,
        {{"workspace", m_facts.workspaceName().text()}, {"after", m_events.lastId()}, {"from", m_excludedEngines.back().text()}});
}

void StreamCall::resumeOnOtherEngine()
{
    if (m_takeover) {
        m_takeover->adopt();
        switchToTakeover();
        return;
    }
    if (!canResumeOnOtherEngine() || !trySpendRetry()) {
        if (m_streamStarted) {
            abortStream("the engine broke off");
        } else {
            refuse(ErrorKind::AnswerIncomplete, std::nullopt);
        }
        return;
    }
    leaveEngine();
    requestPlacement(maxResumptionWait);
}

bool StreamCall::mayMoveWithHandle()
{
    const absl::Time now = m_loop.events().now();
    std::vector<EngineId> excluded = m_excludedEngines;
    excluded.push_back(m_placement->decode->id);
    // An engine that declines a call has not fetched the KV cache: it is full, or cannot fetch it. If a second one declines, the latter
    // is assumed.
    const bool mayMove = !m_isHandleDeclined && m_kvHandle.isFresh(now) && m_loop.context().allowsRetry(m_facts.service, now)
        && m_loop.context().pools.withPool(m_facts.service,
                                           [&](const ServicePool &pool) { return pool.hasDecodeAlternative(excluded, now); });
    m_isHandleDeclined = true;
    if (mayMove) {
        m_loop.context().metrics.countHandle("moved");
    }
    return mayMove;
}

void StreamCall::handleNonStreamOutcome(ExchangeOutcome outcome)
{
    const EngineId engine = m_placement->decode->id;
    const EngineResponseInfo info = readEngineResponse(m_responseHead);
    const AttemptOutcome result = classifyOutcome(m_responseHead, outcome);
    const bool isDeclined = std::holds_alternative<Declined>(result);
    m_loop.context().metrics.countAttempt("decode",
                                          outcome == ExchangeOutcome::NotSent ? "unreachable"
                                              : isDeclined                    ? "declined"
                                                                              : "answered");
    if (isDeclined && m_wasSent) {
        m_charge.recordNotRun();
    }
    if (outcome == ExchangeOutcome::NotSent || isDeclined) {
        m_loop.context().log.add(LogLevel::Info, "call.decodefailed", m_facts.call->requestId,
                                 {{"workspace", m_facts.workspaceName().text()},
                                  {"engine", engine.text()},
                                  {"why", std::string(isDeclined ? "declined" : "no connection could be established")},
                                  {"status", std::int64_t{m_responseHead.status}},
                                  {"hasHandle", m_kvHandle.hasHandle()},
                                  {"sincePlacedMs", absl::ToDoubleMilliseconds(m_loop.events().now() - m_placedAt)},
                                  {"memoryPart", m_basis.memoryFraction},
                                  {"runsThere", m_basis.runCount}});
        const bool mayRetry = m_sentAttempts < m_facts.route->maxAttempts && m_facts.deadline() - m_loop.events().now() > minAttemptTime;
        if (isDeclined && m_kvHandle.hasHandle() && !info.retryAfter && !(mayRetry && mayMoveWithHandle())) {
            // The KV cache cannot be fetched: the engine can still compute the prefill itself.
            if (m_kvHandle.isFresh(m_loop.events().now())) {
                m_reservation.recordResult(m_kvHandle.engine()->id, EngineResult::Failed, m_loop.events().now());
            }
            m_kvHandle.release("declined");
            // An engine that declines one call after the other is full, so it would decline this one again.
            const absl::Time now = m_loop.events().now();
            const bool isFull = m_loop.context().pools.withPool(m_facts.service, [&](const ServicePool &pool) {
                return pool.isRefusing(engine) || !pool.acceptsCalls(m_placement->decode, now);
            });
            if (!isFull && trySpendRetry()) {
                startLocalPrefill();
                return;
            }
        }
        m_reservation.recordResult(engine, isDeclined ? EngineResult::Refused : EngineResult::Unreachable, m_loop.events().now());
        abandonPlacement(engine);
        if (mayRetry && (!isDeclined || trySpendRetry())) {
            m_wasSent = false;
            requestPlacement(m_facts.route->targetLatency);
            return;
        }
        refuse(ErrorKind::NoCapacity, shortRetryAfter);
        return;
    }
    m_reservation.releaseAll(m_loop.events().now());
    const bool mayRelay = std::holds_alternative<Answered>(result) && m_responseHead.status != statusOk;
    m_reservation.recordResult(engine, mayRelay && m_responseHead.status < 500 ? EngineResult::Succeeded : EngineResult::Failed,
                               m_loop.events().now());
    if (m_facts.route->repeatability == Repeatability::Idempotent && (!mayRelay || m_responseHead.status >= 500)
        && canResumeOnOtherEngine()) {
        resumeOnOtherEngine();
        return;
    }
    m_kvHandle.release("unused");
    if (!mayRelay || impliesNotExecuted(m_responseHead.status)) {
        refuse(ErrorKind::AnswerIncomplete, std::nullopt);
        return;
    }
    const HttpResponseHead head = callerResponse(m_responseHead);
    const std::string body = m_responseBody.take();
    finish("answered", head.status);
    m_caller->respond(head, body);
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
                     {"quarantined", m_promptGuard.refusedPart().text()},
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
