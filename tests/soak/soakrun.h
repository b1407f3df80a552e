#pragma once

#include "soak/nodeprocess.h"
#include "soak/soakcallers.h"
#include "soak/soakledger.h"
#include "soak/soakplatform.h"
#include "soak/soakstep.h"
#include "transport/eventloop.h"

#include <absl/time/time.h>

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Apricot {

/**
 * \class SoakRun
 * \brief One seeded run: entry nodes as processes, callers, engines, a store, faults from outside, and the check of all promises.
 */
class SoakRun
{
public:
    /// \a folder is where settings and logs of the nodes go.
    SoakRun(std::string program, std::string folder, std::uint64_t seed, const SoakSize &size);
    ~SoakRun();

    SoakRun(const SoakRun &) = delete;
    SoakRun &operator=(const SoakRun &) = delete;

    /// Carries the run out; returns the promises that were broken.
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
        bool mayEnd = false; ///< it was told to stop or killed
        bool startsAgain = true;
        absl::Time stopAsked = absl::InfiniteFuture();
        std::set<int> killed; ///< lifetimes that ended by a kill: the last lines of their logs are lost with them
    };

    void writeSettings(std::size_t node) const;
    void apply(const SoakStep &step);
    void apply(const KillNode &it);
    void apply(const KillAllNodes &it);
    void apply(const RestartNode &it);
    void apply(const PauseNode &it);
    void apply(const ReloadNode &it);
    void apply(const HarmStorePath &it);
    void apply(const HarmEnginePath &it);
    void apply(const StoreIsDown &it);
    void apply(const StoreForgets &it);
    void apply(const ReplaceEngine &it);
    void apply(const CrashEngine &it);
    void apply(const ChangeDesiredState &it);
    void watchProcesses();
    void processEnded(std::size_t node, int status);
    void runFor(absl::Duration length);
    bool runUntil(const std::function<bool()> &holds, absl::Duration limit);
    bool serves(std::size_t node, CallKind kind);
    void stopNodes();
    void checkExplained();

    std::string m_program;
    std::string m_folder;
    SoakSize m_size;
    std::uint64_t m_seed;
    EventLoop m_loop;
    SoakLedger m_ledger;
    std::unique_ptr<SoakPlatform> m_platform;
    std::vector<Node> m_nodes;
    std::vector<std::string> m_addresses; ///< of the nodes, for callers
    std::unique_ptr<SoakCallers> m_callers;
    std::vector<std::string> m_broken;
    absl::Time m_disturbedUntil = absl::InfinitePast();
};

}
