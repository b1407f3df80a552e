#pragma once

#include "apricotladderd/cellservice.h"
#include "apricotladderd/currentconfig.h"
#include "apricotladderd/storeclient.h"
#include "transport/periodictask.h"

#include <functional>
#include <memory>
#include <optional>

namespace Apricot {

/**
 * \class ConfigSync
 * \brief Fetches newer configuration generations: from peers, and on a few watching nodes of each data centre from the store.
 */
class ConfigSync
{
public:
    ConfigSync(CellService &cell, CurrentConfig &keeper, StoreClient &store, Journal &journal);

    /// Starts the periodic tasks; \a changed runs after each new generation comes into force.
    void start(std::function<void()> changed);
    void stop();

    /// Handles the announcement of a newer generation by a peer.
    void peerHasNewer();

private:
    void pull();
    bool pullFromPeers();
    void watch();
    bool isWatcher() const;
    Result<Generation> readPointer();
    bool fetch(const Generation &generation);
    void accept(const Generation &generation, const std::string &snapshot);

    CellService &m_cell;
    CurrentConfig &m_keeper;
    StoreClient &m_store;
    Journal &m_journal;
    std::function<void()> m_changed;
    std::uint64_t m_watchVersion = 0; ///< store version after which the watch continues; used only by the watching thread
    std::unique_ptr<PeriodicTask> m_pull;
    std::unique_ptr<PeriodicTask> m_watch;
};

}
