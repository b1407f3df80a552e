#include "coordination/servicepool.h"
#include "coordination/servicepoolmap.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

using namespace Apricot;

namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
const DataCentreName here("here");
const DataCentreName there("there");

EngineEntry engine(const std::string &id, EngineStage stage, const DataCentreName &dataCentre = here, std::int64_t slots = 32)
{
    return EngineEntry::Builder()
        .set(&EngineEntryFields::id, EngineId(id))
        .set(&EngineEntryFields::service, ServiceName("s"))
        .set(&EngineEntryFields::address, "10.0.0.1:1")
        .set(&EngineEntryFields::dataCentre, dataCentre)
        .set(&EngineEntryFields::slots, slots)
        .set(&EngineEntryFields::stage, stage)
        .set(&EngineEntryFields::startedMs, std::int64_t{1})
        .build();
}

ModelEngineSpec modelSpec()
{
    ModelEngineSpecFields fields;
    fields.slots = 32;
    fields.kvCapacityTokens = 10000;
    fields.handleLifetime = absl::Milliseconds(500);
    return ModelEngineSpec(fields);
}

ModelDemand demand(std::int64_t prompt, std::int64_t rank = 0)
{
    ModelDemand it;
    it.nearTo = here;
    it.promptTokens = prompt;
    it.hintedOutputTokens = 0;
    it.maxOutputTokens = 1000;
    it.rank = rank;
    it.targetLatency = absl::Milliseconds(800);
    it.maxEventGap = absl::Milliseconds(300);
    it.maxWait = absl::Milliseconds(500);
    return it;
}

ServicePool modelPool(int prefills, int decodes)
{
    ServicePool pool;
    pool.setModel(modelSpec());
    for (int i = 0; i < prefills; ++i) {
        pool.apply(engine("p" + std::to_string(i), EngineStage::Prefill));
    }
    for (int i = 0; i < decodes; ++i) {
        pool.apply(engine("d" + std::to_string(i), EngineStage::Decode));
    }
    return pool;
}

}

BOOST_AUTO_TEST_SUITE(ServicePools)

BOOST_AUTO_TEST_CASE(plainCallsAreSpreadByLoad)
{
    ServicePool pool;
    for (const char *id : {"a", "b", "c"}) {
        pool.apply(engine(id, EngineStage::Plain));
    }
    std::map<std::string, int> placed;
    for (int i = 0; i < 30; ++i) {
        ++placed[(*pool.placePlain(here, {}, start))->id.text()];
    }
    for (const auto &[id, n] : placed) {
        BOOST_TEST(n == 10);
    }
}

BOOST_AUTO_TEST_CASE(aLeavingEngineGetsNoCalls)
{
    ServicePool pool;
    pool.apply(engine("a", EngineStage::Plain));
    pool.apply(engine("b", EngineStage::Plain).with(&EngineEntryFields::condition, EngineCondition::Leaving));
    for (int i = 0; i < 20; ++i) {
        BOOST_TEST((*pool.placePlain(here, {}, start))->id.text() == "a");
    }
    BOOST_TEST(!pool.isReady(engine("b", EngineStage::Plain)));
    pool.remove(EngineId("a"));
    BOOST_TEST(!pool.placePlain(here, {}, start).has_value());
}

BOOST_AUTO_TEST_CASE(aRestartUnderTheSameIdIsAnotherEngine)
{
    ServicePool pool;
    const EngineEntry before = engine("a", EngineStage::Plain);
    pool.apply(before);
    pool.recordResult(EngineId("a"), EngineResult::Unreachable, start);
    pool.apply(before.with(&EngineEntryFields::startedMs, 2));
    BOOST_TEST(!pool.isReady(before));
    BOOST_TEST(pool.isReady(before.with(&EngineEntryFields::startedMs, 2)));
}

BOOST_AUTO_TEST_CASE(anUnreachableEngineIsEjectedUnlessItIsTheOnlyOne)
{
    ServicePool pool;
    pool.apply(engine("a", EngineStage::Plain));
    pool.apply(engine("b", EngineStage::Plain));
    pool.recordResult(EngineId("a"), EngineResult::Unreachable, start);
    for (int i = 0; i < 5; ++i) {
        BOOST_TEST((*pool.placePlain(here, {}, start))->id.text() == "b");
    }
    BOOST_TEST((*pool.placePlain(here, {EngineId("b")}, start))->id.text() == "a");
}

BOOST_AUTO_TEST_CASE(anEngineThatFailsCallsGetsFewer)
{
    ServicePool pool;
    pool.apply(engine("good", EngineStage::Plain));
    pool.apply(engine("grey", EngineStage::Plain));
    for (int i = 0; i < 10; ++i) {
        pool.recordResult(EngineId("good"), EngineResult::Succeeded, start);
        pool.recordResult(EngineId("grey"), i % 2 == 0 ? EngineResult::Failed : EngineResult::Succeeded, start);
    }
    BOOST_TEST((*pool.placePlain(here, {}, start))->id.text() == "good");
    BOOST_TEST((*pool.placePlain(here, {}, start))->id.text() == "good");
}

/// Guards against an engine that attracts calls because its errors come faster than the answers of a sound one.
BOOST_AUTO_TEST_CASE(anEngineThatFailsFastDoesNotCountAsFast)
{
    ServicePool pool;
    pool.apply(engine("failing", EngineStage::Plain));
    pool.apply(engine("sound", EngineStage::Plain));
    pool.apply(engine("slower", EngineStage::Plain));
    pool.recordFailedAttempt(EngineId("failing"), absl::Milliseconds(1), start);
    pool.recordResult(EngineId("sound"), EngineResult::Succeeded, start);
    pool.recordCost(EngineId("sound"), 1, absl::Milliseconds(30), start);
    pool.recordResult(EngineId("slower"), EngineResult::Succeeded, start);
    pool.recordCost(EngineId("slower"), 1, absl::Milliseconds(40), start);
    BOOST_TEST((*pool.placePlain(here, {}, start))->id.text() == "sound");
    // A failure that took long does count: the engine is slow.
    pool.recordFailedAttempt(EngineId("sound"), absl::Seconds(1), start);
    BOOST_TEST((*pool.placePlain(here, {}, start))->id.text() == "slower");
}

BOOST_AUTO_TEST_CASE(decodeMemoryIsNeverReservedTwice)
{
    ServicePool pool = modelPool(1, 2);
    std::map<std::string, std::int64_t> reserved;
    while (const std::optional<ModelPlacement> placed = pool.placeModel(demand(2000), start)) {
        reserved[placed->decode->id.text()] += 2000;
        BOOST_TEST(reserved[placed->decode->id.text()] <= modelSpec()->kvCapacityTokens);
    }
    BOOST_TEST(reserved.size() == 2U);
}

BOOST_AUTO_TEST_CASE(peerLoadsCountUntilTheirReportsExpire)
{
    ServicePool pool = modelPool(1, 1);
    const EngineLoad full{EngineId("d0"), 4, 0, {EngineRun{1, 9000, 900, 0}}};
    pool.setPeerLoads(NodeId("peer"), {full}, {}, start);
    BOOST_TEST(!pool.placeModel(demand(2000), start).has_value());
    BOOST_TEST(pool.placeModel(demand(2000), start + absl::Seconds(3)).has_value());
}

BOOST_AUTO_TEST_CASE(aReleasedReservationIsFreeAgain)
{
    ServicePool pool = modelPool(1, 1);
    const std::optional<ModelPlacement> placed = pool.placeModel(demand(7000), start);
    BOOST_TEST(placed.has_value());
    BOOST_TEST(!pool.placeModel(demand(7000), start).has_value());
    for (const EngineReservation &reservation : placed->reservations) {
        pool.release(reservation);
    }
    BOOST_TEST(pool.ownLoads().empty());
    BOOST_TEST(pool.placeModel(demand(7000), start).has_value());
}

BOOST_AUTO_TEST_CASE(localPrefillIsChosenOnlyIfTheStreamsThereTolerateIt)
{
    ServicePool pool = modelPool(0, 1);
    BOOST_TEST(pool.placeModel(demand(2000), start).has_value()); // The engine is free.
    BOOST_TEST(!pool.placeModel(demand(2000), start).has_value()); // One prompt at a time.
    BOOST_TEST(!modelPool(0, 0).placeModel(demand(10), start).has_value());
}

BOOST_AUTO_TEST_CASE(aPrefillEngineIsOnlyChosenWithADecodeEngine)
{
    ServicePool pool = modelPool(2, 0);
    BOOST_TEST(!pool.placeModel(demand(100), start).has_value());
    BOOST_TEST(pool.ownLoads().empty());
}

BOOST_AUTO_TEST_CASE(capacityGoesToTheMostUrgentAndThenToTheEarliestWaitDeadline)
{
    ServicePool pool = modelPool(1, 1);
    const std::optional<ModelPlacement> holder = pool.placeModel(demand(6000), start);
    for (int i = 0; i < 30; ++i) { // The lower rank uses up its floor.
        const std::optional<ModelPlacement> placed = pool.placeModel(demand(1, 2), start);
        BOOST_REQUIRE(placed.has_value());
        for (const EngineReservation &reservation : placed->reservations) {
            pool.release(reservation);
        }
    }
    ModelDemand longWaitDemand = demand(6000);
    longWaitDemand.maxWait = absl::Seconds(2);
    pool.addWaiter(1, demand(6000, 2), start);
    pool.addWaiter(2, longWaitDemand, start);
    pool.addWaiter(3, demand(6000), start + absl::Milliseconds(10));
    BOOST_TEST(pool.grantCapacity(start).empty());
    std::vector<WaiterId> order;
    std::optional<ModelPlacement> current = holder;
    while (current) {
        for (const EngineReservation &reservation : current->reservations) {
            pool.release(reservation);
        }
        const std::vector<Grant> grants = pool.grantCapacity(start + absl::Milliseconds(20));
        current.reset();
        for (const Grant &grant : grants) {
            order.push_back(grant.waiter);
            current = grant.placement;
        }
    }
    BOOST_TEST(order == (std::vector<WaiterId>{3, 2, 1}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(everyRankKeepsItsFloorUnderOverload)
{
    ServicePool pool = modelPool(4, 8);
    int urgent = 0;
    int low = 0;
    for (int i = 0; i < 400; ++i) {
        const absl::Time now = start + absl::Milliseconds(10) * i;
        pool.addWaiter(static_cast<WaiterId>(2 * i + 1), demand(500), now);
        pool.addWaiter(static_cast<WaiterId>(2 * i + 2), demand(500, 2), now);
        for (const Grant &grant : pool.grantCapacity(now)) {
            (grant.waiter % 2 == 0 ? low : urgent) += 1;
            for (const EngineReservation &reservation : grant.placement.reservations) {
                pool.release(reservation);
            }
        }
    }
    BOOST_TEST(urgent > 0);
    BOOST_TEST(low >= urgent / 20);
}

BOOST_AUTO_TEST_CASE(theMapDeliversGrantsAndRemovesEngines)
{
    std::vector<WaiterId> granted;
    ServicePoolMap pools([&](const Grant &grant) { granted.push_back(grant.waiter); });
    RoutedServiceFields service;
    service.name = ServiceName("s");
    service.model = modelSpec();
    pools.setServices({RoutedService(service)});
    pools.withPool(ServiceName("s"), [&](ServicePool &pool) { pool.addWaiter(7, demand(100), start); });
    BOOST_TEST(pools.apply(engine("d", EngineStage::Decode), start));
    BOOST_TEST(!pools.apply(engine("d", EngineStage::Decode), start));
    BOOST_TEST(granted == std::vector<WaiterId>{7}, boost::test_tools::per_element());
    BOOST_TEST(pools.remove(EngineId("d")));
    BOOST_TEST(!pools.remove(EngineId("d")));
    BOOST_TEST(pools.entries().empty());
}

BOOST_AUTO_TEST_CASE(anEngineThatTwoPeersCannotReachIsSkippedWithoutAnAttempt)
{
    ServicePool pool;
    for (const char *id : {"a", "b", "c"}) {
        pool.apply(engine(id, EngineStage::Plain));
    }
    const auto placementsOnA = [&] {
        int n = 0;
        for (int i = 0; i < 9; ++i) {
            n += (*pool.placePlain(here, {}, start))->id.text() == "a" ? 1 : 0;
        }
        return n;
    };
    pool.setPeerUnreachableEngines(NodeId("m"), {EngineId("a")}, start);
    BOOST_TEST(placementsOnA() == 3); // A single node may be disconnected itself.
    pool.setPeerUnreachableEngines(NodeId("n"), {EngineId("a")}, start);
    BOOST_TEST(placementsOnA() == 0);
    pool.setPeerUnreachableEngines(NodeId("m"), {EngineId("a"), EngineId("b"), EngineId("c")}, start);
    pool.setPeerUnreachableEngines(NodeId("n"), {EngineId("a"), EngineId("b"), EngineId("c")}, start);
    BOOST_TEST(placementsOnA() > 0); // Peers that report all engines unreachable are disconnected themselves.
}

BOOST_AUTO_TEST_CASE(anEngineIsEjectedAfterThreeConsecutiveFailures)
{
    ServicePool pool = modelPool(0, 1);
    for (int i = 0; i < 3; ++i) {
        BOOST_TEST(pool.unreachableEngines(start).empty());
        pool.recordResult(EngineId("d0"), EngineResult::Failed, start);
    }
    BOOST_TEST(!pool.placeModel(demand(10), start).has_value());
    BOOST_TEST(pool.unreachableEngines(start).size() == 1U);
}

BOOST_AUTO_TEST_CASE(aNewEngineIsExpectedToBeAsFastAsTheBest)
{
    ServicePool pool;
    pool.apply(engine("known", EngineStage::Plain));
    pool.recordCost(EngineId("known"), 1, absl::Milliseconds(1), start);
    pool.apply(engine("new", EngineStage::Plain));
    std::map<std::string, int> placed;
    for (int i = 0; i < 10; ++i) {
        const EngineEntry chosen = *pool.placePlain(here, {}, start);
        ++placed[chosen->id.text()];
        pool.release(EngineReservation{chosen->id, 1, 0, std::nullopt});
    }
    BOOST_TEST(placed["new"] == 5);
}

BOOST_AUTO_TEST_CASE(aSlowEngineIsUsedAgainLater)
{
    const absl::Duration expected = absl::Milliseconds(10);
    EngineHealth health;
    BOOST_TEST((health.cost(expected, start) == expected));
    health.recordCost(1, absl::Seconds(1), start);
    BOOST_TEST((health.cost(expected, start) > absl::Milliseconds(100)));
    BOOST_TEST((health.cost(expected, start + absl::Minutes(2)) < absl::Milliseconds(11)));
}

namespace {

constexpr std::int64_t largePrompt = 5000; // Two of them do not fit into one engine.

WaitingCall waitingAtPeer(std::int64_t rank, absl::Duration maxWait)
{
    return WaitingCall{ServiceName("s"), rank, start + maxWait, largePrompt, 500};
}

/// A pool with one decode engine, which a peer has filled, and a call that waits at this node.
struct FullPool
{
    FullPool()
    {
        pool.setPeerLoads(peer, {EngineLoad{EngineId("d0"), 4, 0, {EngineRun{1, 9000, 900, 0}}}}, {}, start);
        pool.addWaiter(own, demand(largePrompt), start);
    }

    /// Applies a report of the peer that it has released the engine and that \a waiting are its waiting calls; returns the grants.
    std::vector<Grant> releaseCapacity(const std::vector<WaitingCall> &waiting)
    {
        pool.setPeerLoads(peer, {}, waiting, start);
        return pool.grantCapacity(start);
    }

    const NodeId peer{"peer"};
    const WaiterId own = 7;
    ServicePool pool = modelPool(1, 1);
};

}

BOOST_FIXTURE_TEST_CASE(capacityIsLeftToACallOfAPeerWithAnEarlierWaitDeadline, FullPool)
{
    BOOST_TEST(pool.grantCapacity(start).empty());
    BOOST_TEST(releaseCapacity({waitingAtPeer(0, absl::Milliseconds(100))}).empty());
    // The peer has placed its call and reports the load.
    pool.setPeerLoads(peer, {EngineLoad{EngineId("d0"), 1, 0, {EngineRun{2, largePrompt, 500, 0}}}}, {}, start);
    BOOST_TEST(pool.grantCapacity(start).empty());
    pool.setPeerLoads(peer, {}, {}, start);
    BOOST_TEST(pool.grantCapacity(start).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(aCallOfAPeerWithALaterWaitDeadlineGetsCapacityLater, FullPool)
{
    BOOST_TEST(releaseCapacity({waitingAtPeer(0, absl::Milliseconds(900))}).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(capacityForBothIsGrantedAtOnce, FullPool)
{
    pool.apply(engine("d1", EngineStage::Decode));
    pool.setPeerLoads(peer, {}, {waitingAtPeer(0, absl::Milliseconds(100))}, start);
    BOOST_TEST(pool.grantCapacity(start).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(capacityIsNotLeftToAPeerWithoutARecentReport, FullPool)
{
    BOOST_TEST(releaseCapacity({waitingAtPeer(0, absl::Milliseconds(450))}).empty());
    BOOST_TEST(pool.grantCapacity(start + absl::Milliseconds(301)).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(capacityLeftToAPeerIsNotReported, FullPool)
{
    releaseCapacity({waitingAtPeer(0, absl::Milliseconds(100))});
    BOOST_TEST(pool.ownLoads().empty());
}

BOOST_FIXTURE_TEST_CASE(aNewCallDoesNotOvertakeCallsThatWaitAtPeers, FullPool)
{
    pool.removeWaiter(own);
    pool.setPeerLoads(peer, {}, {waitingAtPeer(0, absl::Milliseconds(100))}, start);
    BOOST_TEST(!pool.placeNewCall(demand(100), start).has_value());
    pool.setPeerLoads(peer, {}, {}, start);
    BOOST_TEST(pool.placeNewCall(demand(100), start).has_value());
}

BOOST_FIXTURE_TEST_CASE(theFirstWaitingCallsAreReportedToPeers, FullPool)
{
    for (WaiterId id = 10; id < 20; ++id) {
        pool.addWaiter(id, demand(largePrompt, 1), start);
    }
    const std::vector<WaitingCall> reported = pool.ownWaitingCalls(start + absl::Milliseconds(200));
    BOOST_TEST(reported.size() == 4U);
    BOOST_TEST(reported.at(0).rank == 0);
    BOOST_TEST((reported.at(0).waitDeadline == start + absl::Milliseconds(500)));
    BOOST_TEST(reported.at(1).rank == 1);
}

BOOST_AUTO_TEST_CASE(aContinuedAnswerIsPrefilledWhereTheStreamsTolerateIt)
{
    ServicePool pool = modelPool(1, 2);
    pool.setPeerLoads(NodeId("peer"), {EngineLoad{EngineId("d0"), 3, 0, {}}}, {}, start);
    ModelDemand continued = demand(3000);
    continued.generatedTokens = 3000;
    // Prefill of 6000 tokens on d0 would interrupt its streams for longer than the acceptable gap.
    const std::optional<ModelPlacement> placed = pool.placeModel(continued, start);
    BOOST_REQUIRE(placed.has_value());
    BOOST_TEST(placed->decode->id.text() == "d1");
    BOOST_TEST(!placed->prefill.has_value());
    BOOST_TEST(!pool.allowsLocalPrefill(EngineId("d0"), continued, start));
    BOOST_TEST(pool.allowsLocalPrefill(EngineId("d0"), demand(2000), start));
}

BOOST_AUTO_TEST_CASE(moreMemoryIsKeptFreeWithMorePeers)
{
    ServicePool pool = modelPool(1, 1);
    ModelDemand almostAll = demand(8500);
    almostAll.expectedOutputTokens = 500;
    BOOST_TEST(pool.placeModel(almostAll, start).has_value());
    ServicePool withManyPeers = modelPool(1, 1);
    for (int i = 0; i < 80; ++i) {
        withManyPeers.setPeerLoads(NodeId("peer" + std::to_string(i)), {}, {}, start);
    }
    BOOST_TEST(!withManyPeers.placeModel(almostAll, start).has_value());
    BOOST_TEST(withManyPeers.placeModel(almostAll, start + absl::Seconds(3)).has_value()); // Their reports have expired.
}

/// The first call of the queue has failed at the engine that is free: it waits for another one, and those behind it need not wait.
BOOST_AUTO_TEST_CASE(aCallThatExcludesTheFreeEngineDoesNotHoldUpOthers)
{
    ServicePool pool = modelPool(1, 1);
    ModelDemand picky = demand(1000);
    picky.excludedEngines = {EngineId("d0")};
    pool.addWaiter(1, picky, start);
    pool.addWaiter(2, demand(1000), start + absl::Milliseconds(1));
    const std::vector<Grant> grants = pool.grantCapacity(start + absl::Milliseconds(2));
    BOOST_REQUIRE(grants.size() == 1U);
    BOOST_TEST(grants.front().waiter == 2U);
}

/// Two of six decode engines go dark in a burst. An ejected engine is empty, so it looks best as soon as its ejection ends: only one
/// call may try it, or all calls of that moment lose the time of a failed connection.
BOOST_AUTO_TEST_CASE(anEjectedEngineIsTriedByOneCallAtATime)
{
    ServicePool pool = modelPool(4, 6);
    const auto isDark = [](const EngineId &engine) {
        return engine == EngineId("d0") || engine == EngineId("d1");
    };
    for (const char *id : {"d2", "d3", "d4", "d5"}) {
        pool.add(EngineReservation{EngineId(id), 1, 0, EngineRun{1000, 4000, 500, 0}});
    }
    constexpr absl::Duration connectTimeout = absl::Milliseconds(250);
    constexpr absl::Duration interval = absl::Milliseconds(20);
    std::map<absl::Time, EngineId> failures; // by the time when the connection attempt ends
    int lost = 0;
    for (absl::Duration at = absl::ZeroDuration(); at < absl::Seconds(3); at += interval) {
        const absl::Time now = start + at;
        while (!failures.empty() && failures.begin()->first <= now) {
            pool.recordResult(failures.begin()->second, EngineResult::Unreachable, now);
            failures.erase(failures.begin());
        }
        const std::optional<ModelPlacement> placement = pool.placeModel(demand(500), now);
        if (!placement) {
            continue;
        }
        pool.recordResult((*placement->prefill)->id, EngineResult::Succeeded, now);
        if (isDark(placement->decode->id)) {
            ++lost;
            failures.emplace(now + connectTimeout + absl::Microseconds(lost), placement->decode->id);
        }
        for (const EngineReservation &reservation : placement->reservations) {
            pool.release(reservation);
        }
    }
    // Each engine: the calls of the first connect timeout, then one call after each ejection (0.6 s, 1.2 s).
    const auto firstCalls = 2 * static_cast<int>(connectTimeout / interval + 1);
    BOOST_TEST(lost <= firstCalls + 2 * 2);
}

BOOST_AUTO_TEST_CASE(anEngineThatAnswersAgainIsUsedByAll)
{
    ServicePool pool = modelPool(1, 1);
    const EngineId engine("d0");
    pool.recordResult(engine, EngineResult::Unreachable, start);
    const absl::Time later = start + absl::Seconds(1);
    BOOST_TEST(!pool.isReachable(engine, start));
    BOOST_TEST(pool.isReachable(engine, later));
    BOOST_TEST(pool.placeModel(demand(500), later).has_value());
    BOOST_TEST(!pool.placeModel(demand(500), later).has_value());
    pool.recordAccepted(engine, later);
    BOOST_TEST(pool.placeModel(demand(500), later).has_value());
}

/// An engine that was unreachable is back, and still busy with the requests of before: it refuses for a second what looks like a good
/// placement. Each refusal costs a prefill, so the calls back off.
BOOST_AUTO_TEST_CASE(anEngineThatKeepsRefusingIsAskedLessAndLess)
{
    EngineHealth health;
    int asked = 0;
    for (absl::Duration at = absl::ZeroDuration(); at < absl::Seconds(1); at += absl::Milliseconds(5)) {
        if (!health.isEjected(start + at)) {
            ++asked;
            health.recordResult(EngineResult::Refused, start + at);
        }
    }
    BOOST_TEST(asked <= 5);
    BOOST_TEST(health.isRefusing());
    const absl::Time later = start + absl::Seconds(2);
    health.recordAccepted();
    health.recordResult(EngineResult::Refused, later);
    BOOST_TEST(!health.isRefusing());
    BOOST_TEST(!health.isEjected(later + absl::Milliseconds(50)));
}

/// Two parts of a deployment cannot reach each other, in a burst: each places on the same engines as if it were alone, and learns from
/// refusals how much the other part uses.
BOOST_AUTO_TEST_CASE(partsThatCannotReachEachOtherLearnFromRefusals)
{
    constexpr int engineCount = 4;
    constexpr std::int64_t promptTokens = 1000;
    constexpr std::int64_t outputTokens = 500;
    constexpr std::int64_t runsPerEngine = 6;
    constexpr absl::Duration runTime = absl::Milliseconds(1500);
    constexpr absl::Duration interval = absl::Milliseconds(30);
    struct Run
    {
        std::size_t part = 0;
        ModelPlacement placement;
        absl::Time end;
    };
    std::vector<ServicePool> parts{modelPool(4, engineCount), modelPool(4, engineCount)};
    std::vector<Run> running;
    int refused = 0;
    int accepted = 0;
    const auto release = [&](const Run &run) {
        for (const EngineReservation &reservation : run.placement.reservations) {
            parts[run.part].release(reservation);
        }
    };
    for (absl::Duration at = absl::ZeroDuration(); at < absl::Seconds(10); at += interval) {
        const absl::Time now = start + at;
        for (const Run &run : running) {
            if (run.end <= now) {
                release(run);
            }
        }
        std::erase_if(running, [&](const Run &run) { return run.end <= now; });
        const std::size_t part = static_cast<std::size_t>(at / interval) % parts.size();
        ModelDemand wanted = demand(promptTokens);
        wanted.expectedOutputTokens = outputTokens;
        const std::optional<ModelPlacement> placement = parts[part].placeModel(wanted, now);
        if (!placement) {
            continue;
        }
        const EngineId engine = placement->decode->id;
        const auto runs = std::count_if(running.begin(), running.end(), [&](const Run &run) { return run.placement.decode->id == engine; });
        if (runs >= runsPerEngine) {
            ++refused;
            parts[part].recordResult(engine, EngineResult::Refused, now);
            release(Run{part, *placement, now});
            continue;
        }
        ++accepted;
        parts[part].recordAccepted(engine, now);
        running.push_back(Run{part, *placement, now + runTime});
    }
    // The engines are used, and at most one call in five is prefilled for nothing.
    const double capacity = engineCount * runsPerEngine * (absl::Seconds(10) / runTime);
    BOOST_TEST(accepted >= 0.85 * capacity);
    BOOST_TEST(refused <= accepted / 4);
}

BOOST_AUTO_TEST_SUITE_END()
