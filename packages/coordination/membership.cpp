#include "coordination/membership.h"

#include <algorithm>
#include <utility>

namespace Apricot {

Membership::Membership(Member self)
    : m_self(std::move(self))
{
}

void Membership::handleHeartbeat(const Member &sender, const std::vector<MemberClaim> &claims, absl::Time now)
{
    if (sender->id == m_self->id) {
        return;
    }
    // Claims about this node are refuted even if the sender is Dead here. Otherwise two nodes that consider each other Dead
    // would never recover.
    for (const MemberClaim &claim : claims) {
        refute(claim);
    }
    Peer &peer = m_peers[sender->id];
    if (sender->incarnation < peer.member->incarnation) {
        return;
    }
    // A heartbeat of a Dead node revives it only with a newer incarnation, so that all nodes agree on the order of events.
    const bool wasDead = peer.member->state == MemberState::Dead;
    if (wasDead && sender->incarnation == peer.member->incarnation) {
        return;
    }
    const bool refuted = peer.member->state == MemberState::Suspect && sender->incarnation > peer.member->incarnation;
    const bool heardDirectly = peer.member->state == MemberState::Suspect;
    peer.member
        = sender.with(&MemberFields::state, MemberState::Alive).with(&MemberFields::leaving, sender->leaving || peer.leavingByVmList);
    peer.lastHeard = now;
    if (refuted || heardDirectly || wasDead) {
        peer.suspectedSince = absl::InfiniteFuture();
    }
    for (const MemberClaim &claim : claims) {
        applyClaim(claim, now);
    }
}

void Membership::refute(const MemberClaim &claim)
{
    if (claim.id == m_self->id && claim.incarnation >= m_self->incarnation && claim.state != MemberState::Alive) {
        m_self = m_self.with(&MemberFields::incarnation, claim.incarnation + 1);
    }
}

void Membership::applyClaim(const MemberClaim &claim, absl::Time now)
{
    const auto it = m_peers.find(claim.id);
    if (it == m_peers.end() || claim.incarnation < it->second.member->incarnation) {
        return;
    }
    Peer &peer = it->second;
    // A recent heartbeat of the peer to this node takes precedence over another node's claim that the peer is not alive.
    const bool heardRecently = now - peer.lastHeard < MembershipTimes::suspectAfter;
    if (heardRecently && claim.incarnation == peer.member->incarnation) {
        return;
    }
    if (claim.state == MemberState::Suspect && peer.member->state == MemberState::Alive) {
        peer.member = peer.member.with(&MemberFields::state, MemberState::Suspect);
        peer.suspectedSince = now;
    }
    if (claim.state == MemberState::Dead && peer.member->state != MemberState::Dead) {
        peer.member = peer.member.with(&MemberFields::state, MemberState::Dead);
    }
}

void Membership::setVmList(const std::vector<Vm> &vms, absl::Time now)
{
    m_vmAddresses.clear();
    for (const Vm &vm : vms) {
        m_vmAddresses[vm->name] = vm->address;
        const auto it = m_peers.find(NodeId(vm->name));
        if (it != m_peers.end()) {
            it->second.leavingByVmList = vm->leaving;
            it->second.member = it->second.member.with(&MemberFields::leaving, it->second.member->leaving || vm->leaving);
        }
    }
    std::erase_if(m_peers, [&](const auto &it) {
        const bool dead = it.second.member->state == MemberState::Dead;
        return dead && !m_vmAddresses.contains(it.first.text()) && now - it.second.lastHeard > MembershipTimes::forgetAfter;
    });
}

void Membership::tick(absl::Time now)
{
    for (auto &[id, peer] : m_peers) {
        if (peer.member->state == MemberState::Alive && now - peer.lastHeard > MembershipTimes::suspectAfter) {
            peer.member = peer.member.with(&MemberFields::state, MemberState::Suspect);
            peer.suspectedSince = now;
        }
        if (peer.member->state == MemberState::Suspect && now - peer.suspectedSince > MembershipTimes::deadAfterSuspect) {
            peer.member = peer.member.with(&MemberFields::state, MemberState::Dead);
        }
    }
}

void Membership::setGeneration(std::uint64_t generation)
{
    m_self = m_self.with(&MemberFields::generation, generation);
}

void Membership::setLeaving()
{
    m_self = m_self.with(&MemberFields::leaving, true);
}

std::vector<Member> Membership::members() const
{
    std::vector<Member> found{m_self};
    for (const auto &[id, peer] : m_peers) {
        found.push_back(peer.member);
    }
    std::sort(found.begin(), found.end());
    return found;
}

std::vector<NodeId> Membership::owners() const
{
    std::vector<NodeId> found;
    for (const Member &member : members()) {
        if (member->state == MemberState::Alive && !member->leaving) {
            found.push_back(member->id);
        }
    }
    return found;
}

std::vector<MemberClaim> Membership::claims() const
{
    std::vector<MemberClaim> found;
    for (const auto &[id, peer] : m_peers) {
        if (peer.member->state != MemberState::Alive) {
            found.push_back(MemberClaim{id, peer.member->incarnation, peer.member->state});
        }
    }
    return found;
}

std::vector<HeartbeatTarget> Membership::heartbeatTargets(absl::Time now) const
{
    std::vector<HeartbeatTarget> found;
    for (const auto &[name, address] : m_vmAddresses) {
        if (name != m_self->id.text() && !m_peers.contains(NodeId(name))) {
            found.push_back(HeartbeatTarget{NodeId(), address, false});
        }
    }
    for (const auto &[id, peer] : m_peers) {
        const bool silent = now - peer.lastHeard > MembershipTimes::rebindAfter;
        // Heartbeats to a silent node go to the configured address, as the port that it rebound to may have been closed when
        // its process ended.
        const std::string &address
            = silent || peer.member->datagramAddress.empty() ? peer.member->peerAddress : peer.member->datagramAddress;
        found.push_back(HeartbeatTarget{id, address, silent});
    }
    return found;
}

std::optional<Member> Membership::find(const NodeId &id) const
{
    if (id == m_self->id) {
        return m_self;
    }
    const auto it = m_peers.find(id);
    return it == m_peers.end() ? std::nullopt : std::optional(it->second.member);
}

}
