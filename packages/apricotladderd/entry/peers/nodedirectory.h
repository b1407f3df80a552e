#pragma once

#include "apricotladderd/entry/engines/malformedentries.h"
#include "apricotladderd/entry/entrycontext.h"
#include "apricotladderd/entry/peers/peerlink.h"
#include "coordination/stalenodetracker.h"
#include "platform/storeobjects.h"
#include "transport/connectionpool.h"
#include "transport/eventloop.h"
#include "transport/httpfetch.h"

#include <absl/time/time.h>

#include <functional>
#include <string>
#include <vector>

namespace Apricot {

/**
 * \class NodeDirectory
 * \brief The node objects in the platform's store: writes this node's, reads all others, removes those of stale nodes.
 *
 * Nodes usually find each other through their seeds. The list in the store is needed when all seed nodes have been replaced. It
 * contains the nodes that are or were active, which know the others.
 */
class NodeDirectory
{
public:
    NodeDirectory(EventLoop &loop, ConnectionPool &pool, EntryContext &context, PeerLink &peerLink);

    /// Writes this node's object if it has not been written, and lists the others periodically.
    void start();

    /// Stops listing the others. This node's object stays in the store.
    void pause();

    /// Removes this node's object, as part of a planned shutdown.
    void leave();

    /// Whether leave() was called and the removal of the object has neither succeeded nor failed yet.
    bool isLeaving() const
    {
        return m_isLeaving;
    }

private:
    void registerSelf();
    void handleRegistration(const char *call, const FetchResult &result);
    void list(const std::string &after);
    void listLater();
    void handleListResponse(const FetchResult &result, const std::string &after);
    void addPage(const StorePage &page);
    void handleList();
    void removeStaleNodes();
    void removeSelf();
    void send(const HttpRequestHead &head, const std::string &body, HttpFetch::ResultHandler onResult);

    EventLoop &m_loop;
    ConnectionPool &m_pool;
    EntryContext &m_context;
    PeerLink &m_peerLink;
    MalformedEntries m_malformed;
    StaleNodeTracker m_staleNodes;
    absl::Time m_registeredAt = absl::InfiniteFuture(); ///< when the store accepted this node's object
    std::vector<StoredNode> m_stored; ///< nodes from the pages of the current list so far
    std::uint64_t m_ownRevision = 0; ///< latest known revision of this node's object; 0: unknown
    TimerId m_listTimer = 0;
    bool m_isStarted = false;
    bool m_isRegistering = false; ///< a write of this node's object has not been answered yet
    bool m_hasLeft = false;
    bool m_isLeaving = false; ///< the object is yet to be removed
};

}
