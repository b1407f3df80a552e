#include "soak/soakledger.h"
#include "soak/soakstep.h"

#include <boost/test/unit_test.hpp>

using namespace Apricot;

namespace {

SoakCall call(CallKind kind, std::vector<std::string> runs, SoakOutcome outcome)
{
    SoakCall it;
    it.attemptId = "a1";
    it.kind = kind;
    it.runs = std::move(runs);
    it.outcome = std::move(outcome);
    return it;
}

std::string stream(int first, int last)
{
    std::string events;
    for (int id = first; id <= last; ++id) {
        events += streamEvent("a1", id);
    }
    return events;
}

bool hasViolation(const SoakCall &it)
{
    return !findViolations(it).empty();
}

}

BOOST_AUTO_TEST_SUITE(SoakLedgers)

BOOST_AUTO_TEST_CASE(expectedResponsesCauseNoViolation)
{
    BOOST_TEST(!hasViolation(call(CallKind::NonIdempotent, {"e"}, ResponseComplete{200, true, completeResponseBody("a1")})));
    BOOST_TEST(!hasViolation(call(CallKind::Streaming, {"e"}, ResponseComplete{200, true, stream(1, eventsPerStream)})));
    BOOST_TEST(!hasViolation(call(CallKind::NonIdempotent, {}, ResponseComplete{503, false, "full"})));
    BOOST_TEST(!hasViolation(call(CallKind::NonIdempotent, {"e"}, ResponseComplete{502, false, "unknown"})));
}

BOOST_AUTO_TEST_CASE(secondRunAndFalseNotRunStatusAreDetected)
{
    BOOST_TEST(hasViolation(call(CallKind::NonIdempotent, {"e", "f"}, ResponseIncomplete{})));
    BOOST_TEST(hasViolation(call(CallKind::Streaming, {"e", "e"}, ResponseIncomplete{})));
    BOOST_TEST(!hasViolation(call(CallKind::Idempotent, {"e", "f"}, ResponseIncomplete{})));
    BOOST_TEST(hasViolation(call(CallKind::NonIdempotent, {"e"}, ResponseComplete{503, false, "full"})));
    BOOST_TEST(hasViolation(call(CallKind::NonIdempotent, {"e"}, RequestNotSent{})));
}

BOOST_AUTO_TEST_CASE(responseThatDiffersFromTheEnginesIsDetected)
{
    BOOST_TEST(hasViolation(call(CallKind::Idempotent, {"e"}, ResponseComplete{200, true, completeResponseBody("a2")})));
    BOOST_TEST(hasViolation(call(CallKind::Idempotent, {"e"}, ResponseComplete{200, false, completeResponseBody("a1")})));
    BOOST_TEST(hasViolation(call(CallKind::Idempotent, {}, ResponseComplete{200, true, completeResponseBody("a1")})));
}

BOOST_AUTO_TEST_CASE(missingOrRepeatedStreamEventIsDetected)
{
    BOOST_TEST(hasViolation(call(CallKind::ResumableStreaming, {"e"}, ResponseComplete{200, true, stream(1, eventsPerStream - 1)})));
    BOOST_TEST(hasViolation(call(CallKind::ResumableStreaming, {"e", "f"}, ResponseIncomplete{stream(1, 3) + stream(3, 5)})));
    BOOST_TEST(!hasViolation(call(CallKind::ResumableStreaming, {"e", "f"}, ResponseIncomplete{stream(1, 7)})));
}

BOOST_AUTO_TEST_CASE(callThatIsClosedWithoutAnswerIsLost)
{
    SoakCall lost = call(CallKind::NonIdempotent, {"e"}, ResponseIncomplete{});
    lost.circumstances.node = NodeServed{};
    BOOST_TEST(!hasViolation(lost));
    lost.circumstances.wasUndisturbed = true;
    BOOST_TEST(hasViolation(lost));
    lost.runs.clear();
    BOOST_TEST(hasViolation(lost));
    lost.circumstances.node = NodeUnavailable{};
    BOOST_TEST(!hasViolation(lost));
}

BOOST_AUTO_TEST_CASE(callThatItsEngineBrokeOffIsNotLost)
{
    SoakCall broken = call(CallKind::Streaming, {"e"}, ResponseIncomplete{});
    broken.circumstances.wasUndisturbed = true;
    broken.circumstances.node = NodeServed{};
    broken.wasBrokenOff = true;
    BOOST_TEST(!hasViolation(broken));
    broken.outcome = ResponseComplete{200, true, stream(1, eventsPerStream - 1)};
    BOOST_TEST(hasViolation(broken));
}

BOOST_AUTO_TEST_CASE(callThatAStoppingNodeClosesIsLostUnlessItCrossedTheClose)
{
    SoakCall lost = call(CallKind::NonIdempotent, {}, ResponseIncomplete{});
    lost.circumstances.wasUndisturbed = true;
    lost.circumstances.node = NodeStopping{absl::ZeroDuration(), absl::Milliseconds(100)};
    lost.circumstances.duration = absl::Milliseconds(100);
    BOOST_TEST(!hasViolation(lost));
    lost.circumstances.duration = absl::Milliseconds(1100);
    BOOST_TEST(hasViolation(lost));
    lost.circumstances.duration = absl::Milliseconds(100);
    lost.runs = {"e"};
    BOOST_TEST(hasViolation(lost));
    lost.circumstances.node = NodeStopping{absl::Seconds(1), absl::Milliseconds(3500)};
    BOOST_TEST(!hasViolation(lost));
    lost.circumstances.node = NodeStopping{absl::Milliseconds(3100), absl::Milliseconds(3500)};
    BOOST_TEST(hasViolation(lost));
}

BOOST_AUTO_TEST_CASE(callWithoutAnswerLongAfterItsDeadlineIsLost)
{
    SoakCall lost = call(CallKind::Idempotent, {}, ResponseTimedOut{});
    BOOST_TEST(!hasViolation(lost));
    lost.circumstances.wasUndisturbed = true;
    BOOST_TEST(hasViolation(lost));
}

BOOST_AUTO_TEST_CASE(refusalOfAnAllowedCallIsDetected)
{
    SoakCall refused = call(CallKind::Idempotent, {}, ResponseComplete{413, false, "large"});
    BOOST_TEST(!hasViolation(refused));
    refused.circumstances.isAllowed = true;
    BOOST_TEST(hasViolation(refused));
}

BOOST_AUTO_TEST_CASE(engineRequestThatDiffersFromTheCallersIsDetected)
{
    SoakLedger ledger;
    SoakCall sent = call(CallKind::Idempotent, {}, RequestNotSent{});
    sent.target = "/read/a1";
    sent.body = "b";
    ledger.recordSent(sent);
    ledger.recordRun("a1", "e", "/read/a1", "b");
    ledger.recordOutcome("a1", ResponseComplete{200, true, completeResponseBody("a1")}, CallCircumstances{});
    BOOST_TEST(ledger.findViolations().empty());
    ledger.recordRun("a1", "e", "/read/a1", "other");
    ledger.recordRun("a9", "e", "/read/a9", "b");
    BOOST_TEST(ledger.findViolations().size() >= 2U);
}

BOOST_AUTO_TEST_CASE(unsignedErrorCountsAsNodeFailure)
{
    BOOST_TEST(isNodeFailure(call(CallKind::NonIdempotent, {}, ResponseComplete{503, false, "full"})));
    BOOST_TEST(isNodeFailure(call(CallKind::Streaming, {"e"}, ResponseIncomplete{})));
    BOOST_TEST(!isNodeFailure(call(CallKind::NonIdempotent, {"e"}, ResponseComplete{500, true, "bad"})));
    BOOST_TEST(!isNodeFailure(call(CallKind::NonIdempotent, {"e"}, ResponseComplete{200, true, "good"})));
    BOOST_TEST(!isNodeFailure(call(CallKind::NonIdempotent, {"e"}, CallerDisconnected{})));
}

BOOST_AUTO_TEST_CASE(sameSeedGivesSameSteps)
{
    const SoakSize size{3, 7, absl::Seconds(60)};
    BOOST_TEST((planSoak(5, size) == planSoak(5, size)));
    BOOST_TEST(!(planSoak(5, size) == planSoak(6, size)));
    BOOST_TEST(planSoak(5, size).size() > 20U);
    for (const SoakStep &step : planSoak(5, size)) {
        BOOST_TEST(!describeStep(step).empty());
    }
}

BOOST_AUTO_TEST_CASE(plannedProfileHasOnlyPlannedOperations)
{
    const std::vector<SoakStep> steps = planSoak(5, SoakSize{3, 7, absl::Seconds(60), SoakProfile::Planned});
    BOOST_TEST(steps.size() > 60U);
    for (const SoakStep &step : steps) {
        BOOST_TEST(isPlannedOperation(step.action));
        BOOST_TEST(!describeStep(step).empty());
    }
}

BOOST_AUTO_TEST_SUITE_END()
