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
    ConfigSync(CellService &cell, CurrentConfig &config, StoreClient &store, Journal &journal);

    /// Starts the periodic tasks; \a onChanged runs after the activation of each new generation.
    void start(std::function<void()> onChanged);
    void stop();

    /// Handles the announcement of a newer generation by a peer.
    void handleNewerGeneration();

private:
    void pull();
    bool pullFromPeers();
    void watch();
    bool isWatcher() const;
    Result<Generation> readPointer();
    bool fetch(const Generation &generation);
    void activate(const Generation &generation, const std::string &snapshot);

    CellService &m_cell;
    CurrentConfig &m_config;
    StoreClient &m_store;
    Journal &m_journal;
    std::function<void()> m_onChanged;
    std::uint64_t m_watchVersion = 0; ///< store version after which the watch continues; used only by the watching thread
    std::unique_ptr<PeriodicTask> m_pullTask;
    std::unique_ptr<PeriodicTask> m_watchTask;
};

}
