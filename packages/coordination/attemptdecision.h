#pragma once

#include "state/desiredstate.h"
#include "state/errorkind.h"

#include <absl/time/time.h>

#include <cstdint>
#include <variant>

namespace Apricot {

/// No byte of the call reached the engine: the connection was never made.
struct NeverSent
{
    friend bool operator==(const NeverSent &, const NeverSent &) = default;
};

/// The engine says that it did not run the call and will not.
struct Declined
{
    friend bool operator==(const Declined &, const Declined &) = default;
};

/// The engine gave a whole answer of its own.
struct Answered
{
    int status = 0;

    friend bool operator==(const Answered &, const Answered &) = default;
};

/// The call was sent, and no usable answer came: it may have run.
struct Spoilt
{
    friend bool operator==(const Spoilt &, const Spoilt &) = default;
};

/// The time of the call is over.
struct TimeIsUp
{
    bool wasSent = false; ///< to any engine, with an unknown end

    friend bool operator==(const TimeIsUp &, const TimeIsUp &) = default;
};

/// How one try at one engine ended.
using AttemptEnd = std::variant<NeverSent, Declined, Answered, Spoilt, TimeIsUp>;

/// Hand the engine's answer to the caller as it is.
struct RelayAnswer
{
    friend bool operator==(const RelayAnswer &, const RelayAnswer &) = default;
};

/// Send the call to another engine.
struct TryAnother
{
    bool isRepeat = false; ///< it counts against the budget of repeats

    friend bool operator==(const TryAnother &, const TryAnother &) = default;
};

/// Answer the caller with an error of ours.
struct AnswerWithError
{
    ErrorKind kind = ErrorKind::Internal;

    friend bool operator==(const AnswerWithError &, const AnswerWithError &) = default;
};

/// What follows a try.
using NextStep = std::variant<RelayAnswer, TryAnother, AnswerWithError>;

/// What is known of a call when one of its tries ends.
struct AttemptFacts
{
    Repeatability repeatability = Repeatability::AtMostOnce;
    std::int64_t arrivals = 0; ///< engines that got the call, this try included
    std::int64_t mostAttempts = 1;
    bool hasAlternative = false; ///< another engine can take it
    bool budgetAllows = false; ///< a repeat fits the budget of all nodes
    bool timeAllows = false; ///< another try can still end in time
    bool mayHaveRun = false; ///< an earlier try was sent and its end is unknown

    friend bool operator==(const AttemptFacts &, const AttemptFacts &) = default;
};

/// Whether \a status promises the caller that nothing ran and never will.
bool promisesNotRun(int status);

/// Decides what follows a try of a call that is answered as a whole, or of a stream that has not begun.
NextStep decideNextStep(const AttemptFacts &facts, const AttemptEnd &end);

}
