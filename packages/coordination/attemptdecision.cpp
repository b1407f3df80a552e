#include "coordination/attemptdecision.h"

#include "state/overloaded.h"

namespace Apricot {

namespace {

constexpr int firstServerError = 500;

bool mayRepeat(const AttemptFacts &facts)
{
    return facts.arrivals < facts.mostAttempts && facts.hasAlternative && facts.budgetAllows && facts.timeAllows;
}

/// Returns an error that reports "not run", or AnswerIncomplete if an earlier attempt may have run.
NextStep refusal(const AttemptFacts &facts, ErrorKind kind)
{
    return AnswerWithError{facts.mayHaveRun ? ErrorKind::AnswerIncomplete : kind};
}

NextStep afterNeverSent(const AttemptFacts &facts)
{
    if (facts.hasAlternative && facts.timeAllows) {
        return TryAnother{false};
    }
    return refusal(facts, ErrorKind::EngineUnreachable);
}

NextStep afterDeclined(const AttemptFacts &facts)
{
    if (mayRepeat(facts)) {
        return TryAnother{true};
    }
    return refusal(facts, ErrorKind::NoCapacity);
}

NextStep afterAnswer(const AttemptFacts &facts, int status)
{
    if (status >= firstServerError && facts.repeatability == Repeatability::Idempotent && mayRepeat(facts)) {
        return TryAnother{true};
    }
    // Such a status tells the caller that the call was not executed. That is only known if the engine declined explicitly.
    if (promisesNotRun(status)) {
        return AnswerWithError{ErrorKind::AnswerIncomplete};
    }
    return RelayAnswer{};
}

NextStep afterSpoilt(const AttemptFacts &facts)
{
    if (facts.repeatability == Repeatability::Idempotent && mayRepeat(facts)) {
        return TryAnother{true};
    }
    return AnswerWithError{ErrorKind::AnswerIncomplete};
}

}

bool promisesNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

NextStep decideNextStep(const AttemptFacts &facts, const AttemptEnd &end)
{
    return std::visit(Overloaded{
                          [&](const NeverSent &) -> NextStep { return afterNeverSent(facts); },
                          [&](const Declined &) -> NextStep { return afterDeclined(facts); },
                          [&](const Answered &answered) -> NextStep { return afterAnswer(facts, answered.status); },
                          [&](const Spoilt &) -> NextStep { return afterSpoilt(facts); },
                          [&](const TimeIsUp &up) -> NextStep {
                              return AnswerWithError{up.wasSent || facts.mayHaveRun ? ErrorKind::OutcomeUnknown : ErrorKind::NoCapacity};
                          },
                      },
                      end);
}

}
