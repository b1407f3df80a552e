#pragma once

#include "apricotladderd/cellservice.h"
#include "apricotladderd/configkeeper.h"
#include "apricotladderd/storeclient.h"
#include "transport/periodictask.h"

#include <functional>
#include <memory>
#include <optional>

namespace Apricot {

/**
 * \class ConfigSync
 * \brief Brings newer generations to this node: from peers, and on the few watching nodes from the store.
 */
class ConfigSync
{
public:
    ConfigSync(CellService &cell, ConfigKeeper &keeper, StoreClient &store, Journal &journal);

    /// \a changed runs after a new generation came into force.
    void start(std::function<void()> changed);
    void stop();

    /// A peer announced a newer generation.
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
    ConfigKeeper &m_keeper;
    StoreClient &m_store;
    Journal &m_journal;
    std::function<void()> m_changed;
    std::uint64_t m_watchVersion = 0; ///< used by the watching thread only
    std::unique_ptr<PeriodicTask> m_pull;
    std::unique_ptr<PeriodicTask> m_watch;
};

}
