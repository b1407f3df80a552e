// Case: the store loses answers for a while, among them those to the watches of the desired state. The nodes wait on for these answers, and
// miss what the operator writes long after the store is well again.

#include "bed.h"

using namespace Review;

namespace {

constexpr int nodeCount = 2;
constexpr double configApplyMs = 2000;
constexpr double stabilityMs = 3000;

/// How long the store loses answers, and the largest share of them.
constexpr double lossMs = 4500;
constexpr double maxLossShare = 0.35;

constexpr double observedMs = 12000;

Json desired(int version, const std::string &service)
{
    return Json{{"version", version},
                {"routes", Json::array({routeJson("/book/", "non_idempotent", service, 1, 1000, 100)})},
                {"services", Json::array({Json{{"name", "desk-old"}}, Json{{"name", "desk-new"}}})},
                {"limits", limitsJson()}};
}

}

int main(int argc, char **argv)
{
    if (argc != 2) {
        return exitCouldNotRun;
    }
    Record record(std::string(argv[1]) + "/record.txt");
    const TemporaryFolder folder;
    Store store;
    store.put("config", "main", desired(3, "desk-old"));
    std::mutex mutex;
    std::vector<std::tuple<std::string, std::string, double>> runs; // attempt, service, time
    std::vector<std::unique_ptr<Apricot::PlatformEngineStandIn>> engines;
    const auto engineSpec = [&](std::size_t index, int sequence) {
        Json spec = engineJson(engines[index]->address(), index < 2 ? "desk-old" : "desk-new", "z1", "", 6, "ready", 1000);
        spec["cold-remaining-ms"] = sequence;
        return spec;
    };
    for (std::size_t i = 0; i < 4; ++i) {
        const std::string service = i < 2 ? "desk-old" : "desk-new";
        engines.push_back(std::make_unique<Apricot::PlatformEngineStandIn>(
            "i-" + std::to_string(i),
            [&, service](Apricot::EventLoop &loop, const Apricot::HttpServerConnection::Ptr &connection,
                         const Apricot::ReceivedRequest &request) {
                {
                    const std::lock_guard lock(mutex);
                    runs.emplace_back(request.header("Apricotladder-Attempt-Id"), service, nowMs());
                }
                loop.after(absl::Milliseconds(15), [connection, request] {
                    if (!connection->isClosed()) {
                        Apricot::PlatformEngineStandIn::respondSigned(connection, request, 200, "done");
                    }
                });
            }));
        store.put("servers", "i-" + std::to_string(i), engineSpec(i, 0));
    }
    std::vector<std::unique_ptr<Node>> nodes;
    for (int i = 0; i < nodeCount; ++i) {
        nodes.push_back(std::make_unique<Node>("edge-" + std::to_string(i + 1), "z1", i + 1, folder.path()));
    }
    for (const auto &node : nodes) {
        node->writeSettings(store.address(), {nodes[0]->seed(), nodes[1]->seed()}, NodeSettings());
        node->start();
    }
    const bool allReady = waitUntil(15000, [&] {
        return std::all_of(nodes.begin(), nodes.end(), [](const auto &node) { return fetch(node->ready(), "/readyz").status == 200; });
    });
    if (!allReady) {
        record.result("could not run: the nodes are not ready");
        return exitCouldNotRun;
    }
    sleepMs(3000);
    store.put("config", "main", desired(5, "desk-old"));
    record.line("the store acknowledges version 5 of the desired state; all is calm");
    sleepMs(1000);

    // The store loses answers: each write below is acknowledged, and of the answers to the nodes only these are lost.
    const int answersBefore = store.watchAnswers();
    if (hasTrouble()) {
        store.setLosesWatchAnswers("config");
    }
    const double lossBegin = nowMs();
    store.put("config", "main", desired(8, "desk-old"));
    record.line("the store acknowledges version 8; %s", hasTrouble() ? "it loses the answers to the watches" : "it loses nothing");
    for (int n = 1; nowMs() < lossBegin + lossMs; ++n) {
        store.put("servers", "i-0", engineSpec(0, n)); // Other answers of this time arrive.
        sleepMs(500);
    }
    const int lost = store.lostAnswers();
    const int answered = store.watchAnswers() - answersBefore;
    store.setLosesWatchAnswers("");
    record.line("the store is well again: it has lost %d of %d answers to watches", lost, lost + answered);
    if (hasTrouble() && (lost == 0 || lost > maxLossShare * (lost + answered))) {
        record.result("could not run: the share of lost answers is out of bounds");
        return exitCouldNotRun;
    }
    sleepMs(stabilityMs + 500);
    store.put("config", "main", desired(12, "desk-new"));
    const double changedAt = nowMs();
    record.line("the store acknowledges version 12, which moves the route from desk-old to desk-new");

    std::vector<std::pair<std::string, double>> sent;
    int served = 0;
    for (int n = 0; nowMs() < changedAt + observedMs; ++n) {
        Apricot::HttpCall call;
        call.method = "POST";
        call.url = "http://" + nodes[static_cast<std::size_t>(n % nodeCount)]->callers() + "/book/x";
        const std::string id = "a-" + std::to_string(n);
        call.headers = {{"Host", "h.example"}, {"Apricotladder-Attempt-Id", id}, {"Apricotladder-Deadline-Ms", "1000"}};
        call.body = "booking";
        call.timeout = absl::Milliseconds(1100);
        call.dedicatedConnection = true;
        sent.emplace_back(id, nowMs());
        const int status = Apricot::HttpClient::call(call).status;
        served += status == 200 ? 1 : 0;
        record.line("sent %s to %s, answered %d", id.c_str(), nodes[static_cast<std::size_t>(n % nodeCount)]->name().c_str(), status);
        sleepMs(30);
    }
    int stale = 0;
    double last = 0;
    const std::lock_guard lock(mutex);
    for (const auto &[id, at] : sent) {
        const auto run = std::find_if(runs.begin(), runs.end(), [&id = id](const auto &it) { return std::get<0>(it) == id; });
        if (run != runs.end()) {
            record.line("%s, sent %.0f ms after version 12, was run by %s", id.c_str(), at - changedAt, std::get<1>(*run).c_str());
        }
        if (run != runs.end() && std::get<1>(*run) == "desk-old" && at > changedAt + configApplyMs) {
            ++stale;
            last = at - changedAt;
        }
    }
    record.result(std::to_string(stale) + " requests sent later than 2000 ms after version 12 are run by the old service, the last sent "
                  + std::to_string(static_cast<int>(last)) + " ms after it; " + std::to_string(served) + " of "
                  + std::to_string(sent.size()) + " served");
    if (served < 50) {
        return exitCouldNotRun;
    }
    return stale > 0 ? exitBroken : exitHeld;
}
