#include "coordination/engineavailability.h"
#include "coordination/servicepoolmap.h"

#include <boost/test/unit_test.hpp>

using namespace Apricot;

namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
const DataCentreName here("here");
const EngineNotice leavingNotice{true};

EngineEntry engine(const std::string &id, EngineStage stage = EngineStage::Plain, std::int64_t startedMs = 1)
{
    return EngineEntry::Builder()
        .set(&EngineEntryFields::id, EngineId(id))
        .set(&EngineEntryFields::service, ServiceName("s"))
        .set(&EngineEntryFields::address, "10.0.0.1:1")
        .set(&EngineEntryFields::dataCentre, here)
        .set(&EngineEntryFields::slots, std::int64_t{8})
        .set(&EngineEntryFields::stage, stage)
        .set(&EngineEntryFields::startedMs, startedMs)
        .build();
}

ServicePool poolOf(const std::vector<EngineEntry> &engines)
{
    ServicePool pool;
    for (const EngineEntry &it : engines) {
        pool.apply(it);
    }
    return pool;
}

/// Returns the id of the engine that gets the next plain call; empty if there is none.
std::string placed(ServicePool &pool, absl::Time now = start)
{
    const std::optional<EngineEntry> chosen = pool.placePlain(here, {}, now);
    return chosen ? (*chosen)->id.text() : std::string();
}

ServicePool modelPool(const std::vector<EngineEntry> &engines)
{
    ModelEngineSpecFields fields;
    fields.slots = 8;
    fields.kvCapacityTokens = 10000;
    ServicePool pool = poolOf(engines);
    pool.setModel(ModelEngineSpec(fields));
    return pool;
}

ModelDemand demand()
{
    ModelDemand it;
    it.nearTo = here;
    it.promptTokens = 100;
    it.maxOutputTokens = 100;
    it.targetLatency = absl::Seconds(2);
    it.maxWait = absl::Seconds(1);
    return it;
}

}

BOOST_AUTO_TEST_SUITE(EngineAvailabilities)

/// The store still lists the engine as ready, removes it, or returns its entry once more: it gets no calls all the same.
BOOST_AUTO_TEST_CASE(anEngineWhoseAnswerSaidThatItLeavesGetsNoCallsWhateverTheStoreSays)
{
    ServicePool pool = poolOf({engine("a"), engine("b")});
    BOOST_TEST(pool.recordNotice(engine("a"), leavingNotice, start).isNewlyLeaving);
    BOOST_TEST(!pool.recordNotice(engine("a"), leavingNotice, start).isNewlyLeaving);
    BOOST_TEST(!pool.isReady(engine("a")));
    const auto getsNothing = [&](const char *when) {
        for (int i = 0; i < 4; ++i) {
            BOOST_TEST(placed(pool) == "b", when);
        }
    };
    getsNothing("after the notice");
    pool.apply(engine("a").with(&EngineEntryFields::slots, 9));
    getsNothing("after a newer entry of the same lifetime");
    pool.remove(EngineId("a"));
    pool.apply(engine("a"));
    getsNothing("after the entry was removed and returned");
    pool.apply(engine("a").with(&EngineEntryFields::startedMs, 0));
    getsNothing("after the entry of an earlier lifetime was read again");
}

/// Without another plain endpoint, an ejected one is still tried; one that leaves must not be.
BOOST_AUTO_TEST_CASE(theLastEngineGetsNoCallsEitherOnceItLeaves)
{
    ServicePool pool = poolOf({engine("a")});
    pool.recordNotice(engine("a"), leavingNotice, start);
    BOOST_TEST(placed(pool) == "");
    BOOST_TEST(!pool.hasAlternative({}));
}

/// A restart under the same id, or another engine at the same address, must not be taken for the engine that left.
BOOST_AUTO_TEST_CASE(aNewLifetimeIsUsedAgain)
{
    ServicePool pool = poolOf({engine("a")});
    pool.recordNotice(engine("a"), leavingNotice, start);
    pool.apply(engine("a", EngineStage::Plain, 2));
    BOOST_TEST(placed(pool) == "a");
    BOOST_TEST(pool.isReady(engine("a", EngineStage::Plain, 2)));
    BOOST_TEST(!pool.isReady(engine("a")));
    pool.recordNotice(engine("a", EngineStage::Plain, 2), leavingNotice, start);
    BOOST_TEST(placed(pool) == "");
    pool.apply(engine("another at the same address"));
    BOOST_TEST(placed(pool) == "another at the same address");
}

/// An answer of the earlier lifetime that is read late says nothing about the new one.
BOOST_AUTO_TEST_CASE(aLateAnswerOfTheEarlierLifetimeDoesNotConcernTheNewOne)
{
    ServicePool pool = poolOf({engine("a", EngineStage::Plain, 2)});
    pool.recordNotice(engine("a"), leavingNotice, start);
    BOOST_TEST(placed(pool) == "a");
}

/// A call was placed before the notice and not yet sent: it must not be sent, and calls that wait get another engine.
BOOST_AUTO_TEST_CASE(callsThatWaitOrWereNotYetSentGoElsewhere)
{
    const EngineEntry leaving = engine("d0", EngineStage::Decode);
    ServicePool pool = modelPool({engine("p0", EngineStage::Prefill), leaving});
    const std::optional<ModelPlacement> before = pool.placeModel(demand(), start);
    BOOST_REQUIRE(before.has_value());
    BOOST_TEST(pool.acceptsCalls(before->decode, start));
    pool.recordNotice(leaving, leavingNotice, start);
    BOOST_TEST(!pool.acceptsCalls(before->decode, start));
    pool.addWaiter(1, demand(), start);
    BOOST_TEST(pool.grantCapacity(start).empty());
    pool.apply(engine("d1", EngineStage::Decode));
    const std::vector<Grant> grants = pool.grantCapacity(start);
    BOOST_REQUIRE(grants.size() == 1U);
    BOOST_TEST(grants[0].placement.decode->id.text() == "d1");
}

/// A prefill engine that leaves gets no prompts, also if no other one is left.
BOOST_AUTO_TEST_CASE(aLeavingPrefillEngineGetsNoPrompts)
{
    const EngineEntry leaving = engine("p0", EngineStage::Prefill);
    ServicePool pool = modelPool({leaving, engine("d0", EngineStage::Decode)});
    pool.recordNotice(leaving, leavingNotice, start);
    const std::optional<ModelPlacement> placement = pool.placeModel(demand(), start);
    BOOST_REQUIRE(placement.has_value());
    BOOST_TEST(!placement->prefill.has_value());
    BOOST_TEST(!pool.acceptsCalls(leaving, start));
}

/// The map returns entries to a pool after a removal; what the pool has learnt must survive this.
BOOST_AUTO_TEST_CASE(theMapKeepsWhatAnswersSaidThroughRemovals)
{
    ServicePoolMap pools([](const Grant &) {});
    pools.apply(engine("a"), start);
    pools.withPool(ServiceName("s"), [](ServicePool &pool) { return pool.recordNotice(engine("a"), leavingNotice, start); });
    pools.remove(EngineId("a"));
    pools.apply(engine("a"), start);
    BOOST_TEST(pools.withPool(ServiceName("s"), [](ServicePool &pool) { return placed(pool); }) == "");
}

/// A node that runs for months must not remember each engine that ever left, but none that the store still lists.
BOOST_AUTO_TEST_CASE(whatIsKnownOfAnEngineThatIsGoneIsForgottenLater)
{
    ServicePool pool = poolOf({engine("listed"), engine("gone")});
    pool.recordNotice(engine("listed"), leavingNotice, start);
    pool.recordNotice(engine("gone"), leavingNotice, start);
    pool.remove(EngineId("gone"));
    const absl::Time later = start + absl::Hours(1);
    pool.recordNotice(engine("other"), leavingNotice, later);
    BOOST_TEST(pool.leavingSince(engine("listed")).has_value());
    BOOST_TEST(!pool.leavingSince(engine("gone")).has_value());
}

/// A handle at an engine that may exit before the KV cache is fetched makes the decode engine refuse.
BOOST_AUTO_TEST_CASE(aHandleIsNotUsedOnceItsEngineMayHaveExited)
{
    const absl::Time expiry = start + absl::Seconds(1);
    const absl::Duration drainTime = absl::Seconds(2);
    BOOST_TEST((usableUntil(expiry, std::nullopt, drainTime) == expiry));
    BOOST_TEST((usableUntil(expiry, start, drainTime) == expiry));
    BOOST_TEST((usableUntil(expiry, start - absl::Milliseconds(1500), drainTime) < start + absl::Milliseconds(500)));
    BOOST_TEST((usableUntil(expiry, start, absl::ZeroDuration()) < start));
}

BOOST_AUTO_TEST_SUITE_END()
