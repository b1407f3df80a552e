#pragma once

#include "state/attemptstatus.h"
#include "state/errorkind.h"
#include "state/immutable.h"
#include "state/runrecord.h"

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Apricot {

/// Progress of one attempt at a non-idempotent call.
enum class RunAttemptPhase { Reading, Creating, AskingCreator, Dispatching, Ended };

/// Fields of RunAttempt.
struct RunAttemptFields
{
    IdempotencyKey key;
    RequestId attemptId; ///< unique id of this attempt; stored as the creator of its record
    NodeId node;
    RunAttemptPhase phase = RunAttemptPhase::Reading;
    std::optional<RunRecord> lastRecord; ///< the record as last read
    std::optional<RunRecord> createExpected; ///< the record that the last write of this attempt's own record expected to replace
    bool sawInProgress = false; ///< another attempt under this key was found in progress
    bool createSent = false; ///< a create was sent and may have taken effect
    std::int64_t startedMs = 0; ///< ms since the epoch

    friend bool operator==(const RunAttemptFields &, const RunAttemptFields &) = default;
    friend auto operator<=>(const RunAttemptFields &, const RunAttemptFields &) = default;
};

/// One attempt at a non-idempotent call, as an immutable value.
using RunAttempt = Immutable<RunAttemptFields>;

// Events of one attempt.

/// The store returned the record under the key, if any.
struct RecordRead
{
    std::optional<RunRecord> record;
};

/// The write took effect.
struct RecordWritten
{
};

/// The write was rejected, as the record is no longer the expected one.
struct RecordConflict
{
};

/// The write was sent and its reply was lost: it may have taken effect.
struct RecordWriteLost
{
};

/// The creator's node reported the state of the creator's attempt; Unknown if the node has failed.
struct CreatorAnswered
{
    AttemptStatus status = AttemptStatus::Unknown;
};

/// The endpoint answered the call.
struct CallAnswered
{
    std::int64_t status = 0;
    std::string body;
};

/// No byte of the call was sent.
struct CallNotSent
{
};

/// The call was sent and no answer was received.
struct CallLost
{
};

/// The store did not complete the operations of this attempt within its time limit.
struct StoreTimedOut
{
};

using RunAttemptEvent = std::variant<RecordRead, RecordWritten, RecordConflict, RecordWriteLost, CreatorAnswered, CallAnswered, CallNotSent,
                                     CallLost, StoreTimedOut>;

// Actions of one attempt.

/// Read the record under the key.
struct ReadRecord
{
    friend auto operator<=>(const ReadRecord &, const ReadRecord &) = default;
};

/// Write \a next on condition that the record is still \a expected.
struct WriteRecord
{
    std::optional<RunRecord> expected;
    RunRecord next;

    friend auto operator<=>(const WriteRecord &, const WriteRecord &) = default;
};

/// Write \a next in the background, with retries, until the store confirms it or the record is neither this attempt's nor the
/// one that its create expected.
struct FinalizeRecord
{
    std::optional<RunRecord> createExpected;
    RunRecord next;

    friend auto operator<=>(const FinalizeRecord &, const FinalizeRecord &) = default;
};

/// Ask \a node for the state of attempt \a creator.
struct AskCreator
{
    NodeId node;
    RequestId creator;

    friend auto operator<=>(const AskCreator &, const AskCreator &) = default;
};

/// Send the call to the endpoint. Issued at most once per attempt.
struct DispatchCall
{
    friend auto operator<=>(const DispatchCall &, const DispatchCall &) = default;
};

/// Answer the caller with the endpoint's answer, to this attempt or to an earlier one under the same key.
struct AnswerRecorded
{
    std::int64_t status = 0;
    std::string body;

    friend auto operator<=>(const AnswerRecorded &, const AnswerRecorded &) = default;
};

/// Answer the caller with an error.
struct AnswerError
{
    ErrorKind kind = ErrorKind::Internal;

    friend auto operator<=>(const AnswerError &, const AnswerError &) = default;
};

using RunAttemptAction = std::variant<ReadRecord, WriteRecord, FinalizeRecord, AskCreator, DispatchCall, AnswerRecorded, AnswerError>;

/// Maximum answer size that is recorded for later attempts under the same key, bytes. For a longer answer they get the status and
/// a note.
inline constexpr std::size_t maxRecordedBodyBytes = 4096;

/// The state after an event, and the actions to take.
struct RunAttemptStep
{
    RunAttempt attempt;
    std::vector<RunAttemptAction> actions;
};

/// Starts an attempt at \a now.
RunAttemptStep startRunAttempt(const IdempotencyKey &key, const RequestId &attemptId, const NodeId &node, absl::Time now);

/// Returns the next state and actions for the state \a attempt and an event. Events that do not belong to the phase are ignored.
RunAttemptStep stepRunAttempt(const RunAttempt &attempt, const RunAttemptEvent &event, absl::Time now);

}
