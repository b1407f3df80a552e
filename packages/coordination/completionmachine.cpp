#include "coordination/completionmachine.h"

#include "coordination/retrybudget.h"
#include "state/invariant.h"
#include "state/overloaded.h"

#include <algorithm>
#include <utility>

namespace Apricot {

namespace {

/// Time without an order after which a message to the owner is sent again.
constexpr absl::Duration askAgainAfter = absl::Milliseconds(100);

/// Time beyond its target latency for which a request waits for an order.
constexpr absl::Duration ownerGrace = absl::Milliseconds(500);

/// Time for which a request whose first token was already sent waits for an order.
constexpr absl::Duration resumeWait = absl::Seconds(10);

/// The retry-after time of errors that are expected to be short-lived.
constexpr absl::Duration retryAfterFailure = absl::Seconds(1);

/// Maximum number of reconnects to one engine during one stream.
constexpr int mostReconnects = 6;

/// Returns a number in [0, 1) derived from the attempt's number. It spreads the backoff of requests that failed at the same time.
double spread(std::uint64_t attempt)
{
    constexpr std::uint64_t steps = 97;
    return static_cast<double>(attempt % steps) / static_cast<double>(steps);
}

}

CompletionMachine::CompletionMachine(CompletionPlan plan)
    : m_plan(std::move(plan))
    , m_attempt(m_plan.work->attempt)
    , m_next(m_plan.base)
{
}

CompletionActions CompletionMachine::start(absl::Time now)
{
    m_actions.clear();
    ask(now);
    return std::move(m_actions);
}

CompletionActions CompletionMachine::startResume(absl::Time /*now*/)
{
    m_actions.clear();
    m_phase = Phase::Searching;
    searchNext();
    return std::move(m_actions);
}

CompletionActions CompletionMachine::handle(const CompletionEvent &event, absl::Time now)
{
    m_actions.clear();
    if (m_phase == Phase::Ended) {
        return {};
    }
    std::visit(Overloaded{
                   [&](const OwnerOrdered &it) { ordered(it.order, now); },
                   [&](const OwnerQuiet &) { quiet(now); },
                   [&](const PrefillReturned &it) { prefillReturned(it, now); },
                   [&](const PrefillUnreachable &) {
                       if (m_phase == Phase::Prefilling) {
                           m_actions.emplace_back(TellOwner{PrefillFailed{m_plan.work->id, m_attempt}});
                           m_avoid = m_prefill;
                           tryAgain();
                       }
                   },
                   [&](const StreamOpened &it) { streamOpened(it); },
                   [&](const StreamAdvanced &it) {
                       APRICOT_INVARIANT(it.next >= m_next, "answer-only-grows", m_plan.work->id.text());
                       m_next = it.next;
                       if (m_renewal) {
                           m_renewal->tokens = m_next;
                           m_actions.emplace_back(KeepRenewing{m_renewal});
                       }
                   },
                   [&](const StreamFinished &) { finish(); },
                   [&](const StreamBroke &it) { streamBroke(it); },
                   [&](const CallerGone &) { callerGone(); },
                   [&](const RetryDecided &it) { retryDecided(it.granted); },
                   [&](const PauseOver &) {
                       if (m_phase == Phase::Pausing) {
                           ask(now);
                       }
                   },
               },
               event);
    return std::move(m_actions);
}

void CompletionMachine::ask(absl::Time now)
{
    m_phase = Phase::Asking;
    ++m_attempts;
    m_deadline = isResumed() ? now + resumeWait : m_plan.work->arrival + m_plan.target + ownerGrace;
    askAgain(now);
}

void CompletionMachine::askAgain(absl::Time now)
{
    if (now >= m_deadline) {
        m_actions.emplace_back(TellOwner{WorkCancelled{m_plan.work->id, m_attempt}});
        fail(isResumed() ? ErrorKind::AnswerIncomplete : ErrorKind::PeerUnreachable, retryAfterFailure,
             "the owner of the request's slice sent no order before the deadline; send the request again");
        return;
    }
    m_actions.emplace_back(TellOwner{WorkArrived{work()}});
    m_actions.emplace_back(AwaitOwner{askAgainAfter});
}

void CompletionMachine::ordered(const Action &order, absl::Time now)
{
    std::visit(Overloaded{
                   [&](const StartPrefill &it) {
                       if (m_phase == Phase::Asking && it.attempt == m_attempt) {
                           orderedPrefill(it);
                       } else if (m_phase == Phase::Asking || m_phase == Phase::Reporting) {
                           m_actions.emplace_back(AwaitOwner{askAgainAfter});
                       }
                   },
                   [&](const StartDecode &it) {
                       if (m_phase == Phase::Reporting && it.attempt == m_attempt) {
                           orderedDecode(it);
                       } else if (m_phase == Phase::Asking || m_phase == Phase::Reporting) {
                           m_actions.emplace_back(AwaitOwner{askAgainAfter});
                       }
                   },
                   [&](const Refuse &it) {
                       const bool waits = m_phase == Phase::Asking || m_phase == Phase::Reporting;
                       if (waits && it.attempt == m_attempt) {
                           fail(it.kind, it.retryAfter, {});
                       } else if (waits) {
                           m_actions.emplace_back(AwaitOwner{askAgainAfter});
                       }
                   },
                   [&](const CancelOnEngine &) { quiet(now); },
               },
               order);
}

void CompletionMachine::orderedPrefill(const StartPrefill &order)
{
    m_phase = Phase::Prefilling;
    m_prefill = order.prefill;
    m_decode = order.decode;
    m_renewal = WorkRenewed{work(), m_prefill, m_decode, false, 0};
    m_actions.emplace_back(KeepRenewing{m_renewal});
    m_actions.emplace_back(RunPrefill{m_prefill, m_attempt});
}

void CompletionMachine::orderedDecode(const StartDecode &order)
{
    m_phase = Phase::Streaming;
    m_decode = order.decode;
    m_reconnects = 0;
    m_firstOfStream = m_next;
    m_renewal = WorkRenewed{work(), m_prefill, m_decode, true, m_next};
    m_actions.emplace_back(KeepRenewing{m_renewal});
    m_actions.emplace_back(OpenStream{m_decode, m_prefill, m_result.handle, m_attempt, m_next});
}

void CompletionMachine::quiet(absl::Time now)
{
    if (m_phase == Phase::Asking) {
        askAgain(now);
    } else if (m_phase == Phase::Reporting) {
        report(now);
    }
}

void CompletionMachine::prefillReturned(const PrefillReturned &event, absl::Time now)
{
    if (m_phase != Phase::Prefilling) {
        return;
    }
    m_result = event;
    m_phase = Phase::Reporting;
    m_deadline = now + m_plan.resultLifetime;
    report(now);
}

void CompletionMachine::report(absl::Time now)
{
    if (now >= m_deadline) {
        m_actions.emplace_back(TellOwner{TakeoverFailed{m_plan.work->id, m_attempt}});
        tryAgain();
        return;
    }
    m_actions.emplace_back(TellOwner{PrefillFinished{m_plan.work->id, m_attempt, m_result.took, m_result.cachedTokens}});
    m_actions.emplace_back(AwaitOwner{askAgainAfter});
}

void CompletionMachine::streamOpened(const StreamOpened &event)
{
    if (m_phase == Phase::Searching) {
        // The stream was found: from now on this node renews the request instead of the node that started it.
        m_phase = Phase::Streaming;
        m_reconnects = 0;
        m_firstOfStream = m_next;
        m_attempt = std::max(m_attempt, event.attempt);
    }
    if (m_phase != Phase::Streaming) {
        return;
    }
    if (event.transferTook > absl::ZeroDuration()) {
        m_actions.emplace_back(TellOwner{DecodeStarted{m_plan.work->id, m_attempt, event.transferTook}});
    }
    const Work known = work()
                           .with(&WorkFields::attempt, event.attempt)
                           .with(&WorkFields::promptTokens, event.promptTokens)
                           .with(&WorkFields::maxTokens, event.maxTokens);
    m_renewal = WorkRenewed{known, m_prefill, m_decode, true, m_next};
    m_actions.emplace_back(KeepRenewing{m_renewal});
}

void CompletionMachine::streamBroke(const StreamBroke &event)
{
    if (m_phase == Phase::Searching) {
        searchNext();
        return;
    }
    if (m_phase != Phase::Streaming) {
        return;
    }
    const bool lost
        = event.fault == StreamFault::Refused || (event.fault == StreamFault::NotConnected && event.verdict == FailureVerdict::EngineLost);
    if (!lost && m_reconnects < mostReconnects) {
        // The engine keeps generating without a connection: a new one delivers the rest, without another prefill.
        ++m_reconnects;
        m_actions.emplace_back(ResumeStream{m_decode, m_next});
        return;
    }
    m_actions.emplace_back(TellOwner{TakeoverFailed{m_plan.work->id, m_attempt}});
    m_avoid = m_next > m_firstOfStream ? m_decode : m_avoid;
    tryAgain();
}

void CompletionMachine::searchNext()
{
    if (m_searched == m_plan.decodeEngines.size()) {
        fail(ErrorKind::RangeNotAvailable, absl::ZeroDuration(),
             "no decode engine holds the stream of this request at this offset; send the request again without Last-Event-ID");
        return;
    }
    m_decode = m_plan.decodeEngines[m_searched++];
    m_actions.emplace_back(ResumeStream{m_decode, m_next});
}

void CompletionMachine::tryAgain()
{
    m_renewal.reset();
    m_actions.emplace_back(KeepRenewing{std::nullopt});
    m_phase = Phase::Retrying;
    if (m_attempts >= mostAttempts) {
        retryDecided(false);
    } else {
        m_actions.emplace_back(SpendRetry{});
    }
}

void CompletionMachine::retryDecided(bool granted)
{
    if (m_phase != Phase::Retrying) {
        return;
    }
    if (!granted) {
        fail(isResumed() ? ErrorKind::AnswerIncomplete : ErrorKind::NoCapacity, retryAfterFailure,
             "no attempt succeeded and no further retry is allowed; see the timeline of the request");
        return;
    }
    m_phase = Phase::Pausing;
    ++m_attempt;
    m_actions.emplace_back(Pause{backoff(m_attempts, spread(m_attempt))});
}

void CompletionMachine::callerGone()
{
    m_actions.emplace_back(TellOwner{WorkCancelled{m_plan.work->id, m_attempt}});
    std::vector<EngineId> engines;
    for (const EngineId &engine : {m_prefill, m_decode}) {
        if (!engine.isEmpty()) {
            engines.push_back(engine);
        }
    }
    // The engines are also cancelled directly, so that their memory is released at once even if the owner's message is lost.
    if (!engines.empty()) {
        m_actions.emplace_back(CancelEngines{engines, m_attempt});
    }
    fail(ErrorKind::Cancelled, absl::ZeroDuration(), {});
}

void CompletionMachine::finish()
{
    if (m_phase != Phase::Streaming) {
        return;
    }
    m_actions.emplace_back(TellOwner{WorkFinished{m_plan.work->id, m_attempt, m_next}});
    end();
    m_actions.emplace_back(AnswerComplete{});
}

void CompletionMachine::fail(ErrorKind kind, absl::Duration retryAfter, std::string message)
{
    end();
    m_actions.emplace_back(AnswerFailed{kind, retryAfter, std::move(message)});
}

void CompletionMachine::end()
{
    APRICOT_INVARIANT(m_phase != Phase::Ended, "one-final-answer", m_plan.work->id.text());
    m_phase = Phase::Ended;
    m_renewal.reset();
    m_actions.emplace_back(KeepRenewing{std::nullopt});
}

Work CompletionMachine::work() const
{
    const std::int64_t produced = m_next - m_plan.base;
    return m_plan.work.with(&WorkFields::attempt, m_attempt)
        .with(&WorkFields::promptTokens, m_plan.work->promptTokens + produced)
        .with(&WorkFields::maxTokens, m_plan.work->maxTokens - produced)
        .with(&WorkFields::avoid, m_avoid)
        .with(&WorkFields::resumed, isResumed());
}

}
