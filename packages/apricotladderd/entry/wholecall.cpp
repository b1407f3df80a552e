#include "apricotladderd/entry/wholecall.h"

#include "apricotladderd/entry/enginenotices.h"
#include "apricotladderd/entry/enginerequest.h"
#include "apricotladderd/entry/errorresponse.h"
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

/// Time after which an idempotent call without an answer is sent to another engine, as a multiple of the route's target
/// latency, and its lower bound.
constexpr double overdueTimeoutInTargets = 1.5;
constexpr absl::Duration minOverdueTimeout = absl::Milliseconds(80);

/// Retry-After of a refused call that another node, or this node a moment later, may be able to serve.
constexpr absl::Duration shortRetryAfter = absl::Milliseconds(30);

}

WholeCall::WholeCall(EntryLoop &loop, HttpServerConnection::Ptr caller, CallFacts facts, HttpRequestHead head, std::string body)
    : m_loop(loop)
    , m_caller(std::move(caller))
    , m_facts(std::move(facts))
    , m_head(std::move(head))
    , m_body(std::move(body))
    , m_responseBody(m_loop.context().bufferedAnswerBytes)
{
}

void WholeCall::start()
{
    const absl::Duration timeLeft = m_facts.deadline() - m_loop.events().now();
    const std::shared_ptr<WholeCall> self = shared_from_this();
    m_caller->setPeerClosedHandler([self] { self->handleCallerDisconnected(); });
    m_deadlineTimer = m_loop.events().after(timeLeft, [self] { self->handleDeadline(); });
    startAttempt();
}

void WholeCall::startAttempt()
{
    EntryContext &context = m_loop.context();
    const absl::Time now = m_loop.events().now();
    const std::optional<EngineEntry> engine = context.pools.withPool(
        m_facts.service, [&](ServicePool &pool) { return pool.placePlain(context.settings->dataCentre, m_excludedEngines, now); });
    if (!engine) {
        const ErrorKind kind = retryAfterBackOff(m_loop, m_facts.service) ? ErrorKind::NoCapacity : ErrorKind::EngineUnreachable;
        refuse(m_mayHaveRun ? ErrorKind::AnswerIncomplete : kind);
        return;
    }
    send(*engine);
}

void WholeCall::send(const EngineEntry &engine)
{
    const absl::Time now = m_loop.events().now();
    m_engine = engine;
    m_wasSent = false;
    m_sentAt = now;
    m_responseHead = {};
    m_responseBody.clear();
    EngineRequestOptions options;
    options.engine = engine->id;
    options.timeLeft = m_facts.deadline() - now;
    const bool isIdempotent = m_facts.route->repeatability == Repeatability::Idempotent;
    ExchangeRequest request = makeEngineExchange(engine, m_head, m_body, options, m_facts.call->requestId);
    observeEngineNotices(m_loop, engine, m_facts.call->requestId, request);
    request.responseHasNoBody = m_head.method == "HEAD";
    request.maxIdleTime = isIdempotent ? maxIdleIdempotent : maxIdleAtMostOnce;
    request.keepAliveTime = connectionKeepAlive;
    const std::shared_ptr<WholeCall> self = shared_from_this();
    HttpExchange::Callbacks callbacks;
    callbacks.onSent = [self] {
        self->m_wasSent = true;
        ++self->m_sentAttempts;
    };
    callbacks.onHead = [self](const HttpResponseHead &head) {
        self->m_responseHead = head;
    };
    callbacks.onBody = [self](const std::string &chunk) {
        self->handleBody(chunk);
    };
    callbacks.onEnded = [self](ExchangeOutcome outcome) {
        self->handleExchangeOutcome(outcome);
    };
    m_exchange = HttpExchange::start(m_loop.events(), m_loop.engines(), std::move(request), std::move(callbacks));
    if (isIdempotent && !m_finished) {
        const absl::Duration overdueTimeout = std::max(m_facts.route->targetLatency * overdueTimeoutInTargets, minOverdueTimeout);
        m_overdueTimer = m_loop.events().after(overdueTimeout, [self] { self->handleOverdue(); });
    }
}

AttemptOutcome WholeCall::classifyOutcome(ExchangeOutcome outcome) const
{
    if (outcome == ExchangeOutcome::NotSent) {
        return NotSent{};
    }
    if (outcome == ExchangeOutcome::Incomplete) {
        return NoUsableAnswer{};
    }
    const EngineResponseInfo info = readEngineResponse(m_responseHead);
    if (provesNotRun(m_responseHead.status, info)) {
        return Declined{};
    }
    const bool isSuccess = m_responseHead.status >= 200 && m_responseHead.status < 300;
    if (info.isEncoded || (isSuccess && (!info.isSigned || info.requestId.empty()))) {
        return NoUsableAnswer{};
    }
    return Answered{m_responseHead.status};
}

void WholeCall::handleBody(const std::string &chunk)
{
    if (!m_responseBody.append(chunk)) {
        m_exchange->cancel();
        handleExchangeOutcome(ExchangeOutcome::Incomplete);
    }
}

void WholeCall::handleExchangeOutcome(ExchangeOutcome outcome)
{
    if (!m_finished) {
        handleAttemptOutcome(classifyOutcome(outcome));
    }
}

void WholeCall::handleAttemptOutcome(const AttemptOutcome &outcome)
{
    m_loop.events().cancel(std::exchange(m_overdueTimer, 0));
    const absl::Time now = m_loop.events().now();
    const EngineResult result
        = std::visit(Overloaded{
                         [](const NotSent &) { return EngineResult::Unreachable; },
                         [](const Declined &) { return EngineResult::Refused; },
                         [](const Answered &it) { return it.status >= 500 ? EngineResult::Failed : EngineResult::Succeeded; },
                         [](const NoUsableAnswer &) { return EngineResult::Failed; },
                         [](const DeadlineExceeded &) { return EngineResult::Failed; },
                     },
                     outcome);
    releaseEngine(result);
    const NextStep step = decideNextStep(makeAttemptFacts(now), outcome);
    m_mayHaveRun = m_mayHaveRun || std::holds_alternative<NoUsableAnswer>(outcome) || std::holds_alternative<Answered>(outcome);
    execute(step);
}

AttemptFacts WholeCall::makeAttemptFacts(absl::Time now)
{
    EntryContext &context = m_loop.context();
    m_excludedEngines.push_back(m_engine->id);
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
                       if (next.isRetry) {
                           context.trySpendRetry(m_facts.service, m_loop.events().now());
                       }
                       context.log.add(LogLevel::Info, "call.repeat", m_facts.call->requestId,
                                       {{"engine", m_engine->id.text()}, {"counts", next.isRetry}, {"arrivals", m_sentAttempts}});
                       startAttempt();
                   },
                   [&](const AnswerWithError &error) { refuse(error.kind); },
               },
               step);
}

void WholeCall::handleOverdue()
{
    m_overdueTimer = 0;
    AttemptFacts facts = makeAttemptFacts(m_loop.events().now());
    if (!std::holds_alternative<TryNextEngine>(decideNextStep(facts, NoUsableAnswer{}))) {
        m_excludedEngines.pop_back();
        return; // A retry is not possible or not allowed, and the answer may still arrive.
    }
    m_excludedEngines.pop_back();
    m_exchange->cancel();
    handleAttemptOutcome(NoUsableAnswer{});
}

void WholeCall::handleDeadline()
{
    m_deadlineTimer = 0;
    m_exchange->cancel();
    handleAttemptOutcome(DeadlineExceeded{m_wasSent});
}

void WholeCall::releaseEngine(std::optional<EngineResult> result)
{
    EntryContext &context = m_loop.context();
    const absl::Time now = m_loop.events().now();
    context.pools.withPool(m_facts.service, [&](ServicePool &pool) {
        pool.release(EngineReservation{m_engine->id, 1, 0, std::nullopt});
        if (!result) {
            return;
        }
        pool.recordResult(m_engine->id, *result, now);
        if (*result == EngineResult::Succeeded || *result == EngineResult::Failed) {
            pool.recordCost(m_engine->id, 1, now - m_sentAt, now);
        }
    });
}

void WholeCall::relayResponse()
{
    const HttpResponseHead head = callerResponse(m_responseHead);
    const std::string body = m_responseBody.take();
    finish("answered", head.status);
    m_caller->respond(head, body);
}

void WholeCall::refuse(ErrorKind kind)
{
    const bool isNotRun = errorDescriptor(kind).outcome == Outcome::NotRun;
    const std::optional<absl::Duration> backOff = isNotRun ? retryAfterBackOff(m_loop, m_facts.service) : std::nullopt;
    m_isRefusedForBackOff = backOff.has_value();
    finish(errorDescriptor(kind).name.data(), errorDescriptor(kind).httpStatus);
    respondWithError(*m_caller, kind, isNotRun ? std::optional(backOff.value_or(shortRetryAfter)) : std::nullopt,
                     errorDescriptor(kind).text);
}

void WholeCall::handleCallerDisconnected()
{
    if (m_finished) {
        return;
    }
    m_exchange->cancel();
    releaseEngine(std::nullopt); // A caller that disconnects is no evidence about the engine.
    finish(m_loop.context().disconnectCause(), 0);
}

void WholeCall::finish(const char *outcome, int status)
{
    m_finished = true;
    m_loop.events().cancel(std::exchange(m_deadlineTimer, 0));
    m_loop.events().cancel(std::exchange(m_overdueTimer, 0));
    EntryContext &context = m_loop.context();
    const absl::Duration took = m_loop.events().now() - m_facts.arrival;
    const bool isFailure = status == 0 || status >= 500;
    context.metrics.countCall("plain", outcome);
    context.metrics.observeFirstAnswer("plain", absl::ToDoubleSeconds(took));
    context.log.add(isFailure ? LogLevel::Warning : LogLevel::Info, "call.end", m_facts.call->requestId,
                    {{"route", m_facts.route->name},
                     {"version", static_cast<std::int64_t>(m_facts.desiredVersion)},
                     {"engine", m_engine->id.text()},
                     {"outcome", std::string(outcome)},
                     {"status", std::int64_t{status}},
                     {"arrivals", m_sentAttempts},
                     {"allBackOff", m_isRefusedForBackOff},
                     {"ms", absl::ToDoubleMilliseconds(took)}});
}

}
