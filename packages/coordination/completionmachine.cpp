#include "coordination/completionmachine.h"

#include "coordination/retrybudget.h"
#include "state/invariant.h"
#include "state/overloaded.h"

#include <algorithm>
#include <utility>

namespace Apricot {

namespace {

/// Time without an action of the owner after which a message to it is sent again.
constexpr absl::Duration resendInterval = absl::Milliseconds(100);

/// Time beyond its target latency for which a request waits for an action of the owner.
constexpr absl::Duration ownerGracePeriod = absl::Milliseconds(500);

/// Time for which a request whose first token was already sent waits for an action of the owner.
constexpr absl::Duration resumeTimeout = absl::Seconds(10);

/// The retry-after time of errors that are expected to be short-lived.
constexpr absl::Duration failureRetryAfter = absl::Seconds(1);

/// Maximum number of reconnects to one engine during one stream.
constexpr int maxReconnects = 6;

/// Returns a number in [0, 1) derived from the attempt's number. It spreads the backoff of requests that failed at the same time.
double jitterFraction(std::uint64_t attempt)
{
    constexpr std::uint64_t steps = 97;
    return static_cast<double>(attempt % steps) / static_cast<double>(steps);
}

}

CompletionMachine::CompletionMachine(CompletionPlan plan)
    : m_plan(std::move(plan))
    , m_attempt(m_plan.work->attempt)
    , m_nextToken(m_plan.baseTokens)
{
}

CompletionActions CompletionMachine::start(absl::Time now)
{
    m_actions.clear();
    requestEngines(now);
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
                   [&](const OwnerActionReceived &it) { handleOwnerAction(it.action, now); },
                   [&](const OwnerActionTimedOut &) { handleOwnerTimeout(now); },
                   [&](const PrefillReturned &it) { handlePrefillReturned(it, now); },
                   [&](const PrefillUnreachable &) {
                       if (m_phase == Phase::Prefilling) {
                           m_actions.emplace_back(NotifyOwner{PrefillFailed{m_plan.work->id, m_attempt}});
                           m_excludedEngine = m_prefill;
                           retry();
                       }
                   },
                   [&](const StreamOpened &it) { handleStreamOpened(it); },
                   [&](const StreamAdvanced &it) {
                       APRICOT_INVARIANT(it.next >= m_nextToken, "answer-only-grows", m_plan.work->id.text());
                       m_nextToken = it.next;
                       if (m_renewal) {
                           m_renewal->tokens = m_nextToken;
                           m_actions.emplace_back(SetRenewal{m_renewal});
                       }
                   },
                   [&](const StreamFinished &) { finish(); },
                   [&](const StreamFailed &it) { handleStreamFailed(it); },
                   [&](const CallerCancelled &) { handleCallerCancelled(); },
                   [&](const RetryBudgetAnswered &it) { handleRetryBudgetAnswer(it.granted); },
                   [&](const RetryWaitElapsed &) {
                       if (m_phase == Phase::BackingOff) {
                           requestEngines(now);
                       }
                   },
               },
               event);
    return std::move(m_actions);
}

void CompletionMachine::requestEngines(absl::Time now)
{
    m_phase = Phase::Requesting;
    ++m_attemptCount;
    m_deadline = isResumed() ? now + resumeTimeout : m_plan.work->arrivalTime + m_plan.targetLatency + ownerGracePeriod;
    resendRequest(now);
}

void CompletionMachine::resendRequest(absl::Time now)
{
    if (now >= m_deadline) {
        m_actions.emplace_back(NotifyOwner{WorkCancelled{m_plan.work->id, m_attempt}});
        fail(isResumed() ? ErrorKind::AnswerIncomplete : ErrorKind::PeerUnreachable, failureRetryAfter,
             "the owner of the request's slice did not answer before the deadline; send the request again");
        return;
    }
    m_actions.emplace_back(NotifyOwner{WorkArrived{work()}});
    m_actions.emplace_back(AwaitOwnerAction{resendInterval});
}

void CompletionMachine::handleOwnerAction(const Action &action, absl::Time now)
{
    std::visit(Overloaded{
                   [&](const StartPrefill &it) {
                       if (m_phase == Phase::Requesting && it.attempt == m_attempt) {
                           handleStartPrefill(it);
                       } else if (m_phase == Phase::Requesting || m_phase == Phase::Reporting) {
                           m_actions.emplace_back(AwaitOwnerAction{resendInterval});
                       }
                   },
                   [&](const StartDecode &it) {
                       if (m_phase == Phase::Reporting && it.attempt == m_attempt) {
                           handleStartDecode(it);
                       } else if (m_phase == Phase::Requesting || m_phase == Phase::Reporting) {
                           m_actions.emplace_back(AwaitOwnerAction{resendInterval});
                       }
                   },
                   [&](const Refuse &it) {
                       const bool waits = m_phase == Phase::Requesting || m_phase == Phase::Reporting;
                       if (waits && it.attempt == m_attempt) {
                           fail(it.kind, it.retryAfter, {});
                       } else if (waits) {
                           m_actions.emplace_back(AwaitOwnerAction{resendInterval});
                       }
                   },
                   [&](const CancelOnEngine &) { handleOwnerTimeout(now); },
               },
               action);
}

void CompletionMachine::handleStartPrefill(const StartPrefill &action)
{
    m_phase = Phase::Prefilling;
    m_prefill = action.prefill;
    m_decode = action.decode;
    m_renewal = WorkRenewed{work(), m_prefill, m_decode, false, 0};
    m_actions.emplace_back(SetRenewal{m_renewal});
    m_actions.emplace_back(RunPrefill{m_prefill, m_attempt});
}

void CompletionMachine::handleStartDecode(const StartDecode &action)
{
    m_phase = Phase::Streaming;
    m_decode = action.decode;
    m_reconnects = 0;
    m_streamStart = m_nextToken;
    m_renewal = WorkRenewed{work(), m_prefill, m_decode, true, m_nextToken};
    m_actions.emplace_back(SetRenewal{m_renewal});
    m_actions.emplace_back(OpenStream{m_decode, m_prefill, m_result.handle, m_attempt, m_nextToken});
}

void CompletionMachine::handleOwnerTimeout(absl::Time now)
{
    if (m_phase == Phase::Requesting) {
        resendRequest(now);
    } else if (m_phase == Phase::Reporting) {
        reportPrefill(now);
    }
}

void CompletionMachine::handlePrefillReturned(const PrefillReturned &event, absl::Time now)
{
    if (m_phase != Phase::Prefilling) {
        return;
    }
    m_result = event;
    m_phase = Phase::Reporting;
    m_deadline = now + m_plan.resultLifetime;
    reportPrefill(now);
}

void CompletionMachine::reportPrefill(absl::Time now)
{
    if (now >= m_deadline) {
        m_actions.emplace_back(NotifyOwner{KvTransferFailed{m_plan.work->id, m_attempt}});
        retry();
        return;
    }
    m_actions.emplace_back(NotifyOwner{PrefillFinished{m_plan.work->id, m_attempt, m_result.duration, m_result.cachedTokens}});
    m_actions.emplace_back(AwaitOwnerAction{resendInterval});
}

void CompletionMachine::handleStreamOpened(const StreamOpened &event)
{
    if (m_phase == Phase::Searching) {
        // The stream was found: from now on this node renews the request instead of the node that started it.
        m_phase = Phase::Streaming;
        m_reconnects = 0;
        m_streamStart = m_nextToken;
        m_attempt = std::max(m_attempt, event.attempt);
    }
    if (m_phase != Phase::Streaming) {
        return;
    }
    if (event.transferDuration > absl::ZeroDuration()) {
        m_actions.emplace_back(NotifyOwner{DecodeStarted{m_plan.work->id, m_attempt, event.transferDuration}});
    }
    const Work known = work()
                           .with(&WorkFields::attempt, event.attempt)
                           .with(&WorkFields::promptTokens, event.promptTokens)
                           .with(&WorkFields::maxTokens, event.maxTokens);
    m_renewal = WorkRenewed{known, m_prefill, m_decode, true, m_nextToken};
    m_actions.emplace_back(SetRenewal{m_renewal});
}

void CompletionMachine::handleStreamFailed(const StreamFailed &event)
{
    if (m_phase == Phase::Searching) {
        searchNext();
        return;
    }
    if (m_phase != Phase::Streaming) {
        return;
    }
    const bool engineLost = event.fault == StreamFault::Refused
        || (event.fault == StreamFault::NotConnected && event.failureAction == FailureAction::EngineLost);
    if (!engineLost && m_reconnects < maxReconnects) {
        // The engine keeps generating without a connection: a new one delivers the rest, without another prefill.
        ++m_reconnects;
        m_actions.emplace_back(ResumeStream{m_decode, m_nextToken});
        return;
    }
    m_actions.emplace_back(NotifyOwner{KvTransferFailed{m_plan.work->id, m_attempt}});
    m_excludedEngine = m_nextToken > m_streamStart ? m_decode : m_excludedEngine;
    retry();
}

void CompletionMachine::searchNext()
{
    if (m_searched == m_plan.decodeEngines.size()) {
        fail(ErrorKind::RangeNotAvailable, absl::ZeroDuration(),
             "no decode engine holds the stream of this request at this offset; send the request again without Last-Event-ID");
        return;
    }
    m_decode = m_plan.decodeEngines[m_searched++];
    m_actions.emplace_back(ResumeStream{m_decode, m_nextToken});
}

void CompletionMachine::retry()
{
    m_renewal.reset();
    m_actions.emplace_back(SetRenewal{std::nullopt});
    m_phase = Phase::Retrying;
    if (m_attemptCount >= maxAttempts) {
        handleRetryBudgetAnswer(false);
    } else {
        m_actions.emplace_back(RequestRetry{});
    }
}

void CompletionMachine::handleRetryBudgetAnswer(bool granted)
{
    if (m_phase != Phase::Retrying) {
        return;
    }
    if (!granted) {
        fail(isResumed() ? ErrorKind::AnswerIncomplete : ErrorKind::NoCapacity, failureRetryAfter,
             "no attempt succeeded and no further retry is allowed; see the timeline of the request");
        return;
    }
    m_phase = Phase::BackingOff;
    ++m_attempt;
    m_actions.emplace_back(WaitBeforeRetry{backoff(m_attemptCount, jitterFraction(m_attempt))});
}

void CompletionMachine::handleCallerCancelled()
{
    m_actions.emplace_back(NotifyOwner{WorkCancelled{m_plan.work->id, m_attempt}});
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
    m_actions.emplace_back(NotifyOwner{WorkFinished{m_plan.work->id, m_attempt, m_nextToken}});
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
    m_actions.emplace_back(SetRenewal{std::nullopt});
}

Work CompletionMachine::work() const
{
    const std::int64_t produced = m_nextToken - m_plan.baseTokens;
    return m_plan.work.with(&WorkFields::attempt, m_attempt)
        .with(&WorkFields::promptTokens, m_plan.work->promptTokens + produced)
        .with(&WorkFields::maxTokens, m_plan.work->maxTokens - produced)
        .with(&WorkFields::excludedEngine, m_excludedEngine)
        .with(&WorkFields::resumed, isResumed());
}

}
