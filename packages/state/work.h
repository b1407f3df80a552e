#pragma once

#include "state/immutable.h"
#include "state/name.h"

#include <absl/time/time.h>

#include <cstdint>

namespace Apricot {

struct WorkFields
{
    RequestId id;
    std::uint64_t attempt = 1; ///< a later attempt with the same id supersedes an earlier one
    RankName rank;
    WorkspaceName workspace;
    std::int64_t promptTokens = 0; ///< includes the tokens generated so far if the request is restarted on other engines
    std::int64_t maxTokens = 0;
    std::uint64_t prefixHash = 0; ///< 0: no shared prefix
    std::int64_t prefixTokens = 0;
    DataCentreName dataCentre; ///< data centre of the coordinator
    absl::Time arrivalTime;
    EngineId excludedEngine; ///< engine that the coordinator could not reach in an earlier attempt
    bool resumed = false; ///< the first token was already sent to the caller, so the request is never refused for missing its target

    friend bool operator==(const WorkFields &, const WorkFields &) = default;
};

/// One request as scheduled by the owner of a slice.
using Work = Immutable<WorkFields>;

}
