#include "soak/soakplatform.h"

#include <absl/strings/str_cat.h>

#include <functional>
#include <iterator>
#include <utility>

namespace Apricot {

namespace {

constexpr int slots = 16;

/// How long an engine continues to serve after it has announced that it is leaving.
constexpr absl::Duration leavingTime = absl::Milliseconds(2500);

constexpr absl::Duration eventInterval = absl::Milliseconds(20);
constexpr absl::Duration prefillTime = absl::Milliseconds(8);

/// One request in so many is declined or takes slowRunTime.
constexpr std::uint64_t declineEveryNth = 41;
constexpr std::uint64_t slowEveryNth = 29;
constexpr absl::Duration slowRunTime = absl::Milliseconds(700);

Json routeJson(const std::string &prefix, const char *type, const char *service, int attempts)
{
    return Json{{"name", "r" + prefix},
                {"host", "soak.example"},
                {"path-prefix", prefix},
                {"type", type},
                {"timeout-ms", 10000},
                {"target-latency-ms", 800},
                {"priority", 0},
                {"service", service},
                {"max-attempts", attempts},
                {"resumable", std::string(type) == "streaming" && attempts > 1},
                {"itl-target-ms", 400}};
}

Json desiredState(int changes)
{
    Json routes = Json::array({routeJson("/read/", "idempotent", "desk", 2), routeJson("/book/", "non_idempotent", "desk", 1),
                               routeJson("/draft/", "streaming", "model", 1), routeJson("/resumable/", "streaming", "model", 2)});
    for (int number = 1; number <= changes; ++number) {
        routes.push_back(routeJson(SoakPlatform::changeRoutePrefix(number), "idempotent", "desk", 2));
    }
    const Json model{{"slots", slots}, {"kv-capacity", 200000}, {"stride", 1}, {"kv-hold-s", 0.5}};
    const Json limits{{"max-header-bytes", 16384}, {"max-body-bytes", 100000}, {"header-timeout-ms", 5000}, {"idle-timeout-ms", 20000}};
    return Json{{"version", 10 + 3 * changes},
                {"routes", routes},
                {"services", Json::array({Json{{"name", "desk"}}, Json{{"name", "model"}, {"engine", model}}})},
                {"limits", limits}};
}

/// Sends the events that follow \a last, one per eventInterval.
void sendEvents(EventLoop &loop, const HttpServerConnection::Ptr &connection, const std::string &attemptId, int last)
{
    loop.after(eventInterval, [&loop, connection, attemptId, last] {
        if (connection->isClosed()) {
            return;
        }
        connection->sendChunk(streamEvent(attemptId, last + 1));
        if (last + 1 == eventsPerStream) {
            connection->endStream();
        } else {
            sendEvents(loop, connection, attemptId, last + 1);
        }
    });
}

}

SoakPlatform::SoakPlatform(EventLoop &loop, SoakLedger &ledger, const SoakSize &size)
    : m_loop(loop)
    , m_ledger(ledger)
{
    m_store.put("config", "main", desiredState(0));
    for (std::size_t i = 0; i < size.nodes; ++i) {
        m_storePaths.push_back(std::make_unique<LoopbackProxy>(loop, m_store.address()));
    }
    // Of seven engines, three send complete responses, two run prefill and two run decode.
    static constexpr const char *phases[] = {"", "decode", "prefill", "", "decode", "prefill", ""};
    for (std::size_t i = 0; i < size.engines; ++i) {
        const std::string phase = phases[i % std::size(phases)];
        m_engines.push_back(EngineEntry{absl::StrCat("engine-", i), phase.empty() ? "desk" : "model", phase, 0, nullptr, nullptr});
        startEngine(m_engines.back());
        registerEngine(m_engines.back(), "ready");
    }
}

SoakPlatform::~SoakPlatform() = default;

std::string SoakPlatform::storeAddress(std::size_t node) const
{
    return m_storePaths.at(node)->address();
}

void SoakPlatform::setStorePathFault(std::size_t node, PathFault fault)
{
    m_storePaths.at(node)->setFault(fault);
}

void SoakPlatform::setEnginePathFault(std::size_t engine, PathFault fault)
{
    m_engines.at(engine).path->setFault(fault);
}

void SoakPlatform::startEngine(EngineEntry &entry)
{
    ++entry.incarnation;
    entry.engine = std::make_unique<PlatformEngineStandIn>(entry.id, makeBehaviour(entry));
    if (entry.path) {
        entry.path->setTarget(entry.engine->address());
    } else {
        entry.path = std::make_unique<LoopbackProxy>(m_loop, entry.engine->address());
    }
}

void SoakPlatform::registerEngine(const EngineEntry &entry, const char *state)
{
    Json spec{{"service", entry.service}, {"address", entry.path->address()}, {"zone", "here"}, {"slots", slots},
              {"state", state},           {"born", entry.incarnation}};
    if (!entry.phase.empty()) {
        spec["phase"] = entry.phase;
    }
    m_store.put("servers", entry.id, spec);
}

void SoakPlatform::replaceEngine(std::size_t engine)
{
    EngineEntry &entry = m_engines.at(engine);
    registerEngine(entry, "draining");
    const std::string leavingId = entry.id;
    m_leavingEngines.push_back(std::move(entry.engine));
    m_leavingPaths.push_back(std::move(entry.path));
    entry.id = absl::StrCat("engine-", engine, "-", entry.incarnation);
    entry.path = nullptr;
    startEngine(entry);
    registerEngine(entry, "ready");
    m_loop.after(leavingTime, [this, leavingId] { m_store.remove("servers", leavingId); });
}

void SoakPlatform::crashEngine(std::size_t engine)
{
    EngineEntry &entry = m_engines.at(engine);
    entry.engine.reset();
    startEngine(entry);
    registerEngine(entry, "ready");
}

int SoakPlatform::changeDesiredState()
{
    ++m_changes;
    m_store.put("config", "main", desiredState(m_changes));
    return m_changes;
}

std::string SoakPlatform::changeRoutePrefix(int number)
{
    return absl::StrCat("/change-", number, "/");
}

PlatformEngineStandIn::Behaviour SoakPlatform::makeBehaviour(const EngineEntry &entry)
{
    return [this, engine = absl::StrCat(entry.id, "/", entry.incarnation),
            isStream = !entry.phase.empty()](EventLoop &loop, const HttpServerConnection::Ptr &connection, const ReceivedRequest &arrival) {
        if (arrival.head.method == "DELETE") {
            PlatformEngineStandIn::respondSigned(connection, arrival, statusOk, "");
        } else if (++m_requestCount % declineEveryNth == 0) {
            PlatformEngineStandIn::respondNotExecuted(connection);
        } else if (arrival.header("Apricotladder-Inference-Phase") == "prefill") {
            loop.after(prefillTime, [connection, arrival] {
                if (!connection->isClosed()) {
                    PlatformEngineStandIn::respondSigned(connection, arrival, statusOk, R"({"kv-handle":"h","tokens":100,"version":1})");
                }
            });
        } else if (isStream) {
            runStream(loop, connection, arrival, engine);
        } else {
            runCall(loop, connection, arrival, engine);
        }
    };
}

void SoakPlatform::runCall(EventLoop &loop, const HttpServerConnection::Ptr &connection, const ReceivedRequest &arrival,
                           const std::string &engine)
{
    const std::string attemptId = arrival.header("Apricotladder-Attempt-Id");
    m_ledger.recordRun(attemptId, engine, arrival.head.target, arrival.body);
    const std::uint64_t requestNumber = m_requestCount;
    const absl::Duration runTime = requestNumber % slowEveryNth == 0 ? slowRunTime : absl::Milliseconds(1 + requestNumber % 10);
    loop.after(runTime, [connection, arrival, attemptId] {
        if (!connection->isClosed()) {
            PlatformEngineStandIn::respondSigned(connection, arrival, statusOk, completeResponseBody(attemptId));
        }
    });
}

void SoakPlatform::runStream(EventLoop &loop, const HttpServerConnection::Ptr &connection, const ReceivedRequest &arrival,
                             const std::string &engine)
{
    const std::string attemptId = arrival.header("Apricotladder-Attempt-Id");
    const std::string last = arrival.header("Last-Event-Id");
    m_ledger.recordRun(attemptId, engine, arrival.head.target, arrival.body);
    const int done = last.empty() ? 0 : std::stoi(last);
    connection->beginStream(PlatformEngineStandIn::signedHead(arrival, statusOk, "text/event-stream"), streamEvent(attemptId, done + 1));
    if (done + 1 >= eventsPerStream) {
        connection->endStream();
    } else {
        sendEvents(loop, connection, attemptId, done + 1);
    }
}

}
