#include "coordination/attemptdecision.h"

#include "state/overloaded.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace Apricot;

namespace {

/// Returns every outcome of an attempt, with the relevant statuses.
std::vector<AttemptOutcome> allOutcomes()
{
    return {NotSent{},     Declined{},    Answered{200}, Answered{404},    Answered{408},           Answered{421},         Answered{429},
            Answered{500}, Answered{503}, Answered{504}, NoUsableAnswer{}, DeadlineExceeded{false}, DeadlineExceeded{true}};
}

/// Returns every combination of facts about a call.
std::vector<AttemptFacts> allFacts()
{
    std::vector<AttemptFacts> all;
    for (const Repeatability repeatability : {Repeatability::Idempotent, Repeatability::AtMostOnce}) {
        for (int bits = 0; bits < 16; ++bits) {
            for (std::int64_t sentAttempts = 0; sentAttempts <= 3; ++sentAttempts) {
                all.push_back(
                    AttemptFacts{repeatability, sentAttempts, 2, (bits & 1) != 0, (bits & 2) != 0, (bits & 4) != 0, (bits & 8) != 0});
            }
        }
    }
    return all;
}

/// Whether the call may be running or have run after this outcome.
bool mayHaveRun(const AttemptOutcome &outcome)
{
    return std::visit(Overloaded{
                          [](const NotSent &) { return false; },
                          [](const Declined &) { return false; },
                          [](const Answered &) { return true; },
                          [](const NoUsableAnswer &) { return true; },
                          [](const DeadlineExceeded &it) { return it.wasSent; },
                      },
                      outcome);
}

}

BOOST_AUTO_TEST_SUITE(Attempts)

BOOST_AUTO_TEST_CASE(anAtMostOnceCallIsNotRetriedOnceItMayHaveRun)
{
    for (const AttemptFacts &facts : allFacts()) {
        for (const AttemptOutcome &outcome : allOutcomes()) {
            if (facts.repeatability == Repeatability::AtMostOnce && mayHaveRun(outcome)) {
                BOOST_TEST(!std::holds_alternative<TryNextEngine>(decideNextStep(facts, outcome)));
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(aNotRunErrorIsGivenOnlyIfNothingRan)
{
    for (const AttemptFacts &facts : allFacts()) {
        for (const AttemptOutcome &outcome : allOutcomes()) {
            const NextStep step = decideNextStep(facts, outcome);
            const auto *error = std::get_if<AnswerWithError>(&step);
            if (error != nullptr && errorDescriptor(error->kind).outcome == Outcome::NotRun) {
                BOOST_TEST(!mayHaveRun(outcome));
                BOOST_TEST(!facts.mayHaveRun);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(retriesRespectTheAttemptLimitTheRetryLimitAndTheDeadline)
{
    for (const AttemptFacts &facts : allFacts()) {
        for (const AttemptOutcome &outcome : allOutcomes()) {
            const NextStep step = decideNextStep(facts, outcome);
            const auto *next = std::get_if<TryNextEngine>(&step);
            if (next == nullptr) {
                continue;
            }
            BOOST_TEST(facts.hasAlternative);
            BOOST_TEST(facts.timeAllows);
            BOOST_TEST((!next->isRetry || (facts.sentAttempts < facts.maxAttempts && facts.retryLimitAllows)));
            BOOST_TEST((next->isRetry || std::holds_alternative<NotSent>(outcome)));
        }
    }
}

BOOST_AUTO_TEST_CASE(aStatusThatImpliesNotExecutedIsNotRelayed)
{
    const AttemptFacts last{Repeatability::AtMostOnce, 1, 1, false, false, false, false};
    for (const int status : {408, 421, 429, 503}) {
        BOOST_TEST((decideNextStep(last, Answered{status}) == NextStep(AnswerWithError{ErrorKind::AnswerIncomplete})));
    }
    BOOST_TEST((decideNextStep(last, Answered{500}) == NextStep(RelayAnswer{})));
    BOOST_TEST((decideNextStep(last, Answered{200}) == NextStep(RelayAnswer{})));
}

BOOST_AUTO_TEST_CASE(anIdempotentCallThatFailedGoesToAnotherEngine)
{
    const AttemptFacts facts{Repeatability::Idempotent, 1, 2, true, true, true, false};
    BOOST_TEST((decideNextStep(facts, Answered{500}) == NextStep(TryNextEngine{true})));
    BOOST_TEST((decideNextStep(facts, NoUsableAnswer{}) == NextStep(TryNextEngine{true})));
    BOOST_TEST((decideNextStep(facts, NotSent{}) == NextStep(TryNextEngine{false})));
}

BOOST_AUTO_TEST_SUITE_END()
