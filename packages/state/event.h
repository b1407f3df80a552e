#pragma once

#include "state/configobjects.h"
#include "state/work.h"

#include <variant>
#include <vector>

namespace Apricot {

/// A request needs engines.
struct WorkArrived
{
    Work work;
};

/// The prefill engine holds the result. \a duration is the prefill time; \a cachedTokens were served from the prefix cache.
struct PrefillFinished
{
    RequestId id;
    std::uint64_t attempt = 1;
    absl::Duration duration;
    std::int64_t cachedTokens = 0;
};

/// The prefill ended without a result.
struct PrefillFailed
{
    RequestId id;
    std::uint64_t attempt = 1;
};

/// The decode engine holds the KV cache. \a transferDuration is the duration of the KV transfer.
struct DecodeStarted
{
    RequestId id;
    std::uint64_t attempt = 1;
    absl::Duration transferDuration;
};

/// The attempt failed after its prefill: the result expired, the decode engine had no free memory for it, or the stream was lost.
struct KvTransferFailed
{
    RequestId id;
    std::uint64_t attempt = 1;
};

/// The coordinator still processes the request and has received \a tokens output tokens.
/// Contains everything that a new slice owner needs to restore the reservation.
struct WorkRenewed
{
    Work work;
    EngineId prefill;
    EngineId decode;
    bool decoding = false; ///< the decode engine holds the KV cache
    std::int64_t tokens = 0;
};

/// The coordinator received the last token.
struct WorkFinished
{
    RequestId id;
    std::uint64_t attempt = 1;
    std::int64_t tokens = 0;
};

/// The caller or the coordinator cancelled the request.
struct WorkCancelled
{
    RequestId id;
    std::uint64_t attempt = 1;
};

/// Existing connections to the engine failed, and new ones cannot be opened.
struct EngineLost
{
    EngineId engine;
};

/// The engine responds, possibly after it was lost.
struct EngineRecovered
{
    EngineId engine;
};

/// The engine gets no new work; its running requests continue.
struct EngineLeaving
{
    EngineId engine;
};

/// Status report of an engine. It lags behind the engine's actual state.
struct EngineReported
{
    EngineId engine;
    std::int64_t running = 0;
    std::int64_t piecesInUse = 0;
    std::vector<RequestId> held; ///< requests for which it holds memory
    std::vector<std::uint64_t> cachedPrefixes;
};

/// Periodic timer event.
struct Tick
{
};

/// Any event that the owner of a slice handles.
using Event = std::variant<WorkArrived, PrefillFinished, PrefillFailed, DecodeStarted, KvTransferFailed, WorkRenewed, WorkFinished,
                           WorkCancelled, EngineLost, EngineRecovered, EngineLeaving, EngineReported, Tick>;

}
