#include "scheduler/schedulerfixture.h"

#include "state/invariant.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <map>
#include <set>

using namespace Apricot;
using Apricot::Test::SliceFixture;

namespace {

/// Reference model: what a request holds according to the actions issued so far.
struct Held
{
    bool prefilling = false;
    bool decoding = false;
    std::uint64_t attempt = 1;
};

}

BOOST_AUTO_TEST_SUITE(SchedulerProperties)

BOOST_AUTO_TEST_CASE(reservationsMatchTheActionsAndNeverExceedTheMemory)
{
    BOOST_TEST(rc::check([](const std::vector<std::uint32_t> &steps) {
        SliceFixture slice;
        SliceScheduler &scheduler = slice.scheduler;
        std::map<RequestId, Held> held;
        std::set<EngineId> leaving;
        Invariants::reset();
        const auto apply = [&](const Actions &actions) {
            for (const Action &action : actions) {
                if (const auto *prefill = std::get_if<StartPrefill>(&action)) {
                    RC_ASSERT(!leaving.contains(prefill->prefill) && !leaving.contains(prefill->decode));
                    held[prefill->id] = Held{true, false, prefill->attempt};
                } else if (const auto *decode = std::get_if<StartDecode>(&action)) {
                    RC_ASSERT(held[decode->id].prefilling);
                    held[decode->id] = Held{false, true, decode->attempt};
                } else if (const auto *cancel = std::get_if<CancelOnEngine>(&action)) {
                    const auto it = held.find(cancel->id);
                    if (it != held.end() && it->second.attempt <= cancel->attempt) {
                        held.erase(it);
                    }
                } else if (const auto *refusal = std::get_if<Refuse>(&action)) {
                    const auto it = held.find(refusal->id);
                    if (it != held.end() && it->second.attempt == refusal->attempt) {
                        held.erase(it);
                    }
                }
            }
        };
        for (const std::uint32_t step : steps) {
            slice.now += absl::Milliseconds(step / 4096 % 80);
            const RequestId id(absl::StrCat("r", step / 8 % 12));
            const auto it = held.find(id);
            const std::uint64_t attempt = it == held.end() ? 1 : it->second.attempt;
            switch (step % 8) {
            case 0:
            case 1: {
                const Work work = SliceFixture::work(id.text(), slice.now, 50 + step / 128 % 1800, step % 16 < 8 ? "urgent" : "other");
                const std::uint64_t next = it != held.end() && step % 3 == 0 ? attempt + 1 : attempt;
                if (it == held.end() || next > attempt) {
                    held.erase(id);
                    apply(scheduler.handle(WorkArrived{work.with(&WorkFields::attempt, next)}, slice.now));
                }
                break;
            }
            case 2:
                if (it != held.end() && it->second.prefilling) {
                    apply(scheduler.handle(PrefillFinished{id, attempt, absl::Milliseconds(5), 0}, slice.now));
                }
                break;
            case 3:
                if (it != held.end() && it->second.decoding) {
                    held.erase(it);
                    apply(scheduler.handle(WorkFinished{id, attempt, 30}, slice.now));
                }
                break;
            case 4:
                apply(scheduler.handle(WorkCancelled{id, attempt}, slice.now));
                held.erase(id);
                break;
            case 5:
                if (leaving.empty() && step % 64 == 5) {
                    leaving.insert(EngineId("d1"));
                    apply(scheduler.handle(EngineLeaving{EngineId("d1")}, slice.now));
                }
                break;
            default:
                apply(scheduler.handle(Tick{}, slice.now));
            }
            for (const DecodeEngine &engine : scheduler.engines().decode()) {
                RC_ASSERT(engine.reservedPieces >= 0 && engine.reservedPieces <= engine.pieces);
                RC_ASSERT(engine.running >= 0 && engine.running <= engine.slots);
            }
            const SliceCounts counts = scheduler.counts();
            RC_ASSERT(counts.prefilling + counts.awaitingSlot + counts.decoding == held.size());
            RC_ASSERT((counts.reservedPieces == 0) == held.empty());
        }
        RC_ASSERT(Invariants::violationCount() == 0U);
    }));
}

BOOST_AUTO_TEST_SUITE_END()
