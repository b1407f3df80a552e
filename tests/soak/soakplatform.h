#pragma once

#include "platform/storestandin.h"
#include "soak/loopbackproxy.h"
#include "soak/soakengine.h"
#include "soak/soakledger.h"

#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace Apricot {

/**
 * \class SoakPlatform
 * \brief Stand-ins for the store and the engines behind fault-injecting proxies. Records in the ledger what the engines run.
 */
class SoakPlatform
{
public:
    /// \a loop runs the proxies. All functions must be called on its thread.
    SoakPlatform(EventLoop &loop, SoakLedger &ledger, const SoakSize &size);
    ~SoakPlatform();

    SoakPlatform(const SoakPlatform &) = delete;
    SoakPlatform &operator=(const SoakPlatform &) = delete;

    /// Returns the address at which \a node reaches the store.
    std::string storeAddress(std::size_t node) const;

    void setStorePathFault(std::size_t node, PathFault fault);
    void setEnginePathFault(std::size_t engine, PathFault fault);

    PlatformStoreStandIn &store()
    {
        return m_store;
    }

    /// Replaces an engine as planned: the old one serves for a while longer, and a new one with another id starts.
    void replaceEngine(std::size_t engine);

    /// Like replaceEngine(), but the store learns late that the engine leaves.
    void leaveUnlisted(std::size_t engine);

    /// Makes an engine refuse all requests for \a duration.
    void backOffEngine(std::size_t engine, absl::Duration duration);
    void crashEngine(std::size_t engine);

    /// Makes an engine silent for \a duration; it stays sound.
    void silenceEngine(std::size_t engine, absl::Duration duration);

    /// Makes an engine break off the answers that it begins during \a duration.
    void breakAnswers(std::size_t engine, BreakOff manner, absl::Duration duration);

    /// Writes the next desired state, and returns it.
    SoakDesiredState changeDesiredState(const DesiredChange &change);

private:
    struct EngineEntry
    {
        SoakEngineIdentity identity;
        std::unique_ptr<SoakEngine> engine;
        std::unique_ptr<LoopbackProxy> path;
    };

    void addEngine(const SoakEngineIdentity &identity);
    void startEngine(EngineEntry &entry);
    void registerEngine(const EngineEntry &entry, const char *state);
    void startSuccessor(std::size_t engine, absl::Duration removalDelay);

    EventLoop &m_loop;
    SoakLedger &m_ledger;
    PlatformStoreStandIn m_store;
    std::vector<std::unique_ptr<LoopbackProxy>> m_storePaths;
    std::vector<EngineEntry> m_engines; ///< those that steps name, then those of the second services
    std::vector<std::unique_ptr<LoopbackProxy>> m_leavingPaths;
    std::vector<std::unique_ptr<SoakEngine>> m_leavingEngines;
    SoakDesiredState m_desired;
    std::atomic<std::uint64_t> m_requestCount{0}; ///< requests to all engines except DELETE; selects the declined and the slow ones
};

}
