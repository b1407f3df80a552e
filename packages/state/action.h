#pragma once

#include "state/errorkind.h"
#include "state/overloaded.h"
#include "state/work.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace Apricot {

/// Start the prefill on \a prefill; memory is reserved on \a decode.
struct StartPrefill
{
    RequestId id;
    std::uint64_t attempt = 1;
    EngineId prefill;
    EngineId decode;

    friend bool operator==(const StartPrefill &, const StartPrefill &) = default;
};

/// Take the prefill's result over to \a decode now.
struct StartDecode
{
    RequestId id;
    std::uint64_t attempt = 1;
    EngineId prefill;
    EngineId decode;

    friend bool operator==(const StartDecode &, const StartDecode &) = default;
};

/// End the request with an error of the closed list; \a retryAfter says when to ask again.
struct Refuse
{
    RequestId id;
    std::uint64_t attempt = 1;
    ErrorKind kind = ErrorKind::Internal;
    absl::Duration retryAfter;

    friend bool operator==(const Refuse &, const Refuse &) = default;
};

/// Free what \a engine holds of the request's attempts up to \a attempt.
struct CancelOnEngine
{
    RequestId id;
    std::uint64_t attempt = 1;
    EngineId engine;

    friend bool operator==(const CancelOnEngine &, const CancelOnEngine &) = default;
};

/// Everything that the owner of a slice orders.
using Action = std::variant<StartPrefill, StartDecode, Refuse, CancelOnEngine>;
using Actions = std::vector<Action>;

}
