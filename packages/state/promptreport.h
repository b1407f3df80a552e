#pragma once

#include "state/name.h"
#include "state/promptpartset.h"

#include <absl/time/time.h>

#include <cstdint>
#include <vector>

namespace Apricot {

/// One run of an engine's process: an engine that has restarted may keep its id.
struct EngineLifetime
{
    EngineId id;
    std::int64_t startedMs = 0; ///< Unix time of its start

    friend auto operator<=>(const EngineLifetime &, const EngineLifetime &) = default;
};

/// A prompt that an engine was to answer when its connection broke before the first event. The times in these messages are ages
/// at the moment of sending, because nodes do not share a clock.
struct BrokenPrompt
{
    ServiceName service;
    EngineLifetime engine;
    std::uint64_t promptKey = 0; ///< identifies the whole prompt: retries of one prompt have the same key
    std::vector<PromptPartId> parts; ///< the parts that other prompts may share, in order
    absl::Duration age; ///< time since the connection broke

    friend auto operator<=>(const BrokenPrompt &, const BrokenPrompt &) = default;
};

/// A part of prompts that does not crash engines: an answer began on it, or another part explains the crashes.
struct ClearedPart
{
    PromptPartId part;
    absl::Duration age; ///< time since it was cleared: earlier crashes count no more

    friend auto operator<=>(const ClearedPart &, const ClearedPart &) = default;
};

/// Parts of which one crashes engines, so that calls with all of them are refused.
struct QuarantinedParts
{
    PromptPartSet parts;
    std::int64_t round = 0; ///< number of trials that have crashed an engine since the first conviction
    absl::Duration age; ///< time since the round began

    friend auto operator<=>(const QuarantinedParts &, const QuarantinedParts &) = default;
};

/// What a node tells its peers about parts of prompts that may crash engines.
struct PromptReport
{
    std::vector<BrokenPrompt> broken; ///< those that the sender has seen itself, lately
    std::vector<ClearedPart> cleared; ///< parts that the sender has lately cleared of a suspicion
    std::vector<QuarantinedParts> quarantined;

    bool isEmpty() const
    {
        return broken.empty() && cleared.empty() && quarantined.empty();
    }

    friend auto operator<=>(const PromptReport &, const PromptReport &) = default;
};

}
