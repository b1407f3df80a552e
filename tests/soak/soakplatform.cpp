#include "soak/soakplatform.h"

#include <absl/strings/str_cat.h>

#include <functional>
#include <iterator>
#include <utility>

namespace Apricot {

namespace {

constexpr int slots = 16;

/// An engine serves on for this long after it has said that it leaves.
constexpr absl::Duration leaveTime = absl::Milliseconds(2500);

constexpr absl::Duration eventInterval = absl::Milliseconds(20);
constexpr absl::Duration prefillTime = absl::Milliseconds(8);

/// Every so manieth request is declined, and works for long.
constexpr std::uint64_t declinedEach = 41;
constexpr std::uint64_t slowEach = 29;
constexpr absl::Duration slowWork = absl::Milliseconds(700);

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
        routes.push_back(routeJson(SoakPlatform::routeOfChange(number), "idempotent", "desk", 2));
    }
    const Json model{{"slots", slots}, {"kv-capacity", 200000}, {"stride", 1}, {"kv-hold-s", 0.5}};
    const Json limits{{"max-header-bytes", 16384}, {"max-body-bytes", 100000}, {"header-timeout-ms", 5000}, {"idle-timeout-ms", 20000}};
    return Json{{"version", 10 + 3 * changes},
                {"routes", routes},
                {"services", Json::array({Json{{"name", "desk"}}, Json{{"name", "model"}, {"engine", model}}})},
                {"limits", limits}};
}

/// Sends the events after \a last one by one.
void sendEvents(EventLoop &loop, const HttpServerConnection::Ptr &connection, const std::string &attempt, int last)
{
    loop.after(eventInterval, [&loop, connection, attempt, last] {
        if (connection->isClosed()) {
            return;
        }
        connection->sendChunk(eventOf(attempt, last + 1));
        if (last + 1 == eventsOfStream) {
            connection->endStream();
        } else {
            sendEvents(loop, connection, attempt, last + 1);
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
    // Of seven engines three answer as a whole, two read prompts and two make streams.
    static constexpr const char *stages[] = {"", "decode", "prefill", "", "decode", "prefill", ""};
    for (std::size_t i = 0; i < size.engines; ++i) {
        const std::string stage = stages[i % std::size(stages)];
        m_places.push_back(Place{absl::StrCat("engine-", i), stage.empty() ? "desk" : "model", stage, 0, nullptr, nullptr});
        startEngine(m_places.back());
        announce(m_places.back(), "ready");
    }
}

SoakPlatform::~SoakPlatform() = default;

std::string SoakPlatform::storeAddress(std::size_t node) const
{
    return m_storePaths.at(node)->address();
}

void SoakPlatform::harmStorePath(std::size_t node, PathHarm harm)
{
    m_storePaths.at(node)->setHarm(harm);
}

void SoakPlatform::harmEnginePath(std::size_t engine, PathHarm harm)
{
    m_places.at(engine).path->setHarm(harm);
}

void SoakPlatform::startEngine(Place &place)
{
    ++place.lives;
    place.engine = std::make_unique<PlatformEngineStandIn>(place.id, behaviourOf(place));
    if (place.path) {
        place.path->setTarget(place.engine->address());
    } else {
        place.path = std::make_unique<LoopbackProxy>(m_loop, place.engine->address());
    }
}

void SoakPlatform::announce(const Place &place, const char *state)
{
    Json spec{{"service", place.service}, {"address", place.path->address()}, {"zone", "here"}, {"slots", slots}, {"state", state},
              {"born", place.lives}};
    if (!place.stage.empty()) {
        spec["phase"] = place.stage;
    }
    m_store.put("servers", place.id, spec);
}

void SoakPlatform::replaceEngine(std::size_t engine)
{
    Place &place = m_places.at(engine);
    announce(place, "draining");
    const std::string gone = place.id;
    m_leaving.push_back(std::move(place.engine));
    m_leavingPaths.push_back(std::move(place.path));
    place.id = absl::StrCat("engine-", engine, "-", place.lives);
    place.path = nullptr;
    startEngine(place);
    announce(place, "ready");
    m_loop.after(leaveTime, [this, gone] { m_store.remove("servers", gone); });
}

void SoakPlatform::crashEngine(std::size_t engine)
{
    Place &place = m_places.at(engine);
    place.engine.reset();
    startEngine(place);
    announce(place, "ready");
}

int SoakPlatform::changeDesiredState()
{
    ++m_changes;
    m_store.put("config", "main", desiredState(m_changes));
    return m_changes;
}

std::string SoakPlatform::routeOfChange(int number)
{
    return absl::StrCat("/change-", number, "/");
}

PlatformEngineStandIn::Behaviour SoakPlatform::behaviourOf(const Place &place)
{
    return [this, engine = absl::StrCat(place.id, "/", place.lives),
            isStream = !place.stage.empty()](EventLoop &loop, const HttpServerConnection::Ptr &connection, const ReceivedRequest &arrival) {
        if (arrival.head.method == "DELETE") {
            PlatformEngineStandIn::respondSigned(connection, arrival, statusOk, "");
        } else if (++m_turn % declinedEach == 0) {
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
            runWhole(loop, connection, arrival, engine);
        }
    };
}

void SoakPlatform::runWhole(EventLoop &loop, const HttpServerConnection::Ptr &connection, const ReceivedRequest &arrival,
                            const std::string &engine)
{
    const std::string attempt = arrival.header("Apricotladder-Attempt-Id");
    m_ledger.ran(attempt, engine, arrival.head.target, arrival.body);
    const std::uint64_t turn = m_turn;
    const absl::Duration work = turn % slowEach == 0 ? slowWork : absl::Milliseconds(1 + turn % 10);
    loop.after(work, [connection, arrival, attempt] {
        if (!connection->isClosed()) {
            PlatformEngineStandIn::respondSigned(connection, arrival, statusOk, wholeAnswerOf(attempt));
        }
    });
}

void SoakPlatform::runStream(EventLoop &loop, const HttpServerConnection::Ptr &connection, const ReceivedRequest &arrival,
                             const std::string &engine)
{
    const std::string attempt = arrival.header("Apricotladder-Attempt-Id");
    const std::string last = arrival.header("Last-Event-Id");
    m_ledger.ran(attempt, engine, arrival.head.target, arrival.body);
    const int done = last.empty() ? 0 : std::stoi(last);
    connection->beginStream(PlatformEngineStandIn::signedHead(arrival, statusOk, "text/event-stream"), eventOf(attempt, done + 1));
    if (done + 1 >= eventsOfStream) {
        connection->endStream();
    } else {
        sendEvents(loop, connection, attempt, done + 1);
    }
}

}
