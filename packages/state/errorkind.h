#pragma once

#include <string_view>

namespace Apricot {

/// What became of a call that ended without its ordinary answer.
enum class Outcome { NotRun, MayHaveRun, Ran };

/// The closed list of error kinds. Every error that leaves the system is one of these.
enum class ErrorKind {
    BadRequest,
    BodyTooLarge,
    UnknownService,
    UnknownOperation,
    RangeNotAvailable,
    DuplicateInProgress,
    Superseded,
    TargetUnreachable,
    RateLimited,
    NoCapacity,
    NotConfigured,
    Draining,
    StoreUnavailable,
    StoreConflict,
    EngineUnreachable,
    PeerUnreachable,
    OutcomeUnknown,
    AnswerIncomplete,
    Cancelled,
    Internal,
};

/// One row of the table from error kind to answer.
struct ErrorAnswer
{
    ErrorKind kind;
    std::string_view name; ///< stable name in answers, logs and documents
    int httpStatus;
    bool retryable; ///< the same call may be sent again without risk
    Outcome outcome;
    std::string_view text; ///< one sentence for people
};

/// Number of kinds in the closed list.
inline constexpr int errorKindCount = static_cast<int>(ErrorKind::Internal) + 1;

/// Returns the row for \a kind.
const ErrorAnswer &errorAnswer(ErrorKind kind);

/// Returns "NotRun", "MayHaveRun" or "Ran".
std::string_view outcomeName(Outcome outcome);

}
