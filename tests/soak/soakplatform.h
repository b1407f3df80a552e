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
 * \brief The store and the engines, each behind proxies. What engines run goes into the ledger.
 */
class SoakPlatform
{
public:
    /// \a loop is the one of the proxies; all functions are for its thread.
    SoakPlatform(EventLoop &loop, SoakLedger &ledger, const SoakSize &size);
    ~SoakPlatform();

    SoakPlatform(const SoakPlatform &) = delete;
    SoakPlatform &operator=(const SoakPlatform &) = delete;

    /// Where \a node reaches the store.
    std::string storeAddress(std::size_t node) const;

    void harmStorePath(std::size_t node, PathHarm harm);
    void harmEnginePath(std::size_t engine, PathHarm harm);

    PlatformStoreStandIn &store()
    {
        return m_store;
    }

    /// Takes an engine away as planned: it serves on for a while, and a new one takes its place.
    void replaceEngine(std::size_t engine);
    void crashEngine(std::size_t engine);

    /// Writes a desired state with one more route; returns its number.
    int changeDesiredState();

    /// Prefix of the route that came with change \a number.
    static std::string routeOfChange(int number);

private:
    struct Place
    {
        std::string id;
        std::string service;
        std::string stage; ///< empty: answers as a whole
        int lives = 0;
        std::unique_ptr<PlatformEngineStandIn> engine;
        std::unique_ptr<LoopbackProxy> path;
    };

    void startEngine(Place &place);
    void announce(const Place &place, const char *state);
    PlatformEngineStandIn::Behaviour behaviourOf(const Place &place);
    void runWhole(EventLoop &loop, const HttpServerConnection::Ptr &connection, const ReceivedRequest &arrival, const std::string &engine);
    void runStream(EventLoop &loop, const HttpServerConnection::Ptr &connection, const ReceivedRequest &arrival, const std::string &engine);

    EventLoop &m_loop;
    SoakLedger &m_ledger;
    PlatformStoreStandIn m_store;
    std::vector<std::unique_ptr<LoopbackProxy>> m_storePaths;
    std::vector<Place> m_places;
    std::vector<std::unique_ptr<LoopbackProxy>> m_leavingPaths;
    std::vector<std::unique_ptr<PlatformEngineStandIn>> m_leaving;
    int m_changes = 0;
    std::atomic<std::uint64_t> m_turn{0}; ///< engines' threads draw from it how long work takes
};

}
