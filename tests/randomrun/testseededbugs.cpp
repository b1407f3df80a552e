#include "randomrun/simworld.h"

#include "coordination/seededbug.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <cstdint>
#include <iostream>
#include <string>
#include <utility>

using namespace Apricot;
using namespace Apricot::Sim;

namespace {

constexpr std::uint64_t steps = 5000;

/// Number of seeds within which each seeded bug must be detected.
constexpr std::uint64_t maxSeeds = 200;

/// Returns the first seed in 1..\a max whose run violates an invariant, or 0 if there is none.
std::uint64_t firstViolation(std::uint64_t max)
{
    for (std::uint64_t seed = 1; seed <= max; ++seed) {
        if (SimWorld(RunPlan{seed, steps, 6}).run().violations > 0) {
            return seed;
        }
    }
    return 0;
}

constexpr std::array<std::pair<SeededBug, const char *>, 12> bugs{{
    {SeededBug::SkipReadBack, "SkipReadBack"},
    {SeededBug::DropAbandonedMark, "DropAbandonedMark"},
    {SeededBug::DispatchOnConflict, "DispatchOnConflict"},
    {SeededBug::RepeatAfterDispatch, "RepeatAfterDispatch"},
    {SeededBug::ReleaseTwice, "ReleaseTwice"},
    {SeededBug::ForgetOrphan, "ForgetOrphan"},
    {SeededBug::RenewWithoutOwnerCheck, "RenewWithoutOwnerCheck"},
    {SeededBug::ActAfterLease, "ActAfterLease"},
    {SeededBug::GenerationGoesBack, "GenerationGoesBack"},
    {SeededBug::WorkToLeavingEngine, "WorkToLeavingEngine"},
    {SeededBug::OverfillEngine, "OverfillEngine"},
    {SeededBug::SkipOffsetCheck, "SkipOffsetCheck"},
}};

}

BOOST_AUTO_TEST_SUITE(RandomRuns)

BOOST_AUTO_TEST_CASE(noSeedViolatesAnInvariant)
{
    BOOST_TEST(firstViolation(maxSeeds) == 0U);
}

BOOST_AUTO_TEST_CASE(sameSeedGivesSameReportLine)
{
    const RunPlan plan{42, steps, 6};
    BOOST_TEST(reportLine(plan, SimWorld(plan).run()) == reportLine(plan, SimWorld(plan).run()));
}

BOOST_AUTO_TEST_CASE(everySeededBugIsDetected)
{
    for (const auto &[bug, name] : bugs) {
        setSeededBug(bug);
        const std::uint64_t seed = firstViolation(maxSeeds);
        setSeededBug(SeededBug::None);
        std::cout << "seeded bug " << name << ": " << (seed == 0 ? "NOT caught" : "caught at seed " + std::to_string(seed)) << "\n";
        BOOST_TEST(seed > 0U, name);
    }
}

BOOST_AUTO_TEST_SUITE_END()
