#pragma once

#include "fakeenginepool.h"
#include "workload.h"

#include "coordination/slicescheduler.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Apricot::Bench {

/// Figures of one run. Shares are fractions from 0 to 1. The member names are the keys of figuresLine().
struct BenchFigures
{
    double goodputShare = 0; ///< good requests, of all offered requests
    double urgentGoodputShare
        = 0; ///< good requests, of those offered by the urgent rank (engine-loss: without the two seconds after the loss)
    double otherRankShare
        = 0; ///< good requests, of those offered by the other rank; in a flood: fraction of engine time used by the non-flooding rank
    double floorShare = 0; ///< configured floor of the non-flooding rank
    double wastedPrefillShare = 0; ///< wasted prefill time, of all prefill time; excludes the time lost with a failed engine
    double refusedEarlyShare = 0; ///< requests refused before admission, of all offered requests
    double ttftP95Ms = 0; ///< time to first token, 95th percentile
    double tokenGapP95Ms = 0;
    double peakMemoryShare = 0;
    double decisionsPerSecond = 0;
    double capacityBound = 0; ///< requests per second; see capacityBound()
    double goodputOfBound = 0; ///< engine time of the bottleneck pool spent on good requests, of the time that could be used
    double admittedGoodShare = 0; ///< requests that met both latency targets, of all admitted requests
};

/// Runs one workload under one policy in virtual time and returns its figures.
BenchFigures runBench(const WorkloadPlan &plan, const Policy &policy);

/// Returns the figures as the JSON line that policy_bench prints.
std::string figuresLine(const BenchFigures &figures);

}
