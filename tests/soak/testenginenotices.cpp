#include "soak/enginenotices.h"

#include <boost/test/unit_test.hpp>

using namespace Apricot;

namespace {

const absl::Time start = absl::FromUnixSeconds(1000);

EngineArrival arrival(absl::Duration sentAfter, absl::Duration arrivedAfter)
{
    return EngineArrival{"a1", start + sentAfter, start + arrivedAfter};
}

}

BOOST_AUTO_TEST_SUITE(EngineNoticeLedgers)

BOOST_AUTO_TEST_CASE(callSentLongAfterALeavingAnswerBreaksDrain)
{
    EngineNotices notices;
    notices.arrivals = {arrival(drainTime, drainTime + absl::Seconds(1))};
    BOOST_TEST(findDrainViolations(notices).empty());
    notices.leavingPassedOnAt = start;
    BOOST_TEST(findDrainViolations(notices).empty());
    notices.arrivals.push_back(arrival(drainTime + absl::Milliseconds(1), drainTime + absl::Milliseconds(2)));
    BOOST_TEST(findDrainViolations(notices).size() == 1U);
}

BOOST_AUTO_TEST_CASE(thirdRequestDuringBackOffBreaksBudget)
{
    EngineNotices notices;
    notices.backOffs = {EngineBackOff{start, start + absl::Seconds(2)}};
    notices.arrivals = {arrival(absl::ZeroDuration(), absl::Milliseconds(400)), arrival(absl::ZeroDuration(), absl::Milliseconds(600)),
                        arrival(absl::ZeroDuration(), absl::Milliseconds(1900)), arrival(absl::ZeroDuration(), absl::Milliseconds(2100))};
    BOOST_TEST(findBackOffViolations(notices).empty());
    notices.arrivals.push_back(arrival(absl::ZeroDuration(), absl::Milliseconds(700)));
    BOOST_TEST(findBackOffViolations(notices).size() == 1U);
}

BOOST_AUTO_TEST_CASE(restartOfTheNodeExcuses)
{
    EngineNoticeLedger ledger;
    const EngineAtNode before{"e/1", NodeLifetime{0, 1}};
    const EngineAtNode after{"e/1", NodeLifetime{0, 2}};
    ledger.recordLeavingPassedOn(before, start);
    ledger.recordArrival(after, arrival(2 * drainTime, 2 * drainTime));
    BOOST_TEST(ledger.findViolations().empty());
    ledger.recordArrival(before, arrival(2 * drainTime, 2 * drainTime));
    BOOST_TEST(ledger.findViolations().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
