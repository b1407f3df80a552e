#pragma once

#include "state/errorkind.h"
#include "state/overloaded.h"
#include "state/work.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace Apricot {

/// Starts the prefill on \a prefill. KV memory is already reserved on \a decode.
struct StartPrefill
{
    RequestId id;
    std::uint64_t attempt = 1;
    EngineId prefill;
    EngineId decode;

    friend bool operator==(const StartPrefill &, const StartPrefill &) = default;
};

/// Transfers the prefill's result to \a decode and starts decoding there.
struct StartDecode
{
    RequestId id;
    std::uint64_t attempt = 1;
    EngineId prefill;
    EngineId decode;

    friend bool operator==(const StartDecode &, const StartDecode &) = default;
};

/// Ends the request with an error of kind \a kind. The caller may retry after \a retryAfter.
struct Refuse
{
    RequestId id;
    std::uint64_t attempt = 1;
    ErrorKind kind = ErrorKind::Internal;
    absl::Duration retryAfter;

    friend bool operator==(const Refuse &, const Refuse &) = default;
};

/// Releases everything that \a engine holds for attempts of the request up to and including \a attempt.
struct CancelOnEngine
{
    RequestId id;
    std::uint64_t attempt = 1;
    EngineId engine;

    friend bool operator==(const CancelOnEngine &, const CancelOnEngine &) = default;
};

/// Any command that the owner of a slice issues.
using Action = std::variant<StartPrefill, StartDecode, Refuse, CancelOnEngine>;
using Actions = std::vector<Action>;

}
