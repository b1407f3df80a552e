// A model service with prefill and decode engines and two entry nodes. One shared part of a prompt crashes each decode engine that
// begins to write an answer on it: the engine writes the head and the first event, and ends. Do the nodes stop sending such requests
// to engines, and do sound requests still begin?
//
// usage: deadly RECORD

#include "deployment.h"

#include <algorithm>

namespace {

constexpr int nodeCount = 2;
constexpr int prefillCount = 2;
constexpr int decodeCount = 4;
constexpr std::int64_t stabilityWindowMs = 3000;
constexpr std::int64_t soundIntervalMs = 100;
constexpr std::int64_t deadlyIntervalMs = 400;
constexpr std::int64_t deadlyFromMs = 8000;
constexpr std::int64_t deadlyUntilMs = 40000;
constexpr std::int64_t trafficMs = 42000;
constexpr std::int64_t engineRestartMs = 5000;
constexpr std::int64_t heartbeatMs = 1200;
constexpr int eventCount = 6;
constexpr std::int64_t eventIntervalMs = 50;
constexpr int budgetMs = 14000;
constexpr std::int64_t abandonMs = 3200; // four times the objective
constexpr const char *firstPart = "5c1e07a2:200";
constexpr const char *deadlyPart = "dead0001:410";
constexpr const char *soundPart = "91bd3f06:410";

/// The bounds of the rules.
constexpr int mostDeadlyAfterFifthCrash = 3;
constexpr int fifthCrash = 5;
constexpr int minSoundRequests = 20;

struct Engine
{
    std::string name;
    std::string phase;
    std::string id;
    int lifetimes = 0;
    std::unique_ptr<Server> server;
};

/// A sound request, as its caller has seen it.
struct Sound
{
    std::int64_t sentMs = 0;
    bool begun = false;
};

class Run
{
public:
    Run(const std::string &recordPath, bool hasTrouble, bool beforeFirstEvent)
        : m_hasTrouble(hasTrouble)
        , m_beforeFirstEvent(beforeFirstEvent)
        , m_record(recordPath)
        , m_directory(makeTemporaryDirectory())
    {
    }

    int play()
    {
        for (int i = 0; i < prefillCount + decodeCount; ++i) {
            addEngine(i < prefillCount ? "prefill" : "decode", i);
        }
        m_store.put("config", "main", desiredState(3, Json::array({streamRoute("survey", "/survey/", false, 1)})));
        std::vector<std::string> seeds;
        for (int i = 0; i < nodeCount; ++i) {
            m_nodes.push_back(std::make_unique<Node>(i, m_directory, m_ports, m_store.openPort()));
            seeds.push_back(Node::seed(i, m_ports));
        }
        for (const auto &node : m_nodes) {
            node->writeSettings(seeds);
            node->start();
        }
        const bool ready = eventually(
            10000, [this] { return std::all_of(m_nodes.begin(), m_nodes.end(), [](const auto &node) { return node->isReady(); }); });
        sleepMs(stabilityWindowMs + 1000);
        if (ready) {
            sendRequests();
        }
        for (const auto &node : m_nodes) {
            node->end();
        }
        if (std::getenv("KEEP") == nullptr) {
            [[maybe_unused]] const int rc = std::system(("rm -r " + m_directory).c_str());
        }
        return ready ? judge() : 2;
    }

private:
    void addEngine(const std::string &phase, int index)
    {
        auto engine = std::make_unique<Engine>();
        Engine *raw = engine.get();
        engine->name = phase + "-" + std::to_string(index);
        engine->phase = phase;
        engine->server = std::make_unique<Server>(
            freePort(), [this, raw](Socket &socket, const Message &request) { return answer(*raw, socket, request); });
        registerEngine(*raw);
        m_engines.push_back(std::move(engine));
    }

    void registerEngine(Engine &engine)
    {
        const std::lock_guard lock(m_mutex);
        engine.id = engine.name + "-" + std::to_string(++engine.lifetimes);
        m_store.put("servers", engine.id, engineEntry("summarizer", engine.server->port(), engine.phase, 32, 1700000000000 + nowMs()));
    }

    std::string idOf(const Engine &engine)
    {
        const std::lock_guard lock(m_mutex);
        return engine.id;
    }

    /// Starts the engine again after its end, under a new id. The old entry goes after three heartbeats.
    void restartLater(Engine &engine)
    {
        const std::string oldId = idOf(engine);
        std::thread([this, &engine, oldId] {
            sleepMs(3 * heartbeatMs);
            m_store.remove("servers", oldId);
            sleepMs(engineRestartMs - 3 * heartbeatMs);
            engine.server->start();
            registerEngine(engine);
            m_record.add("engine %s is back as %s", engine.name.c_str(), idOf(engine).c_str());
        }).detach();
    }

    bool answer(Engine &engine, Socket &socket, const Message &request)
    {
        const std::string id = request.header("Apricotladder-Attempt-Id");
        if (request.word(0) == "DELETE") {
            return socket.write(encodeMessage("HTTP/1.1 200 OK", {}, ""), nowMs() + 1000);
        }
        if (request.header("Apricotladder-Expected-Instance") != idOf(engine)) {
            return socket.write(encodeMessage("HTTP/1.1 421 Misdirected", {{"Apricotladder-Attempt-Id", id}}, ""), nowMs() + 1000);
        }
        const bool isDeadly = request.header("Apricotladder-Prefix-Hash").find(deadlyPart) != std::string::npos;
        const bool isPrefill = request.header("Apricotladder-Inference-Phase") == "prefill";
        if (isDeadly) {
            const std::lock_guard lock(m_mutex);
            m_deadlyArrivals.push_back(nowMs());
        }
        m_record.add("engine %s gets %s%s%s", idOf(engine).c_str(), id.c_str(), isPrefill ? " (prefill)" : "", isDeadly ? " (deadly)" : "");
        if (isPrefill) {
            sleepMs(10);
            const Json handle{{"kv-handle", "h" + id}, {"tokens", 1000}, {"version", 1}};
            return socket.write(
                encodeMessage("HTTP/1.1 200 OK", {{"Apricotladder-Attempt-Id", id}, {"Content-Type", "application/json"}}, handle.dump()),
                nowMs() + 1000);
        }
        return writeStream(engine, socket, id, isDeadly && m_hasTrouble);
    }

    bool writeStream(Engine &engine, Socket &socket, const std::string &id, bool crashes)
    {
        const int lifetime = engine.server->lifetime();
        sleepMs(eventIntervalMs);
        if (crashes && m_beforeFirstEvent) {
            recordCrash(engine, lifetime, id);
            return false;
        }
        bool isOpen = socket.write("HTTP/1.1 200 OK\r\nApricotladder-Attempt-Id: " + id
                                       + "\r\nApricotladder-Response-Signature: signed\r\nApricotladder-Weight-Versions: 1\r\n"
                                         "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                                   nowMs() + 1000);
        for (int i = 1; i <= eventCount && isOpen; ++i) {
            isOpen = !engine.server->isOver(lifetime)
                && socket.write(encodeChunk("id: " + std::to_string(i) + "\ndata: token\n\n"), nowMs() + 1000);
            if (crashes) {
                sleepMs(5); // The first event is on its way.
                recordCrash(engine, lifetime, id);
                return false;
            }
            sleepMs(eventIntervalMs);
        }
        if (!isOpen || engine.server->isOver(lifetime)) {
            socket.reset();
            return false;
        }
        return socket.write("0\r\n\r\n", nowMs() + 1000);
    }

    void recordCrash(Engine &engine, int lifetime, const std::string &id)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (engine.server->isOver(lifetime)) {
                return;
            }
            engine.server->stop();
            m_crashes.push_back(nowMs());
        }
        m_record.add("engine %s crashes on %s", idOf(engine).c_str(), id.c_str());
        restartLater(engine);
    }

    void sendRequests()
    {
        const std::int64_t start = nowMs();
        m_trafficStart = start;
        std::vector<std::thread> callers;
        for (std::int64_t i = 0; i * soundIntervalMs < trafficMs; ++i) {
            const std::int64_t at = i * soundIntervalMs;
            Node &node = *m_nodes[static_cast<std::size_t>(i) % m_nodes.size()];
            callers.emplace_back([this, i, &node] { sendStream("s" + std::to_string(i), node, soundPart); });
            if (at >= deadlyFromMs && at < deadlyUntilMs && at % deadlyIntervalMs == 0) {
                Node &other = *m_nodes[static_cast<std::size_t>(at / deadlyIntervalMs) % m_nodes.size()];
                callers.emplace_back([this, i, &other] { sendStream("d" + std::to_string(i), other, deadlyPart); });
            }
            sleepMs(start + at + soundIntervalMs - nowMs());
        }
        for (std::thread &caller : callers) {
            caller.join();
        }
    }

    void sendStream(const std::string &id, const Node &node, const std::string &part)
    {
        Sound result;
        result.sentMs = nowMs();
        const std::unique_ptr<Socket> socket = node.connectAsCaller(1000);
        std::string end = "no connection";
        if (socket) {
            socket->write(encodeMessage("POST /survey/" + id + " HTTP/1.1",
                                        {{"Host", "desk.example"},
                                         {"Apricotladder-Attempt-Id", id},
                                         {"Apricotladder-Model", "m"},
                                         {"Apricotladder-Token-Usage", "1000,70"},
                                         {"Apricotladder-Prefix-Hash", std::string(firstPart) + "," + part + "," + id + "ff:390"},
                                         {"Apricotladder-Deadline-Ms", std::to_string(budgetMs)}},
                                        "prompt"),
                          nowMs() + 1000);
            std::optional<Message> response = readHead(*socket, nowMs() + abandonMs);
            if (response) {
                end = response->startLine;
                const bool isWhole = readBody(*socket, &*response, nowMs() + abandonMs,
                                              [&](const std::string &) { result.begun = response->status() == 200; });
                end += isWhole ? ", whole" : ", broken off";
            } else {
                end = "no answer";
            }
        }
        m_record.add("caller %s at %s: %s after %lld ms", id.c_str(), node.name().c_str(), end.c_str(),
                     static_cast<long long>(nowMs() - result.sentMs));
        if (part == soundPart) {
            const std::lock_guard lock(m_mutex);
            m_sound.push_back(result);
        }
    }

    /// Returns how many of the sound requests that were sent from \a from to \a to there are, and how many have begun.
    std::pair<int, int> countSound(std::int64_t from, std::int64_t to) const
    {
        int sent = 0;
        int begun = 0;
        for (const Sound &it : m_sound) {
            const bool counts = it.sentMs >= from && it.sentMs < to;
            sent += counts ? 1 : 0;
            begun += counts && it.begun ? 1 : 0;
        }
        return {sent, begun};
    }

    int judge()
    {
        const std::lock_guard lock(m_mutex);
        std::sort(m_crashes.begin(), m_crashes.end());
        const auto [sentBefore, begunBefore] = countSound(m_trafficStart, m_trafficStart + deadlyFromMs - 100);
        m_record.add("crashes: %zu; sound requests before the first deadly one: %d sent, %d begun", m_crashes.size(), sentBefore,
                     begunBefore);
        if (m_crashes.size() < static_cast<std::size_t>(fifthCrash)) {
            m_record.add("held");
            return 0;
        }
        const std::int64_t fifth = m_crashes[fifthCrash - 1];
        const auto late = std::count_if(m_deadlyArrivals.begin(), m_deadlyArrivals.end(),
                                        [&](std::int64_t at) { return at > fifth + stabilityWindowMs; });
        const auto [sentAfter, begunAfter] = countSound(fifth + 2 * stabilityWindowMs, m_trafficStart + deadlyUntilMs);
        m_record.add("deadly requests that reached engines later than %lld ms after the fifth crash: %d (at most %d are allowed)",
                     static_cast<long long>(stabilityWindowMs), static_cast<int>(late), mostDeadlyAfterFifthCrash);
        m_record.add("sound requests from %lld ms after the fifth crash: %d sent, %d begun", static_cast<long long>(2 * stabilityWindowMs),
                     sentAfter, begunAfter);
        const bool hasLost = sentBefore >= minSoundRequests && sentAfter >= minSoundRequests
            && 2.0 * begunAfter / sentAfter < static_cast<double>(begunBefore) / sentBefore;
        m_record.add("LOST: %s; BUDGET: %s", hasLost ? "BROKEN" : "held", late > mostDeadlyAfterFifthCrash ? "BROKEN" : "held");
        return hasLost ? 1 : 0;
    }

    bool m_hasTrouble;
    bool m_beforeFirstEvent;
    Record m_record;
    std::string m_directory;
    Store m_store;
    NodePorts m_ports;
    std::vector<std::unique_ptr<Engine>> m_engines;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::atomic<std::int64_t> m_trafficStart{0};
    std::mutex m_mutex;
    std::vector<std::int64_t> m_crashes;
    std::vector<std::int64_t> m_deadlyArrivals;
    std::vector<Sound> m_sound;
};

}

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (argc != 2) {
        return 2;
    }
    const char *trouble = std::getenv("TROUBLE");
    Run run(argv[1], trouble == nullptr || std::string(trouble) != "0", std::getenv("BEFORE_FIRST_EVENT") != nullptr);
    const int result = run.play();
    std::fflush(nullptr);
    std::_Exit(result);
}
