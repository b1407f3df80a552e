// Case: many clients send long bodies at once, most stopping just short of their end. The node stops reading them, and what it has received
// and not read counts toward the memory of its machine.

#include "bed.h"

#include <cstring>
#include <sys/resource.h>

using namespace Review;

namespace {

/// memory-mb, file-descriptors and link-mbps of the machine, and max-body-bytes of the desired state.
constexpr std::int64_t memoryBytes = 110'000'000;
constexpr rlim_t descriptors = 4100;
constexpr double linkBytesPerMs = 125'000;
constexpr std::size_t bodyBytes = 4'000'000;

constexpr std::size_t crowdSize = 600;
constexpr std::size_t calmSize = 3;
constexpr std::size_t heldBackBytes = 1024;
constexpr int nodeCount = 2;
constexpr int crowdsPerNode = 3;
constexpr double crowdMs = 6000;
constexpr double loadMs = 70000;

/// A client that sends a long body, as fast as the node reads, up to \a stopsShort bytes before its end.
struct Client
{
    int channel = -1;
    std::string unsentHead;
    std::size_t sent = 0;
    std::size_t length = 0;

    void open(const Node &node, int number, std::size_t stopsShort)
    {
        channel = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        const std::string callers = node.callers();
        const std::size_t colon = callers.find(':');
        inet_pton(AF_INET, callers.substr(0, colon).c_str(), &address.sin_addr);
        address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(callers.substr(colon + 1))));
        (void)connect(channel, reinterpret_cast<sockaddr *>(&address), sizeof(address));
        unsentHead = "POST /book/x HTTP/1.1\r\nHost: h.example\r\nApricotladder-Attempt-Id: a-" + std::to_string(number)
            + "\r\nApricotladder-Deadline-Ms: 10000\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
        length = bodyBytes - stopsShort;
    }

    /// Sends what the system takes; returns whether it took anything.
    bool sendSome()
    {
        static const std::string part(16 * 1024, 'x');
        if (channel < 0) {
            return false;
        }
        if (!unsentHead.empty()) {
            const ssize_t n = send(channel, unsentHead.data(), unsentHead.size(), MSG_NOSIGNAL);
            if (n > 0) {
                unsentHead.erase(0, static_cast<std::size_t>(n));
            }
            return n > 0;
        }
        const std::size_t left = std::min(part.size(), length - sent);
        const ssize_t n = left == 0 ? 0 : send(channel, part.data(), left, MSG_NOSIGNAL);
        if (n < 0 && errno != EAGAIN) {
            close(channel);
            channel = -1;
        }
        sent += n > 0 ? static_cast<std::size_t>(n) : 0;
        return n > 0;
    }
};

/// Bytes that the node's callers have sent and that it has received and not read, and the number of their channels.
std::pair<std::int64_t, int> unreadBytes(const std::string &callers)
{
    const std::size_t colon = callers.find(':');
    in_addr ip{};
    inet_pton(AF_INET, callers.substr(0, colon).c_str(), &ip);
    char key[32];
    std::snprintf(key, sizeof(key), "%08X:%04X", ip.s_addr, static_cast<unsigned>(std::stoi(callers.substr(colon + 1))));
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::int64_t bytes = 0;
    int channels = 0;
    while (std::getline(table, line)) {
        char local[64];
        char remote[64];
        unsigned state = 0;
        unsigned long unsentBytes = 0;
        unsigned long received = 0;
        if (std::sscanf(line.c_str(), " %*d: %63s %63s %x %lx:%lx", local, remote, &state, &unsentBytes, &received) == 5
            && std::strcmp(local, key) == 0 && state == 1) {
            bytes += static_cast<std::int64_t>(received);
            ++channels;
        }
    }
    return {bytes, channels};
}

/// Lets \a count clients send to \a node until it is killed or some seconds have passed; returns the bytes sent, or -1 if a client could
/// not be opened.
std::int64_t sendCrowd(Node &node, std::size_t count, MemoryGuard &guard, Record &record)
{
    std::vector<Client> clients(count);
    for (std::size_t i = 0; i < count; ++i) {
        clients[i].open(node, static_cast<int>(i), hasTrouble() ? heldBackBytes : 0);
        if (clients[i].channel < 0) {
            return -1;
        }
    }
    record.line("%zu clients open a channel each to %s and send bodies of %zu bytes", count, node.name().c_str(), bodyBytes);
    const double begin = nowMs();
    double nextCheck = begin;
    double nextLine = begin;
    double sent = 0;
    std::size_t first = 0; // The clients take turns at the link.
    bool isKilled = false;
    while (nowMs() < begin + crowdMs && !isKilled) {
        bool hasSent = false;
        ++first;
        for (std::size_t i = 0; i < clients.size() && sent <= (nowMs() - begin) * linkBytesPerMs; ++i) {
            Client &it = clients[(first + i) % clients.size()];
            const std::size_t before = it.sent;
            hasSent = it.sendSome() || hasSent;
            sent += static_cast<double>(it.sent - before);
        }
        if (!hasSent) {
            sleepMs(5);
        }
        if (nowMs() < nextCheck) {
            continue;
        }
        nextCheck = nowMs() + 50;
        const auto [unread, channels] = unreadBytes(node.callers());
        if (nowMs() > nextLine) {
            nextLine = nowMs() + 500;
            record.line("%s holds %lld KB; %lld KB on %d channels are received and not read", node.name().c_str(),
                        static_cast<long long>(node.memory("VmRSS") / 1000), static_cast<long long>(unread / 1000), channels);
        }
        isKilled = guard.check(node, unread);
    }
    for (Client &it : clients) {
        if (it.channel >= 0) {
            close(it.channel);
        }
    }
    return static_cast<std::int64_t>(sent);
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
    store.put("config", "main",
              Json{{"version", 3},
                   {"routes", Json::array({routeJson("/book/", "non_idempotent", "desk", 1, 10000, 1000)})},
                   {"services", Json::array({Json{{"name", "desk"}}})},
                   {"limits", limitsJson()}});
    Apricot::PlatformEngineStandIn engine(
        "i-1", [&](Apricot::EventLoop &, const Apricot::HttpServerConnection::Ptr &connection, const Apricot::ReceivedRequest &request) {
            record.line("%s runs", request.header("Apricotladder-Attempt-Id").c_str());
            Apricot::PlatformEngineStandIn::respondSigned(connection, request, 200, "done");
        });
    store.put("servers", "i-1", engineJson(engine.address(), "desk", "z1", "", 32, "ready", 1000));
    std::vector<std::unique_ptr<Node>> nodes;
    for (int i = 0; i < nodeCount; ++i) {
        nodes.push_back(std::make_unique<Node>("edge-" + std::to_string(i + 1), "z1", i + 1, folder.path()));
    }
    rlimit own{};
    getrlimit(RLIMIT_NOFILE, &own);
    const rlimit lowered{descriptors, own.rlim_max};
    setrlimit(RLIMIT_NOFILE, &lowered); // The processes inherit it, later ones too.
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
    const std::size_t count = hasTrouble() ? crowdSize : calmSize;
    MemoryGuard guard(memoryBytes, record);
    const double end = nowMs() + loadMs;
    std::int64_t total = 0;
    for (const auto &node : nodes) {
        // One machine after the other, with a new crowd whenever its process has started.
        int crowds = 0;
        while (nowMs() < end && crowds < crowdsPerNode && waitUntil(end - nowMs(), [&] {
                   guard.check(*node, 0);
                   return isReady(node);
               })) {
            ++crowds;
            const std::int64_t sent = sendCrowd(*node, count, guard, record);
            if (sent < 0) {
                record.result("could not run: no descriptor for a client");
                return exitCouldNotRun;
            }
            total += sent;
        }
    }
    record.result("the clients have sent " + std::to_string(total / 1000) + " KB; " + guard.summary(nodes));
    return guard.isFault(nodes) ? exitBroken : exitHeld;
}
