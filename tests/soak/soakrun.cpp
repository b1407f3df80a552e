#include "soak/soakrun.h"

#include "protocol/jsonreader.h"
#include "protocol/logjson.h"

#include <absl/strings/str_cat.h>

#include <csignal>
#include <fstream>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace Apricot {

namespace {

constexpr int callerPort = 8144;
constexpr int graceS = 4;

/// A process that was told to stop may need this much more than its grace on a busy machine.
constexpr absl::Duration stopMargin = absl::Seconds(20);

constexpr absl::Duration processCheckInterval = absl::Milliseconds(50);
constexpr absl::Duration restartDelay = absl::Milliseconds(300);

/// Far longer than recovery takes; a deployment that does not serve by then has failed.
constexpr absl::Duration recoverLimit = absl::Seconds(60);

/// Loopback addresses of this process: runs beside each other do not meet.
std::string addressOf(std::size_t node, int port)
{
    const int id = getpid();
    return absl::StrCat("127.", 64 + id / 250 % 128, ".", 1 + id % 250, ".", 1 + node, ":", port);
}

}

SoakRun::SoakRun(std::string program, std::string folder, std::uint64_t seed, const SoakSize &size)
    : m_program(std::move(program))
    , m_folder(std::move(folder))
    , m_size(size)
    , m_seed(seed)
    , m_platform(std::make_unique<SoakPlatform>(m_loop, m_ledger, size))
{
    for (std::size_t i = 0; i < size.nodes; ++i) {
        const std::string settings = absl::StrCat(m_folder, "/node-", i, ".json");
        Node node;
        node.process = std::make_unique<NodeProcess>(m_program, settings, absl::StrCat(m_folder, "/node-", i, ".log"));
        node.settings = settings;
        m_nodes.push_back(std::move(node));
        m_addresses.push_back(addressOf(i, callerPort));
        writeSettings(i);
    }
    SoakCallers::Hooks hooks;
    hooks.wasCalm = [this](absl::Time since) {
        return since > m_disturbedUntil;
    };
    hooks.lifetime = [this](std::size_t node) {
        return m_nodes.at(node).process->lifetime();
    };
    m_callers = std::make_unique<SoakCallers>(m_loop, m_ledger, m_addresses, seed, std::move(hooks));
}

SoakRun::~SoakRun() = default;

void SoakRun::writeSettings(std::size_t node) const
{
    Json seeds = Json::array();
    for (std::size_t i = 0; i < m_size.nodes; ++i) {
        seeds.push_back(addressOf(i, 8146));
    }
    const Json settings{{"node", absl::StrCat("node-", node)},
                        {"dataCentre", "here"},
                        {"callerAddress", addressOf(node, callerPort)},
                        {"readyAddress", addressOf(node, 8140)},
                        {"discoveryAddress", addressOf(node, 8143)},
                        {"peerAddress", addressOf(node, 8146)},
                        {"metricsAddress", addressOf(node, 8147)},
                        {"storeAddress", m_platform->storeAddress(node)},
                        {"seeds", seeds},
                        {"addressKeepMs", 500},
                        {"graceS", graceS},
                        {"repeatRatio", 0.2},
                        {"repeatHeadroom", 50}};
    std::ofstream(m_nodes.at(node).settings) << jsonDump(settings);
}

void SoakRun::runFor(absl::Duration length)
{
    runUntil([] { return false; }, length);
}

bool SoakRun::runUntil(const std::function<bool()> &holds, absl::Duration limit)
{
    bool isOver = false;
    const TimerId timer = m_loop.after(limit, [&] { isOver = true; });
    while (!isOver && !holds()) {
        m_loop.runOnce();
    }
    m_loop.cancel(timer);
    return !isOver;
}

bool SoakRun::serves(std::size_t node, CallKind kind)
{
    bool isServed = false;
    std::function<void(const SoakEnd &)> tryAgain = [&, node, kind](const SoakEnd &end) {
        const auto *answer = std::get_if<WasAnswered>(&end);
        isServed = answer != nullptr && answer->status == statusOk;
        if (!isServed) {
            m_loop.after(absl::Milliseconds(200), [&, node, kind] { m_callers->callOnce(kind, node, tryAgain); });
        }
    };
    m_callers->callOnce(kind, node, tryAgain);
    return runUntil([&] { return isServed; }, recoverLimit);
}

std::vector<std::string> SoakRun::run()
{
    m_loop.updateNow();
    for (Node &node : m_nodes) {
        node.process->start();
    }
    watchProcesses();
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        if (!serves(node, CallKind::Book)) {
            return {absl::StrCat("node ", node, " does not serve at its start")};
        }
    }
    for (const SoakStep &step : planSoak(m_seed, m_size)) {
        m_loop.after(step.at, [this, step] { apply(step); });
    }
    m_callers->start();
    runFor(m_size.length);
    m_callers->stop();
    runUntil([this] { return m_loop.now() > m_disturbedUntil; }, recoverLimit);
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        for (const CallKind kind : {CallKind::Read, CallKind::Book, CallKind::Draft, CallKind::Resumable}) {
            if (!serves(node, kind)) {
                m_broken.push_back(
                    absl::StrCat("node ", node, " does not serve calls of kind ", static_cast<int>(kind), " after the faults"));
            }
        }
    }
    runUntil([this] { return m_callers->underWay() == 0; }, recoverLimit);
    stopNodes();
    checkExplained();
    const std::vector<std::string> promises = m_ledger.brokenPromises();
    m_broken.insert(m_broken.end(), promises.begin(), promises.end());
    m_broken.insert(m_broken.end(), m_callers->forgotten().begin(), m_callers->forgotten().end());
    return m_broken;
}

void SoakRun::stopNodes()
{
    for (Node &node : m_nodes) {
        node.startsAgain = false;
        node.mayEnd = true;
        node.stopAsked = m_loop.now();
        node.process->signal(SIGTERM);
    }
    const bool haveEnded = runUntil(
        [this] {
            for (const Node &node : m_nodes) {
                if (node.process->isRunning()) {
                    return false;
                }
            }
            return true;
        },
        absl::Seconds(graceS) + stopMargin);
    if (!haveEnded) {
        m_broken.emplace_back("a node that was told to stop did not end");
    }
}

void SoakRun::checkExplained()
{
    std::vector<std::vector<LogLine>> logs;
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        std::ifstream file(absl::StrCat(m_folder, "/node-", node, ".log"));
        logs.push_back(readLogLines(file));
    }
    for (const SoakCall &call : m_ledger.failedByNodes()) {
        if (m_nodes.at(call.node).killed.contains(call.lifetime)) {
            continue;
        }
        const std::vector<LogLine> story = requestHistory(call.attempt, logs.at(call.node));
        const std::string cause = outcomeCause(story);
        if (story.empty() || cause.find("no decision") != std::string::npos || cause.find("unknown") != std::string::npos) {
            m_broken.push_back(
                absl::StrCat("call ", call.attempt, " failed at node ", call.node, ", and its log does not say why: ", cause));
        }
    }
}

void SoakRun::watchProcesses()
{
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        if (const std::optional<int> status = m_nodes[node].process->reap()) {
            processEnded(node, *status);
        }
    }
    m_loop.after(processCheckInterval, [this] { watchProcesses(); });
}

void SoakRun::processEnded(std::size_t number, int status)
{
    Node &node = m_nodes.at(number);
    const bool wasStopped = node.stopAsked != absl::InfiniteFuture();
    const bool wasKilled = WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL;
    const bool endedWell = WIFEXITED(status) && WEXITSTATUS(status) == 0;
    if (wasKilled) {
        node.killed.insert(node.process->lifetime());
    }
    if (!node.mayEnd || (wasStopped && !wasKilled && !endedWell)) {
        m_broken.push_back(absl::StrCat("node ", number, " ended by itself, wait status ", status));
    }
    node.mayEnd = false;
    node.stopAsked = absl::InfiniteFuture();
    if (node.startsAgain) {
        m_loop.after(restartDelay, [this, number] {
            if (!m_nodes[number].process->isRunning()) {
                m_nodes[number].process->start();
            }
        });
    }
}

void SoakRun::apply(const SoakStep &step)
{
    std::ofstream(m_folder + "/steps.txt", std::ios::app) << describeStep(step) << "\n";
    if (!isPlannedWork(step.action)) {
        m_disturbedUntil = std::max(m_disturbedUntil, m_loop.now() + effectOf(step.action));
    }
    std::visit([this](const auto &action) { apply(action); }, step.action);
}

void SoakRun::apply(const KillNode &it)
{
    m_nodes.at(it.node).mayEnd = true;
    m_nodes.at(it.node).process->signal(SIGKILL);
}

void SoakRun::apply(const KillAllNodes &)
{
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        apply(KillNode{node});
    }
}

void SoakRun::apply(const RestartNode &it)
{
    Node &node = m_nodes.at(it.node);
    node.mayEnd = true;
    node.stopAsked = m_loop.now();
    node.process->signal(SIGTERM);
}

void SoakRun::apply(const PauseNode &it)
{
    m_nodes.at(it.node).process->signal(SIGSTOP);
    m_loop.after(it.length, [this, it] { m_nodes.at(it.node).process->signal(SIGCONT); });
}

void SoakRun::apply(const ReloadNode &it)
{
    m_nodes.at(it.node).process->signal(SIGHUP);
}

void SoakRun::apply(const HarmStorePath &it)
{
    m_platform->harmStorePath(it.node, it.harm);
    m_loop.after(it.length, [this, it] { m_platform->harmStorePath(it.node, PathHarm::None); });
}

void SoakRun::apply(const HarmEnginePath &it)
{
    m_platform->harmEnginePath(it.engine, it.harm);
    m_loop.after(it.length, [this, it] { m_platform->harmEnginePath(it.engine, PathHarm::None); });
}

void SoakRun::apply(const StoreIsDown &it)
{
    m_platform->store().setUnavailable(true);
    m_loop.after(it.length, [this] { m_platform->store().setUnavailable(false); });
}

void SoakRun::apply(const StoreForgets &)
{
    m_platform->store().compactHistory();
}

void SoakRun::apply(const ReplaceEngine &it)
{
    m_platform->replaceEngine(it.engine);
}

void SoakRun::apply(const CrashEngine &it)
{
    m_platform->crashEngine(it.engine);
}

void SoakRun::apply(const ChangeDesiredState &)
{
    m_callers->addRoute(m_platform->changeDesiredState());
}

}
