#pragma once

#include "platform/enginestandin.h"
#include "platform/storestandin.h"
#include "soak/loopbackproxy.h"
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
    void crashEngine(std::size_t engine);

    /// Writes a desired state with one more route. Returns the number of the change.
    int changeDesiredState();

    /// Returns the path prefix of the route that change \a number added.
    static std::string changeRoutePrefix(int number);

private:
    struct EngineEntry
    {
        std::string id;
        std::string service;
        std::string phase; ///< empty for engines that send complete responses
        int incarnation = 0;
        std::unique_ptr<PlatformEngineStandIn> engine;
        std::unique_ptr<LoopbackProxy> path;
    };

    void startEngine(EngineEntry &entry);
    void registerEngine(const EngineEntry &entry, const char *state);
    PlatformEngineStandIn::Behaviour makeBehaviour(const EngineEntry &entry);
    void runCall(EventLoop &loop, const HttpServerConnection::Ptr &connection, const ReceivedRequest &arrival, const std::string &engine);
    void runStream(EventLoop &loop, const HttpServerConnection::Ptr &connection, const ReceivedRequest &arrival, const std::string &engine);

    EventLoop &m_loop;
    SoakLedger &m_ledger;
    PlatformStoreStandIn m_store;
    std::vector<std::unique_ptr<LoopbackProxy>> m_storePaths;
    std::vector<EngineEntry> m_engines;
    std::vector<std::unique_ptr<LoopbackProxy>> m_leavingPaths;
    std::vector<std::unique_ptr<PlatformEngineStandIn>> m_leavingEngines;
    int m_changes = 0;
    std::atomic<std::uint64_t> m_requestCount{0}; ///< requests to all engines except DELETE; selects the declined and the slow ones
};

}
