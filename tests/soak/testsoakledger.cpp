#include "soak/soakledger.h"
#include "soak/soakstep.h"

#include <boost/test/unit_test.hpp>

using namespace Apricot;

namespace {

SoakCall call(CallKind kind, std::vector<std::string> runs, SoakEnd end)
{
    SoakCall it;
    it.attempt = "a1";
    it.kind = kind;
    it.runs = std::move(runs);
    it.end = std::move(end);
    return it;
}

std::string stream(int first, int last)
{
    std::string events;
    for (int id = first; id <= last; ++id) {
        events += eventOf("a1", id);
    }
    return events;
}

bool isBroken(const SoakCall &it)
{
    return !brokenPromises(it).empty();
}

}

BOOST_AUTO_TEST_SUITE(SoakLedgers)

BOOST_AUTO_TEST_CASE(aGoodAnswerBreaksNothing)
{
    BOOST_TEST(!isBroken(call(CallKind::Book, {"e"}, WasAnswered{200, true, wholeAnswerOf("a1")})));
    BOOST_TEST(!isBroken(call(CallKind::Draft, {"e"}, WasAnswered{200, true, stream(1, eventsOfStream)})));
    BOOST_TEST(!isBroken(call(CallKind::Book, {}, WasAnswered{503, false, "full"})));
    BOOST_TEST(!isBroken(call(CallKind::Book, {"e"}, WasAnswered{502, false, "unknown"})));
}

BOOST_AUTO_TEST_CASE(aSecondRunAndAFalsePromiseAreFound)
{
    BOOST_TEST(isBroken(call(CallKind::Book, {"e", "f"}, WasCutOff{})));
    BOOST_TEST(isBroken(call(CallKind::Draft, {"e", "e"}, WasCutOff{})));
    BOOST_TEST(!isBroken(call(CallKind::Read, {"e", "f"}, WasCutOff{})));
    BOOST_TEST(isBroken(call(CallKind::Book, {"e"}, WasAnswered{503, false, "full"})));
    BOOST_TEST(isBroken(call(CallKind::Book, {"e"}, WasNotSent{})));
}

BOOST_AUTO_TEST_CASE(anotherAnswerThanTheEnginesIsFound)
{
    BOOST_TEST(isBroken(call(CallKind::Read, {"e"}, WasAnswered{200, true, wholeAnswerOf("a2")})));
    BOOST_TEST(isBroken(call(CallKind::Read, {"e"}, WasAnswered{200, false, wholeAnswerOf("a1")})));
    BOOST_TEST(isBroken(call(CallKind::Read, {}, WasAnswered{200, true, wholeAnswerOf("a1")})));
}

BOOST_AUTO_TEST_CASE(aStreamThatMissesOrRepeatsAnEventIsFound)
{
    BOOST_TEST(isBroken(call(CallKind::Resumable, {"e"}, WasAnswered{200, true, stream(1, eventsOfStream - 1)})));
    BOOST_TEST(isBroken(call(CallKind::Resumable, {"e", "f"}, WasCutOff{stream(1, 3) + stream(3, 5)})));
    BOOST_TEST(!isBroken(call(CallKind::Resumable, {"e", "f"}, WasCutOff{stream(1, 7)})));
}

BOOST_AUTO_TEST_CASE(aCallThatIsCutOffInCalmIsFound)
{
    SoakCall calm = call(CallKind::Book, {}, WasCutOff{});
    BOOST_TEST(!isBroken(calm));
    calm.wasCalm = true;
    BOOST_TEST(!isBroken(calm)); // It crossed the close of its connection.
    calm.runs = {"e"};
    BOOST_TEST(isBroken(calm));
}

BOOST_AUTO_TEST_CASE(whatAnEngineGetsMustBeWhatACallerSent)
{
    SoakLedger ledger;
    SoakCall sent = call(CallKind::Read, {}, WasNotSent{});
    sent.target = "/read/a1";
    sent.body = "b";
    ledger.sent(sent);
    ledger.ran("a1", "e", "/read/a1", "b");
    ledger.ended("a1", WasAnswered{200, true, wholeAnswerOf("a1")}, true);
    BOOST_TEST(ledger.brokenPromises().empty());
    ledger.ran("a1", "e", "/read/a1", "other");
    ledger.ran("a9", "e", "/read/a9", "b");
    BOOST_TEST(ledger.brokenPromises().size() >= 2U);
}

BOOST_AUTO_TEST_CASE(aFailureIsTheNodesIfNoEngineSignedIt)
{
    BOOST_TEST(isFailureOfNode(call(CallKind::Book, {}, WasAnswered{503, false, "full"})));
    BOOST_TEST(isFailureOfNode(call(CallKind::Draft, {"e"}, WasCutOff{})));
    BOOST_TEST(!isFailureOfNode(call(CallKind::Book, {"e"}, WasAnswered{500, true, "bad"})));
    BOOST_TEST(!isFailureOfNode(call(CallKind::Book, {"e"}, WasAnswered{200, true, "good"})));
    BOOST_TEST(!isFailureOfNode(call(CallKind::Book, {"e"}, WasGivenUp{})));
}

BOOST_AUTO_TEST_CASE(aSeedGivesTheSameStepsAgain)
{
    const SoakSize size{3, 7, absl::Seconds(60)};
    BOOST_TEST((planSoak(5, size) == planSoak(5, size)));
    BOOST_TEST(!(planSoak(5, size) == planSoak(6, size)));
    BOOST_TEST(planSoak(5, size).size() > 20U);
    for (const SoakStep &step : planSoak(5, size)) {
        BOOST_TEST(!describeStep(step).empty());
    }
}

BOOST_AUTO_TEST_SUITE_END()
