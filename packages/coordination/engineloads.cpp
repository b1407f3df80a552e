#include "coordination/engineloads.h"

#include <algorithm>
#include <cmath>

namespace Apricot {

namespace {

/// The reports of a peer expire when it has sent none for this long.
constexpr absl::Duration peerLoadsTimeout = absl::Seconds(2);

/// Capacity is left to a peer's waiting calls for this long after its last report. Reports come at least every 200 ms.
constexpr absl::Duration peerWaitingTimeout = absl::Milliseconds(300);

/// A peer's report is extrapolated for this long; after it, the peer may have failed.
constexpr absl::Duration maxExtrapolation = absl::Milliseconds(300);

/// Weight of the newest report in the growth of a peer's requests.
constexpr double newestGrowthWeight = 0.4;

/// Number of peers that must report an engine as unreachable before this node skips it without an attempt of its own.
constexpr std::ptrdiff_t minUnreachableReports = 2;

}

void EngineLoads::add(const EngineReservation &reservation)
{
    OwnLoad &own = m_own[reservation.engine];
    own.requests += reservation.requests;
    own.prefillTokens += reservation.prefillTokens;
    if (reservation.run) {
        own.runs.insert_or_assign(reservation.run->id, *reservation.run);
    }
}

void EngineLoads::release(const EngineReservation &reservation)
{
    const auto it = m_own.find(reservation.engine);
    if (it == m_own.end()) {
        return;
    }
    OwnLoad &own = it->second;
    own.requests = std::max<std::int64_t>(0, own.requests - reservation.requests);
    own.prefillTokens = std::max<std::int64_t>(0, own.prefillTokens - reservation.prefillTokens);
    if (reservation.run) {
        own.runs.erase(reservation.run->id);
    }
    if (own.requests == 0 && own.prefillTokens == 0 && own.runs.empty()) {
        m_own.erase(it);
    }
}

void EngineLoads::recordRunProgress(const EngineId &engine, std::uint64_t run, std::int64_t tokens)
{
    const auto own = m_own.find(engine);
    if (own == m_own.end()) {
        return;
    }
    const auto it = own->second.runs.find(run);
    if (it != own->second.runs.end()) {
        it->second.generatedTokens = tokens;
    }
}

void EngineLoads::setPeerLoads(const NodeId &node, const std::vector<EngineLoad> &loads, const std::vector<WaitingCall> &waiting,
                               absl::Time now)
{
    PeerLoads &peer = m_peers[node];
    peer.loads.clear();
    double requests = 0;
    for (const EngineLoad &load : loads) {
        peer.loads[load.engine] = load;
        requests += static_cast<double>(load.requests);
    }
    const absl::Duration interval = now - peer.loadsReported;
    if (interval > absl::ZeroDuration()) {
        const bool isRecent = interval <= peerLoadsTimeout;
        const double growth = isRecent ? (requests - peer.requests) / absl::ToDoubleSeconds(interval) : 0;
        peer.requestsGrowth += newestGrowthWeight * (growth - peer.requestsGrowth);
        peer.loadsReported = now;
    }
    peer.requests = requests;
    peer.lastHeard = now;
    peer.waiting = waiting;
    std::erase_if(m_peers, [&](const auto &entry) { return now - entry.second.lastHeard > peerLoadsTimeout; });
}

void EngineLoads::setPeerUnreachableEngines(const NodeId &node, const std::vector<EngineId> &engines, absl::Time now)
{
    PeerLoads &peer = m_peers[node];
    peer.lastHeard = now;
    peer.unreachableEngines = engines;
}

bool EngineLoads::isReportedUnreachable(const EngineId &engine, absl::Time now) const
{
    const auto n = std::count_if(m_peers.begin(), m_peers.end(), [&](const auto &entry) {
        const PeerLoads &peer = entry.second;
        const bool isFresh = now - peer.lastHeard <= peerLoadsTimeout;
        return isFresh
            && std::find(peer.unreachableEngines.begin(), peer.unreachableEngines.end(), engine) != peer.unreachableEngines.end();
    });
    return n >= minUnreachableReports;
}

std::vector<EngineLoad> EngineLoads::own() const
{
    std::vector<EngineLoad> loads;
    for (const auto &[id, own] : m_own) {
        EngineLoad load{id, own.requests, own.prefillTokens, {}};
        for (const auto &[runId, run] : own.runs) {
            load.runs.push_back(run);
        }
        loads.push_back(std::move(load));
    }
    return loads;
}

std::vector<WaitingCall> EngineLoads::peerWaitingCalls(absl::Time now) const
{
    std::vector<WaitingCall> found;
    for (const auto &[node, peer] : m_peers) {
        for (const WaitingCall &it : peer.waiting) {
            if (now - peer.lastHeard <= peerWaitingTimeout && it.waitDeadline > now) {
                found.push_back(it);
            }
        }
    }
    return found;
}

std::size_t EngineLoads::peerCount(absl::Time now) const
{
    const auto n = std::count_if(m_peers.begin(), m_peers.end(),
                                 [&](const auto &entry) { return now - entry.second.lastHeard <= peerLoadsTimeout; });
    return static_cast<std::size_t>(n);
}

absl::Duration EngineLoads::loadsAge(absl::Time now) const
{
    absl::Duration oldest = absl::ZeroDuration();
    for (const auto &[node, peer] : m_peers) {
        const absl::Duration age = now - peer.lastHeard;
        if (age <= peerLoadsTimeout) {
            oldest = std::max(oldest, age);
        }
    }
    return oldest;
}

double EngineLoads::expectedRequests(const EngineId &engine, const RequestFlow &flow, absl::Time now) const
{
    const auto own = m_own.find(engine);
    double requests = own == m_own.end() ? 0 : static_cast<double>(own->second.requests);
    const double sojournSeconds = std::max(1e-6, absl::ToDoubleSeconds(flow.sojourn));
    const double meanSojournSeconds = std::max(1e-6, absl::ToDoubleSeconds(flow.meanSojourn));
    for (const auto &[node, peer] : m_peers) {
        if (now - peer.lastHeard > peerLoadsTimeout) {
            continue;
        }
        const auto it = peer.loads.find(engine);
        const double reported = it == peer.loads.end() ? 0 : static_cast<double>(it->second.requests);
        const absl::Duration age = now - peer.loadsReported;
        if (age > maxExtrapolation) {
            requests += reported;
            continue;
        }
        // A peer whose requests do not change places as many as end; growth is what it places beyond that.
        const double remaining = std::exp(-absl::ToDoubleSeconds(age) / sojournSeconds);
        const double placedPerSecond = std::max(0.0, peer.requests / meanSojournSeconds + peer.requestsGrowth);
        requests += reported * remaining + placedPerSecond * flow.share * sojournSeconds * (1 - remaining);
    }
    return requests;
}

EngineLoad EngineLoads::total(const EngineId &engine, absl::Time now) const
{
    EngineLoad total;
    total.engine = engine;
    if (const auto own = m_own.find(engine); own != m_own.end()) {
        total.requests += own->second.requests;
        total.pendingPrefillTokens += own->second.prefillTokens;
        for (const auto &[id, run] : own->second.runs) {
            total.runs.push_back(run);
        }
    }
    for (const auto &[node, peer] : m_peers) {
        const auto it = peer.loads.find(engine);
        if (it == peer.loads.end() || now - peer.lastHeard > peerLoadsTimeout) {
            continue;
        }
        total.requests += it->second.requests;
        total.pendingPrefillTokens += it->second.pendingPrefillTokens;
        total.runs.insert(total.runs.end(), it->second.runs.begin(), it->second.runs.end());
    }
    return total;
}

}
