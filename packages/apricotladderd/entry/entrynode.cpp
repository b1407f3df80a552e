#include "apricotladderd/entry/entrynode.h"

#include "platform/addressanswer.h"
#include "platform/objectreader.h"
#include "platform/storeobjects.h"
#include "platform/wirenames.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace Apricot {

namespace {

constexpr int statusUnavailable = 503;

/// Requests for discovery, readiness, metrics and the state of the deployment have no body.
constexpr std::uint64_t maxControlBodyBytes = 4096;

constexpr absl::Duration peerResponseTimeout = absl::Milliseconds(1500);

/// Longest state of a peer, bytes: the desired state takes 1 MiB at most, an engine some hundred bytes.
constexpr std::size_t maxPeerStateBytes = 4U << 20;

/// Minimum interval between requests for a peer's state. A node that takes no calls may know changes of engines later.
constexpr absl::Duration peerSyncInterval = absl::Milliseconds(300);
constexpr absl::Duration standbySyncInterval = absl::Seconds(1);

/// A node that has started asks the store if no peer has sent it the state of the deployment by then.
constexpr absl::Duration firstPeerTimeout = absl::Milliseconds(400);

/// A node that can reach the store but stays behind its peers for this long lists again, as its watch may have stalled.
constexpr absl::Duration maxTimeBehind = absl::Milliseconds(400);

/// Duration of the watches of the node that confirms, as a fraction of the time in which changes must be in force. An answer that is lost
/// to all nodes is noticed after one and a half times that, and the others are up to date maxTimeBehind and two gossip intervals later.
constexpr double confirmFraction = 0.25;

constexpr absl::Duration leaveCheckInterval = absl::Milliseconds(100);

/// Path at which peers request all engines and the desired state that this node knows.
constexpr const char *cellStatePath = "/cell-state";

/// Query of that path: the version of the desired state that the requesting node has, and which the response may leave out.
constexpr const char *generationQuery = "?generation=";

/// Returns the version that \a target gives in its query; 0 if it has none.
std::uint64_t requestedGeneration(const std::string &target)
{
    std::uint64_t generation = 0;
    const std::size_t query = target.find(generationQuery);
    if (query != std::string::npos) {
        (void)absl::SimpleAtoi(target.substr(query + std::string_view(generationQuery).size()), &generation);
    }
    return generation;
}

}

EntryNode::EntryNode(const EntrySettings &settings)
    : m_context(settings, [this](const Grant &grant) { m_loops[EntryLoop::loopIndex(grant.waiter)]->deliverGrant(grant); })
    , m_controlCallers(controlMemoryLimits(m_context.callers.limits()), m_noAnswerBytes)
    , m_controlGuard(m_controlLoop, m_controlCallers, 0, m_context.log, m_context.metrics,
                     [](CallerConnectionId, CallerCloseReason) { /* All its connections belong to one loop. */ })
{
    for (std::int64_t i = 0; i < settings->threads; ++i) {
        m_loops.push_back(std::make_unique<EntryLoop>(m_context, static_cast<std::uint64_t>(i)));
    }
    const auto incarnation = static_cast<std::uint64_t>(absl::ToUnixMillis(absl::Now()));
    PeerLink::Hooks hooks;
    hooks.enginesRevision = [this] {
        return m_engines->changeRevision();
    };
    hooks.onPeerVersions = [this](const PeerVersions &peer) {
        handlePeerVersions(peer);
    };
    hooks.onTick = [this] {
        updateStoreUse();
    };
    m_engines = std::make_unique<EngineCatalogue>(m_controlLoop, m_controlPool, m_context);
    m_peerLink = std::make_unique<PeerLink>(m_controlLoop, m_context, incarnation, std::move(hooks));
    m_nodeDirectory = std::make_unique<NodeDirectory>(m_controlLoop, m_controlPool, m_context, *m_peerLink);
    m_context.closeCaller = [this](CallerConnectionId connection, CallerCloseReason reason) {
        m_loops[CallerGuard::index(connection)]->closeCaller(connection, reason);
    };
    m_context.onLoadsChanged = [this] {
        m_controlLoop.post([this] { m_peerLink->scheduleLoadReport(); });
    };
}

EntryNode::~EntryNode() = default;

bool EntryNode::serve(const std::string &address, RequestHandler handler)
{
    HttpListener::Hooks hooks;
    hooks.onRequest = [handler = std::move(handler)](const HttpServerConnection::Ptr &connection, const HttpRequestHead &requestHead,
                                                     const std::string &) {
        const LocalResponse response = handler(requestHead);
        HttpResponseHead head;
        head.status = response.status;
        head.reason = std::string(reasonPhrase(response.status));
        head.headers.push_back(HttpHeader{"Content-Type", response.contentType});
        connection->respond(std::move(head), response.body);
    };
    hooks.limits = [] {
        HttpServerLimits limits;
        limits.parse.bodyBytes = maxControlBodyBytes;
        return limits;
    };
    m_controlGuard.guard(hooks);
    m_servers.push_back(std::make_unique<HttpListener>(m_controlLoop, address, AddressSharing::Exclusive, std::move(hooks)));
    return m_servers.back()->isOpen();
}

std::string EntryNode::start()
{
    const EntrySettings &settings = m_context.settings;
    const auto listenError = [](const char *key, const std::string &address) {
        return absl::StrCat(key, ": cannot listen on ", address, "; check that this VM has the address and that the port is free");
    };
    for (const std::unique_ptr<EntryLoop> &loop : m_loops) {
        if (!loop->listen()) {
            return listenError("callerAddress", settings->callerAddress);
        }
    }
    if (!serve(settings->discoveryAddress, [this](const HttpRequestHead &it) { return handleDiscovery(it); })) {
        return listenError("discoveryAddress", settings->discoveryAddress);
    }
    if (!serve(settings->readyAddress, [this](const HttpRequestHead &it) { return handleReadiness(it); })) {
        return listenError("readyAddress", settings->readyAddress);
    }
    m_startedAt = m_controlLoop.now();
    watchDesiredState();
    if (!serve(settings->peerAddress, [this](const HttpRequestHead &it) { return handlePeerRequest(it); }) || !m_peerLink->start()) {
        return listenError("peerAddress", settings->peerAddress);
    }
    if (!settings->metricsAddress.empty()
        && !serve(settings->metricsAddress, [this](const HttpRequestHead &) { return handleMetrics(); })) {
        return listenError("metricsAddress", settings->metricsAddress);
    }
    m_context.log.add(
        LogLevel::Info, "start", RequestId(),
        {{"dataCentre", settings->dataCentre.text()}, {"callers", settings->callerAddress}, {"store", settings->storeAddress}});
    return {};
}

void EntryNode::run()
{
    for (const std::unique_ptr<EntryLoop> &loop : m_loops) {
        m_threads.emplace_back("entry", [raw = loop.get()] { raw->run(); });
    }
    m_controlLoop.run();
    for (const std::unique_ptr<EntryLoop> &loop : m_loops) {
        loop->stop();
    }
    m_threads.clear();
}

bool EntryNode::needsStore(const StoreDutyFacts &facts)
{
    const bool isConfigured = m_context.routes.current()->desired()->version > 0 && m_engines->knownRevision() > 0;
    if (!isConfigured) {
        return m_controlLoop.now() - m_startedAt >= firstPeerTimeout;
    }
    return m_peerLink->isSettled() && m_storeDuty.update(facts, m_controlLoop.now());
}

void EntryNode::updateConfirmInterval(const StoreDutyFacts &facts)
{
    const EntrySettings &settings = m_context.settings;
    const absl::Duration maxAge = absl::Milliseconds(std::min(settings->configApplyMs, settings->drainMs));
    const auto interval = StoreDuty::isConfirming(facts) ? std::optional(maxAge * confirmFraction) : std::nullopt;
    m_desiredWatch->setConfirmInterval(interval);
    m_engines->setConfirmInterval(interval);
}

void EntryNode::updateStoreUse()
{
    m_peerLink->setReachesStore(m_desiredWatch->isConnected() && m_engines->isConnected());
    const StoreDutyFacts facts = m_peerLink->storeDutyFacts();
    updateConfirmInterval(facts);
    if (needsStore(facts)) {
        m_desiredWatch->start();
        m_engines->start();
    } else if (m_peerLink->isSettled()) {
        m_desiredWatch->pause();
        m_engines->pause();
    }
    // Nodes are listed in the store so that a node without living seeds finds the others: a few of them suffice.
    const bool isAlone = m_peerLink->members().size() == 1 && m_controlLoop.now() - m_startedAt >= firstPeerTimeout;
    if (isAlone || (m_peerLink->isActive() && m_peerLink->isSettled())) {
        m_nodeDirectory->start();
    } else {
        m_nodeDirectory->pause();
    }
}

void EntryNode::watchDesiredState()
{
    StoreWatch::Callbacks callbacks;
    callbacks.onChanged = [this](const StoredObject &object) {
        return handleDesiredState(object);
    };
    callbacks.onRemoved = [](const std::string &) {
    };
    callbacks.onListed = [](const std::set<std::string> &, bool) {
    };
    m_desiredWatch
        = std::make_unique<StoreWatch>(m_controlLoop, m_controlPool, m_context, std::string(Wire::configKind), std::move(callbacks));
}

bool EntryNode::handleDesiredState(const StoredObject &object)
{
    if (object.name != Wire::configName) {
        return false;
    }
    std::vector<std::string> malformedWorkspaces;
    const auto desired = toVariant<DesiredState>(
        [&] { return readDesiredState(parseStoredObject(object, maxStoreResponseBytes).spec, &malformedWorkspaces); });
    if (const auto *error = std::get_if<Error>(&desired)) {
        m_context.metrics.countMalformedEntries(std::string(Wire::configKind), 1);
        m_context.log.add(LogLevel::Error, "desired.malformed", RequestId(), {{"why", error->message}});
        return false;
    }
    const std::uint64_t version = std::get<DesiredState>(desired)->version;
    if (!malformedWorkspaces.empty() && version > m_context.routes.current()->desired()->version) {
        m_context.metrics.countMalformedEntries("workspace", malformedWorkspaces.size());
        m_context.log.add(LogLevel::Warning, "desired.badworkspaces", RequestId(),
                          {{"version", static_cast<std::int64_t>(version)},
                           {"count", static_cast<std::int64_t>(malformedWorkspaces.size())},
                           {"first", malformedWorkspaces.front()}});
    }
    applyDesiredState(std::get<DesiredState>(desired), "store");
    return true;
}

void EntryNode::applyDesiredState(const DesiredState &desired, const char *source)
{
    if (desired->version <= m_context.routes.current()->desired()->version) {
        return;
    }
    // The services must be set before the routes: a call that matches a new route needs the pool of its service.
    m_context.pools.setServices(desired->services);
    m_context.allowance.setWorkspaces(desired->workspaces, m_controlLoop.now());
    m_context.routes.updateIfNewer(std::make_shared<const RouteTable>(desired));
    m_peerLink->setDesiredVersion(desired->version);
    m_context.metrics.setDesiredVersion(static_cast<double>(desired->version));
    m_context.log.add(LogLevel::Info, "desired.inforce", RequestId(),
                      {{"version", static_cast<std::int64_t>(desired->version)},
                       {"routes", static_cast<std::int64_t>(desired->routes.size())},
                       {"workspaces", static_cast<std::int64_t>(desired->workspaces.size())},
                       {"source", std::string(source)}});
}

void EntryNode::handlePeerVersions(const PeerVersions &peer)
{
    const std::uint64_t generation = m_context.routes.current()->desired()->version;
    const auto isBehind = [&](const PeerVersions &other) {
        return other.generation > generation || other.enginesRevision > m_engines->knownRevision();
    };
    if (!isBehind(m_newestVersions)) {
        m_behindSince = absl::InfiniteFuture();
    }
    if (!isBehind(peer)) {
        return;
    }
    const absl::Time now = m_controlLoop.now();
    m_behindSince = std::min(m_behindSince, now);
    m_newestVersions.generation = std::max(m_newestVersions.generation, peer.generation);
    m_newestVersions.enginesRevision = std::max(m_newestVersions.enginesRevision, peer.enginesRevision);
    const bool isUrgent = m_peerLink->isActive() || peer.generation > generation;
    if (now - m_lastPeerSync < (isUrgent ? peerSyncInterval : standbySyncInterval)) {
        return;
    }
    const bool storeReachable = m_desiredWatch->isConnected() && m_engines->isConnected();
    if (!storeReachable) {
        fetchPeerState(peer);
    } else if (now - m_behindSince >= maxTimeBehind) {
        refreshFromStore(peer);
    }
}

void EntryNode::refreshFromStore(const PeerVersions &peer)
{
    m_lastPeerSync = m_controlLoop.now();
    m_behindSince = absl::InfiniteFuture();
    if (peer.generation > m_context.routes.current()->desired()->version) {
        m_desiredWatch->refresh();
    } else {
        m_engines->refresh();
    }
}

void EntryNode::fetchPeerState(const PeerVersions &peer)
{
    m_lastPeerSync = m_controlLoop.now();
    HttpRequestHead head;
    head.method = "GET";
    head.target = absl::StrCat(cellStatePath, generationQuery, m_context.routes.current()->desired()->version);
    head.headers.push_back(HttpHeader{"Host", "peer"});
    ExchangeRequest request;
    request.address = peer.peerAddress;
    request.poolKey = peer.peerAddress;
    request.encodedRequest = encodeHttpRequest(head, {});
    HttpFetch::start(m_controlLoop, m_controlPool, std::move(request), peerResponseTimeout, maxPeerStateBytes,
                     [this, from = peer.node](const FetchResult &result) {
                         const auto *response = std::get_if<FullResponse>(&result);
                         if (response != nullptr && response->head.status == statusOk) {
                             applyPeerState(response->body, from);
                         } // On failure, the next message of a peer with newer state triggers another request.
                     });
}

void EntryNode::applyPeerState(const std::string &body, const NodeId &from)
{
    const auto state = toVariant<CellState>([&] { return decodeCellState(body); });
    if (const auto *error = std::get_if<Error>(&state)) {
        m_context.log.add(LogLevel::Warning, "peer.malformed", RequestId(), {{"from", from.text()}, {"why", error->message}});
        return;
    }
    const CellState &found = std::get<CellState>(state);
    if (found.desired->version > 0) {
        applyDesiredState(found.desired, "peer");
    }
    m_engines->updateFromPeer(found, from);
    m_peerLink->addListedNodes(found.members);
    m_context.quarantine.merge(found.prompts, m_controlLoop.now());
}

bool EntryNode::isReady() const
{
    return m_context.phase.load(std::memory_order_relaxed) == LeavePhase::Serving && m_context.routes.current()->desired()->version > 0
        && m_engines->knownRevision() > 0;
}

LocalResponse EntryNode::handleDiscovery(const HttpRequestHead &requestHead)
{
    if (!isDiscoveryTarget(requestHead.target)) {
        return LocalResponse{404, "text/plain", "unknown path; this port answers discovery requests only\n"};
    }
    const AddressAnswer chosen
        = chooseAddresses(m_peerLink->activeNodes(), callerDataCentre(requestHead.target), ++m_discoveryRotation, maxDiscoveryAddresses);
    if (chosen->addresses.empty()) {
        return LocalResponse{statusUnavailable, "text/plain", "no node is ready\n"};
    }
    return LocalResponse{statusOk, "application/json",
                         encodeAddresses(chosen.with(&AddressAnswerFields::keepMs, m_context.settings->addressKeepMs))};
}

LocalResponse EntryNode::handleReadiness(const HttpRequestHead &requestHead) const
{
    const bool isGood = isReadyTarget(requestHead.target) && isReady();
    return LocalResponse{isGood ? statusOk : statusUnavailable, "text/plain", isGood ? "ready\n" : "not ready\n"};
}

LocalResponse EntryNode::handlePeerRequest(const HttpRequestHead &requestHead)
{
    if (!absl::StartsWith(requestHead.target, cellStatePath)) {
        return LocalResponse{404, "text/plain", "unknown path\n"};
    }
    CellState state;
    const DesiredState desired = m_context.routes.current()->desired();
    if (desired->version > requestedGeneration(requestHead.target)) {
        state.desired = desired;
    }
    state.enginesRevision = m_engines->changeRevision();
    state.knownRevision = m_engines->knownRevision();
    state.engines = m_context.pools.entries();
    state.members = m_peerLink->members();
    state.prompts = m_context.quarantine.report(m_controlLoop.now());
    return LocalResponse{statusOk, "application/octet-stream", encodeCellState(state)};
}

LocalResponse EntryNode::handleMetrics()
{
    m_context.metrics.setLinesDropped(static_cast<double>(m_context.log.dropped()));
    m_context.metrics.setCallerMemory(static_cast<double>(m_context.callers.totalBytes()),
                                      static_cast<double>(m_context.callers.systemBytes()),
                                      static_cast<double>(m_context.callers.connectionCount()));
    return LocalResponse{statusOk, "text/plain", m_context.metrics.text()};
}

void EntryNode::leave()
{
    m_controlLoop.post([this] { beginLeaving(); });
}

void EntryNode::beginLeaving()
{
    if (m_context.phase.load() != LeavePhase::Serving) {
        return;
    }
    m_context.phase.store(LeavePhase::Leaving);
    m_leavePlan = LeavePlan(LeavePlanFields{m_controlLoop.now(), absl::Seconds(m_context.settings->graceS)});
    for (const std::unique_ptr<EntryLoop> &loop : m_loops) {
        loop->setLeavePlan(m_leavePlan);
    }
    m_context.log.add(LogLevel::Info, "stop", RequestId(), {{"callers", static_cast<std::int64_t>(callerCount())}});
    m_peerLink->setLeaving();
    m_nodeDirectory->leave();
    const absl::Duration keepTime = absl::Milliseconds(m_context.settings->addressKeepMs);
    m_controlLoop.after(keepTime + leaveCheckInterval, [this] { closeWhenDone(); });
}

void EntryNode::closeWhenDone()
{
    for (const std::unique_ptr<EntryLoop> &loop : m_loops) {
        loop->closeListener();
    }
    const bool acceptsNone
        = std::all_of(m_loops.begin(), m_loops.end(), [](const std::unique_ptr<EntryLoop> &it) { return it->isListenerClosed(); });
    const bool isDone = acceptsNone && callerCount() == 0 && !m_nodeDirectory->isLeaving();
    const bool isGraceOver = m_controlLoop.now() >= callEnd(m_leavePlan);
    if (isDone || (isGraceOver && m_context.phase.load() == LeavePhase::Ending)) {
        finish();
        return;
    }
    if (isGraceOver) {
        endCalls();
    }
    m_controlLoop.after(leaveCheckInterval, [this] { closeWhenDone(); });
}

void EntryNode::endCalls()
{
    m_context.phase.store(LeavePhase::Ending);
    for (const std::unique_ptr<EntryLoop> &loop : m_loops) {
        loop->endCalls();
    }
}

void EntryNode::finish()
{
    m_context.log.add(LogLevel::Info, "stopped", RequestId(),
                      {{"callers", static_cast<std::int64_t>(callerCount())},
                       {"ms", absl::ToDoubleMilliseconds(m_controlLoop.now() - m_leavePlan->start)}});
    m_controlLoop.stop();
}

std::size_t EntryNode::callerCount() const
{
    std::size_t n = 0;
    for (const std::unique_ptr<EntryLoop> &loop : m_loops) {
        n += loop->callerCount();
    }
    return n;
}

void EntryNode::reload(const EntrySettings &settings)
{
    m_controlLoop.post([this, settings] {
        m_peerLink->setSeeds(settings->seeds);
        const bool isRestUnchanged = settings.with(&EntrySettingsFields::seeds, m_context.settings->seeds) == m_context.settings;
        m_context.log.add(LogLevel::Info, "reload", RequestId(),
                          {{"seeds", static_cast<std::int64_t>(settings->seeds.size())},
                           {"others", std::string(isRestUnchanged ? "unchanged" : "changed; they take effect at the next start")}});
    });
}

}
