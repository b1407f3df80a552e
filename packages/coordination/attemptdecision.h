#pragma once

#include "state/desiredstate.h"
#include "state/errorkind.h"

#include <absl/time/time.h>

#include <cstdint>
#include <variant>

namespace Apricot {

/// No byte of the call was sent to the engine: no connection could be established.
struct NotSent
{
    friend bool operator==(const NotSent &, const NotSent &) = default;
};

/// The engine answered that it did not execute the call and will not.
struct Declined
{
    friend bool operator==(const Declined &, const Declined &) = default;
};

/// The engine sent a complete answer.
struct Answered
{
    int status = 0;

    friend bool operator==(const Answered &, const Answered &) = default;
};

/// The call was sent, and no usable answer was received. The engine may have executed it.
struct NoUsableAnswer
{
    friend bool operator==(const NoUsableAnswer &, const NoUsableAnswer &) = default;
};

/// The call's deadline has passed.
struct DeadlineExceeded
{
    bool wasSent = false; ///< the call was sent to an engine, with an unknown outcome

    friend bool operator==(const DeadlineExceeded &, const DeadlineExceeded &) = default;
};

/// The outcome of one attempt at one engine.
using AttemptOutcome = std::variant<NotSent, Declined, Answered, NoUsableAnswer, DeadlineExceeded>;

/// Pass the engine's answer on to the caller unchanged.
struct RelayAnswer
{
    friend bool operator==(const RelayAnswer &, const RelayAnswer &) = default;
};

/// Send the call to another engine.
struct TryNextEngine
{
    bool isRetry = false; ///< counts against the retry limit of all nodes

    friend bool operator==(const TryNextEngine &, const TryNextEngine &) = default;
};

/// Answer the caller with an error of this node.
struct AnswerWithError
{
    ErrorKind kind = ErrorKind::Internal;

    friend bool operator==(const AnswerWithError &, const AnswerWithError &) = default;
};

/// What follows an attempt.
using NextStep = std::variant<RelayAnswer, TryNextEngine, AnswerWithError>;

/// What is known about a call when one of its attempts ends.
struct AttemptFacts
{
    Repeatability repeatability = Repeatability::AtMostOnce;
    std::int64_t sentAttempts = 0; ///< attempts that reached an engine, this one included
    std::int64_t maxAttempts = 1; ///< maximum number of attempts that reach an engine
    bool hasAlternative = false; ///< another engine can take the call
    bool retryLimitAllows = false; ///< the retry limit of all nodes allows a retry
    bool timeAllows = false; ///< another attempt can still end before the deadline
    bool mayHaveRun = false; ///< an earlier attempt was sent and its outcome is unknown

    friend bool operator==(const AttemptFacts &, const AttemptFacts &) = default;
};

/// Whether \a status tells the caller that the call was not executed and will not be.
bool impliesNotExecuted(int status);

/// Decides what follows an attempt at a call whose answer is not streamed, or at a stream that has not begun.
NextStep decideNextStep(const AttemptFacts &facts, const AttemptOutcome &outcome);

}
