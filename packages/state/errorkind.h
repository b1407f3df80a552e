#pragma once

#include <string_view>

namespace Apricot {

/// Whether a call that ended without its regular response was executed.
enum class Outcome { NotRun, MayHaveRun, Ran };

/// All error kinds. Every error that leaves the system has one of these kinds.
enum class ErrorKind {
    BadRequest,
    BodyTooLarge,
    KeyRejected,
    UnknownService,
    UnknownOperation,
    RangeNotAvailable,
    DuplicateInProgress,
    Superseded,
    TargetUnreachable,
    RateLimited,
    AllowanceExceeded,
    NoCapacity,
    PromptQuarantined,
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

/// Describes how an error kind is reported to callers.
struct ErrorDescriptor
{
    ErrorKind kind;
    std::string_view name; ///< stable name in responses, logs and documentation
    int httpStatus;
    bool retryable; ///< the same call may safely be retried
    Outcome outcome;
    std::string_view text; ///< human-readable sentence
};

/// Number of error kinds.
inline constexpr int errorKindCount = static_cast<int>(ErrorKind::Internal) + 1;

/// Returns the description of \a kind.
const ErrorDescriptor &errorDescriptor(ErrorKind kind);

/// Returns "NotRun", "MayHaveRun" or "Ran".
std::string_view outcomeName(Outcome outcome);

}
