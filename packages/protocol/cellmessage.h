#pragma once

#include "state/desiredstate.h"
#include "state/engineentry.h"
#include "state/error.h"
#include "state/liveness.h"
#include "state/promptreport.h"
#include "state/workspacespending.h"

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Apricot {

/// What an entry node that takes calls tells the others that do: the load that it has placed on engines.
struct LoadReport
{
    NodeId sender;
    NodeLiveness senderLiveness;
    std::uint64_t generation = 0; ///< version of the sender's desired state
    std::uint64_t enginesRevision = 0; ///< revision of the last change of the engines that the sender knows
    absl::Time sentAt; ///< sending time on the sender's steady clock
    std::vector<EngineLoad> engineLoads; ///< load that the sender has placed, for each engine
    std::vector<WaitingCall> waitingCalls; ///< the first calls that wait for capacity at the sender
    std::vector<EngineId> unreachableEngines; ///< engines that the sender cannot reach
    PromptReport prompts; ///< what the sender knows about parts of prompts that crash engines
    SpendingReport spending; ///< what the sender has spent of the allowances of workspaces

    friend bool operator==(const LoadReport &, const LoadReport &) = default;
};

/// A datagram between entry nodes.
using CellMessage = std::variant<MembershipGossip, LoadReport>;

/// Desired state and engines, as a node that does not watch the store fetches them from a peer.
struct CellState
{
    DesiredState desired; ///< version 0 if the requesting node already has it
    std::uint64_t enginesRevision = 0; ///< revision of the last change of the engines
    std::uint64_t knownRevision = 0; ///< revision up to which all changes are contained
    std::vector<EngineEntry> engines;
    std::vector<Member> members; ///< the nodes that the responding node knows
    PromptReport prompts; ///< parts of prompts that are quarantined

    friend bool operator==(const CellState &, const CellState &) = default;
};

std::string encodeCellMessage(const CellMessage &message);
Result<CellMessage> decodeCellMessage(std::string_view bytes);

std::string encodeCellState(const CellState &state);
Result<CellState> decodeCellState(std::string_view bytes);

}
