// Case: an engine leaves within 2.5 s after the waiting watches were cut off. The nodes that watch the store take it out, and the other
// nodes never hear of it.

#include "bed.h"

#include <set>

using namespace Review;

namespace {

constexpr int nodeCount = 24;
constexpr int drainMs = 3000;
constexpr double processorShare = 0.12;

/// Load at which more than the least number of nodes take calls, and the load afterwards, calls per second.
constexpr double highLoad = 300;
constexpr double lowLoad = 60;

/// How long a client keeps an answer of discovery: ttl-s is 2, and some clients keep it three times as long.
constexpr double keepMs = 6000;

constexpr double workMs = 60;

/// The engine serves for drain-ms and a little longer, and exits.
constexpr double exitMs = drainMs + 1500;

/// When the callers that have kept an old answer make their next calls, after drain-ms, and how many each makes at the same time.
constexpr double firstCallMs[] = {100, 700, 1460};
constexpr int callsAtOnce = 6;

std::vector<std::string> addressesOf(const std::string &body)
{
    const Json json = Json::parse(body, nullptr, false);
    return json.is_object() && json.contains("addresses") ? json["addresses"].get<std::vector<std::string>>() : std::vector<std::string>();
}

struct Call
{
    std::string id;
    double sentAt = 0;
    int status = 0;
};

}

int main(int argc, char **argv)
{
    if (argc != 2) {
        return exitCouldNotRun;
    }
    Record record(std::string(argv[1]) + "/record.txt");
    const TemporaryFolder folder;
    Store store;
    store.put("config", "main",
              Json{{"version", 3},
                   {"routes", Json::array({routeJson("/book/", "non_idempotent", "desk", 1, 1000, 100)})},
                   {"services", Json::array({Json{{"name", "desk"}}})},
                   {"limits", limitsJson()}});

    std::mutex mutex;
    std::vector<std::pair<std::string, double>> arrivals; // at the engine that leaves: attempt and time
    std::vector<std::unique_ptr<Apricot::PlatformEngineStandIn>> engines;
    const std::string leaver = "i-2";
    std::atomic<bool> isLeaving{false}; // An engine that leaves says so in all its answers.
    for (const std::string id : {"i-1", "i-2", "i-3", "i-4"}) {
        engines.push_back(std::make_unique<Apricot::PlatformEngineStandIn>(
            id,
            [&, id](Apricot::EventLoop &loop, const Apricot::HttpServerConnection::Ptr &connection,
                    const Apricot::ReceivedRequest &request) {
                record.line("%s runs at %s", request.header("Apricotladder-Attempt-Id").c_str(), id.c_str());
                if (id == leaver) {
                    const std::lock_guard lock(mutex);
                    arrivals.emplace_back(request.header("Apricotladder-Attempt-Id"), nowMs());
                }
                loop.after(absl::Milliseconds(workMs), [&, id, connection, request] {
                    if (connection->isClosed()) {
                        return;
                    }
                    Apricot::HttpResponseHead head = Apricot::PlatformEngineStandIn::signedHead(request, 200, "text/plain");
                    if (id == leaver && isLeaving) {
                        head = Apricot::PlatformEngineStandIn::leavingHead(head);
                    }
                    connection->respond(head, "done");
                });
            }));
        store.put("servers", id, engineJson(engines.back()->address(), "desk", "z1", "", 16, "ready", 1000));
    }

    std::vector<std::unique_ptr<Node>> nodes;
    for (int i = 0; i < nodeCount; ++i) {
        nodes.push_back(std::make_unique<Node>("edge-" + std::to_string(i + 1), "z" + std::to_string(1 + i % 3), i + 1, folder.path()));
    }
    const std::vector<std::string> seeds{nodes[0]->seed(), nodes[1]->seed(), nodes[2]->seed()};
    for (const auto &node : nodes) {
        NodeSettings settings;
        settings.drainMs = drainMs;
        settings.processorShare = processorShare;
        node->writeSettings(store.address(), seeds, settings);
        node->start();
    }
    const bool allReady = waitUntil(15000, [&] {
        return std::all_of(nodes.begin(), nodes.end(), [](const auto &node) { return fetch(node->ready(), "/readyz").status == 200; });
    });
    if (!allReady) {
        record.result("could not run: the nodes are not ready");
        return exitCouldNotRun;
    }
    sleepMs(2500);
    record.line("%d nodes are ready", nodeCount);

    // Callers ask discovery every half second and spread their calls over the addresses.
    std::atomic<bool> isOver{false};
    std::atomic<double> callsPerSecond{highLoad};
    std::vector<std::string> addresses;
    std::atomic<std::uint64_t> lastId{0};
    std::vector<Call> calls;
    const auto call = [&](const std::string &address, const std::string &prefix) {
        Apricot::HttpCall request;
        request.method = "POST";
        request.url = "http://" + address + "/book/x";
        Call made;
        made.id = prefix + std::to_string(++lastId);
        request.headers = {{"Host", "h.example"}, {"Apricotladder-Attempt-Id", made.id}, {"Apricotladder-Deadline-Ms", "1000"}};
        request.body = "booking";
        request.timeout = absl::Milliseconds(1100);
        made.sentAt = nowMs();
        made.status = Apricot::HttpClient::call(request).status;
        const std::lock_guard lock(mutex);
        calls.push_back(made);
    };
    constexpr int callers = 32;
    std::vector<std::thread> threads;
    const auto refresh = [&] {
        const std::vector<std::string> found = addressesOf(fetch(nodes[0]->discovery(), "/discovery?name=h.example&region=r&zone=z1").body);
        if (!found.empty()) {
            const std::lock_guard lock(mutex);
            addresses = found;
        }
        return found;
    };
    refresh();
    for (int i = 0; i < callers; ++i) {
        threads.emplace_back([&, i] {
            for (std::size_t n = 0; !isOver; ++n) {
                std::string address;
                {
                    const std::lock_guard lock(mutex);
                    address = addresses[(n * callers + static_cast<std::size_t>(i)) % addresses.size()];
                }
                call(address, "load-");
                sleepMs(std::max(1.0, 1000.0 * callers / callsPerSecond - workMs - 2));
            }
        });
    }
    const auto end = [&](int code) {
        isOver = true;
        for (std::thread &it : threads) {
            it.join();
        }
        return code;
    };

    // The load rises until more than six nodes take calls, and falls again.
    std::vector<std::string> before;
    const bool hasRisen = waitUntil(15000, [&] {
        sleepMs(300);
        before = refresh();
        return before.size() > 6;
    });
    if (!hasRisen) {
        record.result("could not run: no more than six nodes take calls");
        return end(exitCouldNotRun);
    }
    record.line("discovery names %zu nodes under load", before.size());
    sleepMs(1500);
    callsPerSecond = lowLoad;
    double keptAt = 0; // when the caller has got the answer that it keeps
    std::vector<std::string> kept;
    const bool hasFallen = waitUntil(30000, [&] {
        const double askedAt = nowMs();
        const std::vector<std::string> now = refresh();
        if (now.size() <= 6 && !now.empty()) {
            return true;
        }
        kept = now;
        keptAt = askedAt;
        sleepMs(200);
        return false;
    });
    if (!hasFallen) {
        record.result("could not run: the number of nodes that take calls does not fall");
        return end(exitCouldNotRun);
    }
    const std::vector<std::string> current = refresh();
    std::vector<std::string> old;
    for (const std::string &address : kept) {
        if (std::find(current.begin(), current.end(), address) == current.end()) {
            old.push_back(address);
        }
    }
    if (old.empty()) {
        record.result("could not run: no node has left the answer of discovery");
        return end(exitCouldNotRun);
    }
    record.line("discovery names %zu nodes; a caller keeps the answer of %.0f ms ago, which also names %s", current.size(),
                nowMs() - keptAt, old.front().c_str());
    sleepMs(300);
    if (hasTrouble()) {
        const int n = store.cutWatches("servers");
        record.line("the channels of the %d watches that wait for changes of the engines are reset", n);
    }
    sleepMs(500);
    isLeaving = true;
    store.remove("servers", leaver);
    const double goneAt = nowMs();
    record.line("the store acknowledges that %s is gone; it serves on", leaver.c_str());
    // Callers that have kept the old answer make their next calls, each at one of the nodes that it names.
    std::vector<std::thread> keptCallers;
    for (std::size_t i = 0; i < std::min(old.size(), std::size(firstCallMs)); ++i) {
        for (int k = 0; k < callsAtOnce; ++k) {
            keptCallers.emplace_back([&, i] {
                sleepMs(goneAt + drainMs + firstCallMs[i] - nowMs());
                while (nowMs() < keptAt + keepMs) {
                    call(old[i], "kept-");
                    sleepMs(40);
                }
            });
        }
    }
    sleepMs(goneAt + exitMs - nowMs());
    engines[1].reset();
    record.line("%s exits", leaver.c_str());
    sleepMs(std::max(0.0, keptAt + keepMs - nowMs()) + 500);
    end(0);
    for (std::thread &it : keptCallers) {
        it.join();
    }

    int late = 0;
    int served = 0;
    int lost = 0; // calls without a promise that they have not run, of which nobody knows whether they have
    double latest = 0;
    const std::lock_guard lock(mutex);
    for (const Call &it : calls) {
        if (it.sentAt > goneAt) {
            record.line("sent %s at %.1f, answered %d", it.id.c_str(), it.sentAt, it.status);
            served += it.status == 200 ? 1 : 0;
            lost += it.status != 200 && it.status != 503 && it.status != 429 ? 1 : 0;
        }
    }
    for (const auto &[id, at] : arrivals) {
        if (at > goneAt) {
            record.line("%s reaches %s %.0f ms after it is gone", id.c_str(), leaver.c_str(), at - goneAt);
        }
        if (at > goneAt + drainMs) {
            ++late;
            latest = std::max(latest, at - goneAt);
        }
    }
    record.result(std::to_string(late) + " requests reach the engine later than " + std::to_string(drainMs)
                  + " ms after it is gone, the last " + std::to_string(static_cast<int>(latest)) + " ms after; " + std::to_string(served)
                  + " calls served since, " + std::to_string(lost) + " bookings lost");
    if (served < 20) {
        return exitCouldNotRun;
    }
    return late > 0 ? exitBroken : exitHeld;
}
