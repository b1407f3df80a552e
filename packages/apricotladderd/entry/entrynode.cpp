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

constexpr absl::Duration peerAnswerTimeout = absl::Milliseconds(1500);

/// Minimum interval between requests for a peer's state.
constexpr absl::Duration learnInterval = absl::Milliseconds(300);

/// A node that can reach the store but stays behind its peers for this long lists again, as its watch may have stalled.
constexpr absl::Duration behindLimit = absl::Milliseconds(700);

/// Time after which a leaving node refuses new streams, because they might not finish before it exits.
constexpr absl::Duration closingAfter = absl::Seconds(3);

/// Margin before the end of the grace period: calls still in progress by then are abandoned.
constexpr absl::Duration lastMargin = absl::Milliseconds(400);
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
    hooks.behind = [this](const Member &peer) {
        learnFrom(peer);
    };
    m_engines = std::make_unique<EngineCatalogue>(m_control, m_controlPool, m_context);
    m_cell = std::make_unique<PeerLink>(m_control, m_context, incarnation, std::move(hooks));
    m_directory = std::make_unique<NodeDirectory>(m_control, m_controlPool, m_context, *m_cell);
    m_context.onLoadsChanged = [this] {
        m_control.post([this] { m_cell->tellSoon(); });
    };
}

EntryNode::~EntryNode() = default;

bool EntryNode::serve(const std::string &address, Answerer answerer)
{
    HttpListener::Hooks hooks;
    hooks.request = [answerer = std::move(answerer)](const HttpServerConnection::Self &connection, const HttpRequestHead &question,
                                                     const std::string &) {
        const LocalAnswer given = answerer(question);
        HttpResponseHead head;
        head.status = given.status;
        head.reason = std::string(reasonPhrase(given.status));
        head.headers.push_back(HttpHeader{"Content-Type", given.contentType});
        connection->answer(std::move(head), given.body);
    };
    m_servers.push_back(std::make_unique<HttpListener>(m_control, address, ListenAt::OwnAddress, std::move(hooks)));
    return m_servers.back()->isOpen();
}

std::string EntryNode::start()
{
    const EntrySettings &settings = m_context.settings;
    const auto cannotListen = [](const char *key, const std::string &address) {
        return absl::StrCat(key, ": cannot listen at ", address, "; check that this VM has the address and that the port is free");
    };
    for (const std::unique_ptr<EntryLoop> &loop : m_loops) {
        if (!loop->listen()) {
            return cannotListen("callerAddress", settings->callerAddress);
        }
    }
    if (!serve(settings->discoveryAddress, [this](const HttpRequestHead &it) { return answerDiscovery(it); })) {
        return cannotListen("discoveryAddress", settings->discoveryAddress);
    }
    if (!serve(settings->readyAddress, [this](const HttpRequestHead &it) { return answerReady(it); })) {
        return cannotListen("readyAddress", settings->readyAddress);
    }
    if (!serve(settings->peerAddress, [this](const HttpRequestHead &it) { return answerPeer(it); }) || !m_cell->start()) {
        return cannotListen("peerAddress", settings->peerAddress);
    }
    if (!settings->metricsAddress.empty()
        && !serve(settings->metricsAddress, [this](const HttpRequestHead &) { return answerMetrics(); })) {
        return cannotListen("metricsAddress", settings->metricsAddress);
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
    m_directory->start();
    m_control.run();
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
    callbacks.changed = [this](const StoreEntry &object) {
        takeDesiredState(object);
    };
    callbacks.removed = [](const std::string &) {
    };
    callbacks.listed = [](const std::set<std::string> &, bool) {
    };
    m_desiredWatch = std::make_unique<StoreWatch>(m_control, m_controlPool, m_context, std::string(Wire::configKind), std::move(callbacks));
    m_desiredWatch->start();
}

void EntryNode::takeDesiredState(const StoreEntry &object)
{
    if (object.name != Wire::configName) {
        return;
    }
    const auto desired = collect<DesiredState>([&] { return readDesiredState(object.spec); });
    if (const auto *error = std::get_if<Error>(&desired)) {
        m_context.metrics.countMalformedEntry(std::string(Wire::configKind));
        m_context.log.add(LogLevel::Error, "desired.malformed", RequestId(), {{"why", error->message}});
        return;
    }
    putInForce(std::get<DesiredState>(desired), "store");
}

void EntryNode::putInForce(const DesiredState &desired, const char *source)
{
    if (desired->version <= m_context.routes.current()->desired()->version) {
        return;
    }
    // The services must be set before the routes: a call that matches a new route needs the pool of its service.
    m_context.pools.setServices(desired->services);
    m_context.routes.updateIfNewer(std::make_shared<const RouteTable>(desired));
    m_cell->setDesiredVersion(desired->version);
    m_context.metrics.setDesiredVersion(static_cast<double>(desired->version));
    m_context.log.add(LogLevel::Info, "desired.inforce", RequestId(),
                      {{"version", static_cast<std::int64_t>(desired->version)},
                       {"routes", static_cast<std::int64_t>(desired->routes.size())},
                       {"source", std::string(source)}});
}

void EntryNode::learnFrom(const Member &peer)
{
    const absl::Time now = m_control.now();
    m_behindSince = std::min(m_behindSince, now);
    const bool storeServes = m_desiredWatch->isInTouch() && m_engines->isInTouch();
    const bool isPatient = storeServes && now - m_behindSince < behindLimit;
    if (isPatient || now - m_learning < learnInterval) {
        return;
    }
    m_learning = now;
    if (storeServes) {
        m_behindSince = absl::InfiniteFuture();
        if (peer->generation > m_cell->membership().self()->generation) {
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
    request.key = peer->peerAddress;
    request.bytes = encodeHttpRequest(head, {});
    HttpQuestion::ask(m_control, m_controlPool, std::move(request), peerAnswerTimeout, [this, from = peer->id](const QuestionEnd &end) {
        m_behindSince = absl::InfiniteFuture();
        const auto *answer = std::get_if<WholeAnswer>(&end);
        if (answer != nullptr && answer->head.status == statusOk) {
            takePeerState(answer->body, from);
        } // On failure the next heartbeat of a newer peer triggers another request.
    });
}

void EntryNode::takePeerState(const std::string &body, const NodeId &from)
{
    const auto state = collect<CellState>([&] { return decodeCellState(body); });
    if (const auto *error = std::get_if<Error>(&state)) {
        m_context.log.add(LogLevel::Warning, "peer.malformed", RequestId(), {{"from", from.text()}, {"why", error->message}});
        return;
    }
    const CellState &found = std::get<CellState>(state);
    if (found.desired->version > 0) {
        putInForce(found.desired, "peer");
    }
    m_engines->takeFromPeer(found, from);
}

bool EntryNode::isReady() const
{
    return m_context.phase.load(std::memory_order_relaxed) == LeavePhase::Serving && m_context.routes.current()->desired()->version > 0
        && m_engines->revision() > 0;
}

LocalAnswer EntryNode::answerDiscovery(const HttpRequestHead &question)
{
    if (!isDiscoveryTarget(question.target)) {
        return LocalAnswer{404, "text/plain", "unknown path; this port answers discovery requests only\n"};
    }
    const AddressAnswer chosen
        = chooseAddresses(m_cell->servingMembers(), callerDataCentre(question.target), ++m_turn, maxDiscoveryAddresses);
    if (chosen->addresses.empty()) {
        return LocalAnswer{statusUnavailable, "text/plain", "no node is ready\n"};
    }
    return LocalAnswer{statusOk, "application/json",
                       encodeAddresses(chosen.with(&AddressAnswerFields::keepMs, m_context.settings->addressKeepMs))};
}

LocalAnswer EntryNode::answerReady(const HttpRequestHead &question) const
{
    const bool isGood = isReadyTarget(question.target) && isReady();
    return LocalAnswer{isGood ? statusOk : statusUnavailable, "text/plain", isGood ? "ready\n" : "not ready\n"};
}

LocalAnswer EntryNode::answerPeer(const HttpRequestHead &question)
{
    if (question.target != cellStatePath) {
        return LocalAnswer{404, "text/plain", "unknown path\n"};
    }
    CellState state;
    state.desired = m_context.routes.current()->desired();
    state.enginesRevision = m_engines->revision();
    state.engines = m_context.pools.entries();
    return LocalAnswer{statusOk, "application/octet-stream", encodeCellState(state)};
}

LocalAnswer EntryNode::answerMetrics()
{
    m_context.metrics.setLinesDropped(static_cast<double>(m_context.log.dropped()));
    return LocalAnswer{statusOk, "text/plain", m_context.metrics.text()};
}

void EntryNode::leave()
{
    m_control.post([this] { leaveNow(); });
}

void EntryNode::leaveNow()
{
    if (m_context.phase.load() != LeavePhase::Serving) {
        return;
    }
    m_context.phase.store(LeavePhase::Leaving);
    m_leaveBegan = m_control.now();
    m_context.log.add(LogLevel::Info, "stop", RequestId(), {{"callers", static_cast<std::int64_t>(callerCount())}});
    m_cell->setLeaving();
    m_directory->leave();
    m_control.after(closingAfter, [this] { m_context.phase.store(LeavePhase::Closing); });
    const absl::Duration keep = absl::Milliseconds(m_context.settings->addressKeepMs);
    m_control.after(keep + leaveCheckInterval, [this] { closeWhenDone(m_leaveBegan); });
}

void EntryNode::closeWhenDone(absl::Time since)
{
    for (const std::unique_ptr<EntryLoop> &loop : m_loops) {
        loop->closeListener();
    }
    const absl::Duration grace = absl::Seconds(m_context.settings->graceS);
    if (callerCount() == 0 || m_control.now() - since > grace - lastMargin) {
        finish();
        return;
    }
    m_control.after(leaveCheckInterval, [this, since] { closeWhenDone(since); });
}

void EntryNode::finish()
{
    m_context.log.add(
        LogLevel::Info, "stopped", RequestId(),
        {{"callers", static_cast<std::int64_t>(callerCount())}, {"ms", absl::ToDoubleMilliseconds(m_control.now() - m_leaveBegan)}});
    m_control.stop();
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
    m_control.post([this, settings] {
        m_cell->setSeeds(settings->seeds);
        const bool isAll = settings.with(&EntrySettingsFields::seeds, m_context.settings->seeds) == m_context.settings;
        m_context.log.add(LogLevel::Info, "reload", RequestId(),
                          {{"seeds", static_cast<std::int64_t>(settings->seeds.size())},
                           {"others", std::string(isAll ? "unchanged" : "changed; they take effect at the next start")}});
    });
}

}
