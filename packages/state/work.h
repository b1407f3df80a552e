#pragma once

#include "state/immutable.h"
#include "state/name.h"

#include <absl/time/time.h>

#include <cstdint>

namespace Apricot {

struct WorkFields
{
    RequestId id;
    std::uint64_t attempt = 1; ///< a later attempt at the same id supersedes an earlier one
    RankName rank;
    WorkspaceName workspace;
    std::int64_t promptTokens = 0; ///< including tokens already generated, when an answer is rebuilt
    std::int64_t maxTokens = 0;
    std::uint64_t prefixHash = 0; ///< 0: no shared prefix
    std::int64_t prefixTokens = 0;
    DataCentreName dataCentre; ///< of the coordinator
    absl::Time arrival;
    EngineId avoid; ///< engine that the coordinator could not reach at an earlier attempt
    bool resumed = false; ///< the first token was sent already; it is never refused as too late

    friend bool operator==(const WorkFields &, const WorkFields &) = default;
};

/// One request as the owner of a slice sees it.
using Work = Immutable<WorkFields>;

}
