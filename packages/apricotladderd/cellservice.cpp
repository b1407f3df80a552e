#include "apricotladderd/cellservice.h"

#include "coordination/ownership.h"
#include "protocol/objectjson.h"
#include "transport/httpclient.h"
#include "transport/tcpframes.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <utility>

namespace Apricot {

namespace {

constexpr absl::Duration receiveTimeout = absl::Milliseconds(200);
constexpr absl::Duration vmPollInterval = absl::Seconds(1);
constexpr absl::Duration vmPollTimeout = absl::Milliseconds(800);

Member makeSelf(const NodeSettings &settings)
{
    return Member::Builder()
        .set(&MemberFields::id, settings->node)
        .set(&MemberFields::incarnation, static_cast<std::uint64_t>(absl::ToUnixMillis(absl::Now())))
        .set(&MemberFields::dataCentre, settings->dataCentre)
        .set(&MemberFields::peerAddress, settings->peerAddress)
        .set(&MemberFields::datagramAddress, settings->peerAddress)
        .set(&MemberFields::callerAddress, settings->callerAddress)
        .build();
}

}

CellService::CellService(const NodeSettings &settings, DatagramAuthenticator authenticator, Journal &journal, NodeMetrics &metrics)
    : m_settings(settings)
    , m_authenticator(std::move(authenticator))
    , m_journal(journal)
    , m_metrics(metrics)
    , m_membership(makeSelf(settings))
    , m_peerSockets(settings->datagramListenAddress.empty() ? settings->peerAddress : settings->datagramListenAddress,
                    settings->peerAddress)
{
}

CellService::~CellService()
{
    stop();
}

std::string CellService::start(Handlers handlers)
{
    m_handlers = std::move(handlers);
    m_tcp = std::make_unique<TcpServer>(m_settings->peerAddress, [this](const std::string &request) { return answerQuery(request); });
    if (!m_peerSockets.isOpen() || !m_tcp->isOpen()) {
        return absl::StrCat("peerAddress: cannot listen on ", m_settings->peerAddress,
                            " or on datagramListenAddress, if that is set; choose free ports of this VM");
    }
    m_receiveThread = Thread("peer-udp", [this] { receiveLoop(); });
    m_vmPollTask = std::make_unique<PeriodicTask>("vm-list", vmPollInterval, [this] { pollVmList(); });
    m_heartbeatTask = std::make_unique<PeriodicTask>("heartbeats", MembershipTimes::heartbeatInterval, [this] { sendHeartbeats(); });
    return {};
}

void CellService::stop()
{
    m_stopping = true;
    m_heartbeatTask.reset();
    m_vmPollTask.reset();
    m_receiveThread.join();
    m_tcp.reset();
}

void CellService::send(const NodeId &to, const PeerMessage &message)
{
    const std::optional<Member> member = find(to);
    if (!member) {
        return;
    }
    const std::string bytes = m_authenticator.sign(encodePeerMessage(message));
    m_metrics.countPeerBytes("out", bytes.size());
    const std::string &address = (*member)->datagramAddress.empty() ? (*member)->peerAddress : (*member)->datagramAddress;
    m_peerSockets.send(to, address, bytes);
}

Result<PeerReply> CellService::query(const Member &node, const PeerQuery &query, absl::Duration timeout)
{
    const std::optional<std::string> signedReply = exchangeFrame(node->peerAddress, m_authenticator.sign(encodePeerQuery(query)), timeout);
    if (!signedReply) {
        return fail(ErrorKind::PeerUnreachable,
                    absl::StrCat("node ", node->id.text(), " at ", node->peerAddress, " did not answer a query"));
    }
    BOOST_LEAF_AUTO(bytes, m_authenticator.verify(*signedReply));
    return decodePeerReply(bytes);
}

std::vector<Member> CellService::members() const
{
    const MutexLock lock(m_mutex);
    return m_membership.members();
}

std::vector<NodeId> CellService::owners() const
{
    const MutexLock lock(m_mutex);
    return m_membership.owners();
}

std::optional<Member> CellService::find(const NodeId &id) const
{
    const MutexLock lock(m_mutex);
    return m_membership.find(id);
}

NodeId CellService::ownerOf(const ServiceName &service) const
{
    return Apricot::ownerOf(service.text(), owners());
}

void CellService::setGeneration(std::uint64_t generation)
{
    const MutexLock lock(m_mutex);
    m_membership.setGeneration(generation);
}

void CellService::setLeaving()
{
    {
        const MutexLock lock(m_mutex);
        m_membership.setLeaving();
    }
    m_heartbeatTask->wake();
}

bool CellService::isLeavingVm(const std::string &name) const
{
    const MutexLock lock(m_mutex);
    return std::find(m_leavingVms.begin(), m_leavingVms.end(), name) != m_leavingVms.end();
}

void CellService::receiveLoop()
{
    while (!m_stopping) {
        for (const Datagram &datagram : m_peerSockets.receive(receiveTimeout)) {
            handleDatagram(datagram);
        }
    }
}

void CellService::sendHeartbeats()
{
    const absl::Time now = absl::Now();
    HeartbeatMessage message;
    std::vector<HeartbeatTarget> targets;
    std::size_t alive = 0;
    {
        const MutexLock lock(m_mutex);
        m_membership.tick(now);
        message.sender = m_membership.self();
        message.claims = m_membership.claims();
        targets = m_membership.heartbeatTargets(now);
        alive = m_membership.owners().size();
    }
    m_metrics.setMembers(static_cast<double>(alive));
    message.timestamp = m_journal.nextTimestamp();
    for (const HeartbeatTarget &target : targets) {
        if (target.silent) {
            m_peerSockets.replacePath(target.node, now);
        }
        message.sender = message.sender.with(&MemberFields::datagramAddress, m_peerSockets.addressFor(target.node));
        const std::string bytes = m_authenticator.sign(encodePeerMessage(message));
        m_metrics.countPeerBytes("out", bytes.size());
        m_peerSockets.send(target.node, target.address, bytes);
    }
}

void CellService::pollVmList()
{
    HttpCall call;
    call.url = m_settings->vmListUrl;
    call.timeout = vmPollTimeout;
    const HttpReply reply = HttpClient::call(call);
    if (reply.outcome != CallOutcome::Answered || reply.status != 200) {
        return;
    }
    const auto decoded = toVariant<std::vector<Vm>>([&] { return decodeVmList(reply.body); });
    const auto *vms = std::get_if<std::vector<Vm>>(&decoded);
    if (vms == nullptr) {
        return;
    }
    std::vector<Vm> nodes;
    std::vector<std::string> leaving;
    for (const Vm &vm : *vms) {
        // The list also contains the VMs of endpoints. Only nodes have a peer address.
        if (!vm->address.empty()) {
            nodes.push_back(vm);
        }
        if (vm->leaving) {
            leaving.push_back(vm->name);
        }
    }
    const MutexLock lock(m_mutex);
    m_membership.setVmList(nodes, absl::Now());
    m_leavingVms = std::move(leaving);
}

void CellService::handleDatagram(const Datagram &datagram)
{
    m_metrics.countPeerBytes("in", datagram.bytes.size());
    const auto decoded = toVariant<PeerMessage>([&]() -> Result<PeerMessage> {
        BOOST_LEAF_AUTO(bytes, m_authenticator.verify(datagram.bytes));
        return decodePeerMessage(bytes);
    });
    if (const auto *error = std::get_if<Error>(&decoded)) {
        m_journal.record(RequestId(), "peer.refused", absl::StrCat(datagram.from, ": ", error->message));
        return;
    }
    std::visit(Overloaded{
                   [&](const HeartbeatMessage &it) {
                       m_journal.observe(it.timestamp);
                       std::uint64_t own = 0;
                       {
                           const MutexLock lock(m_mutex);
                           m_membership.handleHeartbeat(it.sender, it.claims, absl::Now());
                           own = m_membership.self()->generation;
                       }
                       if (it.sender->generation > own) {
                           m_handlers.onNewerGeneration(it.sender);
                       }
                   },
                   [&](const OwnerEventsMessage &it) {
                       m_journal.observe(it.timestamp);
                       m_handlers.onOwnerEvents(it);
                   },
                   [&](const OwnerActionsMessage &it) {
                       m_journal.observe(it.timestamp);
                       m_handlers.onOwnerActions(it);
                   },
               },
               std::get<PeerMessage>(decoded));
}

std::string CellService::answerQuery(const std::string &signedQuery)
{
    const auto decoded = toVariant<PeerQuery>([&]() -> Result<PeerQuery> {
        BOOST_LEAF_AUTO(bytes, m_authenticator.verify(signedQuery));
        return decodePeerQuery(bytes);
    });
    const auto *query = std::get_if<PeerQuery>(&decoded);
    return query == nullptr ? std::string() : m_authenticator.sign(encodePeerReply(m_handlers.onQuery(*query)));
}

}
