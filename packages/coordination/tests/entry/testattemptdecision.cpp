#include "coordination/attemptdecision.h"

#include "state/overloaded.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace Apricot;

namespace {

/// Returns every outcome of an attempt, with the relevant statuses.
std::vector<AttemptEnd> allEnds()
{
    return {NeverSent{},   Declined{},    Answered{200}, Answered{404}, Answered{408},   Answered{421}, Answered{429},
            Answered{500}, Answered{503}, Answered{504}, Spoilt{},      TimeIsUp{false}, TimeIsUp{true}};
}

/// Returns every combination of facts about a call.
std::vector<AttemptFacts> allFacts()
{
    std::vector<AttemptFacts> all;
    for (const Repeatability repeatability : {Repeatability::Idempotent, Repeatability::AtMostOnce}) {
        for (int bits = 0; bits < 16; ++bits) {
            for (std::int64_t arrivals = 0; arrivals <= 3; ++arrivals) {
                all.push_back(AttemptFacts{repeatability, arrivals, 2, (bits & 1) != 0, (bits & 2) != 0, (bits & 4) != 0, (bits & 8) != 0});
            }
        }
    }
    return all;
}

/// Whether the call may be running or have run after this outcome.
bool mayHaveRun(const AttemptEnd &end)
{
    return std::visit(Overloaded{
                          [](const NeverSent &) { return false; },
                          [](const Declined &) { return false; },
                          [](const Answered &) { return true; },
                          [](const Spoilt &) { return true; },
                          [](const TimeIsUp &it) { return it.wasSent; },
                      },
                      end);
}

}

BOOST_AUTO_TEST_SUITE(Attempts)

BOOST_AUTO_TEST_CASE(whatMustNotRunTwiceIsNeverRepeatedOnceItMayHaveRun)
{
    for (const AttemptFacts &facts : allFacts()) {
        for (const AttemptEnd &end : allEnds()) {
            if (facts.repeatability == Repeatability::AtMostOnce && mayHaveRun(end)) {
                BOOST_TEST(!std::holds_alternative<TryAnother>(decideNextStep(facts, end)));
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(aRefusalThatSaysNotRunIsTrue)
{
    for (const AttemptFacts &facts : allFacts()) {
        for (const AttemptEnd &end : allEnds()) {
            const NextStep step = decideNextStep(facts, end);
            const auto *error = std::get_if<AnswerWithError>(&step);
            if (error != nullptr && errorAnswer(error->kind).outcome == Outcome::NotRun) {
                BOOST_TEST(!mayHaveRun(end));
                BOOST_TEST(!facts.mayHaveRun);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(repeatsKeepToAttemptsBudgetAndTime)
{
    for (const AttemptFacts &facts : allFacts()) {
        for (const AttemptEnd &end : allEnds()) {
            const NextStep step = decideNextStep(facts, end);
            const auto *next = std::get_if<TryAnother>(&step);
            if (next == nullptr) {
                continue;
            }
            BOOST_TEST(facts.hasAlternative);
            BOOST_TEST(facts.timeAllows);
            BOOST_TEST((!next->isRepeat || (facts.arrivals < facts.mostAttempts && facts.budgetAllows)));
            BOOST_TEST((next->isRepeat || std::holds_alternative<NeverSent>(end)));
        }
    }
}

BOOST_AUTO_TEST_CASE(aPromiseThatTheEngineDidNotGiveIsNotPassedOn)
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
    BOOST_TEST((decideNextStep(facts, Answered{500}) == NextStep(TryAnother{true})));
    BOOST_TEST((decideNextStep(facts, Spoilt{}) == NextStep(TryAnother{true})));
    BOOST_TEST((decideNextStep(facts, NeverSent{}) == NextStep(TryAnother{false})));
}

BOOST_AUTO_TEST_SUITE_END()
