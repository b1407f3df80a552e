#include "coordination/engineavailability.h"
#include "coordination/servicepoolmap.h"

#include <boost/test/unit_test.hpp>

using namespace Apricot;

namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
const DataCentreName here("here");
const EngineNotice leavingNotice{true, std::nullopt, false};

EngineNotice backOff(absl::Duration retryAfter)
{
    return EngineNotice{false, retryAfter, false};
}

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
    BOOST_TEST(!pool.hasAlternative({}, start));
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

/// A refusal with Retry-After must keep calls away until its end, also from the last engine, which is else tried while ejected.
BOOST_AUTO_TEST_CASE(anEngineThatAsksForABackOffGetsNoCallsUntilItsEnd)
{
    ServicePool pool = poolOf({engine("a")});
    BOOST_TEST((pool.recordNotice(engine("a"), backOff(absl::Seconds(2)), start).backOffUntil == start + absl::Seconds(2)));
    for (int ms = 0; ms < 2000; ms += 50) {
        BOOST_TEST(placed(pool, start + absl::Milliseconds(ms)) == "");
        BOOST_TEST(!pool.placePlain(here, {EngineId("failed")}, start + absl::Milliseconds(ms)).has_value());
        BOOST_TEST(!pool.hasAlternative({}, start + absl::Milliseconds(ms)));
        BOOST_TEST(!pool.acceptsCalls(engine("a"), start + absl::Milliseconds(ms)));
    }
    BOOST_TEST(placed(pool, start + absl::Seconds(2)) == "a");
    BOOST_TEST(pool.hasAlternative({}, start + absl::Seconds(2)));
}

/// After an ejection, an engine gets a trial; not before the end of the back-off that it has asked for.
BOOST_AUTO_TEST_CASE(aTrialAfterAnEjectionWaitsForTheEndOfTheBackOff)
{
    ServicePool pool = modelPool({engine("d0", EngineStage::Decode)});
    const EngineEntry refusing = engine("d0", EngineStage::Decode);
    pool.recordNotice(refusing, backOff(absl::Seconds(3)), start);
    pool.recordResult(refusing->id, EngineResult::Refused, start);
    pool.recordResult(refusing->id, EngineResult::Unreachable, start);
    for (int ms = 0; ms < 3000; ms += 100) {
        BOOST_TEST(!pool.placeModel(demand(), start + absl::Milliseconds(ms)).has_value());
    }
    BOOST_TEST(pool.placeModel(demand(), start + absl::Seconds(3)).has_value());
}

/// Calls that were sent before the refusal are answered after it: neither a success nor a shorter time may end the back-off.
BOOST_AUTO_TEST_CASE(laterAnswersDoNotShortenABackOff)
{
    ServicePool pool = poolOf({engine("a")});
    pool.recordNotice(engine("a"), backOff(absl::Seconds(2)), start);
    pool.recordResult(EngineId("a"), EngineResult::Succeeded, start);
    pool.recordAccepted(EngineId("a"), start);
    BOOST_TEST(!pool.recordNotice(engine("a"), backOff(absl::Milliseconds(100)), start).backOffUntil.has_value());
    BOOST_TEST(!pool.recordNotice(engine("a"), backOff(absl::ZeroDuration()), start).backOffUntil.has_value());
    BOOST_TEST(placed(pool, start + absl::Milliseconds(1900)) == "");
    pool.recordNotice(engine("a"), backOff(absl::Seconds(3)), start);
    BOOST_TEST(placed(pool, start + absl::Milliseconds(2900)) == "");
}

/// The entry of the engine is read again, removed, or that of a restart under the same id, which may itself have sent the refusal.
BOOST_AUTO_TEST_CASE(entriesOfTheStoreDoNotEndABackOff)
{
    ServicePool pool = poolOf({engine("a")});
    pool.recordNotice(engine("a"), backOff(absl::Seconds(2)), start);
    pool.apply(engine("a").with(&EngineEntryFields::slots, 9));
    BOOST_TEST(placed(pool) == "");
    pool.remove(EngineId("a"));
    pool.apply(engine("a"));
    BOOST_TEST(placed(pool) == "");
    pool.apply(engine("a", EngineStage::Plain, 2));
    BOOST_TEST(placed(pool) == "");
    pool.apply(engine("another at the same address"));
    BOOST_TEST(placed(pool) == "another at the same address");
}

/// A time without end or without meaning must not take the engine away for good, and is reported once.
BOOST_AUTO_TEST_CASE(badBackOffTimesAreBoundedAndReportedOnce)
{
    constexpr absl::Duration longest = absl::Minutes(1);
    for (const absl::Duration absurd : {absl::InfiniteDuration(), absl::Hours(1000000), longest + absl::Milliseconds(1)}) {
        ServicePool pool = poolOf({engine("a")});
        const EngineNoticeResult result = pool.recordNotice(engine("a"), backOff(absurd), start);
        BOOST_TEST((result.backOffUntil == start + longest));
        BOOST_TEST(result.isFirstBadRetryAfter);
        BOOST_TEST(!pool.recordNotice(engine("a"), backOff(absurd), start).isFirstBadRetryAfter);
        BOOST_TEST(placed(pool, start + longest) == "a");
    }
    ServicePool pool = poolOf({engine("a")});
    EngineNotice unusable;
    unusable.hasUnusableRetryAfter = true;
    BOOST_TEST((pool.recordNotice(engine("a"), unusable, start) == EngineNoticeResult{false, std::nullopt, true}));
    BOOST_TEST((pool.recordNotice(engine("a"), unusable, start) == EngineNoticeResult{}));
    BOOST_TEST(placed(pool) == "a");
}

/// Only if all engines that could take a call have asked for a back-off, waiting is in vain; the earliest end counts.
BOOST_AUTO_TEST_CASE(theBackOffOfAllEnginesEndsWithTheEarliest)
{
    ServicePool pool = modelPool({engine("p0", EngineStage::Prefill), engine("d0", EngineStage::Decode), engine("d1", EngineStage::Decode),
                                  engine("d2", EngineStage::Decode)});
    BOOST_TEST(!pool.backOffOfAllEngines(start).has_value());
    pool.recordNotice(engine("d0", EngineStage::Decode), backOff(absl::Seconds(3)), start);
    pool.recordNotice(engine("d1", EngineStage::Decode), backOff(absl::Seconds(2)), start);
    BOOST_TEST(!pool.backOffOfAllEngines(start).has_value());
    pool.recordNotice(engine("d2", EngineStage::Decode), leavingNotice, start);
    BOOST_TEST((pool.backOffOfAllEngines(start) == absl::Seconds(2)));
    BOOST_TEST((pool.backOffOfAllEngines(start + absl::Seconds(1)) == absl::Seconds(1)));
    BOOST_TEST(!pool.backOffOfAllEngines(start + absl::Seconds(2)).has_value());
    BOOST_TEST(!poolOf({}).backOffOfAllEngines(start).has_value());
}

/// Callers that are refused during a back-off must neither return before its end nor all at once.
BOOST_AUTO_TEST_CASE(refusedCallersReturnSpreadAfterTheBackOff)
{
    const absl::Duration timeLeft = absl::Seconds(2);
    BOOST_TEST((retryAfterBackOff(timeLeft, 0) == timeLeft));
    BOOST_TEST((retryAfterBackOff(timeLeft, 0.5) > retryAfterBackOff(timeLeft, 0.25)));
    BOOST_TEST((retryAfterBackOff(timeLeft, 1) >= timeLeft + absl::Seconds(1)));
    BOOST_TEST((retryAfterBackOff(absl::ZeroDuration(), 1) >= absl::Milliseconds(200)));
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
