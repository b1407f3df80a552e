// 18 entry nodes. The store turns away the six that watch it, a third of all, and serves the others. Do the nodes that the store would
// serve put a new desired state into force?
//
// usage: standby RECORD

#include "deployment.h"

#include <algorithm>

namespace {

constexpr int nodeCount = 18;
constexpr double mostTurnedAway = 0.35; // share of the machines
constexpr std::int64_t turnedAwayMs = 9000;
constexpr std::int64_t changeAfterMs = 300;
constexpr std::int64_t configApplyMs = 2000;
constexpr std::int64_t outerMs = 5000;
constexpr std::int64_t askIntervalMs = 250;
constexpr int budgetMs = 1000;
const char *const zones[] = {"liberia", "nicoya", "tamarindo"};

class Run
{
public:
    Run(const std::string &recordPath, bool hasTrouble)
        : m_hasTrouble(hasTrouble)
        , m_record(recordPath)
        , m_directory(makeTemporaryDirectory())
    {
    }

    int play()
    {
        addEngine("i-old", "crewdesk");
        addEngine("i-new", "crewdesk2");
        putDesiredState(3, "crewdesk");
        std::vector<std::string> seeds;
        for (int i = 0; i < nodeCount; ++i) {
            m_nodes.push_back(std::make_unique<Node>(i, m_directory, m_ports, m_store.openPort(), zones[i % 3]));
            if (i < 3) {
                seeds.push_back(Node::seed(i, m_ports));
            }
        }
        for (const auto &node : m_nodes) {
            node->writeSettings(seeds);
            node->start();
        }
        const bool ready = eventually(
            15000, [this] { return std::all_of(m_nodes.begin(), m_nodes.end(), [](const auto &node) { return node->isReady(); }); });
        sleepMs(8000); // The nodes settle, and all of them are in touch.
        const int result = ready ? change() : 2;
        for (const auto &node : m_nodes) {
            node->end();
        }
        if (std::getenv("KEEP") == nullptr) {
            [[maybe_unused]] const int rc = std::system(("rm -r " + m_directory).c_str());
        }
        return result;
    }

private:
    void addEngine(const std::string &id, const std::string &service)
    {
        m_engines.push_back(std::make_unique<Server>(freePort(), [this, id, service](Socket &socket, const Message &request) {
            const std::string requestId = request.header("Apricotladder-Attempt-Id");
            m_record.add("engine %s of %s runs %s", id.c_str(), service.c_str(), requestId.c_str());
            return socket.write(encodeMessage("HTTP/1.1 200 OK",
                                              {{"Apricotladder-Attempt-Id", requestId}, {"Apricotladder-Response-Signature", "signed"}},
                                              service),
                                nowMs() + 1000);
        }));
        m_store.put("servers", id, engineEntry(service, m_engines.back()->port(), "", 6, 1700000000000));
    }

    /// The route /book/ goes to \a service; the version that moves it also adds /added/.
    void putDesiredState(int version, const std::string &service)
    {
        Json routes = Json::array({plainRoute("booking", "/book/", "non_idempotent", 1, budgetMs, service)});
        if (service != "crewdesk") {
            routes.push_back(plainRoute("added", "/added/", "non_idempotent", 1, budgetMs, service));
        }
        m_store.put("config", "main", desiredState(version, routes));
        m_record.add("the store acknowledges version %d: /book/ goes to %s", version, service.c_str());
    }

    int change()
    {
        std::vector<const Node *> watching;
        std::vector<const Node *> others;
        for (const auto &node : m_nodes) {
            // A node that watches has a waiting call nearly always.
            const bool isWatching = eventually(1000, [&] { return m_store.isWatchedFrom(node->storePort()); });
            (isWatching ? watching : others).push_back(node.get());
        }
        m_record.add("%zu of %d nodes watch the store", watching.size(), nodeCount);
        if (watching.empty() || static_cast<double>(watching.size()) > mostTurnedAway * nodeCount) {
            m_record.add("their share is over %.2f: this is no case", mostTurnedAway);
            return 2;
        }
        const std::int64_t start = nowMs();
        for (const Node *node : watching) {
            if (m_hasTrouble) {
                m_store.setTurnedAway(node->storePort(), true);
                m_record.add("the store turns %s away", node->name().c_str());
            }
        }
        sleepMs(changeAfterMs);
        putDesiredState(8, "crewdesk2");
        const std::int64_t acknowledged = nowMs();
        while (nowMs() < start + turnedAwayMs) {
            for (const Node *node : others) {
                ask(*node, "/book/", nowMs() - acknowledged);
                ask(*node, "/added/", nowMs() - acknowledged);
            }
            sleepMs(askIntervalMs);
        }
        for (const Node *node : watching) {
            m_store.setTurnedAway(node->storePort(), false);
        }
        m_record.add("the store serves all nodes again");
        m_record.add(
            "requests to the nodes that the store has always served, later than %lld ms after the acknowledgement: %d, as an older "
            "version: %d",
            static_cast<long long>(configApplyMs), m_late, m_lateStale);
        m_record.add("the same, later than %lld ms: %d, as an older version: %d", static_cast<long long>(configApplyMs + outerMs), m_latest,
                     m_latestStale);
        m_record.add(m_latestStale > 0 ? "BROKEN" : "held");
        return m_latestStale > 0 ? 1 : 0;
    }

    void ask(const Node &node, const std::string &prefix, std::int64_t sinceAcknowledgedMs)
    {
        const std::string id = "r" + std::to_string(++m_lastId);
        const std::unique_ptr<Socket> socket = node.connectAsCaller(budgetMs);
        if (!socket) {
            return;
        }
        const std::int64_t deadline = nowMs() + budgetMs;
        socket->write(
            encodeMessage(
                "POST " + prefix + id + " HTTP/1.1",
                {{"Host", "desk.example"}, {"Apricotladder-Attempt-Id", id}, {"Apricotladder-Deadline-Ms", std::to_string(budgetMs)}},
                "order"),
            deadline);
        std::optional<Message> response = readHead(*socket, deadline);
        if (!response || !readBody(*socket, &*response, deadline)) {
            m_record.add("caller %s at %s: no answer", id.c_str(), node.name().c_str());
            return;
        }
        const bool isStale = response->status() == 404 || response->body == "crewdesk";
        m_record.add("caller %s at %s, %s, %lld ms after the acknowledgement: %d %s%s", id.c_str(), node.name().c_str(), prefix.c_str(),
                     static_cast<long long>(sinceAcknowledgedMs), response->status(),
                     response->status() == 200 ? response->body.c_str() : "", isStale ? ", as an older version" : "");
        if (sinceAcknowledgedMs > configApplyMs) {
            ++m_late;
            m_lateStale += isStale ? 1 : 0;
        }
        if (sinceAcknowledgedMs > configApplyMs + outerMs) {
            ++m_latest;
            m_latestStale += isStale ? 1 : 0;
        }
    }

    bool m_hasTrouble;
    Record m_record;
    std::string m_directory;
    Store m_store;
    NodePorts m_ports;
    std::vector<std::unique_ptr<Server>> m_engines;
    std::vector<std::unique_ptr<Node>> m_nodes;
    int m_lastId = 0;
    int m_late = 0;
    int m_lateStale = 0;
    int m_latest = 0;
    int m_latestStale = 0;
};

}

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (argc != 2) {
        return 2;
    }
    const char *trouble = std::getenv("TROUBLE");
    Run run(argv[1], trouble == nullptr || std::string(trouble) != "0");
    const int result = run.play();
    std::fflush(nullptr);
    std::_Exit(result);
}
