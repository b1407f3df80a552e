#include "coordination/peercontact.h"

#include <algorithm>

namespace Apricot {

namespace {

/// A node knows only some of the others in this time after its start, so their silence cannot be told from their absence.
constexpr absl::Duration settlingTime = absl::Milliseconds(1500);

/// A node that has heard no peer for this time does not know what they have spent.
constexpr absl::Duration maxUnheardTime = absl::Seconds(3);

/// Longest delay of a message. If it seems longer, the clock of the peer was set back: it was suspended or has restarted.
constexpr absl::Duration maxDelay = absl::Seconds(3);

/// A peer is silent after this number of its usual gaps between messages.
constexpr double silentGaps = 3;

/// Part of the usual gap that remains after each shorter one.
constexpr double gapDecay = 0.9;

/// A peer that is not active is forgotten after this time.
constexpr absl::Duration forgetAfter = absl::Seconds(60);

}

absl::Duration PeerContact::Peer::silentAfter() const
{
    return std::clamp(usualGap * silentGaps, PeerContact::minSilentAfter, PeerContact::silentAfter);
}

PeerContact::PeerContact(absl::Time start)
    : m_start(start)
{
}

void PeerContact::setPeers(const AllowancePeers &peers, absl::Time now)
{
    for (const NodeKey key : peers.active) {
        const bool isNew = !m_active.contains(key);
        if (isNew && now - m_start >= settlingTime) {
            Peer &peer = m_peers[key];
            peer.contactSince = peer.isHeard(now) ? peer.contactSince : absl::InfinitePast();
            peer.lastHeard = now;
        }
    }
    m_active = absl::flat_hash_set<NodeKey>(peers.active.begin(), peers.active.end());
    m_sharerCount = std::max(peers.sharerCount, m_active.size() + 1);
    m_reachableFraction = peers.reachableFraction;
    absl::erase_if(m_peers, [&](const auto &it) { return !m_active.contains(it.first) && now - it.second.lastHeard > forgetAfter; });
}

bool PeerContact::recordHeard(NodeKey peer, absl::Time sentAt, absl::Time now)
{
    if (now - m_lastHeard > maxUnheardTime) {
        m_listeningSince = now;
    }
    m_lastHeard = now;
    Peer &state = m_peers[peer];
    const bool isNew = state.contactSince == absl::InfinitePast() || !state.isHeard(now);
    state.usualGap = std::min(silentAfter, std::max(now - state.lastHeard, state.usualGap * gapDecay));
    const bool isDelayed = sentAt < now && now - sentAt < maxDelay;
    state.lastHeard = std::max(state.lastHeard, isDelayed ? sentAt : now);
    if (isNew && state.isHeard(now)) {
        state.contactSince = now;
        return true;
    }
    return false;
}

absl::Time PeerContact::contactSince(NodeKey peer) const
{
    const auto it = m_peers.find(peer);
    return it == m_peers.end() ? absl::InfiniteFuture() : it->second.contactSince;
}

absl::Time PeerContact::nextSilence(absl::Time now) const
{
    absl::Time next = absl::InfiniteFuture();
    for (const NodeKey key : m_active) {
        const auto it = m_peers.find(key);
        if (it != m_peers.end() && it->second.isHeard(now)) {
            next = std::min(next, it->second.lastHeard + it->second.silentAfter());
        }
    }
    return next;
}

AllowanceSharing PeerContact::sharing(absl::Time now) const
{
    const auto heard = std::count_if(m_active.begin(), m_active.end(), [&](NodeKey key) {
        const auto it = m_peers.find(key);
        return it != m_peers.end() && it->second.isHeard(now);
    });
    const double heardShare = static_cast<double>(1 + heard) / static_cast<double>(m_sharerCount);
    return AllowanceSharing{std::min(heardShare, m_reachableFraction), m_sharerCount};
}

absl::Duration PeerContact::oldestContact(absl::Time now) const
{
    absl::Duration oldest;
    for (const NodeKey key : m_active) {
        const auto it = m_peers.find(key);
        oldest = std::max(oldest, it == m_peers.end() ? absl::InfiniteDuration() : now - it->second.lastHeard);
    }
    return oldest;
}

}
