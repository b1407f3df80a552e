#pragma once

#include "apricotladderd/entry/engines/malformedentries.h"
#include "apricotladderd/entry/entrycontext.h"
#include "apricotladderd/entry/storewatch.h"
#include "protocol/cellmessage.h"
#include "transport/connectionpool.h"
#include "transport/eventloop.h"

#include <absl/time/time.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Apricot {

/**
 * \class EngineCatalogue
 * \brief Updates the service pools from the platform's store, or from a peer while this node cannot reach the store.
 */
class EngineCatalogue
{
public:
    EngineCatalogue(EventLoop &loop, ConnectionPool &pool, EntryContext &context);
    ~EngineCatalogue();

    EngineCatalogue(const EngineCatalogue &) = delete;
    EngineCatalogue &operator=(const EngineCatalogue &) = delete;

    /// Starts or resumes watching the store.
    void start();

    /// Stops watching the store; peers tell this node what changes.
    void pause();

    /// \see StoreWatch::setConfirmInterval()
    void setConfirmInterval(std::optional<absl::Duration> interval)
    {
        m_watch->setConfirmInterval(interval);
    }

    /// Lists all engines again, because a peer has a newer list of engines.
    void refresh();

    /// Replaces the engines by those of a peer if the peer's are newer.
    void updateFromPeer(const CellState &state, const NodeId &from);

    /// Store revision up to which changes are known, from the store or a peer; 0 before either.
    std::uint64_t knownRevision() const;

    /// Store revision of the last change that is known.
    std::uint64_t changeRevision() const
    {
        return m_changeRevision;
    }

    /// Whether the last call to the store was answered.
    bool isConnected() const
    {
        return m_watch->isConnected();
    }

private:
    /// Returns whether the entry is valid.
    bool handleEntry(const StoredObject &stored);
    void recordChange(std::uint64_t revision);
    /// Returns whether the engine was known.
    bool removeEngine(const EngineId &engine, const char *why);
    void scheduleRemoval(const EngineId &engine);
    bool handleList(const std::set<std::string> &names, bool afterOutage);
    void cancelRemoval(const EngineId &engine);

    EventLoop &m_loop;
    EntryContext &m_context;
    std::map<EngineId, TimerId> m_removals; ///< pending removals of engines missing from the store after an outage
    absl::Time m_storeRecoveredAt = absl::InfinitePast(); ///< when the store was last reachable again after an outage
    std::uint64_t m_peerRevision = 0; ///< store revision of the engines received from a peer
    std::uint64_t m_changeRevision = 0; ///< store revision of the last change that is known
    MalformedEntries m_malformed;
    std::unique_ptr<StoreWatch> m_watch; ///< declared last: its callbacks use the other members
};

}
