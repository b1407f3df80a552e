// One entry node and a model service with two decode engines. The operator sends the node SIGHUP. Beside that, the engine of each stream
// falls silent once, as a sound engine may, and goes on. The other engine is full. Do the streams reach their end?
//
// usage: stall RECORD

#include "deployment.h"

namespace {

constexpr int rounds = 12;
constexpr std::int64_t roundMs = 6000;
constexpr std::int64_t sendAfterHupMs = 500;
constexpr std::int64_t configApplyMs = 2000; // requests sent up to this long after SIGHUP are judged
constexpr int eventCount = 10;
constexpr int eventsBeforeSilence = 4;
constexpr std::int64_t eventIntervalMs = 100;
constexpr std::int64_t silenceMs = 1600;
constexpr int budgetMs = 14000;
constexpr std::int64_t abandonMs = 8000; // four times the objective

class Run
{
public:
    Run(const std::string &recordPath, bool hasTrouble)
        : m_hasTrouble(hasTrouble)
        , m_record(recordPath)
        , m_directory(makeTemporaryDirectory())
        , m_node(0, m_directory, m_ports, m_store.openPort())
    {
    }

    int play()
    {
        addEngine("p-1", "prefill");
        addEngine("d-sound", "decode");
        addEngine("d-full", "decode");
        Json route = streamRoute("survey-free", "/survey/", true, 2);
        route["target-latency-ms"] = 2000;
        route["priority"] = 2;
        m_store.put("config", "main", desiredState(3, Json::array({route})));
        m_node.writeSettings({Node::seed(0, m_ports)});
        m_node.start();
        const bool ready = eventually(10000, [this] { return m_node.isReady(); });
        sleepMs(4000);
        for (int i = 0; ready && i < rounds; ++i) {
            playRound(i);
        }
        m_node.end();
        [[maybe_unused]] const int rc = std::system(("rm -r " + m_directory).c_str());
        if (!ready || m_begun == 0) {
            return 2;
        }
        m_record.add("streams that were passed on to the sound engine: %d; cut though it had not broken off: %d", m_begun, m_cut);
        m_record.add(m_cut > 0 ? "BROKEN" : "held");
        return m_cut > 0 ? 1 : 0;
    }

private:
    void addEngine(const std::string &id, const std::string &phase)
    {
        m_engines.push_back(std::make_unique<Server>(
            freePort(), [this, id](Socket &socket, const Message &request) { return answer(id, socket, request); }));
        m_store.put("servers", id, engineEntry("summarizer", m_engines.back()->port(), phase, 32, 1700000000000));
    }

    bool answer(const std::string &engine, Socket &socket, const Message &request)
    {
        const std::string id = request.header("Apricotladder-Attempt-Id");
        if (request.word(0) == "DELETE") {
            return socket.write(encodeMessage("HTTP/1.1 200 OK", {}, ""), nowMs() + 1000);
        }
        if (request.header("Apricotladder-Inference-Phase") == "prefill") {
            const Json handle{{"kv-handle", "h" + id}, {"tokens", 1000}, {"version", 1}};
            return socket.write(
                encodeMessage("HTTP/1.1 200 OK", {{"Apricotladder-Attempt-Id", id}, {"Content-Type", "application/json"}}, handle.dump()),
                nowMs() + 1000);
        }
        const std::string after = request.header("Last-Event-Id");
        if (engine == "d-full") {
            m_record.add("engine %s is full and does not run %s%s%s", engine.c_str(), id.c_str(), after.empty() ? "" : " after event ",
                         after.c_str());
            return socket.write(
                encodeMessage("HTTP/1.1 503 Full", {{"Apricotladder-Attempt-Id", id}, {"Apricotladder-Not-Executed", "1"}}, ""),
                nowMs() + 1000);
        }
        m_record.add("engine %s runs %s%s%s", engine.c_str(), id.c_str(), after.empty() ? "" : " after event ", after.c_str());
        return writeStream(socket, id, std::atoi(after.c_str()));
    }

    bool writeStream(Socket &socket, const std::string &id, int after)
    {
        bool isOpen = socket.write("HTTP/1.1 200 OK\r\nApricotladder-Attempt-Id: " + id
                                       + "\r\nApricotladder-Response-Signature: signed\r\nApricotladder-Weight-Versions: 1\r\n"
                                         "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                                   nowMs() + 1000);
        for (int i = after + 1; i <= eventCount && isOpen; ++i) {
            const bool fallsSilent = m_hasTrouble && after == 0 && i == eventsBeforeSilence + 1;
            sleepMs(fallsSilent ? silenceMs : eventIntervalMs);
            isOpen
                = !socket.isClosedByPeer() && socket.write(encodeChunk("id: " + std::to_string(i) + "\ndata: token\n\n"), nowMs() + 1000);
        }
        isOpen = isOpen && socket.write("0\r\n\r\n", nowMs() + 1000);
        m_record.add("engine d-sound %s %s", isOpen ? "has written the whole answer to" : "finds its connection closed by the node for",
                     id.c_str());
        return isOpen;
    }

    void playRound(int number)
    {
        const std::int64_t start = nowMs();
        m_node.signalProcess(SIGHUP);
        const std::int64_t hupMs = nowMs();
        m_record.add("SIGHUP");
        sleepMs(sendAfterHupMs);
        const std::string id = "r" + std::to_string(number);
        const std::int64_t sentMs = nowMs();
        const std::unique_ptr<Socket> socket = m_node.connectAsCaller(1000);
        if (!socket) {
            return;
        }
        socket->write(encodeMessage("POST /survey/" + id + " HTTP/1.1",
                                    {{"Host", "desk.example"},
                                     {"Apricotladder-Attempt-Id", id},
                                     {"Apricotladder-Model", "m"},
                                     {"Apricotladder-Token-Usage", "1000,70"},
                                     {"Apricotladder-Prefix-Hash", "5c1e07a2:200," + id + "ff:800"},
                                     {"Apricotladder-Deadline-Ms", std::to_string(budgetMs)}},
                                    "prompt"),
                      nowMs() + 1000);
        std::optional<Message> response = readHead(*socket, nowMs() + abandonMs);
        const bool isStream = response && response->status() == 200;
        const bool isWhole = response && readBody(*socket, &*response, nowMs() + abandonMs);
        const bool isCut = isStream && !isWhole && !socket->timedOut() && sentMs - hupMs <= configApplyMs;
        m_begun += isStream ? 1 : 0;
        m_cut += isCut ? 1 : 0;
        m_record.add("caller %s: %s, %s after %lld ms, %lld bytes", id.c_str(), response ? response->startLine.c_str() : "no answer",
                     isWhole ? "whole" : "cut", static_cast<long long>(nowMs() - sentMs),
                     static_cast<long long>(response ? response->body.size() : 0));
        sleepMs(start + roundMs - nowMs());
    }

    bool m_hasTrouble;
    Record m_record;
    std::string m_directory;
    Store m_store;
    NodePorts m_ports;
    Node m_node;
    std::vector<std::unique_ptr<Server>> m_engines;
    int m_begun = 0;
    int m_cut = 0;
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
