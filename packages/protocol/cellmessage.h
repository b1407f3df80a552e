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

/// "I am alive; this is what I hold of other nodes, and what I have placed on the engines."
struct CellHeartbeat
{
    Member sender;
    absl::Time sentAt; ///< on the sender's steady clock
    std::vector<MemberClaim> claims;
    std::uint64_t enginesRevision = 0; ///< revision of the store that the sender's engines are from
    std::vector<EngineLoad> loads; ///< all that the sender has placed
    std::vector<WaitingCall> waiting; ///< the first of those that wait for room there
    std::vector<EngineId> doubts; ///< engines that it cannot reach

    friend bool operator==(const CellHeartbeat &, const CellHeartbeat &) = default;
};

/// What a node that the store does not serve learns from a peer.
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
