#include "apricotladderd/entry/calls/streamcall.h"

#include "apricotladderd/entry/engines/enginerequest.h"
#include "state/abslview.h"

#include <absl/strings/match.h>

#include <algorithm>
#include <utility>

namespace Apricot {

namespace {

/// Maximum wait of an interrupted stream for capacity on another engine: callers disconnect after two seconds without data.
constexpr absl::Duration maxResumptionWait = absl::Milliseconds(900);

/// Longest event of a stream: an engine in trouble may send bytes without end that complete no event.
constexpr std::size_t maxEventBytes = 1U << 20;

/// Longest event while the answers of all calls exceed AnswerBuffer::maxTotalBytes, bytes.
constexpr std::size_t maxEventBytesUnderPressure = 16U << 10;

/// Bytes not yet sent to the caller above which reading from the engine pauses.
constexpr std::size_t maxUnsentBytes = 256 * 1024;

/// Minimum time left before the deadline for another attempt.
constexpr absl::Duration minAttemptTime = absl::Milliseconds(300);

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
    if (m_finished) {
        return;
    }
    const std::size_t totalBytes = m_eventBytes.set(m_events.pendingBytes());
    const std::size_t limit = totalBytes > AnswerBuffer::maxTotalBytes ? maxEventBytesUnderPressure : maxEventBytes;
    if (m_events.pendingBytes() > limit) {
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
    m_eventBytes.set(0);
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

}
