#pragma once

#include "state/immutable.h"
#include "state/name.h"

#include <cstdint>
#include <string>

namespace Apricot {

/// What a node of the cell is held to be.
enum class MemberState : std::uint8_t { Alive, Suspect, Dead };

/// Name of a state in answers and logs.
inline const char *memberStateName(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Dead:
        return "dead";
    }
    return "dead";
}

struct MemberFields
{
    NodeId id;
    std::uint64_t incarnation = 0; ///< raised by the node itself to refute a suspicion
    MemberState state = MemberState::Alive;
    bool leaving = false; ///< it takes no new callers and no slices
    DataCentreName dataCentre;
    std::string peerAddress; ///< "IP:port" of its UDP and TCP port for peers
    std::string datagramAddress; ///< "IP:port" that this receiver sends datagrams to; differs after a rebind
    std::string callerAddress; ///< "IP:port" of its HTTP port for callers
    std::uint64_t generation = 0; ///< configuration in force there

    friend auto operator<=>(const MemberFields &, const MemberFields &) = default;
};

/// One node of the cell as another sees it.
using Member = Immutable<MemberFields>;

/// What a heartbeat says of a third node: that it is suspect or dead.
struct MemberClaim
{
    NodeId id;
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Alive;

    friend auto operator<=>(const MemberClaim &, const MemberClaim &) = default;
};

}
