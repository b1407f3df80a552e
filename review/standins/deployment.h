#pragma once

// The stand-in of the platform's store, the entry nodes as processes, and the record of a run.

#include "net.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <fcntl.h>
#include <fstream>
#include <map>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

using Json = nlohmann::json;

/// Writes what was sent, answered and run to record.txt, one line for each event.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(std::fopen(path.c_str(), "w"))
    {
        if (m_file == nullptr) {
            std::perror(path.c_str());
            std::exit(2);
        }
    }

    __attribute__((format(printf, 2, 3))) void add(const char *format, ...)
    {
        const std::lock_guard lock(m_mutex);
        std::fprintf(m_file, "%8.3f ", static_cast<double>(nowMs()) / 1000);
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(m_file, format, arguments);
        va_end(arguments);
        std::fputc('\n', m_file);
        std::fflush(m_file);
    }

private:
    std::mutex m_mutex;
    std::FILE *m_file;
};

/// The platform's store: objects by kind and name, lists, watches, conditional writes.
class Store
{
public:
    /// Opens a port for one machine, so that the store can tell the machines apart. Returns its number.
    int openPort()
    {
        const std::lock_guard lock(m_mutex);
        const auto access = std::make_shared<Access>();
        const int port = freePort();
        access->server = std::make_unique<Server>(port, [this, raw = access.get()](Socket &socket, const Message &request) {
            return raw->isTurnedAway ? respond(socket, 503, Json::object()) : handle(*raw, socket, request);
        });
        m_accesses[port] = access;
        return port;
    }

    /// Turns the machine at \a port away with 503, or serves it again. Its waiting watches are cut off.
    void setTurnedAway(int port, bool isTurnedAway)
    {
        const std::lock_guard lock(m_mutex);
        m_accesses.at(port)->isTurnedAway = isTurnedAway;
        m_changed.notify_all();
    }

    /// Whether a watch of the machine at \a port waits.
    bool isWatchedFrom(int port)
    {
        const std::lock_guard lock(m_mutex);
        return m_accesses.at(port)->watches > 0;
    }

    void put(const std::string &kind, const std::string &name, const Json &spec)
    {
        const std::lock_guard lock(m_mutex);
        change(kind, name, &spec);
    }

    void remove(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(m_mutex);
        change(kind, name, nullptr);
    }

private:
    struct Access
    {
        std::unique_ptr<Server> server;
        std::atomic<bool> isTurnedAway{false};
        std::atomic<int> watches{0};
    };

    struct Object
    {
        Json spec;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };

    struct Event
    {
        std::string kind;
        std::uint64_t revision;
        Json json;
    };

    static Json describe(const std::string &name, const Object &object)
    {
        return {{"metadata",
                 {{"name", name},
                  {"revision", object.revision},
                  {"created", object.created},
                  {"finalizers", Json::array()},
                  {"deletion-pending", false}}},
                {"spec", object.spec},
                {"status", nullptr}};
    }

    /// Sets or removes an object. Needs the lock.
    void change(const std::string &kind, const std::string &name, const Json *spec)
    {
        std::map<std::string, Object> &objects = m_objects[kind];
        Object &object = objects[name];
        if (spec != nullptr && object.revision != 0 && object.spec == *spec) {
            return;
        }
        ++m_revision;
        object.revision = spec == nullptr ? object.revision : m_revision;
        object.created = object.created == 0 ? m_revision : object.created;
        if (spec != nullptr) {
            object.spec = *spec;
        }
        m_events.push_back(Event{kind, m_revision, Json{{"deleted", spec == nullptr}, {"object", describe(name, object)}}});
        if (spec == nullptr) {
            objects.erase(name);
        }
        m_changed.notify_all();
    }

    static std::string queryValue(const std::string &target, const std::string &key)
    {
        const std::size_t query = target.find('?');
        std::size_t start = query == std::string::npos ? target.size() : query + 1;
        while (start < target.size()) {
            const std::size_t end = std::min(target.find('&', start), target.size());
            const std::string part = target.substr(start, end - start);
            if (part.rfind(key + "=", 0) == 0) {
                return part.substr(key.size() + 1);
            }
            start = end + 1;
        }
        return {};
    }

    static bool respond(Socket &socket, int status, const Json &json)
    {
        constexpr std::int64_t writeMs = 5000;
        return socket.write(encodeMessage("HTTP/1.1 " + std::to_string(status) + " -", {{"Content-Type", "application/json"}}, json.dump()),
                            nowMs() + writeMs);
    }

    bool handle(Access &access, Socket &socket, const Message &request)
    {
        const std::string target = request.word(1);
        const std::string path = target.substr(0, target.find('?'));
        const std::string prefix = "/objects/";
        if (path.rfind(prefix, 0) != 0) {
            return respond(socket, 404, Json::object());
        }
        const std::size_t slash = path.find('/', prefix.size());
        const std::string kind = path.substr(prefix.size(), slash == std::string::npos ? slash : slash - prefix.size());
        const std::string name = slash == std::string::npos ? std::string() : path.substr(slash + 1);
        if (request.word(0) != "GET") {
            return write(socket, request, kind, name, queryValue(target, "revision"));
        }
        const std::string watched = queryValue(target, "watch");
        return watched.empty()
            ? list(socket, kind)
            : watch(access, socket, kind, std::strtoull(watched.c_str(), nullptr, 10), std::atoll(queryValue(target, "wait-ms").c_str()));
    }

    bool list(Socket &socket, const std::string &kind)
    {
        Json items = Json::array();
        std::uint64_t at = 0;
        {
            const std::lock_guard lock(m_mutex);
            for (const auto &[name, object] : m_objects[kind]) {
                items.push_back(describe(name, object));
            }
            at = m_revision;
        }
        return respond(socket, 200, Json{{"items", items}, {"has-more", false}, {"at", at}});
    }

    bool watch(Access &access, Socket &socket, const std::string &kind, std::uint64_t after, std::int64_t waitMs)
    {
        const std::int64_t deadline = nowMs() + waitMs;
        Json events = Json::array();
        std::uint64_t at = 0;
        {
            std::unique_lock lock(m_mutex);
            ++access.watches;
            for (;;) {
                for (const Event &event : m_events) {
                    if (event.kind == kind && event.revision > after) {
                        events.push_back(event.json);
                    }
                }
                at = m_revision;
                if (!events.empty() || nowMs() >= deadline || socket.isClosedByPeer() || access.isTurnedAway) {
                    break;
                }
                m_changed.wait_for(lock, std::chrono::milliseconds(200));
            }
            --access.watches;
        }
        if (access.isTurnedAway) {
            socket.reset();
            return false;
        }
        return respond(socket, 200, Json{{"events", events}, {"at", at}});
    }

    bool write(Socket &socket, const Message &request, const std::string &kind, std::string name, const std::string &revision)
    {
        const Json body = request.body.empty() ? Json::object() : Json::parse(request.body, nullptr, false);
        const std::string method = request.word(0);
        if (body.is_discarded()) {
            return respond(socket, 400, Json::object());
        }
        if (method == "POST") {
            name = body["metadata"]["name"].get<std::string>();
        }
        int status = 200;
        Json answer = Json::object();
        {
            const std::lock_guard lock(m_mutex);
            const auto found = m_objects[kind].find(name);
            const bool exists = found != m_objects[kind].end();
            const std::uint64_t wanted = std::strtoull(revision.c_str(), nullptr, 10);
            if (exists == (method == "POST")) {
                status = exists ? 409 : 404;
                answer = exists ? describe(name, found->second) : Json::object();
            } else if (exists && wanted != 0 && wanted != found->second.revision) {
                status = 409;
                answer = describe(name, found->second);
            } else if (method == "DELETE") {
                change(kind, name, nullptr);
            } else {
                const Json spec = body["spec"];
                change(kind, name, &spec);
                answer = describe(name, m_objects[kind][name]);
            }
        }
        return respond(socket, status, answer);
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::vector<Event> m_events;
    std::uint64_t m_revision = 1;
    std::map<int, std::shared_ptr<Access>> m_accesses;
};

/// The ports of the entry nodes, the same on all of them: each node has its own loopback address.
struct NodePorts
{
    int caller = freePort();
    int ready = freePort();
    int discovery = freePort();
    int peer = freePort();
    int metrics = freePort();
    int control = freePort(); ///< nothing listens here; the seeds name it
};

/// One entry node: a process that runs the command of the deploy file.
class Node
{
public:
    /// Memory of a machine of the site, MB. The platform kills a process that exceeds it.
    static constexpr std::int64_t memoryLimitMb = 110;

    /// The node \a index in \a directory, which holds its settings and its log.
    Node(int index, const std::string &directory, const NodePorts &ports, int storePort, std::string zone = "liberia")
        : m_name("edge-" + std::to_string(index))
        , m_settingsPath(directory + "/" + m_name + ".json")
        , m_logPath(directory + "/" + m_name + ".log")
        , m_host(firstHost + index)
        , m_ports(ports)
        , m_storePort(storePort)
        , m_zone(std::move(zone))
    {
    }

    const std::string &name() const
    {
        return m_name;
    }

    int storePort() const
    {
        return m_storePort;
    }

    /// Returns a new connection to the address for callers; null if there is none in time.
    std::unique_ptr<Socket> connectAsCaller(std::int64_t timeoutMs) const
    {
        return Socket::connectTo(m_ports.caller, timeoutMs, m_host);
    }

    static std::string seed(int index, const NodePorts &ports)
    {
        return "127.0.0." + std::to_string(firstHost + index) + ":" + std::to_string(ports.control);
    }

    /// Writes the settings with the members of deploy/node.json.tmpl.
    void writeSettings(const std::vector<std::string> &seeds) const
    {
        const auto address = [this](int port) {
            return "127.0.0." + std::to_string(m_host) + ":" + std::to_string(port);
        };
        const Json settings{{"node", m_name},
                            {"dataCentre", m_zone},
                            {"callerAddress", address(m_ports.caller)},
                            {"readyAddress", address(m_ports.ready)},
                            {"discoveryAddress", address(m_ports.discovery)},
                            {"peerAddress", address(m_ports.peer)},
                            {"metricsAddress", address(m_ports.metrics)},
                            {"seeds", seeds},
                            {"storeAddress", "127.0.0.1:" + std::to_string(m_storePort)},
                            {"drainMs", 2000},
                            {"graceS", 8},
                            {"repeatWindowS", 10},
                            {"repeatRatio", 0.2},
                            {"repeatHeadroom", 56},
                            {"processorShare", 0.25}};
        std::ofstream(m_settingsPath) << settings.dump(2) << "\n";
    }

    void start()
    {
        const std::string variable = "APRICOTLADDER_NODE_FILE=" + m_settingsPath;
        const pid_t pid = fork();
        if (pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL); // The node never outlives the run.
            const int log = open(m_logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(log, STDOUT_FILENO);
            dup2(log, STDERR_FILENO);
            const char *arguments[] = {"target/bin/apricotladderd", "entry", nullptr};
            const char *environment[] = {"PATH=/usr/bin:/bin", "HOME=/tmp", "LANG=C.UTF-8", variable.c_str(), nullptr};
            execve(arguments[0], const_cast<char **>(arguments), const_cast<char **>(environment));
            _exit(127);
        }
        m_pid = pid;
    }

    bool isReady() const
    {
        constexpr std::int64_t timeoutMs = 500;
        const std::unique_ptr<Socket> socket = Socket::connectTo(m_ports.ready, timeoutMs, m_host);
        if (!socket || !socket->write("GET /readyz HTTP/1.1\r\nHost: node\r\n\r\n", nowMs() + timeoutMs)) {
            return false;
        }
        const std::optional<Message> response = readHead(*socket, nowMs() + timeoutMs);
        return response && response->status() == 200;
    }

    /// Resident memory, MB; 0 if the process has ended.
    std::int64_t memoryMb() const
    {
        std::ifstream file("/proc/" + std::to_string(m_pid) + "/statm");
        std::int64_t total = 0;
        std::int64_t resident = 0;
        file >> total >> resident;
        return resident * sysconf(_SC_PAGESIZE) / (1 << 20);
    }

    bool isRunning()
    {
        return m_pid > 0 && waitpid(m_pid, &m_status, WNOHANG) == 0;
    }

    void signalProcess(int signal) const
    {
        if (m_pid > 0) {
            kill(m_pid, signal);
        }
    }

    /// Ends the process and waits for its end.
    void end()
    {
        if (m_pid > 0 && isRunning()) {
            signalProcess(SIGKILL);
            waitpid(m_pid, &m_status, 0);
        }
        m_pid = -1;
    }

private:
    static constexpr int firstHost = 11;

    std::string m_name;
    std::string m_settingsPath;
    std::string m_logPath;
    int m_host;
    NodePorts m_ports;
    int m_storePort;
    std::string m_zone;
    pid_t m_pid = -1;
    int m_status = 0;
};

/// Waits until \a condition holds; returns whether it did within \a timeoutMs.
inline bool eventually(std::int64_t timeoutMs, const std::function<bool()> &condition)
{
    const std::int64_t deadline = nowMs() + timeoutMs;
    while (!condition()) {
        if (nowMs() >= deadline) {
            return false;
        }
        sleepMs(50);
    }
    return true;
}

/// An entry of kind "servers".
inline Json engineEntry(const std::string &service, int port, const std::string &phase, std::int64_t slots, std::int64_t bornMs)
{
    Json entry{{"service", service},     {"address", "127.0.0.1:" + std::to_string(port)},
               {"zone", "liberia"},      {"version", "v1"},
               {"slots", slots},         {"state", "ready"},
               {"cold-remaining-ms", 0}, {"sequence", 1},
               {"born", bornMs}};
    if (!phase.empty()) {
        entry["phase"] = phase;
        entry["models"] = Json::array({{{"name", "m"}, {"version", 1}, {"adapters", Json::array()}}});
    }
    return entry;
}

inline Json plainRoute(const std::string &name, const std::string &prefix, const std::string &type, int maxAttempts, int timeoutMs,
                       const std::string &service = "crewdesk")
{
    return {{"name", name},  {"host", "desk.example"},  {"path-prefix", prefix},
            {"type", type},  {"timeout-ms", timeoutMs}, {"target-latency-ms", 100},
            {"priority", 2}, {"service", service},      {"max-attempts", maxAttempts}};
}

inline Json streamRoute(const std::string &name, const std::string &prefix, bool resumable, int maxAttempts)
{
    return {{"name", name},        {"host", "desk.example"},  {"path-prefix", prefix},
            {"type", "streaming"}, {"timeout-ms", 14000},     {"target-latency-ms", 800},
            {"priority", 0},       {"service", "summarizer"}, {"max-attempts", maxAttempts},
            {"sticky", true},      {"resumable", resumable},  {"itl-target-ms", 300}};
}

inline Json modelService()
{
    return {{"name", "summarizer"},
            {"health-path", "/healthz"},
            {"max-connections", 240},
            {"protocol", "h1"},
            {"tls", false},
            {"engine",
             {{"slots", 32},
              {"kv-capacity", 105738},
              {"kv-token-bytes", 163840},
              {"link-mbps", 11000000.0},
              {"migrations", true},
              {"backups", true},
              {"stride", 69},
              {"most", 12},
              {"kv-hold-s", 0.5},
              {"switch-s", 6.0},
              {"pin-ms", 4000.0},
              {"hold-ms", 2000.0},
              {"models", Json::array({{{"name", "m"}}})}}}};
}

inline Json plainService(const std::string &name = "crewdesk")
{
    return {{"name", name}, {"health-path", "/healthz"}, {"max-connections", 110}, {"protocol", "h1"}, {"tls", false}};
}

inline Json desiredState(int version, const Json &routes)
{
    return {
        {"version", version},
        {"routes", routes},
        {"services", Json::array({modelService(), plainService(), plainService("crewdesk2")})},
        {"limits", {{"max-header-bytes", 16384}, {"max-body-bytes", 4194304}, {"header-timeout-ms", 3000}, {"idle-timeout-ms", 15000}}}};
}

/// A directory for one run, which the caller removes.
inline std::string makeTemporaryDirectory()
{
    char path[] = "/tmp/review-XXXXXX";
    if (mkdtemp(path) == nullptr) {
        std::perror("mkdtemp");
        std::exit(2);
    }
    return path;
}
