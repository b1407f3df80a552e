#include "apricotladderd/entry/entrynode.h"

#include "platform/addressanswer.h"
#include "platform/objectreader.h"
#include "platform/storeobjects.h"
#include "platform/wirenames.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace Apricot {

namespace {

constexpr int statusUnavailable = 503;

constexpr absl::Duration peerResponseTimeout = absl::Milliseconds(1500);

/// Minimum interval between requests for a peer's state.
constexpr absl::Duration peerSyncInterval = absl::Milliseconds(300);

/// A node that can reach the store but stays behind its peers for this long lists again, as its watch may have stalled.
constexpr absl::Duration maxTimeBehind = absl::Milliseconds(700);

/// Time after which a leaving node refuses new streams, because they might not finish before it exits.
constexpr absl::Duration closingDelay = absl::Seconds(3);

/// Margin before the end of the grace period: calls still in progress by then are abandoned.
constexpr absl::Duration shutdownMargin = absl::Milliseconds(400);
constexpr absl::Duration leaveCheckInterval = absl::Milliseconds(100);

/// Path at which peers request all engines and the desired state that this node knows.
constexpr const char *cellStatePath = "/cell-state";

}

EntryNode::EntryNode(const EntrySettings &settings)
    : m_context(settings, [this](const Grant &grant) { m_loops[EntryLoop::loopIndex(grant.waiter)]->deliverGrant(grant); })
{
    for (std::int64_t i = 0; i < settings->threads; ++i) {
        m_loops.push_back(std::make_unique<EntryLoop>(m_context, static_cast<std::uint64_t>(i)));
    }
    const auto incarnation = static_cast<std::uint64_t>(absl::ToUnixMillis(absl::Now()));
    PeerLink::Hooks hooks;
    hooks.enginesRevision = [this] {
        return m_engines->revision();
    };
    hooks.onPeerNewer = [this](const Member &peer) {
        syncWithPeer(peer);
    };
    m_engines = std::make_unique<EngineCatalogue>(m_controlLoop, m_controlPool, m_context);
    m_peerLink = std::make_unique<PeerLink>(m_controlLoop, m_context, incarnation, std::move(hooks));
    m_nodeDirectory = std::make_unique<NodeDirectory>(m_controlLoop, m_controlPool, m_context, *m_peerLink);
    m_context.onLoadsChanged = [this] {
        m_controlLoop.post([this] { m_peerLink->scheduleHeartbeat(); });
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
    startWatches();
    m_nodeDirectory->start();
    m_controlLoop.run();
    for (const std::unique_ptr<EntryLoop> &loop : m_loops) {
        loop->stop();
    }
    m_threads.clear();
}

void EntryNode::startWatches()
{
    watchDesiredState();
    m_engines->start();
}

void EntryNode::watchDesiredState()
{
    StoreWatch::Callbacks callbacks;
    callbacks.onChanged = [this](const StoreEntry &object) {
        handleDesiredState(object);
    };
    callbacks.onRemoved = [](const std::string &) {
    };
    callbacks.onListed = [](const std::set<std::string> &, bool) {
    };
    m_desiredWatch
        = std::make_unique<StoreWatch>(m_controlLoop, m_controlPool, m_context, std::string(Wire::configKind), std::move(callbacks));
    m_desiredWatch->start();
}

void EntryNode::handleDesiredState(const StoreEntry &object)
{
    if (object.name != Wire::configName) {
        return;
    }
    const auto desired = toVariant<DesiredState>([&] { return readDesiredState(object.spec); });
    if (const auto *error = std::get_if<Error>(&desired)) {
        m_context.metrics.countMalformedEntry(std::string(Wire::configKind));
        m_context.log.add(LogLevel::Error, "desired.malformed", RequestId(), {{"why", error->message}});
        return;
    }
    applyDesiredState(std::get<DesiredState>(desired), "store");
}

void EntryNode::applyDesiredState(const DesiredState &desired, const char *source)
{
    if (desired->version <= m_context.routes.current()->desired()->version) {
        return;
    }
    // The services must be set before the routes: a call that matches a new route needs the pool of its service.
    m_context.pools.setServices(desired->services);
    m_context.routes.updateIfNewer(std::make_shared<const RouteTable>(desired));
    m_peerLink->setDesiredVersion(desired->version);
    m_context.metrics.setDesiredVersion(static_cast<double>(desired->version));
    m_context.log.add(LogLevel::Info, "desired.inforce", RequestId(),
                      {{"version", static_cast<std::int64_t>(desired->version)},
                       {"routes", static_cast<std::int64_t>(desired->routes.size())},
                       {"source", std::string(source)}});
}

void EntryNode::syncWithPeer(const Member &peer)
{
    const absl::Time now = m_controlLoop.now();
    m_behindSince = std::min(m_behindSince, now);
    const bool storeReachable = m_desiredWatch->isConnected() && m_engines->isConnected();
    const bool waitsForWatch = storeReachable && now - m_behindSince < maxTimeBehind;
    if (waitsForWatch || now - m_lastPeerSync < peerSyncInterval) {
        return;
    }
    m_lastPeerSync = now;
    if (storeReachable) {
        m_behindSince = absl::InfiniteFuture();
        if (peer->generation > m_peerLink->membership().self()->generation) {
            m_desiredWatch->refresh();
        } else {
            m_engines->refresh();
        }
        return;
    }
    HttpRequestHead head;
    head.method = "GET";
    head.target = cellStatePath;
    head.headers.push_back(HttpHeader{"Host", "peer"});
    ExchangeRequest request;
    request.address = peer->peerAddress;
    request.poolKey = peer->peerAddress;
    request.encodedRequest = encodeHttpRequest(head, {});
    HttpFetch::start(m_controlLoop, m_controlPool, std::move(request), peerResponseTimeout,
                     [this, from = peer->id](const FetchResult &result) {
                         m_behindSince = absl::InfiniteFuture();
                         const auto *response = std::get_if<FullResponse>(&result);
                         if (response != nullptr && response->head.status == statusOk) {
                             applyPeerState(response->body, from);
                         } // On failure, the next heartbeat of a peer with newer state triggers another request.
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
}

bool EntryNode::isReady() const
{
    return m_context.phase.load(std::memory_order_relaxed) == LeavePhase::Serving && m_context.routes.current()->desired()->version > 0
        && m_engines->revision() > 0;
}

LocalResponse EntryNode::handleDiscovery(const HttpRequestHead &requestHead)
{
    if (!isDiscoveryTarget(requestHead.target)) {
        return LocalResponse{404, "text/plain", "unknown path; this port answers discovery requests only\n"};
    }
    const AddressAnswer chosen
        = chooseAddresses(m_peerLink->servingMembers(), callerDataCentre(requestHead.target), ++m_discoveryRotation, maxDiscoveryAddresses);
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
    if (requestHead.target != cellStatePath) {
        return LocalResponse{404, "text/plain", "unknown path\n"};
    }
    CellState state;
    state.desired = m_context.routes.current()->desired();
    state.enginesRevision = m_engines->revision();
    state.engines = m_context.pools.entries();
    return LocalResponse{statusOk, "application/octet-stream", encodeCellState(state)};
}

LocalResponse EntryNode::handleMetrics()
{
    m_context.metrics.setLinesDropped(static_cast<double>(m_context.log.dropped()));
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
    m_leaveStart = m_controlLoop.now();
    m_context.log.add(LogLevel::Info, "stop", RequestId(), {{"callers", static_cast<std::int64_t>(callerCount())}});
    m_peerLink->setLeaving();
    m_nodeDirectory->leave();
    m_controlLoop.after(closingDelay, [this] { m_context.phase.store(LeavePhase::Closing); });
    const absl::Duration keepTime = absl::Milliseconds(m_context.settings->addressKeepMs);
    m_controlLoop.after(keepTime + leaveCheckInterval, [this] { closeWhenDone(m_leaveStart); });
}

void EntryNode::closeWhenDone(absl::Time leaveStart)
{
    for (const std::unique_ptr<EntryLoop> &loop : m_loops) {
        loop->closeListener();
    }
    const absl::Duration grace = absl::Seconds(m_context.settings->graceS);
    if (callerCount() == 0 || m_controlLoop.now() - leaveStart > grace - shutdownMargin) {
        finish();
        return;
    }
    m_controlLoop.after(leaveCheckInterval, [this, leaveStart] { closeWhenDone(leaveStart); });
}

void EntryNode::finish()
{
    m_context.log.add(
        LogLevel::Info, "stopped", RequestId(),
        {{"callers", static_cast<std::int64_t>(callerCount())}, {"ms", absl::ToDoubleMilliseconds(m_controlLoop.now() - m_leaveStart)}});
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
