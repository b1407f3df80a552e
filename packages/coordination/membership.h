#pragma once

#include "state/configobjects.h"
#include "state/member.h"

#include <absl/time/time.h>

#include <map>
#include <optional>
#include <vector>

namespace Apricot {

/// Durations of failure detection inside a cell.
struct MembershipTimes
{
    static constexpr absl::Duration heartbeatInterval = absl::Milliseconds(200);
    static constexpr absl::Duration suspectAfter = absl::Milliseconds(700);
    static constexpr absl::Duration deadAfterSuspect = absl::Milliseconds(600);
    static constexpr absl::Duration forgetAfter = absl::Seconds(60);

    /// A path to a node that others hear is given a new socket after this silence.
    static constexpr absl::Duration rebindAfter = absl::Milliseconds(450);
};

/// One address that gets a heartbeat.
struct HeartbeatTarget
{
    NodeId node; ///< empty for an address of the VM list that was never heard
    std::string address; ///< "IP:port"
    bool silent = false; ///< the node was heard before and no longer is: the path may be at fault, use another socket

    friend auto operator<=>(const HeartbeatTarget &, const HeartbeatTarget &) = default;
};

/**
 * \class Membership
 * \brief The nodes of a cell as one node sees them: heartbeats, suspicion, refutation, joined with the VM list.
 */
class Membership
{
public:
    /// \a self is what this node says of itself.
    explicit Membership(Member self);

    /// Takes in a heartbeat and its claims about third nodes.
    void heartbeat(const Member &sender, const std::vector<MemberClaim> &claims, absl::Time now);

    /// Takes in the platform's VM list; it lags, so it never overrules a heartbeat on whether a node lives.
    void vmList(const std::vector<Vm> &vms, absl::Time now);

    /// Moves silent nodes on to Suspect and Dead.
    void tick(absl::Time now);

    /// Changes what this node says of itself.
    void setGeneration(std::uint64_t generation);
    void setLeaving();

    const Member &self() const
    {
        return m_self;
    }

    /// All nodes that are known, this one included, in order of name.
    std::vector<Member> members() const;

    /// Nodes that may own slices: alive and not leaving. A suspect one is passed over at once: if it lives, two owners for a
    /// moment cost some overcommitment, while waiting for its death would cost callers their first token.
    std::vector<NodeId> owners() const;

    /// Claims to send with the next heartbeat.
    std::vector<MemberClaim> claims() const;

    /// Where to send the next heartbeats, those of the VM list that were never heard included.
    std::vector<HeartbeatTarget> heartbeatTargets(absl::Time now) const;

    std::optional<Member> find(const NodeId &id) const;

private:
    struct Peer
    {
        Member member;
        absl::Time heard = absl::InfinitePast();
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
