#pragma once

#include "state/immutable.h"
#include "state/name.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <string>

namespace Apricot {

/// How far a non-idempotent call has come.
enum class RunState { Dispatching, Done, MayHaveRun, Abandoned };

struct RunRecordFields
{
    IdempotencyKey key;
    RequestId creator; ///< the attempt that created the record; only it may dispatch
    NodeId node; ///< node of the creator
    RunState state = RunState::Dispatching;
    std::int64_t status = 0; ///< HTTP status of the recorded answer, if Done
    std::string body; ///< recorded answer, if Done
    std::int64_t createdMs = 0; ///< ms since the epoch

    friend auto operator<=>(const RunRecordFields &, const RunRecordFields &) = default;
};

/// The lasting record of one non-idempotent call under the caller's key.
using RunRecord = Immutable<RunRecordFields>;

struct RunPageFields
{
    std::uint64_t version = 0; ///< version of the page's object; 0: it does not exist yet
    std::map<IdempotencyKey, RunRecord> records;

    friend bool operator==(const RunPageFields &, const RunPageFields &) = default;
};

/// One object of the store that holds the records of many keys.
using RunPage = Immutable<RunPageFields>;

}
