#pragma once

#include "caller/callerclient.h"

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Apricot {

/// Totals of a run, from the callers' results and the state of the stand-ins. The member names are the keys of the JSON lines.
struct Verdict
{
    std::int64_t requests = 0;
    std::int64_t answered = 0;
    std::int64_t notRun = 0;
    std::int64_t mayHaveRun = 0;
    std::int64_t lost = 0;
    std::int64_t wrong = 0;
    std::int64_t duplicateRuns = 0; ///< runs of an idempotency key beyond the first
    std::int64_t falseNotRun = 0; ///< keys whose callers all got NotRun although a service ran them
    std::int64_t orphanPieces = 0; ///< pieces of engine memory still in use after the run
    std::int64_t generationInForce = 0; ///< lowest active generation of all nodes that respond
    std::int64_t recoveryMs = 0; ///< time from the fault to the end of the last disturbed request
};

/// URLs of the nodes and stand-ins of a run.
struct VerdictSources
{
    std::vector<std::string> nodes;
    std::vector<std::string> engines;
    std::vector<std::string> services;
    absl::Time faultAt = absl::InfiniteFuture(); ///< time at which the script injects the fault
};

/// Computes the totals; queries the nodes and stand-ins, and waits for the engines to free their memory.
Verdict evaluateRun(const std::vector<CallerResult> &results, const VerdictSources &sources);

/// Whether all requests have an outcome, none ran twice, no NotRun was false and no memory is left in use.
bool guaranteesHold(const Verdict &verdict);

/// Returns the last line of the demo or the line of a fault run, as JSON.
std::string demoLine(const Verdict &verdict);
std::string faultLine(const std::string &fault, const Verdict &verdict);

}
