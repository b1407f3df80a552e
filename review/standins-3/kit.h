// Stand-ins for the review's scripts: a record, an HTTP server and client on blocking sockets, the platform's store, engines, and
// the processes of the system. One header, so that each case is one small program.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <dirent.h>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace kit {

using Json = nlohmann::json;

/// Seconds since the start of the program, on the steady clock.
inline double now()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

inline void sleepFor(double seconds)
{
    if (seconds > 0) {
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    }
}

inline void sleepUntil(double time)
{
    sleepFor(time - now());
}

/// Writes record.txt; each line begins with the time.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(fopen(path.c_str(), "w"))
    {
    }

    void line(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        fprintf(m_file, "%8.3f  ", now());
        va_list arguments;
        va_start(arguments, format);
        vfprintf(m_file, format, arguments);
        va_end(arguments);
        fputc('\n', m_file);
        fflush(m_file);
    }

private:
    std::mutex m_mutex;
    FILE *m_file;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

struct Message
{
    std::string first; ///< request line or status line
    Headers headers;
    std::string body;

    std::string header(const char *name) const
    {
        for (const auto &it : headers) {
            if (strcasecmp(it.first.c_str(), name) == 0) {
                return it.second;
            }
        }
        return {};
    }
    std::string method() const
    {
        return first.substr(0, first.find(' '));
    }
    std::string target() const
    {
        const std::size_t a = first.find(' ') + 1;
        return first.substr(a, first.find(' ', a) - a);
    }
    int status() const
    {
        return first.size() > 12 ? atoi(first.c_str() + 9) : 0;
    }
};

inline sockaddr_in address(const std::string &ip, int port)
{
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &a.sin_addr);
    return a;
}

inline int listenOn(const std::string &ip, int port, int *chosen)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    sockaddr_in a = address(ip, port);
    if (bind(fd, reinterpret_cast<sockaddr *>(&a), sizeof(a)) != 0 || listen(fd, 1024) != 0) {
        close(fd);
        return -1;
    }
    socklen_t n = sizeof(a);
    getsockname(fd, reinterpret_cast<sockaddr *>(&a), &n);
    *chosen = ntohs(a.sin_port);
    return fd;
}

/// Returns a port that is free on \a ip for TCP and UDP.
inline int freePort(const std::string &ip)
{
    for (;;) {
        int port = 0;
        const int fd = listenOn(ip, 0, &port);
        const int udp = socket(AF_INET, SOCK_DGRAM, 0);
        sockaddr_in a = address(ip, port);
        const bool isFree = fd >= 0 && bind(udp, reinterpret_cast<sockaddr *>(&a), sizeof(a)) == 0;
        close(udp);
        if (fd >= 0) {
            close(fd);
        }
        if (isFree) {
            return port;
        }
    }
}

/// Connects within \a seconds; -1 if that fails.
inline int connectTo(const std::string &ip, int port, double seconds = 1)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in a = address(ip, port);
    if (connect(fd, reinterpret_cast<sockaddr *>(&a), sizeof(a)) != 0) {
        pollfd p{fd, POLLOUT, 0};
        int error = 0;
        socklen_t n = sizeof(error);
        if (errno != EINPROGRESS || poll(&p, 1, static_cast<int>(seconds * 1000)) <= 0
            || getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &n) != 0 || error != 0) {
            close(fd);
            return -1;
        }
    }
    fcntl(fd, F_SETFL, 0);
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    return fd;
}

inline bool sendAll(int fd, const std::string &bytes)
{
    std::size_t at = 0;
    while (at < bytes.size()) {
        const ssize_t n = send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        at += static_cast<std::size_t>(n);
    }
    return true;
}

/// How reading from a channel ended.
enum class ReadEnd { Good, Closed, Reset, TimedOut };

inline const char *readEndName(ReadEnd end)
{
    switch (end) {
    case ReadEnd::Good:
        return "good";
    case ReadEnd::Closed:
        return "closed";
    case ReadEnd::Reset:
        return "reset";
    case ReadEnd::TimedOut:
        return "timed out";
    }
    return "";
}

/// One channel, with the bytes that were read beyond the last message.
class Channel
{
public:
    explicit Channel(int fd)
        : m_fd(fd)
    {
    }
    ~Channel()
    {
        if (m_fd >= 0) {
            close(m_fd);
        }
    }
    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;

    int fd() const
    {
        return m_fd;
    }
    bool write(const std::string &bytes)
    {
        return sendAll(m_fd, bytes);
    }
    /// Resets the channel instead of closing it in order.
    void reset()
    {
        const linger l{1, 0};
        setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
        close(m_fd);
        m_fd = -1;
    }
    /// Whether the peer has closed or reset the channel.
    bool isClosedByPeer() const
    {
        char c = 0;
        const ssize_t n = recv(m_fd, &c, 1, MSG_PEEK | MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno != EAGAIN);
    }

    ReadEnd readMore(double deadline)
    {
        pollfd p{m_fd, POLLIN, 0};
        const double left = deadline - now();
        if (left <= 0 || poll(&p, 1, static_cast<int>(left * 1000) + 1) <= 0) {
            return ReadEnd::TimedOut;
        }
        char buf[65536];
        const ssize_t n = recv(m_fd, buf, sizeof(buf), 0);
        if (n > 0) {
            m_bytes.append(buf, static_cast<std::size_t>(n));
            return ReadEnd::Good;
        }
        return n == 0 ? ReadEnd::Closed : ReadEnd::Reset;
    }

    ReadEnd readHead(Message *message, double deadline)
    {
        std::size_t end = 0;
        while ((end = m_bytes.find("\r\n\r\n")) == std::string::npos) {
            const ReadEnd it = readMore(deadline);
            if (it != ReadEnd::Good) {
                return it;
            }
        }
        std::istringstream in(m_bytes.substr(0, end));
        m_bytes.erase(0, end + 4);
        std::string text;
        std::getline(in, text);
        message->first = text.substr(0, text.find('\r'));
        message->headers.clear();
        message->body.clear();
        while (std::getline(in, text)) {
            text = text.substr(0, text.find('\r'));
            const std::size_t colon = text.find(':');
            const std::size_t value = text.find_first_not_of(' ', colon + 1);
            message->headers.emplace_back(text.substr(0, colon), value == std::string::npos ? "" : text.substr(value));
        }
        return ReadEnd::Good;
    }

    ReadEnd readBytes(std::size_t n, std::string *out, double deadline)
    {
        while (m_bytes.size() < n) {
            const ReadEnd it = readMore(deadline);
            if (it != ReadEnd::Good) {
                return it;
            }
        }
        out->append(m_bytes, 0, n);
        m_bytes.erase(0, n);
        return ReadEnd::Good;
    }

    /// Reads the body; calls \a onPart, if there is one, after each chunk.
    ReadEnd readBody(Message *message, double deadline, const std::function<void()> &onPart = nullptr)
    {
        if (strcasecmp(message->header("Transfer-Encoding").c_str(), "chunked") != 0) {
            return readBytes(static_cast<std::size_t>(atoll(message->header("Content-Length").c_str())), &message->body, deadline);
        }
        for (;;) {
            std::size_t eol = 0;
            while ((eol = m_bytes.find("\r\n")) == std::string::npos) {
                const ReadEnd it = readMore(deadline);
                if (it != ReadEnd::Good) {
                    return it;
                }
            }
            const std::size_t n = strtoull(m_bytes.c_str(), nullptr, 16);
            m_bytes.erase(0, eol + 2);
            std::string part;
            const ReadEnd it = readBytes(n + 2, &part, deadline);
            if (it != ReadEnd::Good) {
                return it;
            }
            if (n == 0) {
                return ReadEnd::Good;
            }
            message->body.append(part, 0, n);
            if (onPart) {
                onPart();
            }
        }
    }

    ReadEnd readMessage(Message *message, double deadline)
    {
        const ReadEnd it = readHead(message, deadline);
        return it == ReadEnd::Good ? readBody(message, deadline) : it;
    }

private:
    int m_fd;
    std::string m_bytes;
};

inline std::string encode(const std::string &first, const Headers &headers, const std::string &body)
{
    std::string text = first + "\r\n";
    for (const auto &it : headers) {
        text += it.first + ": " + it.second + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string chunk(const std::string &data)
{
    char size[32];
    snprintf(size, sizeof(size), "%zx\r\n", data.size());
    return size + data + "\r\n";
}

/// A server with one thread for each channel. The handler answers one request and returns whether the channel stays open.
class Server
{
public:
    using Handler = std::function<bool(Channel &, const Message &)>;

    Server(const std::string &ip, Handler handler)
        : m_ip(ip)
        , m_handler(std::move(handler))
        , m_fd(listenOn(ip, 0, &m_port))
    {
        std::thread([this] { acceptAll(); }).detach();
    }

    std::string addressText() const
    {
        return m_ip + ":" + std::to_string(m_port);
    }

    /// Ends as a process that crashes: all channels break, and nothing listens until restart().
    void crash()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        shutdown(m_fd, SHUT_RDWR); // wakes the thread that accepts
        close(std::exchange(m_fd, -1));
        for (const int fd : m_open) {
            shutdown(fd, SHUT_RDWR);
        }
    }

    void restart()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_fd = listenOn(m_ip, m_port, &m_port);
    }

private:
    int listener()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_fd;
    }

    void acceptAll()
    {
        for (;;) {
            const int from = listener();
            const int fd = from < 0 ? -1 : accept4(from, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                sleepFor(0.01);
                continue;
            }
            const int one = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
            {
                const std::lock_guard<std::mutex> lock(m_mutex);
                m_open.insert(fd);
                if (m_fd < 0) {
                    shutdown(fd, SHUT_RDWR);
                }
            }
            std::thread([this, fd] { serve(fd); }).detach();
        }
    }

    void serve(int fd)
    {
        Channel channel(fd);
        Message request;
        while (channel.readMessage(&request, now() + 60) == ReadEnd::Good && m_handler(channel, request)) { }
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_open.erase(fd);
    }

    std::string m_ip;
    Handler m_handler;
    std::mutex m_mutex;
    std::set<int> m_open;
    int m_port = 0;
    int m_fd;
};

/// The platform's store: objects by kind and name, lists, watches and writes.
class Store
{
public:
    explicit Store(const std::string &ip)
        : m_server(ip, [this](Channel &channel, const Message &request) { return handle(channel, request); })
    {
    }

    std::string addressText() const
    {
        return m_server.addressText();
    }

    void put(const std::string &kind, const std::string &name, const Json &spec)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        change(kind, name, &spec);
    }

    void remove(const std::string &kind, const std::string &name)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        change(kind, name, nullptr);
    }

    /// Cuts off the watches that wait, as the store may do.
    void cutWatches()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        ++m_cuts;
        m_changed.notify_all();
    }

    int watchCount()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_watching;
    }

private:
    struct Object
    {
        Json spec;
        std::uint64_t revision = 0;
        std::uint64_t created = 0; ///< revision of its creation
    };
    struct Event
    {
        std::string kind;
        std::uint64_t revision = 0;
        Json json;
    };

    static Json objectJson(const std::string &name, const Object &it)
    {
        return Json{{"metadata",
                     {{"name", name},
                      {"revision", it.revision},
                      {"created", it.created},
                      {"finalizers", Json::array()},
                      {"deletion-pending", false}}},
                    {"spec", it.spec},
                    {"status", nullptr}};
    }

    void change(const std::string &kind, const std::string &name, const Json *spec)
    {
        const auto it = m_objects[kind].find(name);
        const bool exists = it != m_objects[kind].end();
        if (spec == nullptr ? !exists : exists && it->second.spec == *spec) {
            return; // Nothing changes, so there is no revision and no event.
        }
        ++m_revision;
        Object object{spec == nullptr ? it->second.spec : *spec, m_revision, exists ? it->second.created : m_revision};
        m_events.push_back(Event{kind, m_revision, Json{{"deleted", spec == nullptr}, {"object", objectJson(name, object)}}});
        if (spec == nullptr) {
            m_objects[kind].erase(name);
        } else {
            m_objects[kind][name] = std::move(object);
        }
        m_changed.notify_all();
    }

    static bool respond(Channel &channel, int status, const Json &json)
    {
        return channel.write(encode("HTTP/1.1 " + std::to_string(status) + " -", {{"Content-Type", "application/json"}}, json.dump()));
    }

    static std::string query(const std::string &target, const std::string &key)
    {
        const std::size_t at = target.find(key + "=");
        return at == std::string::npos ? "" : target.substr(at + key.size() + 1, target.find('&', at) - at - key.size() - 1);
    }

    bool handle(Channel &channel, const Message &request)
    {
        const std::string target = request.target();
        const std::string path = target.substr(0, target.find('?'));
        std::string kind = path.substr(std::min<std::size_t>(path.size(), 9)); // after "/objects/"
        std::string name;
        if (const std::size_t slash = kind.find('/'); slash != std::string::npos) {
            name = kind.substr(slash + 1);
            kind = kind.substr(0, slash);
        }
        if (request.method() == "GET" && !query(target, "watch").empty()) {
            return handleWatch(channel, kind, strtoull(query(target, "watch").c_str(), nullptr, 10),
                               atof(query(target, "wait-ms").c_str()));
        }
        sleepFor(0.004);
        std::unique_lock<std::mutex> lock(m_mutex);
        if (request.method() == "GET") {
            if (!name.empty()) {
                const bool isThere = m_objects[kind].count(name) > 0;
                const Json answer = isThere ? objectJson(name, m_objects[kind][name]) : Json::object();
                lock.unlock();
                return respond(channel, isThere ? 200 : 404, answer);
            }
            // A page holds about 500 objects or 1 MB at most.
            constexpr std::size_t pageItems = 500;
            constexpr std::size_t pageBytes = 1 << 20;
            const std::string after = query(target, "after");
            Json items = Json::array();
            std::size_t bytes = 0;
            bool hasMore = false;
            for (auto it = m_objects[kind].upper_bound(after); it != m_objects[kind].end(); ++it) {
                Json item = objectJson(it->first, it->second);
                const std::size_t size = item.dump().size();
                if (!items.empty() && (items.size() == pageItems || bytes + size > pageBytes)) {
                    hasMore = true;
                    break;
                }
                bytes += size;
                items.push_back(std::move(item));
            }
            const Json answer{{"items", items}, {"has-more", hasMore}, {"at", m_revision}};
            lock.unlock();
            return respond(channel, 200, answer);
        }
        const Json body = request.body.empty() ? Json::object() : Json::parse(request.body);
        if (request.method() == "POST") {
            name = body["metadata"]["name"].get<std::string>();
        }
        const bool exists = m_objects[kind].count(name) > 0;
        const std::string wanted = query(target, "revision");
        int status = 200;
        if (request.method() == "POST"
                ? exists
                : (exists && !wanted.empty() && strtoull(wanted.c_str(), nullptr, 10) != m_objects[kind][name].revision)) {
            status = 409;
        } else if (request.method() != "POST" && !exists) {
            status = 404;
        } else if (request.method() == "DELETE") {
            change(kind, name, nullptr);
        } else {
            change(kind, name, &body["spec"]);
        }
        const Json answer = m_objects[kind].count(name) > 0 ? objectJson(name, m_objects[kind][name]) : Json::object();
        lock.unlock();
        return respond(channel, status, answer);
    }

    bool handleWatch(Channel &channel, const std::string &kind, std::uint64_t after, double waitMs)
    {
        const double end = now() + waitMs / 1000;
        std::unique_lock<std::mutex> lock(m_mutex);
        const int cuts = m_cuts;
        ++m_watching;
        for (;;) {
            Json events = Json::array();
            for (const Event &it : m_events) {
                if (it.kind == kind && it.revision > after) {
                    events.push_back(it.json);
                }
            }
            if (m_cuts != cuts) {
                --m_watching;
                return false;
            }
            if (!events.empty() || now() >= end) {
                --m_watching;
                const Json answer{{"events", events}, {"at", m_revision}};
                lock.unlock();
                return respond(channel, 200, answer);
            }
            m_changed.wait_for(lock, std::chrono::milliseconds(100));
            if (channel.isClosedByPeer()) {
                --m_watching;
                return false;
            }
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::vector<Event> m_events;
    std::uint64_t m_revision = 10;
    int m_cuts = 0;
    int m_watching = 0;
    Server m_server;
};

/// An engine. The handler answers the requests that are meant for this engine.
class Engine
{
public:
    Engine(const std::string &ip, std::string id, std::string service, std::string phase, int slots, Server::Handler handler)
        : m_id(std::move(id))
        , m_service(std::move(service))
        , m_phase(std::move(phase))
        , m_slots(slots)
        , m_server(ip, [this, handler](Channel &channel, const Message &request) {
            const std::string expected = request.header("Apricotladder-Expected-Instance");
            if (!expected.empty() && expected != m_id) {
                return channel.write(encode("HTTP/1.1 421 Misdirected Request", {{"Apricotladder-Not-Executed", "1"}}, ""));
            }
            return handler(channel, request);
        })
    {
    }

    const std::string &id() const
    {
        return m_id;
    }

    void crash()
    {
        m_server.crash();
    }

    /// Starts again under the same id, as a new lifetime.
    void restart()
    {
        ++m_born;
        m_server.restart();
    }

    Json spec(const std::string &zone, const std::string &state = "ready") const
    {
        Json json{{"service", m_service},   {"address", m_server.addressText()},
                  {"zone", zone},           {"version", 1},
                  {"slots", m_slots},       {"state", state},
                  {"cold-remaining-ms", 0}, {"sequence", 1},
                  {"born", m_born.load()}};
        if (!m_phase.empty()) {
            json["phase"] = m_phase;
        }
        return json;
    }

    /// Headers of an answer to \a request.
    Headers answerHeaders(const Message &request) const
    {
        return {{"Apricotladder-Attempt-Id", request.header("Apricotladder-Attempt-Id")},
                {"Apricotladder-Response-Signature", m_id + "." + request.header("Apricotladder-Attempt-Id")}};
    }

    bool answer(Channel &channel, const Message &request, const std::string &body) const
    {
        return channel.write(encode("HTTP/1.1 200 OK", answerHeaders(request), body));
    }

private:
    std::string m_id;
    std::string m_service;
    std::string m_phase;
    int m_slots;
    std::atomic<std::int64_t> m_born{1700000000000};
    Server m_server;
};

inline Json route(const std::string &prefix, const std::string &type, const std::string &service, int attempts, int timeoutMs, int targetMs,
                  int priority, bool resumable = false)
{
    return Json{{"name", "r" + prefix},     {"host", "h.example"},           {"path-prefix", prefix}, {"type", type},
                {"timeout-ms", timeoutMs},  {"target-latency-ms", targetMs}, {"priority", priority},  {"service", service},
                {"max-attempts", attempts}, {"resumable", resumable},        {"itl-target-ms", 300},  {"sticky", type == "streaming"}};
}

struct NodeLimits
{
    double memoryMb = 110; ///< memory-mb of the sheet
    int descriptors = 4100;
    int drainMs = 2000; ///< bounds of the sheet
    int retryHeadroom = 56;
};

/// One process of the system, started with the command of the deploy file.
class Node
{
public:
    Node(std::string folder, std::string name, std::string zone, std::string ip, const std::string &store, NodeLimits limits = {})
        : m_folder(std::move(folder))
        , m_name(std::move(name))
        , m_ip(std::move(ip))
        , m_limits(limits)
        , m_zone(std::move(zone))
        , m_store(store)
    {
        for (int &it : m_ports) {
            it = freePort(m_ip);
        }
    }
    ~Node()
    {
        kill(SIGKILL);
    }

    std::string seed() const
    {
        return m_ip + ":" + std::to_string(m_ports[4]);
    }
    const std::string &ip() const
    {
        return m_ip;
    }
    const std::string &name() const
    {
        return m_name;
    }
    int callerPort() const
    {
        return m_ports[0];
    }
    int readyPort() const
    {
        return m_ports[1];
    }
    int discoveryPort() const
    {
        return m_ports[2];
    }
    pid_t pid() const
    {
        return m_pid;
    }

    /// Makes all nodes use one peer port, as on the platform.
    void setPeerPort(int port)
    {
        m_ports[4] = port;
    }

    /// Starts the process; \a root is the root of the repository.
    void start(const std::string &root, const std::vector<std::string> &seeds)
    {
        const auto at = [&](int i) {
            return m_ip + ":" + std::to_string(m_ports[i]);
        };
        // What the platform makes of deploy/node.json.tmpl.
        const Json settings{{"node", m_name},
                            {"dataCentre", m_zone},
                            {"callerAddress", at(0)},
                            {"readyAddress", at(1)},
                            {"discoveryAddress", at(2)},
                            {"peerAddress", at(4)},
                            {"metricsAddress", at(3)},
                            {"seeds", seeds},
                            {"storeAddress", m_store},
                            {"drainMs", m_limits.drainMs},
                            {"graceS", 8},
                            {"repeatWindowS", 10},
                            {"repeatRatio", 0.2},
                            {"repeatHeadroom", m_limits.retryHeadroom},
                            {"processorShare", 0.25}};
        const std::string file = m_folder + "/" + m_name + ".json";
        std::ofstream(file) << settings.dump(2);
        const std::string log = m_folder + "/" + m_name + ".log";
        const std::string program = root + "/target/bin/apricotladderd";
        const std::string variable = "APRICOTLADDER_NODE_FILE=" + file;
        m_pid = fork();
        if (m_pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL); // It does not outlive the script.
            const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(fd, 1);
            dup2(fd, 2);
            const rlimit descriptors{static_cast<rlim_t>(m_limits.descriptors), static_cast<rlim_t>(m_limits.descriptors)};
            setrlimit(RLIMIT_NOFILE, &descriptors);
            char *const arguments[] = {const_cast<char *>(program.c_str()), const_cast<char *>("entry"), nullptr};
            char *const environment[] = {const_cast<char *>(variable.c_str()), nullptr};
            if (chdir(root.c_str()) == 0) {
                execve(program.c_str(), arguments, environment);
            }
            _exit(127);
        }
    }

    void kill(int signal)
    {
        if (m_pid > 0) {
            ::kill(m_pid, signal);
            if (signal == SIGKILL) {
                waitpid(m_pid, nullptr, 0);
                m_pid = -1;
            }
        }
    }

    /// Whether the process has ended by itself; sets \a status.
    bool hasEnded(int *status)
    {
        if (m_pid > 0 && waitpid(m_pid, status, WNOHANG) == m_pid) {
            m_pid = -1;
            return true;
        }
        return false;
    }

    bool isReady() const
    {
        const int fd = connectTo(m_ip, m_ports[1]);
        if (fd < 0) {
            return false;
        }
        Channel channel(fd);
        Message answer;
        channel.write("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n");
        return channel.readMessage(&answer, now() + 1) == ReadEnd::Good && answer.status() == 200;
    }

    bool waitUntilReady(double seconds) const
    {
        const double end = now() + seconds;
        while (now() < end) {
            if (isReady()) {
                return true;
            }
            sleepFor(0.05);
        }
        return false;
    }

    /// Resident memory of the process, MB.
    double residentMb() const
    {
        std::ifstream in("/proc/" + std::to_string(m_pid) + "/status");
        std::string text;
        while (std::getline(in, text)) {
            if (text.compare(0, 6, "VmRSS:") == 0) {
                return atof(text.c_str() + 6) / 1024;
            }
        }
        return 0;
    }

    /// Bytes that the process has received on its TCP sockets and not read yet, MB.
    double unreadMb() const
    {
        std::set<std::string> inodes;
        const std::string folder = "/proc/" + std::to_string(m_pid) + "/fd";
        if (DIR *dir = opendir(folder.c_str())) {
            while (const dirent *entry = readdir(dir)) {
                char target[64] = {};
                if (readlink((folder + "/" + entry->d_name).c_str(), target, sizeof(target) - 1) > 0
                    && strncmp(target, "socket:[", 8) == 0) {
                    inodes.insert(std::string(target + 8, strcspn(target + 8, "]")));
                }
            }
            closedir(dir);
        }
        double sum = 0;
        std::ifstream in("/proc/" + std::to_string(m_pid) + "/net/tcp");
        std::string text;
        std::getline(in, text);
        while (std::getline(in, text)) {
            std::istringstream fields(text);
            std::string slot, local, remote, state, queues, timer, retransmits, uid, timeout, inode;
            fields >> slot >> local >> remote >> state >> queues >> timer >> retransmits >> uid >> timeout >> inode;
            if (state != "0A" && inodes.count(inode) > 0) { // not a listening socket
                sum += static_cast<double>(strtoull(queues.c_str() + queues.find(':') + 1, nullptr, 16));
            }
        }
        return sum / (1 << 20);
    }

private:
    std::string m_folder;
    std::string m_name;
    std::string m_ip;
    NodeLimits m_limits;
    std::string m_zone;
    std::string m_store;
    int m_ports[5] = {}; ///< callers, ready, discovery, metrics, peers
    pid_t m_pid = -1;
};

/// Headers of a request of a client.
inline Headers clientHeaders(const std::string &id, int deadlineMs)
{
    return {{"Host", "h.example"}, {"Apricotladder-Attempt-Id", id}, {"Apricotladder-Deadline-Ms", std::to_string(deadlineMs)}};
}

inline bool isTrouble()
{
    const char *text = getenv("TROUBLE");
    return text == nullptr || strcmp(text, "0") != 0;
}

}
