#pragma once

#include "state/configobjects.h"
#include "state/member.h"

#include <absl/time/time.h>

#include <map>
#include <optional>
#include <vector>

namespace Apricot {

/// Intervals and timeouts of failure detection within a cell.
struct MembershipTimes
{
    static constexpr absl::Duration heartbeatInterval = absl::Milliseconds(200);
    static constexpr absl::Duration suspectAfter = absl::Milliseconds(700);
    static constexpr absl::Duration deadAfterSuspect = absl::Milliseconds(600);
    static constexpr absl::Duration forgetAfter = absl::Seconds(60);

    /// Heartbeats to a node from which none was received for this long are sent from a new socket, as the network path may be at fault.
    static constexpr absl::Duration rebindAfter = absl::Milliseconds(450);
};

/// One destination of heartbeats.
struct HeartbeatTarget
{
    NodeId node; ///< empty for an address of the VM list from which no heartbeat was received yet
    std::string address; ///< "IP:port"
    bool silent = false; ///< no heartbeat was received for rebindAfter: the network path may be at fault, so another socket is used

    friend auto operator<=>(const HeartbeatTarget &, const HeartbeatTarget &) = default;
};

/**
 * \class Membership
 * \brief The nodes of a cell as one node sees them, from heartbeats, claims about third nodes, and the VM list.
 *
 * A node whose heartbeats stop becomes Suspect and then Dead. A node refutes such a claim about itself with a new incarnation.
 */
class Membership
{
public:
    /// Constructs the membership of the node \a self.
    explicit Membership(Member self);

    /// Handles a heartbeat and its claims about other nodes.
    void handleHeartbeat(const Member &sender, const std::vector<MemberClaim> &claims, absl::Time now);

    /// Replaces the platform's VM list. The list lags, so heartbeats alone determine whether a node is alive.
    void setVmList(const std::vector<Vm> &vms, absl::Time now);

    /// Changes the state of nodes whose heartbeats have stopped to Suspect and then Dead.
    void tick(absl::Time now);

    /// Sets the configuration generation that this node announces.
    void setGeneration(std::uint64_t generation);

    /// Announces that this node is leaving.
    void setLeaving();

    const Member &self() const
    {
        return m_self;
    }

    /// Returns all known nodes, this one included, in order of name.
    std::vector<Member> members() const;

    /// Returns the nodes that may own slices: those that are alive and not leaving. A suspect node is left out at once. If it is
    /// still alive, the slice has two owners for a short time, which may overcommit engines; waiting until it is dead would delay
    /// the first tokens of all its calls.
    std::vector<NodeId> owners() const;

    /// Returns the claims to send with the next heartbeat.
    std::vector<MemberClaim> claims() const;

    /// Returns the destinations of the next heartbeats, including addresses of the VM list that never sent one.
    std::vector<HeartbeatTarget> heartbeatTargets(absl::Time now) const;

    std::optional<Member> find(const NodeId &id) const;

private:
    struct Peer
    {
        Member member;
        absl::Time lastHeard = absl::InfinitePast();
        absl::Time suspectedSince = absl::InfiniteFuture();
        bool leavingByVmList = false;
    };

    void refute(const MemberClaim &claim);
    void applyClaim(const MemberClaim &claim, absl::Time now);

    Member m_self;
    std::map<NodeId, Peer> m_peers;
    std::map<std::string, std::string> m_vmAddresses; ///< by VM name
};

}
