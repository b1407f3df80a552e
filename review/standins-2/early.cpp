// Case: an engine rejects long requests before they are in, keeps the channel and reads on slowly. The node has answered its client and
// counts nothing of the request any more, but holds the rest of the body until the engine has read it.

#include "bed.h"

#include "transport/httpparser.h"

#include <netinet/tcp.h>
#include <poll.h>

using namespace Review;

namespace {

/// memory-mb of the machine, and max-body-bytes of the desired state.
constexpr std::int64_t memoryBytes = 110'000'000;
constexpr std::size_t bodyBytes = 4'000'000;

constexpr int nodeCount = 2;
constexpr int clientsPerNode = 2;
constexpr int engineCount = 5;
constexpr int earlyCount = 3; ///< a share of 0.6
constexpr double pauseMs = 350; ///< between an answer and the next request of a client
constexpr double loadMs = 75000;

/// How fast an engine reads on after its answer, on each channel.
constexpr std::size_t readBytes = 64 * 1024;
constexpr double readIntervalMs = 500;

/// An engine that rejects a long request once it has read its head, or else reads the whole request first.
class EarlyEngine
{
public:
    EarlyEngine(std::string id, bool isEarly, Record &record)
        : m_id(std::move(id))
        , m_isEarly(isEarly)
        , m_record(record)
    {
        m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int buffer = 64 * 1024; // "Small windows": a peer that does not read blocks the writer.
        setsockopt(m_listener, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof(buffer));
        sockaddr_in address{};
        address.sin_family = AF_INET;
        inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
        bind(m_listener, reinterpret_cast<sockaddr *>(&address), sizeof(address));
        listen(m_listener, 256);
        socklen_t length = sizeof(address);
        getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &length);
        m_address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
        m_acceptor = std::thread([this] { accept(); });
    }

    ~EarlyEngine()
    {
        m_isOver = true;
        shutdown(m_listener, SHUT_RDWR);
        m_acceptor.join();
        for (std::thread &it : m_channels) {
            it.join();
        }
        close(m_listener);
    }

    const std::string &address() const
    {
        return m_address;
    }
    int answered() const
    {
        return m_answered;
    }

private:
    void accept()
    {
        while (!m_isOver) {
            const int channel = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (channel >= 0) {
                m_channels.emplace_back([this, channel] { serve(channel); });
            }
        }
    }

    static std::string headerOf(const std::string &head, const std::string &name)
    {
        const std::size_t at = head.find("\r\n" + name + ": ");
        if (at == std::string::npos) {
            return {};
        }
        const std::size_t begin = at + name.size() + 4;
        return head.substr(begin, head.find("\r\n", begin) - begin);
    }

    /// Waits for input; returns the number of bytes read, 0 at the end of the channel.
    ssize_t readSome(int channel, char *buf, std::size_t size)
    {
        pollfd wait{channel, POLLIN, 0};
        while (!m_isOver) {
            if (poll(&wait, 1, 100) > 0) {
                return recv(channel, buf, size, 0);
            }
        }
        return 0;
    }

    void serve(int channel)
    {
        std::vector<char> buf(readBytes);
        std::string input;
        while (!m_isOver) {
            std::size_t end = input.find("\r\n\r\n");
            while (end == std::string::npos) {
                const ssize_t n = readSome(channel, buf.data(), 4096);
                if (n <= 0) {
                    close(channel);
                    return;
                }
                input.append(buf.data(), static_cast<std::size_t>(n));
                end = input.find("\r\n\r\n");
            }
            const std::string head = input.substr(0, end + 2);
            const std::string length = headerOf(head, "Content-Length");
            std::size_t left = length.empty() ? 0 : std::stoul(length);
            const std::size_t have = std::min(left, input.size() - end - 4);
            input.erase(0, end + 4 + have);
            left -= have;
            if (!m_isEarly) {
                left = discard(channel, buf, left, 0);
            }
            const std::string body = "done";
            const std::string answer = std::string("HTTP/1.1 ") + (m_isEarly && left > 0 ? "422 Unprocessable Entity" : "200 OK")
                + "\r\nContent-Type: text/plain\r\nApricotladder-Attempt-Id: " + headerOf(head, "Apricotladder-Attempt-Id")
                + "\r\nApricotladder-Response-Signature: signed\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
            send(channel, answer.data(), answer.size(), MSG_NOSIGNAL);
            m_record.line("%s %s %s", m_id.c_str(), m_isEarly ? "rejects" : "has run", headerOf(head, "Apricotladder-Attempt-Id").c_str());
            ++m_answered;
            if (discard(channel, buf, left, readIntervalMs) > 0) {
                close(channel);
                return;
            }
        }
        close(channel);
    }

    /// Reads the rest of a body; returns what is missing when the channel ends.
    std::size_t discard(int channel, std::vector<char> &buf, std::size_t left, double intervalMs)
    {
        while (left > 0 && !m_isOver) {
            const ssize_t n = readSome(channel, buf.data(), std::min(buf.size(), left));
            if (n <= 0) {
                break;
            }
            left -= static_cast<std::size_t>(n);
            sleepMs(intervalMs);
        }
        return left;
    }

    std::string m_id;
    bool m_isEarly;
    Record &m_record;
    int m_listener = -1;
    std::string m_address;
    std::atomic<bool> m_isOver{false};
    std::atomic<int> m_answered{0};
    std::thread m_acceptor;
    std::vector<std::thread> m_channels;
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
                   {"routes", Json::array({routeJson("/book/", "non_idempotent", "desk", 1, 10000, 1000)})},
                   {"services", Json::array({Json{{"name", "desk"}}})},
                   {"limits", limitsJson()}});
    std::vector<std::unique_ptr<EarlyEngine>> engines;
    for (int i = 0; i < engineCount; ++i) {
        const std::string id = "i-" + std::to_string(i + 1);
        engines.push_back(std::make_unique<EarlyEngine>(id, hasTrouble() && i < earlyCount, record));
        store.put("servers", id, engineJson(engines.back()->address(), "desk", "z1", "", 32, "ready", 1000));
    }
    const auto answeredByEngines = [&] {
        int n = 0;
        for (const auto &engine : engines) {
            n += engine->answered();
        }
        return n;
    };
    std::vector<std::unique_ptr<Node>> nodes;
    for (int i = 0; i < nodeCount; ++i) {
        nodes.push_back(std::make_unique<Node>("edge-" + std::to_string(i + 1), "z1", i + 1, folder.path()));
    }
    for (const auto &node : nodes) {
        node->writeSettings(store.address(), {nodes[0]->seed(), nodes[1]->seed()}, NodeSettings());
        node->start();
    }
    const auto isReady = [](const auto &node) {
        return fetch(node->ready(), "/readyz").status == 200;
    };
    if (!waitUntil(15000, [&] { return std::all_of(nodes.begin(), nodes.end(), isReady); })) {
        record.result("could not run: the nodes are not ready");
        return exitCouldNotRun;
    }
    sleepMs(2000);
    std::atomic<bool> isOver{false};
    std::atomic<int> answered{0};
    std::vector<std::thread> clients;
    const std::string body(bodyBytes, 'x');
    for (int i = 0; i < nodeCount * clientsPerNode; ++i) {
        clients.emplace_back([&, i] {
            const Node &node = *nodes[static_cast<std::size_t>(i % nodeCount)];
            for (int n = 0; !isOver; ++n) {
                Apricot::HttpCall call;
                call.method = "POST";
                call.url = "http://" + node.callers() + "/book/x";
                const std::string id = "a-" + std::to_string(i) + "-" + std::to_string(n);
                call.headers = {{"Host", "h.example"}, {"Apricotladder-Attempt-Id", id}, {"Apricotladder-Deadline-Ms", "10000"}};
                call.body = body;
                call.timeout = absl::Seconds(10);
                call.dedicatedConnection = true;
                const int status = Apricot::HttpClient::call(call).status;
                answered += status == 200 || status == 422 ? 1 : 0;
                record.line("sent %s with %zu bytes to %s, answered %d", id.c_str(), body.size(), node.name().c_str(), status);
                sleepMs(pauseMs);
            }
        });
    }
    // The platform kills a process that exceeds its memory, and starts it again after a short delay.
    MemoryGuard guard(memoryBytes, record);
    const double begin = nowMs();
    double nextLine = begin;
    while (nowMs() < begin + loadMs && !guard.isFault(nodes)) {
        for (const auto &node : nodes) {
            guard.check(*node, 0);
        }
        if (nowMs() > nextLine) {
            nextLine += 1000;
            record.line("the processes hold %lld and %lld KB, the engines have answered %d requests",
                        static_cast<long long>(nodes[0]->memory("VmRSS") / 1000), static_cast<long long>(nodes[1]->memory("VmRSS") / 1000),
                        answeredByEngines());
        }
        sleepMs(20);
    }
    const double ended = nowMs() - begin;
    isOver = true;
    for (std::thread &it : clients) {
        it.join();
    }
    record.result("within " + std::to_string(static_cast<int>(ended)) + " ms and " + std::to_string(answered) + " answered requests "
                  + guard.summary(nodes));
    if (answered < 10) {
        return exitCouldNotRun;
    }
    return guard.isFault(nodes) ? exitBroken : exitHeld;
}
