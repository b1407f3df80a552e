#include "scheduler/schedulerfixture.h"

#include <boost/test/unit_test.hpp>

using namespace Apricot;
using Apricot::Test::SliceFixture;

BOOST_FIXTURE_TEST_SUITE(Scheduler, SliceFixture)

BOOST_AUTO_TEST_CASE(memoryIsReservedBeforeThePrefillAndFreedAtTheEnd)
{
    const Actions started = arrive("a");
    const auto *prefill = find<StartPrefill>(started);
    BOOST_REQUIRE(prefill != nullptr);
    BOOST_TEST(scheduler.counts().reservedPieces > 0);
    const Actions ready = prefilled("a");
    const auto *decode = find<StartDecode>(ready);
    BOOST_REQUIRE(decode != nullptr);
    BOOST_TEST((decode->decode == prefill->decode));
    scheduler.handle(WorkFinished{RequestId("a"), 1, 50}, now);
    BOOST_TEST(scheduler.counts().reservedPieces == 0);
    BOOST_TEST(scheduler.counts().decoding == 0U);
}

BOOST_AUTO_TEST_CASE(aRepeatedArrivalGetsTheSameAction)
{
    const Actions first = arrive("a");
    BOOST_TEST((arrive("a") == first));
    BOOST_TEST(scheduler.counts().prefilling == 1U);
}

BOOST_AUTO_TEST_CASE(aLaterAttemptSupersedesAndAnEarlierOneIsRefused)
{
    arrive("a");
    const Work again = work("a", now).with(&WorkFields::attempt, 2);
    const Actions actions = scheduler.handle(WorkArrived{again}, now);
    const auto *cancel = find<CancelOnEngine>(actions);
    BOOST_REQUIRE(cancel != nullptr);
    BOOST_TEST(cancel->attempt == 1U);
    BOOST_REQUIRE(find<StartPrefill>(actions) != nullptr);
    BOOST_TEST(find<StartPrefill>(actions)->attempt == 2U);
    const Actions late = arrive("a");
    BOOST_REQUIRE(find<Refuse>(late) != nullptr);
    BOOST_TEST((find<Refuse>(late)->kind == ErrorKind::Superseded));
}

BOOST_AUTO_TEST_CASE(aRequestThatCannotMeetItsTargetIsRefusedImmediatelyAsNotRun)
{
    const Actions actions = arrive("long", 19000);
    const auto *refusal = find<Refuse>(actions);
    BOOST_REQUIRE(refusal != nullptr);
    BOOST_TEST((refusal->kind == ErrorKind::TargetUnreachable));
    BOOST_TEST((errorDescriptor(refusal->kind).outcome == Outcome::NotRun));
    BOOST_TEST((refusal->retryAfter > absl::ZeroDuration()));
}

BOOST_AUTO_TEST_CASE(aPromptLargerThanTheFreeMemoryWaitsWhileOthersContinue)
{
    arrive("a", 1600);
    arrive("b", 1600);
    BOOST_TEST(find<StartPrefill>(arrive("c", 2800)) == nullptr);
    BOOST_TEST(scheduler.counts().waiting == 1U);
    BOOST_TEST(scheduler.counts().reservedPieces <= 2 * pieces);
}

BOOST_AUTO_TEST_CASE(urgentWorkIsServedFirst)
{
    for (int i = 0; i < 8; ++i) {
        arrive(absl::StrCat("o", i), 400, "other");
    }
    arrive("u", 400, "urgent");
    now += absl::Milliseconds(40);
    Actions started;
    for (int i = 0; i < 8 && find<StartPrefill>(started) == nullptr; ++i) {
        started = prefilled(absl::StrCat("o", i));
    }
    BOOST_REQUIRE(find<StartPrefill>(started) != nullptr);
    BOOST_TEST((find<StartPrefill>(started)->id == RequestId("u")));
}

BOOST_AUTO_TEST_CASE(aLeavingEngineGetsNoNewWorkAndKeepsItsStreams)
{
    arrive("a");
    const Actions ready = prefilled("a");
    const EngineId engine = find<StartDecode>(ready)->decode;
    scheduler.handle(EngineLeaving{engine}, now);
    for (int i = 0; i < 3; ++i) {
        const Actions actions = arrive(absl::StrCat("b", i));
        const auto *start = find<StartPrefill>(actions);
        BOOST_TEST((start == nullptr || start->decode != engine));
    }
    BOOST_TEST(scheduler.counts().decoding == 1U);
    BOOST_TEST(find<CancelOnEngine>(scheduler.handle(Tick{}, now)) == nullptr);
}

BOOST_AUTO_TEST_CASE(anUnrenewedReservationIsCancelledOnTheEngine)
{
    arrive("a");
    prefilled("a");
    now += SchedulerTimings::reservationTimeout + absl::Milliseconds(1);
    const Actions actions = scheduler.handle(Tick{}, now);
    BOOST_REQUIRE(find<CancelOnEngine>(actions) != nullptr);
    BOOST_TEST(scheduler.counts().reservedPieces == 0);
}

BOOST_AUTO_TEST_CASE(memoryOfUnknownRequestsIsCancelledAfterTheGracePeriod)
{
    EngineReported report;
    report.engine = EngineId("d0");
    report.held = {RequestId("ghost")};
    BOOST_TEST(scheduler.handle(report, now).empty());
    now += SchedulerTimings::orphanGracePeriod;
    const Actions actions = scheduler.handle(report, now);
    BOOST_REQUIRE(find<CancelOnEngine>(actions) != nullptr);
    BOOST_TEST((find<CancelOnEngine>(actions)->id == RequestId("ghost")));
}

BOOST_AUTO_TEST_CASE(aNewOwnerRestoresReservationsFromRenewals)
{
    SchedulerSettings later = settings();
    later.conservativeStart = true;
    later.startedAt = now;
    SliceScheduler successor(later);
    const Work known = work("a", now);
    successor.handle(WorkRenewed{known, EngineId("p0"), EngineId("d0"), true, 20}, now);
    BOOST_TEST(successor.counts().decoding == 1U);
    BOOST_TEST(successor.hasReservation(RequestId("a")));
    successor.handle(WorkFinished{RequestId("a"), 1, 40}, now);
    BOOST_TEST(successor.counts().reservedPieces == 0);
}

BOOST_AUTO_TEST_CASE(aNewOwnerCountsReportedUsageUntilRenewalsArrive)
{
    SchedulerSettings later = settings();
    later.conservativeStart = true;
    later.startedAt = now;
    SliceScheduler successor(later);
    for (const char *name : {"d0", "d1"}) {
        EngineReported report;
        report.engine = EngineId(name);
        report.running = slots;
        report.piecesInUse = pieces;
        successor.handle(report, now);
    }
    BOOST_TEST(find<StartPrefill>(successor.handle(WorkArrived{work("a", now)}, now)) == nullptr);
    now += SchedulerTimings::conservativeStartPeriod;
    BOOST_TEST(find<StartPrefill>(successor.handle(Tick{}, now)) != nullptr);
}

BOOST_AUTO_TEST_CASE(aRenewalOfALaterAttemptReplacesTheEarlierOne)
{
    arrive("a");
    prefilled("a");
    const Work later = work("a", now).with(&WorkFields::attempt, 5);
    scheduler.handle(WorkRenewed{later, EngineId("p0"), EngineId("d1"), true, 3}, now);
    BOOST_TEST(scheduler.counts().decoding == 1U);
    scheduler.handle(WorkFinished{RequestId("a"), 1, 9}, now);
    BOOST_TEST(scheduler.counts().decoding == 1U);
    scheduler.handle(WorkFinished{RequestId("a"), 5, 9}, now);
    BOOST_TEST(scheduler.counts().reservedPieces == 0);
}

BOOST_AUTO_TEST_CASE(anExcludedEngineIsNotUsed)
{
    const Work excluding = work("a", now).with(&WorkFields::excludedEngine, EngineId("d0"));
    const Actions actions = scheduler.handle(WorkArrived{excluding}, now);
    BOOST_REQUIRE(find<StartPrefill>(actions) != nullptr);
    BOOST_TEST((find<StartPrefill>(actions)->decode == EngineId("d1")));
}

BOOST_AUTO_TEST_CASE(theEngineWithTheCachedPrefixIsPreferredWhenEnginesAreFree)
{
    const Work shared = work("a", now, 1000).with(&WorkFields::prefixHash, 7U).with(&WorkFields::prefixTokens, 800);
    EngineReported report;
    report.engine = EngineId("p1");
    report.cachedPrefixes = {7};
    scheduler.handle(report, now);
    const Actions actions = scheduler.handle(WorkArrived{shared}, now);
    BOOST_REQUIRE(find<StartPrefill>(actions) != nullptr);
    BOOST_TEST((find<StartPrefill>(actions)->prefill == EngineId("p1")));
}

BOOST_AUTO_TEST_CASE(anOverloadIsReportedInTheRankLimits)
{
    for (int i = 0; i < 200; ++i) {
        arrive(absl::StrCat("o", i), 400, "other");
    }
    bool overloaded = false;
    for (const RankLimit &limit : scheduler.limits(now)) {
        overloaded = overloaded || (limit.rank == RankName("other") && limit.overloaded);
    }
    BOOST_TEST(overloaded);
}

BOOST_AUTO_TEST_SUITE_END()
