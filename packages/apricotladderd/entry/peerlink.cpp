#include "apricotladderd/entry/peerlink.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <set>
#include <sys/epoll.h>
#include <utility>

namespace Apricot {

namespace {

/// Delay in which load changes are batched into one heartbeat.
constexpr absl::Duration batchDelay = absl::Milliseconds(4);

/// Maximum number of datagrams read per wake-up.
constexpr int maxDatagramsPerWakeup = 32;

std::string portOf(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    return colon == std::string::npos ? std::string() : address.substr(colon + 1);
}

Member selfMember(const EntrySettings &settings, std::uint64_t incarnation)
{
    return Member::Builder()
        .set(&MemberFields::id, settings->node)
        .set(&MemberFields::incarnation, incarnation)
        .set(&MemberFields::dataCentre, settings->dataCentre)
        .set(&MemberFields::peerAddress, settings->peerAddress)
        .set(&MemberFields::callerAddress, settings->callerAddress)
        .build();
}

}

PeerLink::PeerLink(EventLoop &loop, EntryContext &context, std::uint64_t incarnation, Hooks hooks)
    : m_loop(loop)
    , m_context(context)
    , m_hooks(std::move(hooks))
    , m_membership(selfMember(context.settings, incarnation))
{
    setSeeds(context.settings->seeds);
}

bool PeerLink::start()
{
    m_socket = std::make_unique<UdpSocket>(m_context.settings->peerAddress);
    if (!m_socket->isOpen()) {
        return false;
    }
    m_loop.watch(m_socket->descriptor(), EPOLLIN, [this](std::uint32_t) { receive(); });
    handleTick();
    return true;
}

void PeerLink::setSeeds(const std::vector<std::string> &seeds)
{
    // The configured seeds name another port of their nodes; the peer port is the same on all nodes.
    const std::string port = portOf(m_context.settings->peerAddress);
    m_seeds.clear();
    for (const std::string &seed : seeds) {
        m_seeds.push_back(absl::StrCat(seed.substr(0, seed.rfind(':')), ":", port));
    }
}

void PeerLink::setNodes(const std::vector<Member> &nodes)
{
    m_nodes = nodes;
}

void PeerLink::setDesiredVersion(std::uint64_t version)
{
    m_membership.setGeneration(version);
    scheduleHeartbeat();
}

void PeerLink::setLeaving()
{
    m_membership.setLeaving();
    sendHeartbeat();
}

std::vector<Member> PeerLink::servingMembers() const
{
    std::vector<Member> found;
    for (const Member &member : m_membership.members()) {
        if (member->generation > 0) {
            found.push_back(member);
        }
    }
    return found;
}

void PeerLink::scheduleHeartbeat()
{
    if (m_heartbeatTimer == 0) {
        m_heartbeatTimer = m_loop.after(batchDelay, [this] {
            m_heartbeatTimer = 0;
            sendHeartbeat();
        });
    }
}

std::vector<std::string> PeerLink::heartbeatTargets() const
{
    std::set<std::string> known{m_membership.self()->peerAddress};
    std::vector<std::string> found;
    const auto add = [&](const std::string &address) {
        if (known.insert(address).second) {
            found.push_back(address);
        }
    };
    for (const Member &member : m_membership.members()) {
        add(member->peerAddress);
    }
    for (const Member &node : m_nodes) {
        add(node->peerAddress);
    }
    for (const std::string &seed : m_seeds) {
        add(seed);
    }
    return found;
}

void PeerLink::sendHeartbeat()
{
    m_lastHeartbeat = m_loop.now();
    CellHeartbeat heartbeat;
    heartbeat.sender = m_membership.self();
    heartbeat.sentAt = EventLoop::readSteadyClock();
    heartbeat.claims = m_membership.claims();
    heartbeat.enginesRevision = m_hooks.enginesRevision();
    heartbeat.engineLoads = m_context.pools.ownLoads();
    heartbeat.waitingCalls = m_context.pools.ownWaitingCalls(m_loop.now());
    heartbeat.unreachableEngines = m_context.pools.unreachableEngines(m_loop.now());
    const std::string bytes = encodeCellHeartbeat(heartbeat);
    m_socket->sendToAll(heartbeatTargets(), bytes);
}

void PeerLink::handleTick()
{
    m_membership.tick(m_loop.now());
    recordMembers();
    if (m_loop.now() - m_lastHeartbeat >= MembershipTimes::heartbeatInterval / 2) {
        sendHeartbeat();
    }
    m_loop.after(MembershipTimes::heartbeatInterval, [this] { handleTick(); });
}

void PeerLink::receive()
{
    for (int i = 0; i < maxDatagramsPerWakeup; ++i) {
        const std::optional<Datagram> datagram = m_socket->receive(absl::ZeroDuration());
        if (!datagram) {
            return;
        }
        const auto heartbeat = toVariant<CellHeartbeat>([&] { return decodeCellHeartbeat(datagram->bytes); });
        if (const auto *error = std::get_if<Error>(&heartbeat)) {
            m_context.log.add(LogLevel::Warning, "peer.malformed", RequestId(), {{"from", datagram->from}, {"why", error->message}});
            continue;
        }
        handleHeartbeat(std::get<CellHeartbeat>(heartbeat));
    }
}

void PeerLink::handleHeartbeat(const CellHeartbeat &heartbeat)
{
    const absl::Time now = m_loop.now();
    if (heartbeat.sender->id == m_membership.self()->id) {
        return;
    }
    m_membership.handleHeartbeat(heartbeat.sender, heartbeat.claims, now);
    PeerClock &clock = m_peerClocks[heartbeat.sender->id];
    clock.addSample(heartbeat.sentAt, EventLoop::readSteadyClock());
    std::vector<WaitingCall> waiting = heartbeat.waitingCalls;
    for (WaitingCall &call : waiting) {
        call.waitDeadline = clock.toLocal(call.waitDeadline);
    }
    m_context.pools.setPeerLoads(heartbeat.sender->id, heartbeat.engineLoads, waiting, now);
    m_context.pools.setPeerUnreachableEngines(heartbeat.sender->id, heartbeat.unreachableEngines, now);
    const bool isNewer
        = heartbeat.sender->generation > m_membership.self()->generation || heartbeat.enginesRevision > m_hooks.enginesRevision();
    if (isNewer) {
        m_hooks.onPeerNewer(heartbeat.sender);
    }
}

void PeerLink::recordMembers()
{
    const std::vector<Member> members = m_membership.members();
    m_context.knownNodes.store(members.size(), std::memory_order_relaxed);
    std::size_t alive = 0;
    for (const Member &member : members) {
        alive += member->state == MemberState::Alive ? 1 : 0;
        const auto [it, isNew] = m_loggedStates.emplace(member->id, member->state);
        if (isNew || it->second != member->state) {
            it->second = member->state;
            m_context.log.add(LogLevel::Info, "member", RequestId(),
                              {{"member", member->id.text()},
                               {"state", std::string(memberStateName(member->state))},
                               {"incarnation", static_cast<std::int64_t>(member->incarnation)},
                               {"leaving", member->leaving}});
        }
    }
    m_context.metrics.setMembers(static_cast<double>(alive));
}

}
