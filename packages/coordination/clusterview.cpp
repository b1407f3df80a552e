#include "coordination/clusterview.h"

#include <absl/random/distributions.h>
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Apricot {

namespace {

using Limits = ClusterViewLimits;

/// Fraction of the gossip that also goes to a seed or to a dead node, so that parts of a deployment that lost each other meet again.
constexpr double reconnectProbability = 0.125;

MemberState stateAfter(absl::Duration silence, bool isDirect)
{
    const absl::Duration suspectAfter = isDirect ? Limits::directSuspectAfter : Limits::relayedSuspectAfter;
    const absl::Duration deadAfter = isDirect ? Limits::directDeadAfter : Limits::relayedDeadAfter;
    if (silence > deadAfter) {
        return MemberState::Dead;
    }
    return silence > suspectAfter ? MemberState::Suspect : MemberState::Alive;
}

/// Moves \a count random elements of \a values to the front.
template<class Values>
void drawToFront(Values *values, std::size_t count, absl::BitGenRef random)
{
    for (std::size_t i = 0; i < std::min(count, values->size()); ++i) {
        std::swap((*values)[i], (*values)[absl::Uniform(random, i, values->size())]);
    }
}

}

NodeKey nodeKey(const NodeId &node)
{
    // 40 bits: short in messages, and unlikely to be the same for any two of some thousands of nodes.
    constexpr NodeKey keyMask = (NodeKey{1} << 40) - 1;
    return XXH3_64bits(node.text().data(), node.text().size()) & keyMask;
}

ClusterView::ClusterView(Member self)
    : m_self(std::move(self))
{
    m_ownLiveness.node = nodeKey(m_self->id);
    // The start time is higher than any number of an earlier process, which rises by a few for each second.
    m_ownLiveness.heartbeat = m_self->incarnation;
}

void ClusterView::setGeneration(std::uint64_t generation)
{
    m_self = m_self.with(&MemberFields::generation, generation);
    m_ownLiveness.serving = generation > 0;
}

void ClusterView::setLeaving()
{
    m_self = m_self.with(&MemberFields::leaving, true);
    m_ownLiveness.leaving = true;
    ++m_ownLiveness.heartbeat;
}

void ClusterView::setCallsPerSecond(double callsPerSecond)
{
    m_ownLiveness.callsPerSecond = static_cast<std::int64_t>(std::lround(callsPerSecond));
}

void ClusterView::setReachesStore(bool reachesStore)
{
    m_ownLiveness.reachesStore = reachesStore;
}

std::set<NodeId> ClusterView::nodesReachingStore() const
{
    std::set<NodeId> nodes;
    if (m_ownLiveness.reachesStore && !m_ownLiveness.leaving) {
        nodes.insert(m_self->id);
    }
    for (const auto &[key, peer] : m_peers) {
        if (peer.liveness.reachesStore && !peer.liveness.leaving && peer.member->state == MemberState::Alive) {
            nodes.insert(peer.member->id);
        }
    }
    return nodes;
}

ClusterView::Peer *ClusterView::addRecord(const Member &record)
{
    if (record->id == m_self->id || record->id.isEmpty()) {
        return nullptr;
    }
    const auto [it, isNew] = m_peers.try_emplace(nodeKey(record->id));
    Peer &peer = it->second;
    if (isNew || record->incarnation > peer.member->incarnation) {
        peer.member = record.with(&MemberFields::state, isNew ? MemberState::Dead : peer.member->state);
        peer.introductionsLeft = Limits::introductionsPerRecord;
    }
    return &peer;
}

void ClusterView::addListed(const std::vector<Member> &nodes)
{
    for (const Member &node : nodes) {
        addRecord(node);
    }
}

bool ClusterView::handleGossip(const MembershipGossip &gossip, absl::Time now)
{
    const bool needsReply = !isAlive(gossip.sender->id) && m_repliedTo.insert(nodeKey(gossip.sender->id)).second;
    for (const Member &record : gossip.introductions) {
        addRecord(record);
    }
    if (Peer *sender = addRecord(gossip.sender)) {
        sender->member = sender->member.with(&MemberFields::generation, std::max(gossip.sender->generation, sender->member->generation));
    }
    handleLiveness(gossip.senderLiveness, now);
    for (const NodeLiveness &other : gossip.others) {
        handleLiveness(other, now);
    }
    return needsReply;
}

void ClusterView::handleLiveness(const NodeLiveness &liveness, absl::Time now)
{
    if (liveness.node == m_ownLiveness.node) {
        // An earlier process of this node had a higher number, because the clock was set back since.
        if (liveness.heartbeat > m_ownLiveness.heartbeat) {
            m_ownLiveness.heartbeat = liveness.heartbeat + 1;
        }
        return;
    }
    const auto it = m_peers.find(liveness.node);
    if (it == m_peers.end() || liveness.heartbeat <= it->second.liveness.heartbeat) {
        return;
    }
    Peer &peer = it->second;
    peer.liveness = liveness;
    peer.lastAdvance = now;
    const std::uint64_t generation = liveness.serving ? std::max<std::uint64_t>(1, peer.member->generation) : 0;
    peer.member = peer.member.with(&MemberFields::state, MemberState::Alive)
                      .with(&MemberFields::leaving, liveness.leaving)
                      .with(&MemberFields::generation, generation);
}

std::size_t ClusterView::reachablePeerCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_peers.begin(), m_peers.end(), [](const auto &it) { return it.second.member->state != MemberState::Dead; }));
}

void ClusterView::tick(absl::Time now)
{
    ++m_ownLiveness.heartbeat;
    m_repliedTo.clear();
    const bool isDirect = reachablePeerCount() <= Limits::maxDirectPeers;
    for (auto &[key, peer] : m_peers) {
        const MemberState state = stateAfter(now - peer.lastAdvance, isDirect);
        if (state != peer.member->state) {
            peer.member = peer.member.with(&MemberFields::state, state);
        }
    }
    std::erase_if(m_peers, [&](const auto &it) { return it.second.wasSeen() && now - it.second.lastAdvance > Limits::forgetAfter; });
}

std::vector<const ClusterView::Peer *> ClusterView::peersToReport(absl::BitGenRef random) const
{
    std::vector<const Peer *> peers;
    for (const auto &[key, peer] : m_peers) {
        if (peer.member->state != MemberState::Dead) {
            peers.push_back(&peer);
        }
    }
    // Nodes with calls matter most to others. The remaining places go to random nodes: if the newest signs of life came first, those
    // that arrive by a long way would hardly be passed on.
    const auto withoutCalls
        = std::partition(peers.begin(), peers.end(), [](const Peer *peer) { return peer->liveness.callsPerSecond > 0; });
    const auto busyCount = static_cast<std::size_t>(withoutCalls - peers.begin());
    std::vector<const Peer *> rest(withoutCalls, peers.end());
    const std::size_t restCount = Limits::maxLivenessPerMessage - std::min(busyCount, Limits::maxLivenessPerMessage / 2);
    drawToFront(&rest, restCount, random);
    rest.resize(std::min(rest.size(), restCount));
    peers.resize(busyCount);
    drawToFront(&peers, Limits::maxLivenessPerMessage / 2, random);
    peers.resize(std::min(busyCount, Limits::maxLivenessPerMessage / 2));
    peers.insert(peers.end(), rest.begin(), rest.end());
    return peers;
}

MembershipGossip ClusterView::makeGossip(absl::BitGenRef random)
{
    MembershipGossip gossip;
    gossip.sender = m_self;
    gossip.senderLiveness = m_ownLiveness;
    for (const Peer *peer : peersToReport(random)) {
        gossip.others.push_back(peer->liveness);
    }
    addIntroductions(&gossip.introductions, random);
    return gossip;
}

MembershipGossip ClusterView::makeReply(const NodeId &peer, absl::BitGenRef random)
{
    MembershipGossip gossip = makeGossip(random);
    const auto it = m_peers.find(nodeKey(peer));
    if (it != m_peers.end()) {
        gossip.others.push_back(it->second.liveness);
    }
    return gossip;
}

void ClusterView::addIntroductions(std::vector<Member> *introductions, absl::BitGenRef random)
{
    std::vector<Peer *> seen;
    for (auto &[key, peer] : m_peers) {
        if (peer.wasSeen() && peer.member->state != MemberState::Dead) {
            seen.push_back(&peer);
        }
    }
    if (seen.empty()) {
        return;
    }
    introductions->push_back(seen[absl::Uniform(random, std::size_t{0}, seen.size())]->member);
    const auto isNew = [](const Peer *peer) {
        return peer->introductionsLeft > 0;
    };
    seen.erase(std::partition(seen.begin(), seen.end(), isNew), seen.end());
    const std::size_t count = std::min(seen.size(), Limits::maxIntroductionsPerMessage);
    drawToFront(&seen, count, random);
    for (std::size_t i = 0; i < count; ++i) {
        --seen[i]->introductionsLeft;
        introductions->push_back(seen[i]->member);
    }
}

std::vector<std::string> ClusterView::gossipTargets(const std::vector<std::string> &seeds, absl::BitGenRef random) const
{
    std::vector<std::string> near;
    std::vector<std::string> reachable;
    std::vector<std::string> silent;
    for (const auto &[key, peer] : m_peers) {
        if (peer.member->state == MemberState::Dead) {
            silent.push_back(peer.member->peerAddress);
            continue;
        }
        reachable.push_back(peer.member->peerAddress);
        if (peer.member->dataCentre == m_self->dataCentre) {
            near.push_back(peer.member->peerAddress);
        }
    }
    silent.insert(silent.end(), seeds.begin(), seeds.end());
    std::erase(silent, m_self->peerAddress);
    // The other nodes are few or unknown: all of them are tried.
    std::size_t silentCount = Limits::fanout;
    if (reachable.size() > Limits::maxDirectPeers) {
        drawToFront(&near, Limits::nearFanout, random);
        near.resize(std::min(near.size(), Limits::nearFanout));
        drawToFront(&reachable, Limits::fanout, random);
        reachable.resize(Limits::fanout - near.size());
        reachable.insert(reachable.end(), near.begin(), near.end());
        silentCount = absl::Bernoulli(random, reconnectProbability) ? 1 : 0;
    }
    drawToFront(&silent, silentCount, random);
    silent.resize(std::min(silent.size(), silentCount));
    reachable.insert(reachable.end(), silent.begin(), silent.end());
    std::sort(reachable.begin(), reachable.end());
    reachable.erase(std::unique(reachable.begin(), reachable.end()), reachable.end());
    return reachable;
}

std::vector<Member> ClusterView::members() const
{
    std::vector<Member> found{m_self};
    for (const auto &[key, peer] : m_peers) {
        if (peer.wasSeen()) {
            found.push_back(peer.member);
        }
    }
    std::sort(found.begin(), found.end());
    return found;
}

bool ClusterView::isAlive(const NodeId &node) const
{
    const auto it = m_peers.find(nodeKey(node));
    return it != m_peers.end() && it->second.member->state == MemberState::Alive;
}

double ClusterView::totalCallsPerSecond() const
{
    auto total = static_cast<double>(m_ownLiveness.callsPerSecond);
    for (const auto &[key, peer] : m_peers) {
        total += peer.member->state == MemberState::Alive ? static_cast<double>(peer.liveness.callsPerSecond) : 0;
    }
    return total;
}

}
