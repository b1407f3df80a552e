#include "coordination/runattempt.h"
#include "coordination/seededbug.h"
#include "state/overloaded.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <deque>
#include <iostream>
#include <set>
#include <tuple>

using namespace Apricot;

/// Explores all interleavings of two attempts at two nodes with one crash, one lost reply (whose write may take effect late) and
/// one outage, using the production decision functions.
namespace {

const absl::Time now = absl::FromUnixSeconds(9);
const IdempotencyKey key("k");

/// A write in flight: it takes effect if the record is still \a expected.
struct Write
{
    std::optional<RunRecord> expected;
    RunRecord next;
    bool isFinal = false;

    friend auto operator<=>(const Write &, const Write &) = default;
};

struct AttemptState
{
    RunAttempt attempt;
    std::set<RunAttemptAction> open; ///< actions without an outcome yet
    bool crashed = false;
    bool dispatched = false;
    int answers = 0;
    bool reportedNotRun = false;

    friend auto operator<=>(const AttemptState &, const AttemptState &) = default;
};

struct World
{
    std::array<AttemptState, 2> attempts;
    std::optional<RunRecord> record;
    std::uint8_t version = 0; ///< version of the page: a write that expects an older one is rejected
    std::set<std::tuple<std::uint8_t, Write>> late; ///< writes in flight whose attempt has ended, with the version that they expect
    std::uint8_t runs = 0;
    bool crashLeft = true;
    bool lossLeft = true;
    bool outageLeft = true;

    friend auto operator<=>(const World &, const World &) = default;
};

void apply(World *world, std::size_t index, const RunAttemptStep &step)
{
    AttemptState &state = world->attempts[index];
    state.attempt = step.attempt;
    for (const RunAttemptAction &action : step.actions) {
        std::visit(Overloaded{
                       [&](const AnswerRecorded &) { ++state.answers; },
                       [&](const AnswerError &it) {
                           ++state.answers;
                           state.reportedNotRun = errorDescriptor(it.kind).outcome == Outcome::NotRun;
                       },
                       [&](const auto &) { state.open.insert(action); },
                   },
                   action);
    }
}

bool isConditionMet(const World &world, const Write &write)
{
    if (write.isFinal && (!world.record || (*world.record)->creator == write.next->creator)) {
        return true;
    }
    return world.record == write.expected;
}

/// Keeps the open writes of an attempt that ends as late writes, except those whose condition is no longer met: they have been
/// rejected.
void keepWritesInFlight(World *world, std::size_t index)
{
    for (const RunAttemptAction &action : world->attempts[index].open) {
        const auto *write = std::get_if<WriteRecord>(&action);
        if (write != nullptr && isConditionMet(*world, Write{write->expected, write->next})) {
            world->late.emplace(world->version, Write{write->expected, write->next});
        }
    }
    world->attempts[index].open.clear();
}

/// Calls \a visit with each world that can follow \a world.
template<class Visit>
void visitSuccessors(const World &world, Visit &&visit)
{
    // A late write takes effect, or is rejected because the page has changed.
    for (const auto &entry : world.late) {
        World next = world;
        next.late.erase(entry);
        if (std::get<0>(entry) == next.version) {
            next.record = std::get<1>(entry).next;
            ++next.version;
        }
        visit(next);
    }
    for (std::size_t i = 0; i < world.attempts.size(); ++i) {
        const AttemptState &state = world.attempts[i];
        if (state.crashed) {
            continue;
        }
        if (world.crashLeft) {
            World next = world;
            next.crashLeft = false;
            next.attempts[i].crashed = true;
            keepWritesInFlight(&next, i);
            visit(next);
        }
        const bool beforeDispatch = state.attempt->phase != RunAttemptPhase::Dispatching && state.attempt->phase != RunAttemptPhase::Ended;
        if (world.outageLeft && beforeDispatch) {
            // The store does not serve this attempt within its time limit; a write in flight may still take effect.
            World next = world;
            next.outageLeft = false;
            keepWritesInFlight(&next, i);
            apply(&next, i, stepRunAttempt(state.attempt, StoreTimedOut{}, now));
            visit(next);
        }
        for (const RunAttemptAction &action : state.open) {
            const auto advance = [&](World next, const RunAttemptEvent &event) {
                next.attempts[i].open.erase(action);
                apply(&next, i, stepRunAttempt(state.attempt, event, now));
                visit(next);
            };
            std::visit(Overloaded{
                           [&](const ReadRecord &) { advance(world, RecordRead{world.record}); },
                           [&](const WriteRecord &it) {
                               const Write write{it.expected, it.next};
                               if (!isConditionMet(world, write)) {
                                   advance(world, RecordConflict{});
                                   return;
                               }
                               World written = world;
                               written.record = it.next;
                               ++written.version;
                               advance(written, RecordWritten{});
                               if (world.lossLeft) {
                                   World lost = written;
                                   lost.lossLeft = false;
                                   advance(lost, RecordWriteLost{});
                                   World delayed = world;
                                   delayed.lossLeft = false;
                                   delayed.late.emplace(world.version, write);
                                   advance(delayed, RecordWriteLost{});
                               }
                           },
                           [&](const FinalizeRecord &it) {
                               World next = world;
                               next.attempts[i].open.erase(action);
                               if (isConditionMet(world, Write{it.createExpected, it.next, true})) {
                                   next.record = it.next;
                                   ++next.version;
                               }
                               visit(next);
                           },
                           [&](const AskCreator &it) {
                               const AttemptState &other = world.attempts[1 - i];
                               AttemptStatus status = AttemptStatus::Unknown;
                               if (!other.crashed && other.attempt->attemptId == it.creator) {
                                   status = other.attempt->phase == RunAttemptPhase::Ended && !other.dispatched
                                       ? AttemptStatus::NeverDispatched
                                       : AttemptStatus::InProgress;
                               }
                               advance(world, CreatorAnswered{status});
                           },
                           [&](const DispatchCall &) {
                               World ran = world;
                               ran.attempts[i].dispatched = true;
                               World notSent = ran;
                               ++ran.runs;
                               advance(ran, CallAnswered{200, ""});
                               advance(ran, CallLost{});
                               advance(notSent, CallNotSent{});
                           },
                           [&](const auto &) {},
                       },
                       action);
        }
    }
}

World initialWorld()
{
    World world;
    for (std::size_t i = 0; i < world.attempts.size(); ++i) {
        const std::string name = i == 0 ? "a" : "b";
        apply(&world, i, startRunAttempt(key, RequestId(name), NodeId("node-" + name), now));
    }
    return world;
}

struct Exploration
{
    std::size_t states = 0;
    std::size_t broken = 0;
    std::size_t openRecords = 0;
};

Exploration exploreAll()
{
    std::set<World> seen{initialWorld()};
    std::deque<World> open{initialWorld()};
    Exploration result;
    while (!open.empty()) {
        const World world = open.front();
        open.pop_front();
        ++result.states;
        const bool falseNotRun = world.runs > 0 && world.attempts[0].reportedNotRun && world.attempts[1].reportedNotRun;
        const bool twoAnswers = world.attempts[0].answers > 1 || world.attempts[1].answers > 1;
        result.broken += world.runs > 1 || falseNotRun || twoAnswers ? 1 : 0;
        bool anyNext = false;
        visitSuccessors(world, [&](const World &next) {
            anyNext = true;
            // `seen` ends the endless reads of an attempt while another one is in progress. The version limit bounds the writes.
            if (next.version < 12 && seen.insert(next).second) {
                open.push_back(next);
            }
        });
        const bool dispatching = world.record && (*world.record)->state == RunState::Dispatching;
        const bool creatorCrashed = dispatching
            && ((*world.record)->creator == world.attempts[0].attempt->attemptId ? world.attempts[0].crashed : world.attempts[1].crashed);
        result.openRecords += !anyNext && dispatching && !creatorCrashed ? 1 : 0;
    }
    return result;
}

}

BOOST_AUTO_TEST_SUITE(RunRecordExploration)

BOOST_AUTO_TEST_CASE(noInterleavingRunsTwiceOrReportsNotRunFalsely)
{
    const Exploration all = exploreAll();
    std::cout << "run records: " << all.states << " states of 2 attempts, 2 nodes, 1 crash, 1 lost reply, 1 outage\n";
    BOOST_TEST(all.states > 1000U);
    BOOST_TEST(all.broken == 0U);
    BOOST_TEST(all.openRecords == 0U);
}

BOOST_AUTO_TEST_CASE(theExplorationFindsSeededBugs)
{
    for (const SeededBug bug : {SeededBug::SkipReadBack, SeededBug::DispatchOnConflict, SeededBug::RepeatAfterDispatch}) {
        setSeededBug(bug);
        const Exploration all = exploreAll();
        setSeededBug(SeededBug::None);
        BOOST_TEST(all.broken > 0U, static_cast<int>(bug));
    }
    setSeededBug(SeededBug::DropAbandonedMark);
    const Exploration all = exploreAll();
    setSeededBug(SeededBug::None);
    BOOST_TEST(all.openRecords > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
