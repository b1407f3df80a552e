#include "coordination/attemptdecision.h"

#include "state/overloaded.h"

namespace Apricot {

namespace {

constexpr int minServerErrorStatus = 500;

bool mayRetry(const AttemptFacts &facts)
{
    return facts.sentAttempts < facts.maxAttempts && facts.hasAlternative && facts.retryLimitAllows && facts.timeAllows;
}

/// Returns an error that reports "not run", or AnswerIncomplete if an earlier attempt may have run.
NextStep refusal(const AttemptFacts &facts, ErrorKind kind)
{
    return AnswerWithError{facts.mayHaveRun ? ErrorKind::AnswerIncomplete : kind};
}

NextStep afterNotSent(const AttemptFacts &facts)
{
    if (facts.hasAlternative && facts.timeAllows) {
        return TryNextEngine{false};
    }
    return refusal(facts, ErrorKind::EngineUnreachable);
}

NextStep afterDeclined(const AttemptFacts &facts)
{
    if (mayRetry(facts)) {
        return TryNextEngine{true};
    }
    return refusal(facts, ErrorKind::NoCapacity);
}

NextStep afterAnswer(const AttemptFacts &facts, int status)
{
    if (status >= minServerErrorStatus && facts.repeatability == Repeatability::Idempotent && mayRetry(facts)) {
        return TryNextEngine{true};
    }
    // Such a status tells the caller that the call was not executed. That is only known if the engine declined explicitly.
    if (impliesNotExecuted(status)) {
        return AnswerWithError{ErrorKind::AnswerIncomplete};
    }
    return RelayAnswer{};
}

NextStep afterNoUsableAnswer(const AttemptFacts &facts)
{
    if (facts.repeatability == Repeatability::Idempotent && mayRetry(facts)) {
        return TryNextEngine{true};
    }
    return AnswerWithError{ErrorKind::AnswerIncomplete};
}

}

bool impliesNotExecuted(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

NextStep decideNextStep(const AttemptFacts &facts, const AttemptOutcome &outcome)
{
    return std::visit(Overloaded{
                          [&](const NotSent &) -> NextStep { return afterNotSent(facts); },
                          [&](const Declined &) -> NextStep { return afterDeclined(facts); },
                          [&](const Answered &answered) -> NextStep { return afterAnswer(facts, answered.status); },
                          [&](const NoUsableAnswer &) -> NextStep { return afterNoUsableAnswer(facts); },
                          [&](const DeadlineExceeded &it) -> NextStep {
                              return AnswerWithError{it.wasSent || facts.mayHaveRun ? ErrorKind::OutcomeUnknown : ErrorKind::NoCapacity};
                          },
                      },
                      outcome);
}

}
