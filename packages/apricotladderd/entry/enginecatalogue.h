#pragma once

#include "apricotladderd/entry/entrycontext.h"
#include "apricotladderd/entry/storewatch.h"
#include "protocol/cellmessage.h"
#include "transport/connectionpool.h"
#include "transport/eventloop.h"

#include <absl/time/time.h>

#include <map>
#include <memory>
#include <set>
#include <string>

namespace Apricot {

/**
 * \class EngineCatalogue
 * \brief Keeps the board of engines at what the platform's store says, or a peer while the store does not serve this node.
 */
class EngineCatalogue
{
public:
    EngineCatalogue(EventLoop &loop, ConnectionPool &pool, EntryContext &context);
    ~EngineCatalogue();

    EngineCatalogue(const EngineCatalogue &) = delete;
    EngineCatalogue &operator=(const EngineCatalogue &) = delete;

    void start();

    /// Lists anew: a peer knows more than this node.
    void refresh();

    /// Takes in the engines of a peer if they are newer.
    void takeFromPeer(const CellState &state, const NodeId &from);

    /// Revision of the store that the engines are from; 0 before any is known.
    std::uint64_t revision() const;

    /// Whether the store answers.
    bool isInTouch() const
    {
        return m_watch->isInTouch();
    }

private:
    void take(const StoreEntry &object);
    void forget(const EngineId &engine, const char *why);
    void forgetLater(const EngineId &engine);
    void listed(const std::set<std::string> &names, bool afterOutage);
    void cancelRemoval(const EngineId &engine);

    EventLoop &m_loop;
    EntryContext &m_context;
    std::map<EngineId, TimerId> m_removals; ///< engines that are missing from the store after an outage
    absl::Time m_regained = absl::InfinitePast(); ///< when the store came back last
    std::uint64_t m_peerRevision = 0; ///< of engines learnt from a peer
    std::set<std::string> m_malformed; ///< entries that were reported
    std::unique_ptr<StoreWatch> m_watch; ///< last, as it uses the others
};

}
