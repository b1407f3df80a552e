#include "apricotladderd/entry/peers/peerlink.h"

#include "state/overloaded.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <sys/epoll.h>
#include <utility>

namespace Apricot {

namespace {

/// Delay in which load changes are batched into one report.
constexpr absl::Duration batchDelay = absl::Milliseconds(4);

/// Minimum interval between reports of what was spent of the workspaces' allowances.
constexpr absl::Duration spendingReportInterval = absl::Milliseconds(40);

/// How long a node that is not active gets load reports after it has reported spending.
constexpr absl::Duration spenderTime = absl::Seconds(3);

/// Time constant of the rate of calls that a node announces.
constexpr absl::Duration callRateTimeConstant = absl::Seconds(2);

/// Time after its start in which a node learns the other nodes.
constexpr absl::Duration settlingTime = absl::Milliseconds(1500);

/// Maximum number of datagrams read per wake-up.
constexpr int maxDatagramsPerWakeup = 32;

std::string portOf(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    return colon == std::string::npos ? std::string() : address.substr(colon + 1);
}

Member selfMember(const EntrySettings &settings, std::uint64_t incarnation)
{
    constexpr double millisPerCore = 1000;
    return Member::Builder()
        .set(&MemberFields::id, settings->node)
        .set(&MemberFields::incarnation, incarnation)
        .set(&MemberFields::dataCentre, settings->dataCentre)
        .set(&MemberFields::peerAddress, settings->peerAddress)
        .set(&MemberFields::callerAddress, settings->callerAddress)
        .set(&MemberFields::processorMillis, static_cast<std::int64_t>(settings->processorShare * millisPerCore))
        .build();
}

bool isAlive(const Member &node)
{
    return node->state == MemberState::Alive;
}

/// Returns the nodes that could serve callers. If there is none, nodes that are only suspect are better than none.
std::vector<Member> servingNodes(const std::vector<Member> &members)
{
    std::vector<Member> alive;
    std::vector<Member> suspect;
    for (const Member &node : members) {
        if (node->generation > 0 && !node->leaving && node->state != MemberState::Dead) {
            (isAlive(node) ? alive : suspect).push_back(node);
        }
    }
    return alive.empty() ? suspect : alive;
}

}

PeerLink::PeerLink(EventLoop &loop, EntryContext &context, std::uint64_t incarnation, Hooks hooks)
    : m_loop(loop)
    , m_context(context)
    , m_hooks(std::move(hooks))
    , m_view(selfMember(context.settings, incarnation))
    , m_ownCalls(callRateTimeConstant)
{
    setSeeds(context.settings->seeds);
}

bool PeerLink::start()
{
    m_socket = std::make_unique<UdpSocket>(m_context.settings->peerAddress);
    if (!m_socket->isOpen()) {
        return false;
    }
    m_startedAt = m_loop.now();
    m_loop.watch(m_socket->descriptor(), EPOLLIN, [this](std::uint32_t) { receive(); });
    handleTick();
    return true;
}

bool PeerLink::isSettled() const
{
    return m_loop.now() - m_startedAt >= settlingTime;
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

void PeerLink::addListedNodes(const std::vector<Member> &nodes)
{
    m_view.addListed(nodes);
}

void PeerLink::setDesiredVersion(std::uint64_t version)
{
    m_view.setGeneration(version);
    updateRoles(m_view.members());
    sendGossip(m_view.makeGossip(m_random), m_view.gossipTargets(m_seeds, m_random));
}

void PeerLink::setLeaving()
{
    m_view.setLeaving();
    // All nodes give addresses to callers, so all of them have to know.
    std::vector<std::string> all;
    for (const Member &node : m_view.members()) {
        all.push_back(node->peerAddress);
    }
    sendGossip(m_view.makeGossip(m_random), all);
}

StoreDutyFacts PeerLink::storeDutyFacts() const
{
    StoreDutyFacts facts;
    facts.self = m_view.self()->id;
    facts.nodesReachingStore = m_view.nodesReachingStore();
    for (const Member &node : m_activeNodes) {
        facts.activeNodes.insert(node->id);
    }
    for (const Member &node : m_view.members()) {
        if (isAlive(node) && !node->leaving) {
            facts.aliveNodes.push_back(node->id);
        }
    }
    return facts;
}

void PeerLink::scheduleLoadReport()
{
    if (m_reportTimer == 0) {
        m_reportTimer = m_loop.after(batchDelay, [this] {
            m_reportTimer = 0;
            sendLoadReport();
        });
    }
}

void PeerLink::sendGossip(MembershipGossip gossip, const std::vector<std::string> &targets)
{
    gossip.enginesRevision = m_hooks.enginesRevision();
    gossip.prompts = m_context.quarantine.report(m_loop.now());
    gossip.prompts.broken.clear();
    m_socket->sendToAll(targets, encodeCellMessage(gossip));
}

void PeerLink::sendLoadReport()
{
    m_lastReport = m_loop.now();
    LoadReport report;
    report.engineLoads = m_context.pools.ownLoads();
    report.waitingCalls = m_context.pools.ownWaitingCalls(m_loop.now());
    report.unreachableEngines = m_context.pools.unreachableEngines(m_loop.now());
    report.prompts = m_context.quarantine.report(m_lastReport);
    report.spending = takeSpendingReport(m_lastReport);
    const bool isEmpty = report.engineLoads.empty() && report.waitingCalls.empty() && report.unreachableEngines.empty()
        && report.prompts.broken.empty() && report.spending.empty();
    if (isEmpty && !m_isActive && !m_hasReportedLoad) {
        return;
    }
    m_hasReportedLoad = !isEmpty;
    report.sender = m_view.self()->id;
    report.senderLiveness = m_view.ownLiveness();
    report.generation = m_view.self()->generation;
    report.enginesRevision = m_hooks.enginesRevision();
    report.sentAt = EventLoop::readSteadyClock();
    m_socket->sendToAll(loadReportTargets(m_lastReport), encodeCellMessage(report));
}

SpendingReport PeerLink::takeSpendingReport(absl::Time now)
{
    const absl::Duration wait = m_lastSpendingReport + spendingReportInterval - now;
    if (wait <= absl::ZeroDuration()) {
        m_lastSpendingReport = now;
        return m_context.allowance.report(now);
    }
    if (m_context.allowance.hasUrgentChange() && m_spendingTimer == 0) {
        m_spendingTimer = m_loop.after(wait, [this] {
            m_spendingTimer = 0;
            scheduleLoadReport();
        });
    }
    return {};
}

std::vector<std::string> PeerLink::loadReportTargets(absl::Time now)
{
    std::vector<std::string> targets;
    for (const Member &node : m_activeNodes) {
        if (node->id != m_view.self()->id) {
            targets.push_back(node->peerAddress);
        }
    }
    std::erase_if(m_spenders, [&](const auto &it) { return now - it.second > spenderTime; });
    if (!m_spenders.empty()) {
        for (const Member &node : m_view.members()) {
            if (m_spenders.contains(node->id) && !m_peerAddresses.contains(node->id)) {
                targets.push_back(node->peerAddress);
            }
        }
    }
    return targets;
}

void PeerLink::recordSpender(const LoadReport &report, absl::Time now)
{
    if (m_isActive && !report.spending.empty() && !m_peerAddresses.contains(report.sender)) {
        m_spenders[report.sender] = now;
    }
}

void PeerLink::handleTick()
{
    const absl::Time now = m_loop.now();
    const std::uint64_t calls = m_context.callCount.load(std::memory_order_relaxed);
    m_ownCalls.add(static_cast<double>(calls - std::exchange(m_countedCalls, calls)), now);
    m_view.setCallsPerSecond(m_ownCalls.perSecond(now));
    m_view.tick(now);
    m_allCalls.record(m_view.totalCallsPerSecond(), now);
    const std::vector<Member> members = m_view.members();
    updateRoles(members);
    recordMembers(members);
    sendGossip(m_view.makeGossip(m_random), m_view.gossipTargets(m_seeds, m_random));
    if (now - m_lastReport >= ClusterViewLimits::gossipInterval / 2) {
        sendLoadReport();
    }
    m_hooks.onTick();
    m_loop.after(ClusterViewLimits::gossipInterval, [this] { handleTick(); });
}

void PeerLink::receive()
{
    for (int i = 0; i < maxDatagramsPerWakeup; ++i) {
        const std::optional<Datagram> datagram = m_socket->receive(absl::ZeroDuration());
        if (!datagram) {
            return;
        }
        const auto message = toVariant<CellMessage>([&] { return decodeCellMessage(datagram->bytes); });
        std::visit(
            Overloaded{
                [&](const Error &error) {
                    m_context.log.add(LogLevel::Warning, "peer.malformed", RequestId(), {{"from", datagram->from}, {"why", error.message}});
                },
                [&](const CellMessage &received) { std::visit([this](const auto &it) { handle(it); }, received); },
            },
            message);
    }
}

void PeerLink::handle(const MembershipGossip &gossip)
{
    const NodeId &sender = gossip.sender->id;
    if (sender == m_view.self()->id) {
        return;
    }
    if (m_view.handleGossip(gossip, m_loop.now())) {
        sendGossip(m_view.makeReply(sender, m_random), {gossip.sender->peerAddress});
    }
    m_context.quarantine.merge(gossip.prompts, m_loop.now());
    m_hooks.onPeerVersions(PeerVersions{sender, gossip.sender->peerAddress, gossip.sender->generation, gossip.enginesRevision});
}

void PeerLink::handle(const LoadReport &report)
{
    const absl::Time now = m_loop.now();
    if (report.sender == m_view.self()->id) {
        return;
    }
    m_view.handleLiveness(report.senderLiveness, now);
    PeerClock &clock = m_peerClocks[report.sender];
    clock.addSample(report.sentAt, EventLoop::readSteadyClock());
    std::vector<WaitingCall> waiting = report.waitingCalls;
    for (WaitingCall &call : waiting) {
        call.waitDeadline = clock.toLocal(call.waitDeadline);
    }
    m_context.pools.setPeerLoads(report.sender, report.engineLoads, waiting, now);
    m_context.pools.setPeerUnreachableEngines(report.sender, report.unreachableEngines, now);
    m_context.quarantine.merge(report.prompts, now);
    recordSpender(report, now);
    m_context.allowance.merge(report.senderLiveness.node, report.spending, clock.toLocal(report.sentAt), now);
    const auto address = m_peerAddresses.find(report.sender);
    if (address != m_peerAddresses.end()) {
        m_hooks.onPeerVersions(PeerVersions{report.sender, address->second, report.generation, report.enginesRevision});
    }
}

void PeerLink::updateRoles(const std::vector<Member> &members)
{
    updateActiveNodes(members);
    updateRetryShare(members);
    updateAllowancePeers(members);
}

void PeerLink::updateActiveNodes(const std::vector<Member> &members)
{
    m_activeNodes = chooseActiveNodes(servingNodes(members), m_allCalls.current(m_loop.now()));
    m_peerAddresses.clear();
    std::vector<NodeId> ids;
    for (const Member &node : m_activeNodes) {
        m_peerAddresses[node->id] = node->peerAddress;
        ids.push_back(node->id);
    }
    m_context.quarantine.setActiveNodes(ids);
    const bool isActive = m_peerAddresses.contains(m_view.self()->id);
    if (isActive != m_isActive) {
        m_isActive = isActive;
        m_context.log.add(LogLevel::Info, isActive ? "node.active" : "node.standby", RequestId(),
                          {{"active", static_cast<std::int64_t>(m_activeNodes.size())},
                           {"members", static_cast<std::int64_t>(members.size())},
                           {"callsPerSecond", m_allCalls.current(m_loop.now())}});
    }
}

void PeerLink::updateAllowancePeers(const std::vector<Member> &members)
{
    // A node that leaves by itself has told so: it is not one that may be spending out of contact.
    const auto known = std::count_if(members.begin(), members.end(), [](const Member &node) { return !node->leaving; });
    const auto reachable
        = std::count_if(members.begin(), members.end(), [](const Member &node) { return !node->leaving && isAlive(node); });
    AllowancePeers peers;
    for (const Member &node : m_activeNodes) {
        if (node->id != m_view.self()->id) {
            peers.active.push_back(nodeKey(node->id));
        }
    }
    peers.sharerCount = peers.active.size() + 1;
    if (!isSettled()) {
        peers.sharerCount = std::max(peers.sharerCount, ActiveNodeRules().minCount);
    }
    peers.reachableFraction = known > 0 ? static_cast<double>(reachable) / static_cast<double>(known) : 1;
    m_context.allowance.setPeers(peers, m_loop.now());
}

void PeerLink::updateRetryShare(const std::vector<Member> &members)
{
    // Nodes that cannot reach each other choose active nodes separately: each part only uses the share of its nodes.
    const auto alive = static_cast<double>(std::count_if(members.begin(), members.end(), isAlive));
    const double reachable = alive / static_cast<double>(members.size());
    // A node that has just started may not know most of the others yet.
    const std::size_t sharers = isSettled() ? m_activeNodes.size() : std::max(m_activeNodes.size(), ActiveNodeRules().minCount);
    const double share = m_isActive ? reachable / static_cast<double>(sharers) : 0;
    m_context.retryHeadroomShare.store(share, std::memory_order_relaxed);
}

void PeerLink::recordMembers(const std::vector<Member> &members)
{
    for (const Member &member : members) {
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
    m_context.metrics.setMembers(static_cast<double>(std::count_if(members.begin(), members.end(), isAlive)));
    m_context.metrics.setActiveNodes(static_cast<double>(m_activeNodes.size()));
    m_context.metrics.setWaitingCalls(static_cast<double>(m_context.pools.waiterCount()));
}

}
