#pragma once

#include "caller/callerclient.h"

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Apricot {

/// Sums over a whole run, with what the stand-ins say of it.
struct Verdict
{
    std::int64_t requests = 0;
    std::int64_t answered = 0;
    std::int64_t notRun = 0;
    std::int64_t mayHaveRun = 0;
    std::int64_t lost = 0;
    std::int64_t wrong = 0;
    std::int64_t duplicateRuns = 0;
    std::int64_t falseNotRun = 0;
    std::int64_t orphanPieces = 0;
    std::int64_t generationInForce = 0;
    std::int64_t recoveryMs = 0;
};

/// Where the stand-ins and nodes of a run are asked.
struct VerdictSources
{
    std::vector<std::string> nodes;
    std::vector<std::string> engines;
    std::vector<std::string> services;
    absl::Time faultAt = absl::InfiniteFuture(); ///< when the script causes its fault
};

Verdict judge(const std::vector<CallerResult> &results, const VerdictSources &sources);

/// Whether the promises held.
bool promisesHeld(const Verdict &verdict);

/// The last line of the demo, and the one of a fault run.
std::string demoLine(const Verdict &verdict);
std::string faultLine(const std::string &fault, const Verdict &verdict);

}
