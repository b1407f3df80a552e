#pragma once

#include "state/configobjects.h"
#include "state/work.h"

#include <variant>
#include <vector>

namespace Apricot {

/// A request asks for engines.
struct WorkArrived
{
    Work work;
};

/// The prefill's result is on the prefill engine; \a took is what the engine needed, \a cachedTokens what it skipped.
struct PrefillFinished
{
    RequestId id;
    std::uint64_t attempt = 1;
    absl::Duration took;
    std::int64_t cachedTokens = 0;
};

/// The prefill ended without a result.
struct PrefillFailed
{
    RequestId id;
    std::uint64_t attempt = 1;
};

/// The decode engine has the KV cache; \a transferTook is how long the take-over needed.
struct DecodeStarted
{
    RequestId id;
    std::uint64_t attempt = 1;
    absl::Duration transferTook;
};

/// The decode engine could not take the result over (it had expired, or there was no memory).
struct TakeoverFailed
{
    RequestId id;
    std::uint64_t attempt = 1;
};

/// The coordinator still works on the request and has received \a tokens of its answer.
/// It says all that a new owner needs to know of the reservation.
struct WorkRenewed
{
    Work work;
    EngineId prefill;
    EngineId decode;
    bool decoding = false; ///< the decode engine holds the KV cache
    std::int64_t tokens = 0;
};

/// The last token was received.
struct WorkFinished
{
    RequestId id;
    std::uint64_t attempt = 1;
    std::int64_t tokens = 0;
};

/// The caller or the coordinator gave the request up.
struct WorkCancelled
{
    RequestId id;
    std::uint64_t attempt = 1;
};

/// Connections to an engine fail and new ones do not work either.
struct EngineLost
{
    EngineId engine;
};

/// The engine answers (again).
struct EngineBack
{
    EngineId engine;
};

/// The engine gets no new work; what runs there goes on.
struct EngineLeaving
{
    EngineId engine;
};

/// What an engine says of itself, with a lag.
struct EngineReported
{
    EngineId engine;
    std::int64_t running = 0;
    std::int64_t piecesInUse = 0;
    std::vector<RequestId> held; ///< requests whose memory it holds
    std::vector<std::uint64_t> cachedPrefixes;
};

/// Time has passed.
struct Tick
{
};

/// Everything that the owner of a slice reacts to.
using Event = std::variant<WorkArrived, PrefillFinished, PrefillFailed, DecodeStarted, TakeoverFailed, WorkRenewed, WorkFinished,
                           WorkCancelled, EngineLost, EngineBack, EngineLeaving, EngineReported, Tick>;

}
