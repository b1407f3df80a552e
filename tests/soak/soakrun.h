#pragma once

#include "soak/nodeprocess.h"
#include "soak/soakcallers.h"
#include "soak/soakledger.h"
#include "soak/soakplatform.h"
#include "soak/soakstep.h"
#include "transport/eventloop.h"

#include <absl/time/time.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Apricot {

/**
 * \class SoakRun
 * \brief One seeded run: starts entry nodes as processes with stand-ins for callers, engines and the store, injects faults, and checks
 * the guarantees to callers.
 */
class SoakRun
{
public:
    /// Writes the settings and logs of the nodes to \a folder. \a program is the path of the node program.
    SoakRun(std::string program, std::string folder, std::uint64_t seed, const SoakSize &size);
    ~SoakRun();

    SoakRun(const SoakRun &) = delete;
    SoakRun &operator=(const SoakRun &) = delete;

    /// Executes the run. Returns descriptions of the violated guarantees.
    std::vector<std::string> run();

    std::string summary() const
    {
        return m_ledger.summary();
    }

private:
    struct Node
    {
        std::unique_ptr<NodeProcess> process;
        std::string settings;
        bool exitExpected = false; ///< the process was sent SIGTERM or SIGKILL
        bool restarts = true;
        absl::Time stopRequestedAt = absl::InfiniteFuture();
        absl::Time servingSince = absl::InfiniteFuture(); ///< when the current process answered its first call
        std::map<int, absl::Time> stopTimes; ///< when each incarnation was asked to stop
        std::set<int> killedIncarnations; ///< incarnations that ended by SIGKILL, whose last log lines are lost
    };

    /// Writes the settings file of a node. The seeds begin with that of node \a firstSeed.
    void writeSettings(std::size_t node, std::size_t firstSeed) const;
    void apply(const SoakStep &step);
    void apply(const KillNode &it);
    void apply(const KillAllNodes &it);
    void apply(const RestartNode &it);
    void apply(const PauseNode &it);
    void apply(const ReloadNode &it);
    void apply(const DisturbStorePath &it);
    void apply(const DisturbEnginePath &it);
    void apply(const TakeStoreDown &it);
    void apply(const DropStoreHistory &it);
    void apply(const ReplaceEngine &it);
    void apply(const CrashEngine &it);
    void apply(const ChangeDesiredState &it);
    void apply(const SilenceEngine &it);
    void apply(const BreakAnswers &it);
    void apply(const LeaveUnlisted &it);
    void apply(const BackOffEngine &it);
    NodeCondition nodeCondition(std::size_t node, int incarnation, absl::Time start) const;
    void pollProcesses();
    void handleProcessExit(std::size_t node, int status);
    void runFor(absl::Duration duration);
    bool runUntil(const std::function<bool()> &condition, absl::Duration timeout);
    bool waitUntilServing(std::size_t node, CallKind kind);
    void stopNodes();
    void checkFailuresExplained();

    std::string m_program;
    std::string m_folder;
    SoakSize m_size;
    std::uint64_t m_seed;
    EventLoop m_loop;
    SoakLedger m_ledger;
    std::unique_ptr<SoakPlatform> m_platform;
    std::vector<Node> m_nodes;
    std::vector<std::string> m_addresses; ///< caller addresses, indexed by node
    std::unique_ptr<SoakCallers> m_callers;
    std::vector<std::string> m_violations;
    std::size_t m_settingsChanges = 0;
    absl::Time m_disturbedUntil = absl::InfinitePast();
};

}
