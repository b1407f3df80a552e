#pragma once

// What the cases share: a store and engines that follow the users' pages, the node processes, callers, and the record of a run.

#include "platform/enginestandin.h"
#include "protocol/jsonreader.h"
#include "store.h"
#include "transport/httpclient.h"

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace Review {

using Apricot::Json;

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitCouldNotRun = 2;

inline double nowMs()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
}

inline void sleepMs(double ms)
{
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

inline bool hasTrouble()
{
    const char *text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

/// Writes record.txt of the case. Thread-safe.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(std::fopen(path.c_str(), "w"))
    {
    }

    ~Record()
    {
        std::fclose(m_file);
    }

    void line(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        char text[600];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof(text), format, arguments);
        va_end(arguments);
        const std::lock_guard lock(m_mutex);
        std::fprintf(m_file, "%9.1f ms  %s\n", nowMs(), text);
        std::fflush(m_file);
    }

    /// Writes the line to standard output as well.
    void result(const std::string &text)
    {
        line("%s", text.c_str());
        std::printf("%s\n", text.c_str());
    }

private:
    std::FILE *m_file;
    std::mutex m_mutex;
};

/// Settings that differ between the cases; the others are those of the template in deploy/.
struct NodeSettings
{
    int drainMs = 2000;
    double graceS = 8;
    double processorShare = 0.25;
    double repeatRatio = 0.2;
    double repeatHeadroom = 56;
};

/// One process of the deploy file's role, on a loopback address of its own.
class Node
{
public:
    Node(std::string name, std::string zone, int number, const std::string &directory)
        : m_name(std::move(name))
        , m_zone(std::move(zone))
        , m_ip(ipOf(number))
        , m_settingsPath(directory + "/" + m_name + ".json")
        , m_logPath(directory + "/" + m_name + ".log")
    {
    }

    ~Node()
    {
        stop();
    }

    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    static std::string ipOf(int number)
    {
        const int id = getpid();
        return "127." + std::to_string(100 + id / 250 % 80) + "." + std::to_string(1 + id % 250) + "." + std::to_string(number);
    }

    /// Returns ":port" of one of the services, whose ports are the same on all nodes: the first ones in a row that are free.
    static std::string port(int service)
    {
        constexpr int serviceCount = 6;
        constexpr int firstBase = 20000;
        constexpr int lastBase = 30000;
        static const int base = [] {
            for (int candidate = firstBase + getpid() % 900 * 10; candidate < lastBase; candidate += 10) {
                bool isFree = true;
                for (int i = 0; i < serviceCount && isFree; ++i) {
                    const int channel = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
                    sockaddr_in address{};
                    address.sin_family = AF_INET;
                    address.sin_port = htons(static_cast<std::uint16_t>(candidate + i));
                    inet_pton(AF_INET, ipOf(1).c_str(), &address.sin_addr);
                    isFree = bind(channel, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0;
                    close(channel);
                }
                if (isFree) {
                    return candidate;
                }
            }
            return firstBase;
        }();
        return ":" + std::to_string(base + service);
    }

    const std::string &name() const
    {
        return m_name;
    }
    const std::string &zone() const
    {
        return m_zone;
    }
    const std::string &logPath() const
    {
        return m_logPath;
    }
    pid_t process() const
    {
        return m_process;
    }
    std::string callers() const
    {
        return m_ip + port(0);
    }
    std::string ready() const
    {
        return m_ip + port(1);
    }
    std::string discovery() const
    {
        return m_ip + port(2);
    }
    std::string seed() const
    {
        return m_ip + port(3);
    }
    std::string metrics() const
    {
        return m_ip + port(4);
    }

    void writeSettings(const std::string &store, const std::vector<std::string> &seeds, const NodeSettings &settings) const
    {
        // As deploy/node.json.tmpl fills them in.
        const Json json{{"node", m_name},
                        {"dataCentre", m_zone},
                        {"callerAddress", callers()},
                        {"readyAddress", ready()},
                        {"discoveryAddress", discovery()},
                        {"peerAddress", m_ip + port(5)},
                        {"metricsAddress", metrics()},
                        {"seeds", seeds},
                        {"storeAddress", store},
                        {"drainMs", settings.drainMs},
                        {"graceS", settings.graceS},
                        {"repeatWindowS", 10},
                        {"repeatRatio", settings.repeatRatio},
                        {"repeatHeadroom", settings.repeatHeadroom},
                        {"processorShare", settings.processorShare}};
        std::ofstream(m_settingsPath) << json.dump(2) << "\n";
    }

    /// Runs the command of the deploy file, "target/bin/apricotladderd entry", in the root of the repository.
    void start()
    {
        m_process = fork();
        if (m_process != 0) {
            return;
        }
        prctl(PR_SET_PDEATHSIG, SIGKILL); // No node outlives the run.
        const int log = open(m_logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        setenv("APRICOTLADDER_NODE_FILE", m_settingsPath.c_str(), 1);
        execl("target/bin/apricotladderd", "target/bin/apricotladderd", "entry", nullptr);
        _exit(127);
    }

    void signal(int number) const
    {
        if (m_process > 0) {
            kill(m_process, number);
        }
    }

    /// Whether the process has ended by itself or by a signal; \a status is that of waitpid().
    bool hasEnded(int *status = nullptr)
    {
        int found = 0;
        if (m_process <= 0) {
            return true;
        }
        if (waitpid(m_process, &found, WNOHANG) != m_process) {
            return false;
        }
        m_process = 0;
        if (status != nullptr) {
            *status = found;
        }
        return true;
    }

    void stop()
    {
        if (m_process > 0) {
            kill(m_process, SIGCONT);
            kill(m_process, SIGKILL);
            waitpid(m_process, nullptr, 0);
            m_process = 0;
        }
    }

    /// Resident memory as the kernel reports it, in bytes; \a key is VmRSS or VmHWM.
    std::int64_t memory(const std::string &key) const
    {
        std::ifstream status("/proc/" + std::to_string(m_process) + "/status");
        std::string word;
        while (status >> word) {
            if (word == key + ":") {
                std::int64_t kib = 0;
                status >> kib;
                return kib * 1024;
            }
        }
        return 0;
    }

private:
    std::string m_name;
    std::string m_zone;
    std::string m_ip;
    std::string m_settingsPath;
    std::string m_logPath;
    pid_t m_process = 0;
};

inline Apricot::HttpReply fetch(const std::string &address, const std::string &path, double timeoutMs = 1000)
{
    Apricot::HttpCall call;
    call.url = "http://" + address + path;
    call.timeout = absl::Milliseconds(timeoutMs);
    call.dedicatedConnection = true;
    return Apricot::HttpClient::call(call);
}

inline bool waitUntil(double timeoutMs, const std::function<bool()> &condition)
{
    const double end = nowMs() + timeoutMs;
    while (!condition()) {
        if (nowMs() > end) {
            return false;
        }
        sleepMs(20);
    }
    return true;
}

/// The platform's guard of the memory of its machines: kills a process that exceeds it, and starts it again a second later.
class MemoryGuard
{
public:
    MemoryGuard(std::int64_t limit, Record &record)
        : m_limit(limit)
        , m_record(record)
    {
    }

    /// Checks \a node, which also answers for \a unreadBytes that its machine has received. Returns whether it has been killed just now.
    bool check(Node &node, std::int64_t unreadBytes)
    {
        State &state = m_states[node.name()];
        if (state.startsAt > 0) {
            if (nowMs() >= state.startsAt) {
                state.startsAt = 0;
                node.start();
            }
            return false;
        }
        if (node.hasEnded()) {
            m_record.line("the process of %s has ended by itself", node.name().c_str());
            ++state.ends;
            state.startsAt = nowMs() + restartMs;
            return true;
        }
        const std::int64_t resident = node.memory("VmRSS");
        state.highest = std::max(state.highest, resident + unreadBytes);
        if (resident + unreadBytes <= m_limit) {
            return false;
        }
        node.stop();
        ++state.ends;
        state.startsAt = nowMs() + restartMs;
        m_record.line("the platform kills the process of %s for the %d. time: it holds %lld KB, with %lld KB that are not read, of %lld KB",
                      node.name().c_str(), state.ends, static_cast<long long>(resident / 1000), static_cast<long long>(unreadBytes / 1000),
                      static_cast<long long>(m_limit / 1000));
        return true;
    }

    /// Whether the processes of two machines have ended three times, which is a fault in the rules.
    bool isFault(const std::vector<std::unique_ptr<Node>> &nodes)
    {
        constexpr int faultEnds = 3;
        constexpr int faultMachines = 2;
        return std::count_if(nodes.begin(), nodes.end(), [&](const auto &node) { return m_states[node->name()].ends >= faultEnds; })
            >= faultMachines;
    }

    std::string summary(const std::vector<std::unique_ptr<Node>> &nodes)
    {
        std::string text;
        for (const auto &node : nodes) {
            const State &state = m_states[node->name()];
            text += (text.empty() ? "" : ", ") + node->name() + " takes at most " + std::to_string(state.highest / 1000) + " KB of "
                + std::to_string(m_limit / 1000) + " and is killed " + std::to_string(state.ends) + " times";
        }
        return text;
    }

private:
    static constexpr double restartMs = 1000;

    struct State
    {
        int ends = 0;
        double startsAt = 0;
        std::int64_t highest = 0;
    };

    std::int64_t m_limit;
    Record &m_record;
    std::map<std::string, State> m_states;
};

/// A folder for the settings and logs of a run, removed afterwards unless KEEP is set.
class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        char path[] = "/tmp/apricot-review-XXXXXX";
        m_path = mkdtemp(path);
    }

    ~TemporaryFolder()
    {
        if (std::getenv("KEEP") == nullptr) {
            std::error_code ec;
            std::filesystem::remove_all(m_path, ec);
        } else {
            std::printf("kept: %s\n", m_path.c_str());
        }
    }

    const std::string &path() const
    {
        return m_path;
    }

private:
    std::string m_path;
};

inline Json routeJson(const std::string &prefix, const std::string &type, const std::string &service, int attempts, int timeoutMs,
                      int targetMs)
{
    return Json{{"name", "r" + prefix},     {"host", "h.example"},           {"path-prefix", prefix}, {"type", type},
                {"timeout-ms", timeoutMs},  {"target-latency-ms", targetMs}, {"priority", 0},         {"service", service},
                {"max-attempts", attempts}, {"itl-target-ms", 300}};
}

inline Json limitsJson()
{
    return Json{{"max-header-bytes", 16384}, {"max-body-bytes", 4194304}, {"header-timeout-ms", 5000}, {"idle-timeout-ms", 20000}};
}

inline Json engineJson(const std::string &address, const std::string &service, const std::string &zone, const std::string &phase, int slots,
                       const std::string &state, std::int64_t born)
{
    Json json{{"service", service}, {"address", address},     {"zone", zone},  {"version", 1}, {"slots", slots},
              {"state", state},     {"cold-remaining-ms", 0}, {"sequence", 1}, {"born", born}};
    if (!phase.empty()) {
        json["phase"] = phase;
    }
    return json;
}

}
