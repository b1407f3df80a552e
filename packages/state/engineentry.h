#pragma once

#include "state/immutable.h"
#include "state/name.h"

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Apricot {

/// Stage of request processing that an engine performs.
enum class EngineStage : std::uint8_t { Plain, Prefill, Decode };

/// Whether an engine accepts new work.
enum class EngineCondition : std::uint8_t { Ready, Leaving };

struct EngineEntryFields
{
    EngineId id;
    ServiceName service;
    std::string address; ///< "IP:port"
    DataCentreName dataCentre;
    std::int64_t slots = 1; ///< requests that it runs concurrently
    EngineCondition condition = EngineCondition::Ready;
    EngineStage stage = EngineStage::Plain;
    std::int64_t startedMs = 0; ///< Unix time of its start; distinguishes restarts, because a restarted engine may keep its id

    friend auto operator<=>(const EngineEntryFields &, const EngineEntryFields &) = default;
};

/// The entry by which an engine registers itself in the platform's store.
using EngineEntry = Immutable<EngineEntryFields>;

/// One request that is running on, or assigned to, a decode engine.
struct EngineRun
{
    std::uint64_t id = 0; ///< unique on the node that placed the request
    std::int64_t promptTokens = 0;
    std::int64_t expectedOutputTokens = 0; ///< expected length of its output
    std::int64_t generatedTokens = 0; ///< output tokens generated so far

    friend auto operator<=>(const EngineRun &, const EngineRun &) = default;
};

/// Load that one node has placed on one engine.
struct EngineLoad
{
    EngineId engine;
    std::int64_t requests = 0; ///< requests that are assigned to the engine and not finished
    std::int64_t pendingPrefillTokens = 0; ///< prompt tokens that are not prefilled yet
    std::vector<EngineRun> runs; ///< requests that use KV memory of the engine

    friend auto operator<=>(const EngineLoad &, const EngineLoad &) = default;
};

/// Identifies the workspace of a waiting call in load reports: a 32 bit hash of its name; 0: none.
using WorkspaceTag = std::uint32_t;

/// A model call that is queued on its node until an engine has capacity.
struct WaitingCall
{
    ServiceName service;
    std::int64_t rank = 0; ///< 0 is the most urgent
    absl::Time waitDeadline; ///< when it stops waiting, on the steady clock of its node or of the node that received this message
    std::int64_t promptTokens = 0;
    std::int64_t expectedOutputTokens = 0; ///< expected length of its output
    WorkspaceTag workspace = 0;
    std::int64_t workspaceUsage = 0; ///< recent usage of the workspace on the node where the call waits; 0 without a workspace

    friend bool operator==(const WaitingCall &, const WaitingCall &) = default;
};

}
