#include "coordination/completionmachine.h"

#include <boost/test/unit_test.hpp>

using namespace Apricot;

namespace {

struct Completion
{
    Completion()
    {
        plan.work = Work::Builder()
                        .set(&WorkFields::id, RequestId("r"))
                        .set(&WorkFields::attempt, 10U)
                        .set(&WorkFields::promptTokens, 100)
                        .set(&WorkFields::maxTokens, 50)
                        .set(&WorkFields::arrivalTime, now)
                        .build();
        plan.targetLatency = absl::Milliseconds(1200);
        plan.resultLifetime = absl::Milliseconds(800);
        plan.decodeEngines = {EngineId("d0"), EngineId("d1")};
    }

    template<class T>
    static const T *find(const CompletionActions &actions)
    {
        for (const CompletionAction &action : actions) {
            if (const auto *it = std::get_if<T>(&action)) {
                return it;
            }
        }
        return nullptr;
    }

    /// Advances a machine until its stream is opened.
    CompletionActions toStream(CompletionMachine &machine, std::uint64_t attempt = 10)
    {
        machine.handle(OwnerActionReceived{StartPrefill{RequestId("r"), attempt, EngineId("p0"), EngineId("d0")}}, now);
        machine.handle(PrefillReturned{"kv", absl::Milliseconds(5), 0}, now);
        return machine.handle(OwnerActionReceived{StartDecode{RequestId("r"), attempt, EngineId("p0"), EngineId("d0")}}, now);
    }

    absl::Time now = absl::FromUnixSeconds(300);
    CompletionPlan plan;
};

}

BOOST_FIXTURE_TEST_SUITE(Completions, Completion)

BOOST_AUTO_TEST_CASE(theOwnerIsNotifiedBeforeAnythingIsStarted)
{
    CompletionMachine machine(plan);
    const CompletionActions first = machine.start(now);
    BOOST_TEST(find<NotifyOwner>(first) != nullptr);
    BOOST_TEST(find<RunPrefill>(first) == nullptr);
    const CompletionActions stream = toStream(machine);
    BOOST_REQUIRE(find<OpenStream>(stream) != nullptr);
    BOOST_TEST(find<OpenStream>(stream)->handle == "kv");
    const CompletionActions end = machine.handle(StreamFinished{}, now);
    BOOST_TEST(find<AnswerComplete>(end) != nullptr);
    BOOST_TEST(machine.hasEnded());
    BOOST_TEST(machine.handle(StreamFinished{}, now).empty());
}

BOOST_AUTO_TEST_CASE(aMissingOwnerActionEndsInANotRunError)
{
    CompletionMachine machine(plan);
    machine.start(now);
    now += absl::Seconds(2);
    const CompletionActions actions = machine.handle(OwnerActionTimedOut{}, now);
    BOOST_REQUIRE(find<AnswerFailed>(actions) != nullptr);
    BOOST_TEST((errorDescriptor(find<AnswerFailed>(actions)->kind).outcome == Outcome::NotRun));
}

BOOST_AUTO_TEST_CASE(anInterruptedStreamIsResumedAtTheOffsetWithoutANewPrefill)
{
    CompletionMachine machine(plan);
    machine.start(now);
    toStream(machine);
    machine.handle(StreamAdvanced{17}, now);
    const CompletionActions actions = machine.handle(StreamFailed{StreamFault::Interrupted, FailureAction::ReconnectAndResume}, now);
    BOOST_REQUIRE(find<ResumeStream>(actions) != nullptr);
    BOOST_TEST(find<ResumeStream>(actions)->offset == 17);
    BOOST_TEST(find<RunPrefill>(actions) == nullptr);
}

BOOST_AUTO_TEST_CASE(aLostEngineIsExcludedFromTheNextAttempt)
{
    CompletionMachine machine(plan);
    machine.start(now);
    toStream(machine);
    machine.handle(StreamAdvanced{17}, now);
    const CompletionActions lost = machine.handle(StreamFailed{StreamFault::NotConnected, FailureAction::EngineLost}, now);
    BOOST_TEST(find<RequestRetry>(lost) != nullptr);
    const CompletionActions granted = machine.handle(RetryBudgetAnswered{true}, now);
    BOOST_TEST(find<WaitBeforeRetry>(granted) != nullptr);
    const CompletionActions again = machine.handle(RetryWaitElapsed{}, now);
    const auto *notified = find<NotifyOwner>(again);
    BOOST_REQUIRE(notified != nullptr);
    const Work &work = std::get<WorkArrived>(notified->event).work;
    BOOST_TEST(work->attempt == 11U);
    BOOST_TEST(work->promptTokens == 117);
    BOOST_TEST(work->resumed);
    BOOST_TEST((work->excludedEngine == EngineId("d0")));
}

BOOST_AUTO_TEST_CASE(withoutRetryBudgetTheAnswerEndsIncomplete)
{
    CompletionMachine machine(plan);
    machine.start(now);
    toStream(machine);
    machine.handle(StreamAdvanced{3}, now);
    machine.handle(StreamFailed{StreamFault::Refused, FailureAction::EngineLost}, now);
    const CompletionActions actions = machine.handle(RetryBudgetAnswered{false}, now);
    BOOST_TEST((find<AnswerFailed>(actions)->kind == ErrorKind::AnswerIncomplete));
}

BOOST_AUTO_TEST_CASE(aCancelledRequestReleasesTheEngines)
{
    CompletionMachine machine(plan);
    machine.start(now);
    toStream(machine);
    const CompletionActions actions = machine.handle(CallerCancelled{}, now);
    BOOST_REQUIRE(find<CancelEngines>(actions) != nullptr);
    BOOST_TEST(find<CancelEngines>(actions)->engines.size() == 2U);
    BOOST_TEST((find<AnswerFailed>(actions)->kind == ErrorKind::Cancelled));
}

BOOST_AUTO_TEST_CASE(aResumeSearchesEachEngineAndRenewsTheStreamThatItFinds)
{
    plan.baseTokens = 20;
    CompletionMachine machine(plan);
    BOOST_TEST((find<ResumeStream>(machine.startResume(now))->decode == EngineId("d0")));
    const CompletionActions next = machine.handle(StreamFailed{StreamFault::Refused, FailureAction::EngineLost}, now);
    BOOST_TEST((find<ResumeStream>(next)->decode == EngineId("d1")));
    const CompletionActions found = machine.handle(StreamOpened{absl::ZeroDuration(), 7, 100, 50}, now);
    BOOST_REQUIRE(find<SetRenewal>(found) != nullptr);
    BOOST_TEST(find<SetRenewal>(found)->renewal->work->attempt == 7U);
}

BOOST_AUTO_TEST_CASE(aResumeFailsIfNoEngineHoldsTheStream)
{
    plan.baseTokens = 20;
    CompletionMachine machine(plan);
    machine.startResume(now);
    machine.handle(StreamFailed{StreamFault::Refused, FailureAction::EngineLost}, now);
    const CompletionActions actions = machine.handle(StreamFailed{StreamFault::NotConnected, FailureAction::EngineLost}, now);
    BOOST_TEST((find<AnswerFailed>(actions)->kind == ErrorKind::RangeNotAvailable));
}

BOOST_AUTO_TEST_CASE(anActionForAnEarlierAttemptIsIgnored)
{
    CompletionMachine machine(plan);
    machine.start(now);
    const CompletionActions actions
        = machine.handle(OwnerActionReceived{StartPrefill{RequestId("r"), 9, EngineId("p0"), EngineId("d0")}}, now);
    BOOST_TEST(find<RunPrefill>(actions) == nullptr);
    BOOST_TEST(find<AwaitOwnerAction>(actions) != nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
