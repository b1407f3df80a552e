#include "apricotladderd/entry/calls/wholecall.h"

#include "apricotladderd/entry/calls/errorresponse.h"
#include "apricotladderd/entry/engines/enginenotices.h"
#include "apricotladderd/entry/engines/enginerequest.h"
#include "platform/callheaders.h"
#include "state/overloaded.h"

#include <algorithm>
#include <utility>

namespace Apricot {

namespace {

/// Maximum idle time of a connection that is reused. The engine may close a connection that was idle for longer while a
/// request is in flight; the outcome of a request that must not run twice would then be unknown.
constexpr absl::Duration maxIdleAtMostOnce = absl::Milliseconds(300);
constexpr absl::Duration maxIdleIdempotent = absl::Seconds(3);

constexpr absl::Duration connectionKeepAlive = absl::Seconds(4);

/// Minimum time left before the deadline for another attempt.
constexpr absl::Duration minAttemptTime = absl::Milliseconds(20);

constexpr int minServerErrorStatus = 500;

/// Time after which an idempotent call without an answer is sent to another engine as well, as a multiple of the route's target
/// latency, and its lower bound.
constexpr double overdueTimeoutInTargets = 1.5;
constexpr absl::Duration minOverdueTimeout = absl::Milliseconds(80);

/// Retry-After of a refused call that another node, or this node a moment later, may be able to serve.
constexpr absl::Duration shortRetryAfter = absl::Milliseconds(30);

/// Maximum time from a call's arrival until it stops waiting for an endpoint with room, as a fraction of the route's target latency, and
/// maximum duration of one wait.
constexpr double maxWaitInTargets = 0.5;
constexpr absl::Duration maxWaitForEndpoint = absl::Milliseconds(250);

/// Minimum time left before the deadline when a wait ends.
constexpr absl::Duration minTimeAfterWait = absl::Milliseconds(100);

/// Interval at which a waiting call looks for room that no answer or load report has announced: endpoints also answer the calls of nodes
/// whose report is still on its way.
constexpr absl::Duration endpointCheckInterval = absl::Milliseconds(20);

/// Longest Retry-After of a call that was refused because all endpoints are full.
constexpr absl::Duration maxFullRetryAfter = absl::Seconds(3);

EngineResult engineResult(const AttemptOutcome &outcome)
{
    return std::visit(
        Overloaded{
            [](const NotSent &) { return EngineResult::Unreachable; },
            [](const Declined &) { return EngineResult::Refused; },
            [](const Answered &it) { return it.status >= minServerErrorStatus ? EngineResult::Failed : EngineResult::Succeeded; },
            [](const NoUsableAnswer &) { return EngineResult::Failed; },
            [](const DeadlineExceeded &) { return EngineResult::Failed; },
        },
        outcome);
}

}

WholeCall::WholeCall(EntryLoop &loop, HttpServerConnection::Ptr caller, CallFacts facts, AllowanceCharge charge, HttpRequestHead head,
                     std::string body)
    : m_loop(loop)
    , m_caller(std::move(caller))
    , m_facts(std::move(facts))
    , m_charge(std::move(charge))
    , m_head(std::move(head))
    , m_body(std::move(body))
{
}

void WholeCall::start()
{
    const absl::Duration timeLeft = m_facts.deadline() - m_loop.events().now();
    const std::shared_ptr<WholeCall> self = shared_from_this();
    m_caller->setPeerClosedHandler([self] { self->handleCallerDisconnected(); });
    m_caller->setInterruptHandler([self] { self->handleNodeEnding(); });
    m_deadlineTimer = m_loop.events().after(timeLeft, [self] { self->handleDeadline(); });
    startAttempt();
}

PlainDemand WholeCall::makeDemand()
{
    return PlainDemand{m_loop.context().settings->dataCentre, m_excludedEngines, m_facts.rank, m_loop.random()};
}

void WholeCall::startAttempt()
{
    const absl::Time now = m_loop.events().now();
    const PlainDemand demand = makeDemand();
    const PlainDecision decision
        = m_loop.context().pools.withPool(m_facts.service, [&](ServicePool &pool) { return pool.placeNewPlainCall(demand, now); });
    std::visit(Overloaded{
                   [&](const PlainPlacement &it) { handlePlacement(it); },
                   [&](const EndpointsFull &it) { waitForEndpoint(it.expectedWait); },
                   [&](const NoEndpoint &) { handleNoEndpoint(); },
               },
               decision);
}

void WholeCall::handleNoEndpoint()
{
    if (returnToOverdueAttempt()) {
        return;
    }
    const ErrorKind kind = retryAfterBackOff(m_loop, m_facts.service) ? ErrorKind::NoCapacity : ErrorKind::EngineUnreachable;
    refuse(m_mayHaveRun ? ErrorKind::AnswerIncomplete : kind);
}

absl::Duration WholeCall::maxEndpointWait(absl::Time now) const
{
    const absl::Time latest
        = std::min(m_facts.arrival + m_facts.route->targetLatency * maxWaitInTargets, m_facts.deadline() - minTimeAfterWait);
    return std::min(latest - now, maxWaitForEndpoint);
}

void WholeCall::waitForEndpoint(absl::Duration expectedWait)
{
    if (returnToOverdueAttempt()) {
        return;
    }
    m_attempt.reset();
    EntryContext &context = m_loop.context();
    const absl::Time now = m_loop.events().now();
    const absl::Duration maxWait = maxEndpointWait(now);
    if (expectedWait > maxWait) {
        refuseAsFull(expectedWait, "refused at once");
        return;
    }
    const std::shared_ptr<WholeCall> self = shared_from_this();
    m_waiter = m_loop.addWaiter([self](const ModelPlacement &it) {
        self->m_loop.context().metrics.countEndpointWait("sent");
        self->m_waiter = 0;
        self->stopWaiting();
        self->handlePlacement(PlainPlacement{it.decode, it.requestsAhead});
    });
    const PlainDemand demand = makeDemand();
    const bool isAdded = context.pools.withPool(m_facts.service, [&](ServicePool &pool) { return pool.addPlainWaiter(m_waiter, demand); });
    if (!isAdded) {
        refuseAsFull(expectedWait, "refused at once");
        return;
    }
    m_waitTimer = m_loop.events().after(maxWait, [self, expectedWait] {
        self->m_waitTimer = 0;
        self->refuseAsFull(expectedWait, "refused after a wait");
    });
    checkEndpointsLater();
    // Room may have appeared since the decision, or be left by the calls that wait already.
    context.pools.grantCapacity(m_facts.service, now);
}

void WholeCall::checkEndpointsLater()
{
    m_checkTimer = m_loop.events().after(endpointCheckInterval, [self = shared_from_this()] {
        self->checkEndpointsLater();
        self->m_loop.context().pools.grantCapacity(self->m_facts.service, self->m_loop.events().now());
    });
}

void WholeCall::stopWaiting()
{
    m_loop.events().cancel(std::exchange(m_waitTimer, 0));
    m_loop.events().cancel(std::exchange(m_checkTimer, 0));
    const WaiterId waiter = std::exchange(m_waiter, 0);
    if (waiter != 0) {
        m_loop.removeWaiter(waiter);
        m_loop.context().pools.withPool(m_facts.service, [&](ServicePool &pool) { pool.removePlainWaiter(waiter); });
    }
}

void WholeCall::refuseAsFull(absl::Duration expectedWait, const char *reason)
{
    m_loop.context().metrics.countEndpointWait(reason);
    // The random part prevents calls that were refused in one burst from returning at the same moment.
    m_fullRetryAfter = std::clamp(expectedWait * (1 + m_loop.random()), shortRetryAfter, maxFullRetryAfter);
    refuse(m_mayHaveRun ? ErrorKind::AnswerIncomplete : ErrorKind::NoCapacity);
}

void WholeCall::handlePlacement(const PlainPlacement &placement)
{
    EntryContext &context = m_loop.context();
    const absl::Time now = m_loop.events().now();
    if (std::exchange(m_isRetry, false) && !context.trySpendRetry(m_facts.service, now)) {
        // Other calls have used the retry limit up since it was checked.
        context.pools.release(m_facts.service, EngineReservation{placement.engine->id, 1, 0, std::nullopt}, now);
        if (!returnToOverdueAttempt()) {
            refuse(m_mayHaveRun ? ErrorKind::AnswerIncomplete : ErrorKind::NoCapacity);
        }
        return;
    }
    send(placement);
}

void WholeCall::send(const PlainPlacement &placement)
{
    const EngineEntry &engine = placement.engine;
    const absl::Time now = m_loop.events().now();
    const auto attempt = std::make_shared<Attempt>(placement, now, m_loop.context().bufferedAnswerBytes);
    m_attempt = attempt;
    const EngineRequestOptions options = makeEngineOptions(engine, m_facts, now);
    const bool isIdempotent = m_facts.route->repeatability == Repeatability::Idempotent;
    ExchangeRequest request = makeEngineExchange(engine, m_head, m_body, options, m_facts.call->requestId);
    observeEngineNotices(m_loop, engine, m_facts.call->requestId, request);
    request.responseHasNoBody = m_head.method == "HEAD";
    if (!m_facts.call->requestId.isEmpty()) {
        // Without an id, its response could not be told from a late one to an earlier request.
        request.maxIdleTime = isIdempotent ? maxIdleIdempotent : maxIdleAtMostOnce;
    }
    request.keepAliveTime = connectionKeepAlive;
    attempt->exchange = HttpExchange::start(m_loop.events(), m_loop.engines(), std::move(request), exchangeCallbacks(attempt));
    if (isIdempotent && !m_finished) {
        const absl::Duration overdueTimeout = std::max(m_facts.route->targetLatency * overdueTimeoutInTargets, minOverdueTimeout);
        m_overdueTimer = m_loop.events().after(overdueTimeout, [self = shared_from_this()] { self->handleOverdue(); });
    }
}

HttpExchange::Callbacks WholeCall::exchangeCallbacks(const AttemptPtr &attempt)
{
    const std::shared_ptr<WholeCall> self = shared_from_this();
    HttpExchange::Callbacks callbacks;
    callbacks.onSent = [self, attempt] {
        attempt->wasSent = true;
        ++self->m_sentAttempts;
        self->m_charge.recordSent();
    };
    callbacks.onHead = [attempt](const HttpResponseHead &head) {
        attempt->head = head;
    };
    callbacks.onBody = [self, attempt](const std::string &chunk) {
        self->handleBody(attempt, chunk);
    };
    callbacks.onEnded = [self, attempt](ExchangeOutcome outcome) {
        self->handleExchangeOutcome(attempt, outcome);
    };
    return callbacks;
}

void WholeCall::handleBody(const AttemptPtr &attempt, const std::string &chunk)
{
    if (!attempt->body.append(chunk)) {
        attempt->exchange->cancel();
        handleExchangeOutcome(attempt, ExchangeOutcome::Incomplete);
    }
}

void WholeCall::handleExchangeOutcome(const AttemptPtr &attempt, ExchangeOutcome outcome)
{
    if (m_finished) {
        return;
    }
    const AttemptOutcome result = classifyOutcome(attempt->head, outcome);
    releaseEngine(*attempt, engineResult(result));
    if (attempt->wasSent && std::holds_alternative<Declined>(result)) {
        m_charge.recordNotRun();
    }
    if (attempt == m_overdueAttempt) {
        m_overdueAttempt.reset();
        handleOverdueOutcome(attempt, result);
    } else {
        handleAttemptOutcome(result);
    }
}

void WholeCall::handleAttemptOutcome(const AttemptOutcome &outcome)
{
    m_loop.events().cancel(std::exchange(m_overdueTimer, 0));
    const NextStep step = decideNextStep(makeAttemptFacts(m_loop.events().now()), outcome);
    m_mayHaveRun = m_mayHaveRun || std::holds_alternative<NoUsableAnswer>(outcome) || std::holds_alternative<Answered>(outcome);
    if (std::holds_alternative<AnswerWithError>(step) && returnToOverdueAttempt()) {
        return;
    }
    execute(step);
}

void WholeCall::handleOverdueOutcome(const AttemptPtr &attempt, const AttemptOutcome &outcome)
{
    const auto *answered = std::get_if<Answered>(&outcome);
    if (answered == nullptr || answered->status >= minServerErrorStatus || impliesNotExecuted(answered->status)) {
        return; // The latest attempt may have a better answer.
    }
    cancel(m_attempt, std::nullopt);
    m_attempt = attempt;
    relayResponse();
}

bool WholeCall::returnToOverdueAttempt()
{
    if (!m_overdueAttempt) {
        return false;
    }
    m_attempt = std::exchange(m_overdueAttempt, nullptr);
    return true;
}

AttemptFacts WholeCall::makeAttemptFacts(absl::Time now)
{
    EntryContext &context = m_loop.context();
    m_excludedEngines.push_back(m_attempt->engine->id);
    AttemptFacts facts;
    facts.repeatability = m_facts.route->repeatability;
    facts.sentAttempts = m_sentAttempts;
    facts.maxAttempts = m_facts.route->maxAttempts;
    facts.hasAlternative
        = context.pools.withPool(m_facts.service, [&](ServicePool &pool) { return pool.hasAlternative(m_excludedEngines, now); });
    facts.retryLimitAllows = context.allowsRetry(m_facts.service, now);
    facts.timeAllows = m_facts.deadline() - now > minAttemptTime;
    facts.mayHaveRun = m_mayHaveRun;
    return facts;
}

void WholeCall::execute(const NextStep &step)
{
    EntryContext &context = m_loop.context();
    std::visit(Overloaded{
                   [&](const RelayAnswer &) { relayResponse(); },
                   [&](const TryNextEngine &next) {
                       m_isRetry = next.isRetry;
                       context.log.add(LogLevel::Info, "call.repeat", m_facts.call->requestId,
                                       {{"workspace", m_facts.workspaceName().text()},
                                        {"engine", m_attempt->engine->id.text()},
                                        {"counts", next.isRetry},
                                        {"arrivals", m_sentAttempts}});
                       startAttempt();
                   },
                   [&](const AnswerWithError &error) { refuse(error.kind); },
               },
               step);
}

void WholeCall::handleOverdue()
{
    m_overdueTimer = 0;
    if (m_overdueAttempt) {
        return;
    }
    const absl::Time now = m_loop.events().now();
    const NextStep step = decideNextStep(makeAttemptFacts(now), NoUsableAnswer{});
    if (!std::holds_alternative<TryNextEngine>(step)) {
        m_excludedEngines.pop_back();
        return; // A retry is not possible or not allowed, and the answer may still arrive.
    }
    m_loop.context().pools.withPool(m_facts.service,
                                    [&](ServicePool &pool) { pool.recordResult(m_attempt->engine->id, EngineResult::Failed, now); });
    m_mayHaveRun = true;
    m_overdueAttempt = m_attempt;
    execute(step);
}

void WholeCall::handleDeadline()
{
    m_deadlineTimer = 0;
    if (!m_attempt) {
        refuse(m_mayHaveRun ? ErrorKind::OutcomeUnknown : ErrorKind::NoCapacity);
        return;
    }
    const bool wasSent = m_attempt->wasSent || m_overdueAttempt;
    cancel(std::exchange(m_overdueAttempt, nullptr), EngineResult::Failed);
    cancel(m_attempt, EngineResult::Failed);
    handleAttemptOutcome(DeadlineExceeded{wasSent});
}

void WholeCall::handleNodeEnding()
{
    const bool mayHaveRun = m_mayHaveRun || (m_attempt && m_attempt->wasSent) || m_overdueAttempt;
    cancel(std::exchange(m_overdueAttempt, nullptr), std::nullopt);
    cancel(m_attempt, std::nullopt);
    refuse(mayHaveRun ? ErrorKind::OutcomeUnknown : ErrorKind::Draining);
}

void WholeCall::cancel(const AttemptPtr &attempt, std::optional<EngineResult> result)
{
    if (attempt) {
        attempt->exchange->cancel();
        releaseEngine(*attempt, result);
    }
}

void WholeCall::recordEngineResult(ServicePool &pool, const Attempt &attempt, EngineResult result, absl::Time now)
{
    switch (result) {
    case EngineResult::Succeeded:
        pool.recordPlainAnswer(attempt.placement, now - attempt.startedAt, now);
        break;
    case EngineResult::Failed:
        pool.recordFailedAttempt(attempt.engine->id, now - attempt.startedAt, now);
        break;
    case EngineResult::Unreachable:
        pool.recordResult(attempt.engine->id, result, now);
        break;
    case EngineResult::Refused:
        pool.recordPlainRefusal(attempt.placement, now);
        break;
    }
}

void WholeCall::releaseEngine(const Attempt &attempt, std::optional<EngineResult> result)
{
    EntryContext &context = m_loop.context();
    const absl::Time now = m_loop.events().now();
    const bool areCallsWaiting = context.pools.withPool(m_facts.service, [&](ServicePool &pool) {
        pool.release(EngineReservation{attempt.engine->id, 1, 0, std::nullopt});
        if (result) {
            recordEngineResult(pool, attempt, *result, now);
        }
        return pool.plainWaiterCount() > 0;
    });
    if (result == EngineResult::Refused) {
        context.metrics.countAttempt("plain", "refused");
    }
    if (areCallsWaiting) {
        context.pools.grantCapacity(m_facts.service, now);
    }
}

void WholeCall::relayResponse()
{
    cancel(std::exchange(m_overdueAttempt, nullptr), std::nullopt);
    const HttpResponseHead head = callerResponse(m_attempt->head);
    const std::string body = m_attempt->body.take();
    finish("answered", head.status);
    m_caller->respond(head, body);
}

void WholeCall::refuse(ErrorKind kind)
{
    const bool isNotRun = errorDescriptor(kind).outcome == Outcome::NotRun;
    const std::optional<absl::Duration> backOff = isNotRun ? retryAfterBackOff(m_loop, m_facts.service) : std::nullopt;
    m_isRefusedForBackOff = backOff.has_value();
    finish(errorDescriptor(kind).name.data(), errorDescriptor(kind).httpStatus);
    respondWithError(*m_caller, kind, isNotRun ? std::optional(backOff.value_or(m_fullRetryAfter.value_or(shortRetryAfter))) : std::nullopt,
                     errorDescriptor(kind).text);
}

void WholeCall::handleCallerDisconnected()
{
    if (m_finished) {
        return;
    }
    // A caller that disconnects is no evidence about the engines.
    cancel(std::exchange(m_overdueAttempt, nullptr), std::nullopt);
    cancel(m_attempt, std::nullopt);
    finish("caller left", 0);
}

void WholeCall::finish(const char *outcome, int status)
{
    m_finished = true;
    m_charge.settle();
    stopWaiting();
    m_loop.events().cancel(std::exchange(m_deadlineTimer, 0));
    m_loop.events().cancel(std::exchange(m_overdueTimer, 0));
    EntryContext &context = m_loop.context();
    const absl::Duration took = m_loop.events().now() - m_facts.arrival;
    const bool isFailure = status == 0 || status >= 500;
    context.metrics.countCall("plain", outcome);
    context.metrics.observeFirstAnswer("plain", absl::ToDoubleSeconds(took));
    context.log.add(isFailure ? LogLevel::Warning : LogLevel::Info, "call.end", m_facts.call->requestId,
                    {{"route", m_facts.route->name},
                     {"workspace", m_facts.workspaceName().text()},
                     {"version", static_cast<std::int64_t>(m_facts.desiredVersion)},
                     {"engine", m_attempt ? m_attempt->engine->id.text() : std::string()},
                     {"outcome", std::string(outcome)},
                     {"status", std::int64_t{status}},
                     {"arrivals", m_sentAttempts},
                     {"allBackOff", m_isRefusedForBackOff},
                     {"ms", absl::ToDoubleMilliseconds(took)}});
}

}
