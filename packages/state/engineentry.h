#pragma once

#include "state/immutable.h"
#include "state/name.h"

#include <cstdint>
#include <string>

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

/// What one node has placed on one engine.
struct EngineLoad
{
    EngineId engine;
    std::int64_t requests = 0; ///< under way
    std::int64_t memoryTokens = 0; ///< KV memory promised to them
    std::int64_t prefillTokens = 0; ///< prompt tokens still to be read

    friend auto operator<=>(const EngineLoad &, const EngineLoad &) = default;
};

}
