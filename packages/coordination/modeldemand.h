#pragma once

#include "coordination/memoryforecast.h"
#include "state/name.h"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace Apricot {

/// Requirements of a model call, from which a ServicePool chooses its engines.
struct ModelDemand
{
    DataCentreName nearTo; ///< data centre of the calling node
    std::int64_t promptTokens = 0;
    std::int64_t generatedTokens = 0; ///< answer tokens of earlier attempts; the decode engine prefills them with the prompt
    std::int64_t hintedOutputTokens = 0; ///< the caller's estimate of the answer length; 0: none
    std::int64_t maxOutputTokens = 0; ///< maximum length of the answer
    std::optional<std::int64_t> expectedOutputTokens; ///< expected length of the answer, if it is already known
    std::int64_t rank = 0; ///< 0 is the most urgent
    WorkspaceName workspace; ///< empty: none
    absl::Duration targetLatency; ///< target latency of the first stream event
    absl::Duration maxEventGap = absl::InfiniteDuration(); ///< longest acceptable gap between two events of a stream
    absl::Duration maxWait; ///< how long the call may wait for capacity
    std::vector<EngineId> excludedEngines; ///< engines that have failed this call
    std::uint64_t jitterSeed = 0; ///< random; keeps nodes that decide at the same time from all choosing the same engine

    friend bool operator==(const ModelDemand &, const ModelDemand &) = default;
};

/// Returns the expected length of the answer of \a demand in tokens. \a meanOutputTokens is the mean of recent answers.
inline std::int64_t expectedOutputTokens(const ModelDemand &demand, double meanOutputTokens)
{
    return demand.expectedOutputTokens.value_or(estimateOutputTokens(demand.hintedOutputTokens, meanOutputTokens, demand.maxOutputTokens));
}

}
