// Case: the engines of a service are replaced one after the other, in calm. Nodes that do not watch the store hear of each change from
// each other, a second late at each step.

#include "bed.h"

#include <map>
#include <set>

using namespace Review;

namespace {

constexpr int defaultNodeCount = 88;
constexpr int zoneCount = 4;
constexpr double drainMs = 3000;

/// The engines of the site, and the releases: how many are replaced, at which intervals, and how long a new engine runs before its
/// predecessor drains.
constexpr int scribeCount = 38;
constexpr int replacedScribes = 38;
constexpr double scribeGapMs = 740;
constexpr int deskCount = 4;
constexpr int replacedDesks = 16;
constexpr double deskGapMs = 1700;
constexpr double firstDeskMs = 1000;
constexpr double startMs = 300;

constexpr double workMs = 10;

/// Requests that go directly to each node in one check, and how many callers send them.
constexpr std::size_t requestsPerNode = 6;
constexpr int callerCount = 88;

/// An engine, its time of draining, and the late requests.
struct Engine
{
    std::string id;
    std::string service;
    std::unique_ptr<Apricot::PlatformEngineStandIn> standIn;
    std::atomic<double> drainingAt{-1};
};

}

int main(int argc, char **argv)
{
    if (argc < 2) {
        return exitCouldNotRun;
    }
    const int nodeCount = argc > 2 ? std::atoi(argv[2]) : defaultNodeCount;
    Record record(std::string(argv[1]) + "/record.txt");
    const TemporaryFolder folder;
    Store store;
    store.put("config", "main",
              Json{{"version", 3},
                   {"routes", Json::array({routeJson("/read/", "idempotent", "desk", 1, 1000, 100)})},
                   {"services", Json::array({Json{{"name", "desk"}}, Json{{"name", "scribe"}}})},
                   {"limits", limitsJson()}});
    std::mutex mutex;
    int late = 0;
    double latest = 0;
    std::set<std::string> lateNodes;
    std::vector<std::unique_ptr<Engine>> engines;
    const auto startEngine = [&](const std::string &id, const std::string &service) {
        auto engine = std::make_unique<Engine>();
        engine->id = id;
        engine->service = service;
        Engine *raw = engine.get();
        engine->standIn = std::make_unique<Apricot::PlatformEngineStandIn>(
            id,
            [&, raw](Apricot::EventLoop &loop, const Apricot::HttpServerConnection::Ptr &connection,
                     const Apricot::ReceivedRequest &request) {
                const double drainingAt = raw->drainingAt;
                const double now = nowMs();
                const std::string attempt = request.header("Apricotladder-Attempt-Id");
                if (drainingAt >= 0) {
                    record.line("%s reaches %s %.0f ms after the store has acknowledged that it drains", attempt.c_str(), raw->id.c_str(),
                                now - drainingAt);
                }
                if (drainingAt >= 0 && now > drainingAt + drainMs) {
                    const std::lock_guard lock(mutex);
                    ++late;
                    latest = std::max(latest, now - drainingAt);
                    lateNodes.insert(attempt.substr(0, attempt.rfind('-')));
                }
                loop.after(absl::Milliseconds(workMs), [connection, request, drainingAt] {
                    if (connection->isClosed()) {
                        return;
                    }
                    Apricot::HttpResponseHead head = Apricot::PlatformEngineStandIn::signedHead(request, 200, "text/plain");
                    connection->respond(drainingAt >= 0 ? Apricot::PlatformEngineStandIn::leavingHead(head) : head, "done");
                });
            });
        store.put("servers", id, engineJson(engine->standIn->address(), service, "z1", "", 16, "ready", 1000));
        const std::lock_guard lock(mutex);
        engines.push_back(std::move(engine));
    };
    const auto engineOf = [&](const std::string &id) -> Engine & {
        const std::lock_guard lock(mutex);
        return **std::find_if(engines.begin(), engines.end(), [&](const auto &it) { return it->id == id; });
    };
    for (int i = 0; i < scribeCount; ++i) {
        startEngine("scribe-" + std::to_string(i), "scribe");
    }
    for (int i = 0; i < deskCount; ++i) {
        startEngine("desk-" + std::to_string(i), "desk");
    }
    std::vector<std::unique_ptr<Node>> nodes;
    for (int i = 0; i < nodeCount; ++i) {
        nodes.push_back(
            std::make_unique<Node>("edge-" + std::to_string(i + 1), "z" + std::to_string(1 + i % zoneCount), i + 1, folder.path()));
    }
    const std::vector<std::string> seeds{nodes[0]->seed(), nodes[1]->seed(), nodes[2]->seed()};
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        NodeSettings settings;
        settings.drainMs = static_cast<int>(drainMs);
        settings.processorShare = i < 2 * zoneCount ? 0.5 : 0.12;
        nodes[i]->writeSettings(store.address(), seeds, settings);
        nodes[i]->start();
    }
    const bool allReady = waitUntil(25000, [&] {
        return std::all_of(nodes.begin(), nodes.end(), [](const auto &node) { return fetch(node->ready(), "/readyz").status == 200; });
    });
    if (!allReady) {
        record.result("could not run: the nodes are not ready");
        return exitCouldNotRun;
    }
    sleepMs(6000);
    record.line("%d nodes are ready", nodeCount);

    // A few requests go directly to each node that is ready, a moment later than drain-ms after an engine of the service has begun to
    // drain.
    std::atomic<int> served{0};
    std::vector<std::thread> checks;
    const auto checkNodes = [&](int round, double at) {
        sleepMs(at - nowMs());
        std::atomic<std::size_t> next{0};
        std::vector<std::thread> callers;
        for (int c = 0; c < callerCount; ++c) {
            callers.emplace_back([&] {
                for (std::size_t i = next++ * requestsPerNode, end = i + requestsPerNode; i < end && i < nodes.size() * requestsPerNode;
                     ++i) {
                    const Node &node = *nodes[i / requestsPerNode];
                    Apricot::HttpCall call;
                    call.url = "http://" + node.callers() + "/read/x";
                    const std::string id = node.name() + "-" + std::to_string(round) + "." + std::to_string(i % requestsPerNode);
                    call.headers = {{"Host", "h.example"}, {"Apricotladder-Attempt-Id", id}, {"Apricotladder-Deadline-Ms", "1000"}};
                    call.timeout = absl::Milliseconds(1100);
                    call.dedicatedConnection = true;
                    const double sentAt = nowMs();
                    const int status = Apricot::HttpClient::call(call).status;
                    record.line("sent %s at %.1f, answered %d", id.c_str(), sentAt, status);
                    served += status == 200 ? 1 : 0;
                }
            });
        }
        for (std::thread &it : callers) {
            it.join();
        }
    };
    const auto drain = [&](Engine &engine) {
        engine.drainingAt = 1e18; // It says so in its answers from now on.
        store.put("servers", engine.id, engineJson(engine.standIn->address(), engine.service, "z1", "", 16, "draining", 1000));
        engine.drainingAt = nowMs();
        record.line("the store acknowledges that %s drains", engine.id.c_str());
    };
    const double begin = nowMs();
    const auto at = [&](double ms) {
        sleepMs(begin + ms - nowMs());
    };
    // Two releases at the same time: the engines of each service are replaced one after the other.
    std::thread scribes([&] {
        for (int i = 0; hasTrouble() && i < replacedScribes; ++i) {
            at(i * scribeGapMs);
            startEngine("new-scribe-" + std::to_string(i), "scribe");
            at(i * scribeGapMs + startMs);
            drain(engineOf("scribe-" + std::to_string(i)));
            if (i >= 5) {
                store.remove("servers", "scribe-" + std::to_string(i - 5)); // Gone after drain-ms and a little longer.
            }
        }
    });
    for (int i = 0; i < replacedDesks; ++i) {
        at(firstDeskMs + i * deskGapMs);
        startEngine("desk-" + std::to_string(deskCount + i), "desk");
        at(firstDeskMs + i * deskGapMs + startMs);
        Engine &old = engineOf("desk-" + std::to_string(i));
        drain(old);
        checks.emplace_back(checkNodes, i, old.drainingAt + drainMs + 10);
        if (i >= 3) {
            store.remove("servers", "desk-" + std::to_string(i - 3));
        }
    }
    scribes.join();
    for (std::thread &it : checks) {
        it.join();
    }
    sleepMs(500);
    record.result(std::to_string(late) + " requests from " + std::to_string(lateNodes.size())
                  + " nodes reach an engine later than 3000 ms after the store has acknowledged that it drains, the last "
                  + std::to_string(static_cast<int>(latest)) + " ms after; " + std::to_string(served) + " served");
    if (served < 500) {
        return exitCouldNotRun;
    }
    return late > 0 ? exitBroken : exitHeld;
}
