#pragma once

#include "fakeenginepool.h"
#include "workload.h"

#include "coordination/slicescheduler.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Apricot::Bench {

/// Figures of one run; shares are parts of 1.
struct BenchFigures
{
    double goodputShare = 0; ///< of all that was offered
    double urgentGoodputShare = 0; ///< of what the urgent rank offered (engine-loss: outside two seconds after the loss)
    double otherRankShare
        = 0; ///< of the other rank's offer; in a flood: part of the engine time that the rank that is not flooding received
    double floorShare = 0; ///< configured for the rank that is not flooding
    double wastedPrefillShare = 0; ///< of all prefill time, without what was lost with a dead engine
    double refusedEarlyShare = 0; ///< of what was offered
    double ttftP95Ms = 0;
    double tokenGapP95Ms = 0;
    double peakMemoryShare = 0;
    double decisionsPerSecond = 0;
    double capacityBound = 0; ///< requests per second
    double goodputOfBound = 0; ///< engine time of the bottleneck pool that served good requests, of what could be served
    double admittedGoodShare = 0; ///< of the requests that were given engines, those that met both targets
};

/// Runs one plan under one policy in virtual time.
BenchFigures runBench(const WorkloadPlan &plan, const Policy &policy);

/// The line that policy_bench prints.
std::string figuresLine(const BenchFigures &figures);

}
