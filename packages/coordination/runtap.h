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

/// How far one attempt at a non-idempotent call has come.
enum class TapPhase { Reading, Creating, AskingCreator, Dispatching, Ended };

struct RunTapFields
{
    IdempotencyKey key;
    RequestId attempt; ///< unique; it is the creator in the record
    NodeId node;
    TapPhase phase = TapPhase::Reading;
    std::optional<RunRecord> seen; ///< record as last read
    std::optional<RunRecord> createExpected; ///< condition of the last create that was sent
    bool sawInProgress = false; ///< another attempt with this key was in progress
    bool createSent = false; ///< a create was sent whose outcome is not known to be a refusal
    std::int64_t startedMs = 0; ///< ms since the epoch

    friend bool operator==(const RunTapFields &, const RunTapFields &) = default;
    friend auto operator<=>(const RunTapFields &, const RunTapFields &) = default;
};

/// One attempt ("tap") at a non-idempotent call, as an immutable value.
using RunTap = Immutable<RunTapFields>;

// Events of one tap.

/// The store answered a read with the record under the key, if any.
struct RecordRead
{
    std::optional<RunRecord> record;
};

/// The write took effect.
struct RecordWritten
{
};

/// The write was refused, as the record is not what it was.
struct RecordConflict
{
};

/// The write was sent and its reply was lost.
struct RecordWriteLost
{
};

/// The creator's node was asked and answered, or is gone (Unknown).
struct CreatorAnswered
{
    AttemptStatus word = AttemptStatus::Unknown;
};

/// The endpoint answered the call.
struct CallAnswered
{
    std::int64_t status = 0;
    std::string body;
};

/// Not a byte of the call left this node.
struct CallNotSent
{
};

/// The call was sent and no answer came.
struct CallLost
{
};

/// The store has not served this tap within its time.
struct StoreTimedOut
{
};

using TapEvent = std::variant<RecordRead, RecordWritten, RecordConflict, RecordWriteLost, CreatorAnswered, CallAnswered, CallNotSent,
                              CallLost, StoreTimedOut>;

// Actions of one tap.

/// Read the record under the key.
struct ReadRecord
{
    friend auto operator<=>(const ReadRecord &, const ReadRecord &) = default;
};

/// Write \a next if the record is still \a expected.
struct WriteRecord
{
    std::optional<RunRecord> expected;
    RunRecord next;

    friend auto operator<=>(const WriteRecord &, const WriteRecord &) = default;
};

/// Write \a next in the background until the store says that it took effect, or that the record is neither this attempt's
/// nor the one that its create expected.
struct SettleRecord
{
    std::optional<RunRecord> createExpected;
    RunRecord next;

    friend auto operator<=>(const SettleRecord &, const SettleRecord &) = default;
};

/// Ask \a node what became of attempt \a creator.
struct AskCreator
{
    NodeId node;
    RequestId creator;

    friend auto operator<=>(const AskCreator &, const AskCreator &) = default;
};

/// Hand the call to the transport. Given at most once for each tap.
struct DispatchCall
{
    friend auto operator<=>(const DispatchCall &, const DispatchCall &) = default;
};

/// Answer the caller with what the endpoint said, now or at an earlier tap.
struct AnswerRecorded
{
    std::int64_t status = 0;
    std::string body;

    friend auto operator<=>(const AnswerRecorded &, const AnswerRecorded &) = default;
};

/// Answer the caller with an error of the closed list.
struct AnswerError
{
    ErrorKind kind = ErrorKind::Internal;

    friend auto operator<=>(const AnswerError &, const AnswerError &) = default;
};

using TapAction = std::variant<ReadRecord, WriteRecord, SettleRecord, AskCreator, DispatchCall, AnswerRecorded, AnswerError>;

/// Longest answer that is recorded for later taps, bytes; of a longer one they get the status and a note.
inline constexpr std::size_t mostRecordedBody = 4096;

/// The tap after an event, and what to do.
struct TapStep
{
    RunTap tap;
    std::vector<TapAction> actions;
};

/// Starts a tap at \a now.
TapStep startTap(const IdempotencyKey &key, const RequestId &attempt, const NodeId &node, absl::Time now);

/// Maps a tap and an event to the next tap and its actions. Events that do not fit the phase change nothing.
TapStep stepTap(const RunTap &tap, const TapEvent &event, absl::Time now);

}
