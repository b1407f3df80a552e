#include "apricotladderd/entry/wholecall.h"

#include "apricotladderd/entry/enginerequest.h"
#include "apricotladderd/entry/erroranswer.h"
#include "platform/callheaders.h"
#include "state/overloaded.h"

#include <algorithm>
#include <utility>

namespace Apricot {

namespace {

/// Maximum idle time of a connection that is reused. The engine may close a connection that was idle for longer while a
/// request is in flight; the outcome of a request that must not run twice would then be unknown.
constexpr absl::Duration mostIdleAtMostOnce = absl::Milliseconds(300);
constexpr absl::Duration mostIdleIdempotent = absl::Seconds(3);

constexpr absl::Duration keepConnectionFor = absl::Seconds(4);

/// Minimum time left before the deadline for another attempt.
constexpr absl::Duration leastTimeForTry = absl::Milliseconds(20);

/// Time after which an idempotent call without an answer is sent to another engine, as a multiple of the route's target
/// latency, and its lower bound.
constexpr double overdueTargets = 1.5;
constexpr absl::Duration leastOverdue = absl::Milliseconds(80);

/// Retry-After of a refused call that another node, or this node a moment later, may be able to serve.
constexpr absl::Duration comeBackSoon = absl::Milliseconds(30);

}

WholeCall::WholeCall(EntryLoop &loop, HttpServerConnection::Self caller, CallFacts facts, HttpRequestHead head, std::string body)
    : m_loop(loop)
    , m_caller(std::move(caller))
    , m_facts(std::move(facts))
    , m_head(std::move(head))
    , m_body(std::move(body))
{
}

void WholeCall::start()
{
    const absl::Duration left = m_facts.deadline() - m_loop.events().now();
    const std::shared_ptr<WholeCall> self = shared_from_this();
    m_caller->setGone([self] { self->callerGone(); });
    m_deadlineTimer = m_loop.events().after(left, [self] { self->timeIsUp(); });
    tryEngine();
}

void WholeCall::tryEngine()
{
    EntryContext &context = m_loop.context();
    const absl::Time now = m_loop.events().now();
    const std::optional<EngineEntry> engine = context.pools.withPool(
        m_facts.service, [&](ServicePool &pool) { return pool.placePlain(context.settings->dataCentre, m_avoided, now); });
    if (!engine) {
        refuse(m_mayHaveRun ? ErrorKind::AnswerIncomplete : ErrorKind::EngineUnreachable);
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
    m_answerHead = {};
    m_answerBody.clear();
    EngineRequestOptions terms;
    terms.engine = engine->id;
    terms.timeLeft = m_facts.deadline() - now;
    const bool mayRepeat = m_facts.route->repeatability == Repeatability::Idempotent;
    ExchangeRequest request = exchangeWith(engine, m_head, m_body, terms, m_facts.call->attempt);
    request.answerHasNoBody = m_head.method == "HEAD";
    request.mostIdle = mayRepeat ? mostIdleIdempotent : mostIdleAtMostOnce;
    request.keepFor = keepConnectionFor;
    const std::shared_ptr<WholeCall> self = shared_from_this();
    HttpExchange::Callbacks callbacks;
    callbacks.sent = [self] {
        self->m_wasSent = true;
        ++self->m_arrivals;
    };
    callbacks.head = [self](const HttpResponseHead &head) {
        self->m_answerHead = head;
    };
    callbacks.body = [self](const std::string &part) {
        self->m_answerBody += part;
    };
    callbacks.ended = [self](ExchangeEnd end) {
        self->exchangeEnded(end);
    };
    m_exchange = HttpExchange::start(m_loop.events(), m_loop.engines(), std::move(request), std::move(callbacks));
    if (mayRepeat && !m_over) {
        const absl::Duration limit = std::max(m_facts.route->target * overdueTargets, leastOverdue);
        m_overdueTimer = m_loop.events().after(limit, [self] { self->overdue(); });
    }
}

AttemptEnd WholeCall::readEnd(ExchangeEnd end) const
{
    if (end == ExchangeEnd::NotSent) {
        return NeverSent{};
    }
    if (end == ExchangeEnd::Broken) {
        return Spoilt{};
    }
    const EngineResponseInfo terms = readEngineResponse(m_answerHead);
    if (provesNotRun(m_answerHead.status, terms)) {
        return Declined{};
    }
    const bool isSuccess = m_answerHead.status >= 200 && m_answerHead.status < 300;
    if (terms.isEncoded || (isSuccess && (!terms.isSigned || terms.requestId.empty()))) {
        return Spoilt{};
    }
    return Answered{m_answerHead.status};
}

void WholeCall::exchangeEnded(ExchangeEnd end)
{
    if (!m_over) {
        attemptEnded(readEnd(end));
    }
}

void WholeCall::attemptEnded(const AttemptEnd &end)
{
    m_loop.events().cancel(std::exchange(m_overdueTimer, 0));
    const absl::Time now = m_loop.events().now();
    const EngineResult result
        = std::visit(Overloaded{
                         [](const NeverSent &) { return EngineResult::Unreachable; },
                         [](const Declined &) { return EngineResult::Refused; },
                         [](const Answered &it) { return it.status >= 500 ? EngineResult::Failed : EngineResult::Good; },
                         [](const Spoilt &) { return EngineResult::Failed; },
                         [](const TimeIsUp &) { return EngineResult::Failed; },
                     },
                     end);
    releaseEngine(result);
    const NextStep step = decideNextStep(attemptFacts(now), end);
    m_mayHaveRun = m_mayHaveRun || std::holds_alternative<Spoilt>(end) || std::holds_alternative<Answered>(end);
    take(step);
}

AttemptFacts WholeCall::attemptFacts(absl::Time now)
{
    EntryContext &context = m_loop.context();
    m_avoided.push_back(m_engine->id);
    AttemptFacts facts;
    facts.repeatability = m_facts.route->repeatability;
    facts.arrivals = m_arrivals;
    facts.mostAttempts = m_facts.route->mostAttempts;
    facts.hasAlternative = context.pools.withPool(m_facts.service, [&](ServicePool &pool) { return pool.hasOther(m_avoided); });
    facts.budgetAllows
        = context.withRetryQuota(m_facts.service, [&](RepeatShare &quota) { return quota.allows(context.nodeCount(), now); });
    facts.timeAllows = m_facts.deadline() - now > leastTimeForTry;
    facts.mayHaveRun = m_mayHaveRun;
    return facts;
}

void WholeCall::take(const NextStep &step)
{
    EntryContext &context = m_loop.context();
    std::visit(Overloaded{
                   [&](const RelayAnswer &) { relay(); },
                   [&](const TryAnother &next) {
                       if (next.isRepeat) {
                           context.withRetryQuota(m_facts.service, [&](RepeatShare &quota) {
                               return quota.trySpend(context.nodeCount(), m_loop.events().now());
                           });
                       }
                       context.log.add(LogLevel::Info, "call.repeat", m_facts.call->attempt,
                                       {{"engine", m_engine->id.text()}, {"counts", next.isRepeat}, {"arrivals", m_arrivals}});
                       tryEngine();
                   },
                   [&](const AnswerWithError &error) { refuse(error.kind); },
               },
               step);
}

void WholeCall::overdue()
{
    m_overdueTimer = 0;
    AttemptFacts facts = attemptFacts(m_loop.events().now());
    if (!std::holds_alternative<TryAnother>(decideNextStep(facts, Spoilt{}))) {
        m_avoided.pop_back();
        return; // No other engine can take the call, and the answer may still arrive.
    }
    m_avoided.pop_back();
    m_exchange->cancel();
    attemptEnded(Spoilt{});
}

void WholeCall::timeIsUp()
{
    m_deadlineTimer = 0;
    m_exchange->cancel();
    attemptEnded(TimeIsUp{m_wasSent});
}

void WholeCall::releaseEngine(std::optional<EngineResult> result)
{
    EntryContext &context = m_loop.context();
    const absl::Time now = m_loop.events().now();
    context.pools.withPool(m_facts.service, [&](ServicePool &pool) {
        pool.release(EngineShare{m_engine->id, 1, 0, std::nullopt});
        if (!result) {
            return;
        }
        pool.noteResult(m_engine->id, *result, now);
        if (*result == EngineResult::Good || *result == EngineResult::Failed) {
            pool.noteCost(m_engine->id, 1, now - m_sentAt, now);
        }
    });
}

void WholeCall::relay()
{
    const HttpResponseHead head = callerResponse(m_answerHead);
    const std::string body = std::move(m_answerBody);
    finish("answered", head.status);
    m_caller->answer(head, body);
}

void WholeCall::refuse(ErrorKind kind)
{
    const bool isNotRun = errorAnswer(kind).outcome == Outcome::NotRun;
    finish(errorAnswer(kind).name.data(), errorAnswer(kind).httpStatus);
    answerError(*m_caller, kind, isNotRun ? std::optional(comeBackSoon) : std::nullopt, errorAnswer(kind).text);
}

void WholeCall::callerGone()
{
    if (m_over) {
        return;
    }
    m_exchange->cancel();
    releaseEngine(std::nullopt); // A caller that disconnects is no evidence about the engine.
    finish("caller left", 0);
}

void WholeCall::finish(const char *outcome, int status)
{
    m_over = true;
    m_loop.events().cancel(std::exchange(m_deadlineTimer, 0));
    m_loop.events().cancel(std::exchange(m_overdueTimer, 0));
    EntryContext &context = m_loop.context();
    const absl::Duration took = m_loop.events().now() - m_facts.arrival;
    const bool isFailure = status == 0 || status >= 500;
    context.metrics.countCall("plain", outcome);
    context.metrics.observeFirstAnswer("plain", absl::ToDoubleSeconds(took));
    context.log.add(isFailure ? LogLevel::Warning : LogLevel::Info, "call.end", m_facts.call->attempt,
                    {{"route", m_facts.route->name},
                     {"version", static_cast<std::int64_t>(m_facts.desiredVersion)},
                     {"engine", m_engine->id.text()},
                     {"outcome", std::string(outcome)},
                     {"status", std::int64_t{status}},
                     {"arrivals", m_arrivals},
                     {"ms", absl::ToDoubleMilliseconds(took)}});
}

}
