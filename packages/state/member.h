#pragma once

#include "state/immutable.h"
#include "state/name.h"

#include <cstdint>
#include <string>

namespace Apricot {

/// State of a node as determined by the membership protocol.
enum class MemberState : std::uint8_t { Alive, Suspect, Dead };

/// Returns the name of \a state in responses and logs.
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
    std::uint64_t incarnation = 0; ///< incremented by the node itself to refute a suspicion
    MemberState state = MemberState::Alive;
    bool leaving = false; ///< the node accepts no new callers and owns no slices
    DataCentreName dataCentre;
    std::string peerAddress; ///< "IP:port" for traffic between nodes, UDP and TCP
    std::string datagramAddress; ///< "IP:port" to which the local node sends datagrams; differs from peerAddress after a rebind
    std::string callerAddress; ///< "IP:port" for callers, HTTP
    std::uint64_t generation = 0; ///< number of the configuration that is active on the node
    std::int64_t processorMillis = 0; ///< processor time that the node may use, ms per second; 0: not known

    friend auto operator<=>(const MemberFields &, const MemberFields &) = default;
};

/// One node of the cell as seen by another node.
using Member = Immutable<MemberFields>;

/// State of a third node, suspect or dead, as carried by a heartbeat.
struct MemberClaim
{
    NodeId id;
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Alive;

    friend auto operator<=>(const MemberClaim &, const MemberClaim &) = default;
};

}
