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

/// Time beyond its grace period that a stopping process may take to exit on a busy machine.
constexpr absl::Duration stopMargin = absl::Seconds(20);

constexpr absl::Duration processPollInterval = absl::Milliseconds(50);
constexpr absl::Duration restartDelay = absl::Milliseconds(300);

/// Far longer than recovery takes. A deployment that does not serve by then has failed.
constexpr absl::Duration recoveryTimeout = absl::Seconds(60);

/// Returns a loopback address that is specific to this process, so that concurrent runs do not conflict.
std::string nodeAddress(std::size_t node, int port)
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
        m_addresses.push_back(nodeAddress(i, callerPort));
        writeSettings(i, 0);
    }
    SoakCallers::Hooks hooks;
    hooks.wasUndisturbed = [this](absl::Time since) {
        return since > m_disturbedUntil;
    };
    hooks.incarnation = [this](std::size_t node) {
        return m_nodes.at(node).process->incarnation();
    };
    hooks.nodeCondition = [this](std::size_t node, int incarnation, absl::Time start) {
        return nodeCondition(node, incarnation, start);
    };
    hooks.onAnswered = [this](std::size_t number, int incarnation) {
        Node &node = m_nodes.at(number);
        if (node.process->isRunning() && node.process->incarnation() == incarnation) {
            node.servingSince = std::min(node.servingSince, m_loop.now());
        }
    };
    m_callers = std::make_unique<SoakCallers>(m_loop, m_ledger, m_addresses, seed, std::move(hooks));
}

SoakRun::~SoakRun() = default;

void SoakRun::writeSettings(std::size_t node, std::size_t firstSeed) const
{
    Json seeds = Json::array();
    for (std::size_t i = 0; i < m_size.nodes; ++i) {
        seeds.push_back(nodeAddress((firstSeed + i) % m_size.nodes, 8146));
    }
    const Json settings{{"node", absl::StrCat("node-", node)},
                        {"dataCentre", "here"},
                        {"callerAddress", nodeAddress(node, callerPort)},
                        {"readyAddress", nodeAddress(node, 8140)},
                        {"discoveryAddress", nodeAddress(node, 8143)},
                        {"peerAddress", nodeAddress(node, 8146)},
                        {"metricsAddress", nodeAddress(node, 8147)},
                        {"storeAddress", m_platform->storeAddress(node)},
                        {"seeds", seeds},
                        {"addressKeepMs", 500},
                        {"graceS", absl::ToInt64Seconds(nodeGracePeriod)},
                        {"repeatRatio", 0.2},
                        {"repeatHeadroom", 50}};
    std::ofstream(m_nodes.at(node).settings) << jsonDump(settings);
}

NodeCondition SoakRun::nodeCondition(std::size_t number, int incarnation, absl::Time start) const
{
    const Node &node = m_nodes.at(number);
    if (const auto it = node.stopTimes.find(incarnation); it != node.stopTimes.end()) {
        return NodeStopping{start - it->second, m_loop.now() - it->second};
    }
    const bool hasServed = node.process->isRunning() && node.process->incarnation() == incarnation && node.servingSince <= start;
    return hasServed ? NodeCondition(NodeServed{}) : NodeCondition(NodeUnavailable{});
}

void SoakRun::runFor(absl::Duration duration)
{
    runUntil([] { return false; }, duration);
}

bool SoakRun::runUntil(const std::function<bool()> &condition, absl::Duration timeout)
{
    bool hasTimedOut = false;
    const TimerId timer = m_loop.after(timeout, [&] { hasTimedOut = true; });
    while (!hasTimedOut && !condition()) {
        m_loop.runOnce();
    }
    m_loop.cancel(timer);
    return !hasTimedOut;
}

bool SoakRun::waitUntilServing(std::size_t node, CallKind kind)
{
    bool isServed = false;
    std::function<void(const SoakOutcome &)> retry = [&, node, kind](const SoakOutcome &outcome) {
        const auto *answer = std::get_if<ResponseComplete>(&outcome);
        isServed = answer != nullptr && answer->status == statusOk;
        if (!isServed) {
            m_loop.after(absl::Milliseconds(200), [&, node, kind] { m_callers->sendCall(kind, node, retry); });
        }
    };
    m_callers->sendCall(kind, node, retry);
    return runUntil([&] { return isServed; }, recoveryTimeout);
}

std::vector<std::string> SoakRun::run()
{
    m_loop.updateNow();
    for (Node &node : m_nodes) {
        node.process->start();
    }
    pollProcesses();
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        if (!waitUntilServing(node, CallKind::NonIdempotent)) {
            return {absl::StrCat("node ", node, " does not serve calls after its start")};
        }
    }
    for (const SoakStep &step : planSoak(m_seed, m_size)) {
        m_loop.after(step.at, [this, step] { apply(step); });
    }
    m_callers->start();
    runFor(m_size.duration);
    m_callers->stop();
    runUntil([this] { return m_loop.now() > m_disturbedUntil; }, recoveryTimeout);
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        for (const CallKind kind : {CallKind::Idempotent, CallKind::NonIdempotent, CallKind::Streaming, CallKind::ResumableStreaming}) {
            if (!waitUntilServing(node, kind)) {
                m_violations.push_back(
                    absl::StrCat("node ", node, " does not serve calls of kind ", static_cast<int>(kind), " after the faults"));
            }
        }
    }
    runUntil([this] { return m_callers->activeCalls() == 0; }, recoveryTimeout);
    stopNodes();
    checkFailuresExplained();
    const std::vector<std::string> ledgerViolations = m_ledger.findViolations();
    m_violations.insert(m_violations.end(), ledgerViolations.begin(), ledgerViolations.end());
    if (m_size.profile == SoakProfile::Notices) {
        const std::vector<std::string> unwanted = m_ledger.findUnwantedRequests();
        m_violations.insert(m_violations.end(), unwanted.begin(), unwanted.end());
    }
    m_violations.insert(m_violations.end(), m_callers->lostRoutes().begin(), m_callers->lostRoutes().end());
    return m_violations;
}

void SoakRun::stopNodes()
{
    for (Node &node : m_nodes) {
        node.restarts = false;
        node.exitExpected = true;
        node.stopRequestedAt = m_loop.now();
        node.process->signal(SIGTERM);
    }
    const bool haveExited = runUntil(
        [this] {
            for (const Node &node : m_nodes) {
                if (node.process->isRunning()) {
                    return false;
                }
            }
            return true;
        },
        nodeGracePeriod + stopMargin);
    if (!haveExited) {
        m_violations.emplace_back("a node did not exit after SIGTERM within its grace period and margin");
    }
}

void SoakRun::checkFailuresExplained()
{
    std::vector<std::vector<LogLine>> logs;
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        std::ifstream file(absl::StrCat(m_folder, "/node-", node, ".log"));
        logs.push_back(readLogLines(file));
    }
    for (const SoakCall &call : m_ledger.callsFailedByNodes()) {
        if (m_nodes.at(call.node).killedIncarnations.contains(call.incarnation)) {
            continue;
        }
        const std::vector<LogLine> history = requestHistory(call.attemptId, logs.at(call.node));
        const std::string cause = outcomeCause(history);
        if (history.empty() || cause.find("no decision") != std::string::npos || cause.find("unknown") != std::string::npos) {
            m_violations.push_back(
                absl::StrCat("call ", call.attemptId, " failed at node ", call.node, ", and its log does not explain the cause: ", cause));
        }
    }
}

void SoakRun::pollProcesses()
{
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        if (const std::optional<int> status = m_nodes[node].process->reap()) {
            handleProcessExit(node, *status);
        }
    }
    m_loop.after(processPollInterval, [this] { pollProcesses(); });
}

void SoakRun::handleProcessExit(std::size_t number, int status)
{
    Node &node = m_nodes.at(number);
    const bool wasStopped = node.stopRequestedAt != absl::InfiniteFuture();
    const bool wasKilled = WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL;
    const bool exitedCleanly = WIFEXITED(status) && WEXITSTATUS(status) == 0;
    if (wasKilled) {
        node.killedIncarnations.insert(node.process->incarnation());
    }
    if (!node.exitExpected || (wasStopped && !wasKilled && !exitedCleanly)) {
        m_violations.push_back(absl::StrCat("node ", number, " exited unexpectedly, wait status ", status));
    }
    node.exitExpected = false;
    node.servingSince = absl::InfiniteFuture();
    node.stopRequestedAt = absl::InfiniteFuture();
    if (node.restarts) {
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
    if (!isPlannedOperation(step.action)) {
        m_disturbedUntil = std::max(m_disturbedUntil, m_loop.now() + disturbanceDuration(step.action));
    }
    std::visit([this](const auto &action) { apply(action); }, step.action);
}

void SoakRun::apply(const KillNode &it)
{
    m_nodes.at(it.node).exitExpected = true;
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
    node.exitExpected = true;
    node.stopRequestedAt = std::min(node.stopRequestedAt, m_loop.now());
    if (node.process->isRunning()) {
        node.stopTimes.emplace(node.process->incarnation(), m_loop.now());
    }
    node.process->signal(SIGTERM);
}

void SoakRun::apply(const PauseNode &it)
{
    m_nodes.at(it.node).process->signal(SIGSTOP);
    m_loop.after(it.duration, [this, it] { m_nodes.at(it.node).process->signal(SIGCONT); });
}

void SoakRun::apply(const ReloadNode &it)
{
    if (it.hasChangedSettings) {
        writeSettings(it.node, ++m_settingsChanges % m_size.nodes);
    }
    m_nodes.at(it.node).process->signal(SIGHUP);
}

void SoakRun::apply(const DisturbStorePath &it)
{
    m_platform->setStorePathFault(it.node, it.fault);
    m_loop.after(it.duration, [this, it] { m_platform->setStorePathFault(it.node, PathFault::None); });
}

void SoakRun::apply(const DisturbEnginePath &it)
{
    m_platform->setEnginePathFault(it.engine, it.fault);
    m_loop.after(it.duration, [this, it] { m_platform->setEnginePathFault(it.engine, PathFault::None); });
}

void SoakRun::apply(const TakeStoreDown &it)
{
    m_platform->store().setUnavailable(true);
    m_loop.after(it.duration, [this] { m_platform->store().setUnavailable(false); });
}

void SoakRun::apply(const DropStoreHistory &)
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

void SoakRun::apply(const ChangeDesiredState &it)
{
    m_callers->setDesiredState(m_platform->changeDesiredState(it.change));
}

void SoakRun::apply(const SilenceEngine &it)
{
    m_platform->silenceEngine(it.engine, it.duration);
}

void SoakRun::apply(const BreakAnswers &it)
{
    m_platform->breakAnswers(it.engine, it.manner, it.duration);
}

void SoakRun::apply(const LeaveUnlisted &it)
{
    m_platform->leaveUnlisted(it.engine);
}

void SoakRun::apply(const BackOffEngine &it)
{
    m_platform->backOffEngine(it.engine, it.duration);
}

}
