#pragma once

#include "state/immutable.h"
#include "state/name.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <string>

namespace Apricot {

/// Progress of a non-idempotent call.
enum class RunState { Dispatching, Done, MayHaveRun, Abandoned };

struct RunRecordFields
{
    IdempotencyKey key;
    RequestId creator; ///< the attempt that created the record; only this attempt may dispatch the call
    NodeId node; ///< node that handles the creator attempt
    RunState state = RunState::Dispatching;
    std::int64_t status = 0; ///< HTTP status of the recorded response, if Done
    std::string body; ///< body of the recorded response, if Done
    std::int64_t createdMs = 0; ///< ms since the epoch

    friend auto operator<=>(const RunRecordFields &, const RunRecordFields &) = default;
};

/// The persistent record of one non-idempotent call, identified by the caller's idempotency key.
using RunRecord = Immutable<RunRecordFields>;

struct RunPageFields
{
    std::uint64_t version = 0; ///< version of the store object; 0 if it does not exist yet
    std::map<IdempotencyKey, RunRecord> records;

    friend bool operator==(const RunPageFields &, const RunPageFields &) = default;
};

/// One store object that holds the run records of many keys.
using RunPage = Immutable<RunPageFields>;

}
