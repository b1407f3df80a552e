#include "coordination/returnschedule.h"
#include "coordination/waitingcalls.h"
#include "entry/fairload.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <string>
#include <tuple>

using namespace Apricot;

// The deployment has 16 decode engines, each with memory for six runs of 2.65 s: about 36 calls of the usual size a second. The targets
// come from docs/design/shared-load.md and were set before the measurements.

namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
constexpr absl::Duration surgeStart = absl::Seconds(6);

/// \a usual calls a second, and \a factor times as many from surgeStart for \a length.
std::function<double(absl::Duration)> surge(double usual, double factor, absl::Duration length)
{
    return [=](absl::Duration at) {
        return at >= surgeStart && at < surgeStart + length ? usual * factor : usual;
    };
}

std::function<double(absl::Duration)> steady(double callsPerSecond)
{
    return surge(callsPerSecond, 1, absl::ZeroDuration());
}

WorkspaceLoad load(const std::string &name, std::function<double(absl::Duration)> callsPerSecond)
{
    WorkspaceLoad it;
    it.name = name;
    it.callsPerSecond = std::move(callsPerSecond);
    return it;
}

/// A hot workspace that asks seven times its usual for six seconds beside 15 ordinary ones, in a deployment that serves the usual load.
std::vector<WorkspaceLoad> hotWorkspace()
{
    constexpr absl::Duration length = absl::Seconds(6);
    std::vector<WorkspaceLoad> loads{load("hot", surge(2, 7, length))};
    for (int i = 0; i < 15; ++i) {
        loads.push_back(load("w" + std::to_string(i), steady(2)));
    }
    return loads;
}

/// Twelve workspaces with many small patient calls and four with a few large ones; together far more than there is room for.
std::vector<WorkspaceLoad> smallAndLarge()
{
    std::vector<WorkspaceLoad> loads;
    for (int i = 0; i < 12; ++i) {
        WorkspaceLoad it = load("small" + std::to_string(i), steady(10));
        it.promptTokens = 300;
        it.outputTokens = 250;
        it.maxWait = absl::Seconds(2);
        loads.push_back(it);
    }
    for (int i = 0; i < 4; ++i) {
        WorkspaceLoad it = load("large" + std::to_string(i), steady(1.5));
        it.promptTokens = 5000;
        loads.push_back(it);
    }
    return loads;
}

/// All of 16 workspaces ask more than twice as much for four seconds, about twice what there is room for.
std::vector<WorkspaceLoad> burstOfAll()
{
    constexpr absl::Duration length = absl::Seconds(4);
    std::vector<WorkspaceLoad> loads;
    for (int i = 0; i < 16; ++i) {
        loads.push_back(load("w" + std::to_string(i), surge(1.75, 2.5, length)));
    }
    return loads;
}

/// A workspace that was alone uses all of the capacity and asks for more, when another one returns that asks for less than its half.
std::vector<WorkspaceLoad> borrowerAndOwner()
{
    const auto returning = [](absl::Duration at) {
        return at >= surgeStart ? 15.0 : 0.0;
    };
    return {load("borrower", steady(80)), load("owner", returning)};
}

/// What became of the calls of the 15 ordinary workspaces.
struct OrdinaryOutcome
{
    double served = 0; ///< fraction that was placed, maybe at its return
    double atOnce = 0; ///< fraction that was placed at its first attempt, so that the caller saw no refusal
};

OrdinaryOutcome ordinaryOutcome(const FairLoad &played, absl::Duration from, absl::Duration until)
{
    WorkspaceOutcome sum;
    for (int i = 0; i < 15; ++i) {
        const WorkspaceOutcome it = played.outcome("w" + std::to_string(i), from, until);
        sum.asked += it.asked;
        sum.placed += it.placed;
        sum.placedAtOnce += it.placedAtOnce;
    }
    return OrdinaryOutcome{sum.servedFraction(), static_cast<double>(sum.placedAtOnce) / sum.asked};
}

FairLoad play(const SimulatedDeployment &deployment, std::vector<WorkspaceLoad> loads)
{
    FairLoad played(deployment, std::move(loads));
    played.run();
    return played;
}

/// The requirement: the served fraction of each workspace is at least a quarter of that of all.
constexpr double minRelativeFraction = 0.25;

ModelDemand demand(const std::string &workspace, std::int64_t rank, absl::Duration maxWait)
{
    ModelDemand it;
    it.workspace = WorkspaceName(workspace);
    it.rank = rank;
    it.promptTokens = 1000;
    it.expectedOutputTokens = 500;
    it.maxWait = maxWait;
    return it;
}

std::vector<WaiterId> order(const WaitingCalls &calls, absl::Time now)
{
    std::vector<WaiterId> waiters;
    for (const QueueEntry &it : calls.ownQueue(0, now)) {
        waiters.push_back(it.waiter);
    }
    return waiters;
}

}

BOOST_AUTO_TEST_SUITE(FairAdmission)

/// Guards against a change of the order where no workspaces exist: by rank with the floors, then by the end of the wait, then by age.
BOOST_AUTO_TEST_CASE(withoutWorkspacesTheOrderIsByRankAndEndOfWait)
{
    std::mt19937 random(1);
    for (int round = 0; round < 200; ++round) {
        WaitingCalls calls;
        for (int i = 0; i < 60; ++i) {
            calls.recordPlacement(demand("", static_cast<std::int64_t>(random() % 3), absl::Seconds(1)), 0, start);
            if (random() % 3 == 0) {
                calls.recordRefused(demand("", static_cast<std::int64_t>(random() % 3), absl::Seconds(1)), absl::Seconds(14), 0.5, start);
            }
        }
        using Key = std::tuple<std::int64_t, absl::Time, WaiterId>;
        std::vector<Key> expected;
        for (WaiterId id = 1; id <= 30; ++id) {
            const ModelDemand it = demand("", static_cast<std::int64_t>(random() % 3), absl::Milliseconds(random() % 20));
            calls.add(id, it, start);
            expected.emplace_back(calls.isBelowFloor(it.rank, 0, start) ? 0 : it.rank, start + it.maxWait, id);
        }
        std::sort(expected.begin(), expected.end());
        std::vector<WaiterId> waiters;
        for (const Key &it : expected) {
            waiters.push_back(std::get<WaiterId>(it));
        }
        BOOST_TEST(order(calls, start) == waiters, boost::test_tools::per_element());
    }
}

/// Guards against a workspace whose calls wait for less long being served first, however much it has used.
BOOST_AUTO_TEST_CASE(theWorkspaceThatUsedLessIsNext)
{
    WaitingCalls calls;
    for (int i = 0; i < 10; ++i) {
        calls.recordPlacement(demand("hot", 0, absl::Seconds(1)), 0, start);
        calls.recordPlacement(demand("other", 1, absl::Seconds(1)), 0, start); // Its rank has got its floor.
    }
    calls.add(1, demand("hot", 0, absl::Milliseconds(100)), start);
    calls.add(2, demand("cold", 0, absl::Milliseconds(900)), start);
    calls.add(3, demand("cold", 0, absl::Milliseconds(800)), start);
    calls.add(4, demand("cold", 1, absl::Milliseconds(50)), start);
    BOOST_TEST(order(calls, start) == (std::vector<WaiterId>{3, 2, 1, 4}), boost::test_tools::per_element());
    // Usage decays: the past of the hot workspace is forgotten.
    BOOST_TEST(order(calls, start + absl::Minutes(2)).front() == 1U);
}

/// Guards against nodes that sort the same calls differently: what a workspace uses elsewhere counts, and is forgotten with its node.
BOOST_AUTO_TEST_CASE(usageAtPeersCounts)
{
    WaitingCalls hotNode;
    for (int i = 0; i < 10; ++i) {
        hotNode.recordPlacement(demand("hot", 0, absl::Seconds(1)), 0, start);
    }
    hotNode.add(1, demand("hot", 0, absl::Milliseconds(100)), start);
    WaitingCalls other;
    other.add(1, demand("hot", 0, absl::Milliseconds(100)), start);
    other.add(2, demand("cold", 0, absl::Milliseconds(900)), start);
    BOOST_TEST(order(other, start).front() == 1U);
    other.setPeerUsage(NodeId("peer"), hotNode.reported(0, start), start);
    BOOST_TEST(order(other, start).front() == 2U);
    BOOST_TEST(order(other, start + absl::Minutes(2)).front() == 1U);
}

/// Guards against calls of a workspace within its share that are refused at once because of the backlog of another one.
BOOST_AUTO_TEST_CASE(theBacklogOfAnotherWorkspaceDoesNotCountAsWait)
{
    WaitingCalls calls;
    for (int i = 0; i < 50; ++i) {
        calls.recordPlacement(demand("hot", 0, absl::Seconds(1)), 0, start);
    }
    for (WaiterId id = 1; id <= 100; ++id) {
        calls.add(id, demand("hot", 0, absl::Milliseconds(400)), start);
    }
    const ModelDemand cold = demand("cold", 0, absl::Milliseconds(500));
    BOOST_TEST((calls.expectedWait(demand("hot", 0, absl::Milliseconds(500)), 0, start) > absl::Seconds(5)));
    BOOST_TEST((calls.expectedWait(cold, 0, start) < absl::Milliseconds(200)));
}

/// Target: 95 in 100 calls of the ordinary workspaces are not refused, and the hot one is served at least a quarter of the average.
BOOST_AUTO_TEST_CASE(aHotWorkspaceBearsTheCostOfItsSurge)
{
    const absl::Duration end = surgeStart + absl::Seconds(6);
    for (std::uint32_t seed = 1; seed <= 3; ++seed) {
        SimulatedDeployment deployment;
        deployment.seed = seed;
        const FairLoad played = play(deployment, hotWorkspace());
        const OrdinaryOutcome ordinary = ordinaryOutcome(played, surgeStart, end);
        deployment.namesWorkspaces = false;
        const OrdinaryOutcome before = ordinaryOutcome(play(deployment, hotWorkspace()), surgeStart, end);
        BOOST_TEST_MESSAGE("hot: ordinary at once " << ordinary.atOnce << " (by rank and end of wait alone " << before.atOnce << "), hot "
                                                    << played.outcome("hot", surgeStart, end).servedFraction());
        BOOST_TEST(ordinary.atOnce >= 0.95);
        BOOST_TEST(played.lowestRelativeFraction(surgeStart, end) >= minRelativeFraction);
    }
}

/// Target with six nodes and load reports that are 200 ms old: 90 in 100 calls of the ordinary workspaces are served, and they are refused
/// a quarter less often at their first attempt than by the order of rank and end of wait. Refusals by engines, of which some are due to the
/// old reports, count in both.
BOOST_AUTO_TEST_CASE(nodesWithOldReportsProtectOrdinaryWorkspaces)
{
    const absl::Duration end = surgeStart + absl::Seconds(6);
    double refused = 0;
    double refusedBefore = 0;
    // The choice of engines differs from run to run: with three seeds the ratio of the refusals was 0.43 to 0.72.
    for (std::uint32_t seed = 1; seed <= 8; ++seed) {
        SimulatedDeployment deployment;
        deployment.seed = seed;
        deployment.length = end;
        deployment.nodes = 6;
        deployment.reportDelay = absl::Milliseconds(200);
        const FairLoad played = play(deployment, hotWorkspace());
        const OrdinaryOutcome ordinary = ordinaryOutcome(played, surgeStart, end);
        deployment.namesWorkspaces = false;
        const OrdinaryOutcome before = ordinaryOutcome(play(deployment, hotWorkspace()), surgeStart, end);
        BOOST_TEST_MESSAGE("old reports: ordinary " << ordinary.served << ", at once " << ordinary.atOnce
                                                    << " (by rank and end of wait alone " << before.served << ", at once " << before.atOnce
                                                    << "), hot " << played.outcome("hot", surgeStart, end).servedFraction());
        BOOST_TEST(ordinary.served >= 0.9);
        BOOST_TEST(played.lowestRelativeFraction(surgeStart, end) >= minRelativeFraction);
        refused += 1 - ordinary.atOnce;
        refusedBefore += 1 - before.atOnce;
    }
    BOOST_TEST_MESSAGE("old reports: refusals at the first attempt, relative to rank and end of wait alone: " << refused / refusedBefore);
    BOOST_TEST(refused <= 0.75 * refusedBefore);
}

/// Target: no workspace is starved, neither those with large calls, for which memory is free less often, nor those with small ones.
BOOST_AUTO_TEST_CASE(smallPatientCallsAndLargeOnesAreServed)
{
    for (const int nodes : {1, 6}) {
        SimulatedDeployment deployment;
        deployment.nodes = nodes;
        const FairLoad played = play(deployment, smallAndLarge());
        const absl::Duration end = absl::Seconds(16);
        BOOST_TEST_MESSAGE("mixed, " << nodes << " nodes: total " << played.total(surgeStart, end).servedFraction() << ", lowest relative "
                                     << played.lowestRelativeFraction(surgeStart, end));
        BOOST_TEST(played.lowestRelativeFraction(surgeStart, end) >= minRelativeFraction);
    }
}

/// All others ask for more than their share as well, so that an equal share would be a twentieth of what the greedy workspace asks for.
/// Target: a quarter of the average.
BOOST_AUTO_TEST_CASE(aWorkspaceThatAsksFarTooMuchIsNotStarved)
{
    std::vector<WorkspaceLoad> loads{load("greedy", steady(60))};
    for (int i = 0; i < 15; ++i) {
        loads.push_back(load("w" + std::to_string(i), steady(3)));
    }
    const FairLoad played = play(SimulatedDeployment(), loads);
    const absl::Duration end = absl::Seconds(16);
    BOOST_TEST_MESSAGE("greedy: " << played.outcome("greedy", surgeStart, end).servedFraction() << ", total "
                                  << played.total(surgeStart, end).servedFraction());
    BOOST_TEST(played.lowestRelativeFraction(surgeStart, end) >= minRelativeFraction);
}

/// Target: in a burst of all, no workspace gets less than half of the average, and fairness costs no more than 3 in 100 served calls.
BOOST_AUTO_TEST_CASE(aBurstOfAllIsSharedWithoutLoss)
{
    const absl::Duration end = surgeStart + absl::Seconds(4);
    const absl::Duration afterwards = absl::Seconds(20);
    double fair = 0;
    double before = 0;
    for (std::uint32_t seed = 1; seed <= 5; ++seed) {
        SimulatedDeployment deployment;
        deployment.seed = seed;
        const FairLoad played = play(deployment, burstOfAll());
        BOOST_TEST(played.lowestRelativeFraction(surgeStart, end) >= 0.5);
        fair += played.total(surgeStart, afterwards).servedFraction() / 5;
        deployment.namesWorkspaces = false;
        deployment.usesFixedRetryAfter = true;
        before += play(deployment, burstOfAll()).total(surgeStart, afterwards).servedFraction() / 5;
    }
    BOOST_TEST_MESSAGE("burst of all: served " << fair << ", by rank and end of wait alone " << before);
    BOOST_TEST(fair >= before - 0.03);
}

/// Target: from its first two seconds on, 9 in 10 calls of the owner of a share are served; the borrower is not starved.
BOOST_AUTO_TEST_CASE(aBorrowedShareIsGivenBack)
{
    for (const int nodes : {1, 6}) {
        SimulatedDeployment deployment;
        deployment.nodes = nodes;
        const FairLoad played = play(deployment, borrowerAndOwner());
        const WorkspaceOutcome first = played.outcome("owner", surgeStart, surgeStart + absl::Seconds(2));
        deployment.namesWorkspaces = false;
        const double before = play(deployment, borrowerAndOwner()).outcome("owner", surgeStart, absl::Seconds(20)).servedFraction();
        const WorkspaceOutcome later = played.outcome("owner", surgeStart + absl::Seconds(2), absl::Seconds(20));
        BOOST_TEST_MESSAGE("owner, " << nodes << " nodes: " << first.servedFraction() << ", later " << later.servedFraction()
                                     << " (by rank and end of wait alone " << before << ")");
        BOOST_TEST(first.servedFraction() >= 0.9);
        BOOST_TEST(later.servedFraction() >= 0.9);
        BOOST_TEST(played.lowestRelativeFraction(surgeStart, absl::Seconds(20)) >= minRelativeFraction);
    }
}

/// Scheduling is work-conserving: a workspace that is alone is served like calls without a workspace.
BOOST_AUTO_TEST_CASE(aWorkspaceThatIsAloneUsesAllCapacity)
{
    SimulatedDeployment deployment;
    const double alone = play(deployment, {load("w", steady(80))}).total(surgeStart, absl::Seconds(16)).servedFraction();
    deployment.namesWorkspaces = false;
    BOOST_TEST(alone == play(deployment, {load("w", steady(80))}).total(surgeStart, absl::Seconds(16)).servedFraction());
}

/// Guards against refused calls that return before the calls that were refused earlier can have been served.
BOOST_AUTO_TEST_CASE(returnsFollowTheBacklogOfTheWorkspace)
{
    constexpr double placedPerSecond = 10;
    constexpr absl::Duration timeLeft = absl::Milliseconds(13500);
    ReturnSchedule schedule;
    const RefusedCall hot{0, 1};
    const RefusedCall cold{0, 2};
    BOOST_TEST((schedule.add(hot, placedPerSecond, timeLeft, 0, start) == absl::Milliseconds(2500)));
    for (int i = 0; i < 40; ++i) {
        schedule.add(hot, placedPerSecond, timeLeft, 0, start);
    }
    BOOST_TEST((schedule.add(hot, placedPerSecond, timeLeft, 0, start) > absl::Milliseconds(3900)));
    BOOST_TEST((schedule.add(cold, placedPerSecond, timeLeft, 0, start) == absl::Milliseconds(2500)));
    // Calls that have returned do not count any more.
    BOOST_TEST((schedule.add(hot, placedPerSecond, timeLeft, 0, start + absl::Seconds(10)) == absl::Milliseconds(2500)));
}

/// Guards against a Retry-After that the caller does not honour, and against returns at one moment.
BOOST_AUTO_TEST_CASE(returnsStayWithinTheirBounds)
{
    for (const double placedPerSecond : {0.0, 0.1, 1000.0}) {
        for (const double random : {0.0, 0.5, 0.999}) {
            ReturnSchedule schedule;
            for (int i = 0; i < 100; ++i) {
                const absl::Duration long1 = schedule.add({}, placedPerSecond, absl::Seconds(13.5), random, start);
                BOOST_TEST((long1 >= absl::Milliseconds(2500) && long1 <= absl::Milliseconds(4500)));
                const absl::Duration medium = schedule.add({}, placedPerSecond, absl::Seconds(9), random, start);
                BOOST_TEST((medium >= absl::Milliseconds(2500) && medium <= absl::Seconds(3)));
                // A caller with little time left does not return anyway.
                BOOST_TEST((schedule.add({}, placedPerSecond, absl::Seconds(1), random, start) >= absl::Milliseconds(2500)));
            }
        }
    }
    // Where nothing is known, the values are those of before.
    BOOST_TEST((ReturnSchedule().add({}, 0, absl::Seconds(14), 0.5, start) == absl::Milliseconds(3400)));
}

BOOST_AUTO_TEST_SUITE_END()
