#pragma once

#include "state/desiredstate.h"
#include "state/engineentry.h"
#include "state/error.h"
#include "state/member.h"

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Apricot {

/// Heartbeat of an entry node to its peers: its own state, what it claims about other nodes, and the load that it has placed
/// on engines.
struct CellHeartbeat
{
    Member sender;
    absl::Time sentAt; ///< sending time on the sender's steady clock
    std::vector<MemberClaim> claims;
    std::uint64_t enginesRevision = 0; ///< store revision of the sender's list of engines
    std::vector<EngineLoad> engineLoads; ///< load that the sender has placed, for each engine
    std::vector<WaitingCall> waitingCalls; ///< the first calls that wait for capacity at the sender
    std::vector<EngineId> unreachableEngines; ///< engines that the sender cannot reach

    friend bool operator==(const CellHeartbeat &, const CellHeartbeat &) = default;
};

/// Desired state and engines, as a node without access to the store fetches them from a peer.
struct CellState
{
    DesiredState desired;
    std::uint64_t enginesRevision = 0;
    std::vector<EngineEntry> engines;

    friend bool operator==(const CellState &, const CellState &) = default;
};

std::string encodeCellHeartbeat(const CellHeartbeat &heartbeat);
Result<CellHeartbeat> decodeCellHeartbeat(std::string_view bytes);

std::string encodeCellState(const CellState &state);
Result<CellState> decodeCellState(std::string_view bytes);

}
