// One entry node and a model service. An engine in trouble answers some streaming requests with a success that lacks its signature and
// the id of the request. Does the caller get it as a success?
//
// usage: unsigned RECORD

#include "deployment.h"

namespace {

constexpr int requestCount = 60;
constexpr int troubledFrom = 20; // request from which the trouble begins
constexpr std::int64_t requestIntervalMs = 150;
constexpr int budgetMs = 14000;

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
        addEngine("d-1", "decode");
        addEngine("d-2", "decode");
        m_store.put("config", "main", desiredState(3, Json::array({streamRoute("survey", "/survey/", false, 1)})));
        m_node.writeSettings({Node::seed(0, m_ports)});
        m_node.start();
        const bool ready = eventually(10000, [this] { return m_node.isReady(); });
        sleepMs(4000);
        for (int i = 0; ready && i < requestCount; ++i) {
            send(i);
            sleepMs(requestIntervalMs);
        }
        m_node.end();
        [[maybe_unused]] const int rc = std::system(("rm -r " + m_directory).c_str());
        if (!ready) {
            return 2;
        }
        m_record.add("successes without a signature: %d", m_unsigned);
        m_record.add(m_unsigned > 0 ? "BROKEN" : "held");
        return m_unsigned > 0 ? 1 : 0;
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
        const bool isFaulty = m_hasTrouble && engine == "d-1" && std::atoi(id.c_str() + 1) >= troubledFrom;
        m_record.add("engine %s runs %s%s", engine.c_str(), id.c_str(), isFaulty ? " and answers 202 without a signature" : "");
        if (isFaulty) {
            return socket.write(encodeMessage("HTTP/1.1 202 Accepted", {}, "busy"), nowMs() + 1000);
        }
        return socket.write("HTTP/1.1 200 OK\r\nApricotladder-Attempt-Id: " + id
                                + "\r\nApricotladder-Response-Signature: signed\r\nContent-Type: text/event-stream\r\n"
                                  "Transfer-Encoding: chunked\r\n\r\n"
                                + encodeChunk("id: 1\ndata: token\n\n") + encodeChunk("id: 2\ndata: token\n\n") + "0\r\n\r\n",
                            nowMs() + 1000);
    }

    void send(int number)
    {
        const std::string id = "r" + std::to_string(number);
        const std::unique_ptr<Socket> socket = m_node.connectAsCaller(1000);
        if (!socket) {
            return;
        }
        const std::int64_t deadline = nowMs() + budgetMs;
        socket->write(encodeMessage("POST /survey/" + id + " HTTP/1.1",
                                    {{"Host", "desk.example"},
                                     {"Apricotladder-Attempt-Id", id},
                                     {"Apricotladder-Model", "m"},
                                     {"Apricotladder-Token-Usage", "1000,70"},
                                     {"Apricotladder-Prefix-Hash", "5c1e07a2:200," + id + "ff:800"},
                                     {"Apricotladder-Deadline-Ms", std::to_string(budgetMs)}},
                                    "prompt"),
                      deadline);
        std::optional<Message> response = readHead(*socket, deadline);
        if (!response || !readBody(*socket, &*response, deadline)) {
            m_record.add("caller %s: no whole answer", id.c_str());
            return;
        }
        const bool isSuccess = response->status() >= 200 && response->status() < 300;
        const bool isSigned = !response->header("Apricotladder-Response-Signature").empty();
        m_unsigned += isSuccess && !isSigned ? 1 : 0;
        m_record.add("caller %s: %d, %s, body \"%s\"", id.c_str(), response->status(), isSigned ? "signed" : "without a signature",
                     response->body.substr(0, 20).c_str());
    }

    bool m_hasTrouble;
    Record m_record;
    std::string m_directory;
    Store m_store;
    NodePorts m_ports;
    Node m_node;
    std::vector<std::unique_ptr<Server>> m_engines;
    int m_unsigned = 0;
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
