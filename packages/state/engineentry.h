#pragma once

#include "state/immutable.h"
#include "state/name.h"

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Apricot {

/// What an engine does with a request.
enum class EngineStage : std::uint8_t { Plain, Prefill, Decode };

/// Whether an engine takes new work.
enum class EngineCondition : std::uint8_t { Ready, Leaving };

struct EngineEntryFields
{
    EngineId id;
    ServiceName service;
    std::string address; ///< "IP:port"
    DataCentreName dataCentre;
    std::int64_t slots = 1; ///< requests that it runs at once
    EngineCondition condition = EngineCondition::Ready;
    EngineStage stage = EngineStage::Plain;
    std::int64_t bornMs = 0; ///< Unix time of its start; an engine that starts again may keep its id

    friend auto operator<=>(const EngineEntryFields &, const EngineEntryFields &) = default;
};

/// What an engine says of itself in the platform's store.
using EngineEntry = Immutable<EngineEntryFields>;

/// One request that a decode engine runs or will run.
struct EngineRun
{
    std::uint64_t id = 0; ///< unique at the node that placed it
    std::int64_t promptTokens = 0;
    std::int64_t likelyTokens = 0; ///< expected length of its answer
    std::int64_t madeTokens = 0; ///< of its answer, up to now

    friend auto operator<=>(const EngineRun &, const EngineRun &) = default;
};

/// What one node has placed on one engine.
struct EngineLoad
{
    EngineId engine;
    std::int64_t requests = 0; ///< under way
    std::int64_t prefillTokens = 0; ///< prompt tokens still to be read
    std::vector<EngineRun> runs; ///< what takes KV memory there

    friend auto operator<=>(const EngineLoad &, const EngineLoad &) = default;
};

/// A model call that waits at its node for room at the engines.
struct WaitingCall
{
    ServiceName service;
    std::int64_t rank = 0; ///< 0 is the most urgent
    absl::Time patienceEnds; ///< on the steady clock of its node, or of who was told
    std::int64_t promptTokens = 0;
    std::int64_t likelyTokens = 0; ///< expected length of its answer

    friend bool operator==(const WaitingCall &, const WaitingCall &) = default;
};

}
