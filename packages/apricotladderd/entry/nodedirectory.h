#pragma once

#include "apricotladderd/entry/entrycontext.h"
#include "apricotladderd/entry/peerlink.h"
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
 * Nodes usually find each other through their seeds. The list in the store is needed when all seed nodes have been replaced.
 */
class NodeDirectory
{
public:
    NodeDirectory(EventLoop &loop, ConnectionPool &pool, EntryContext &context, PeerLink &peerLink);

    /// Writes this node's object and lists the others periodically.
    void start();

    /// Removes this node's object, as part of a planned shutdown.
    void leave();

private:
    void registerSelf();
    void handleRegistration(const char *call, const FetchResult &result);
    void list(const std::string &after);
    void handleListResponse(const FetchResult &result);
    void addPage(const StorePage &page);
    void handleList();
    void removeStaleNodes();
    void send(const HttpRequestHead &head, const std::string &body, HttpFetch::ResultHandler onResult);

    EventLoop &m_loop;
    ConnectionPool &m_pool;
    EntryContext &m_context;
    PeerLink &m_peerLink;
    StaleNodeTracker m_staleNodes;
    absl::Time m_registeredAt = absl::InfiniteFuture(); ///< when the store accepted this node's object
    std::vector<StoredNode> m_stored; ///< nodes from the pages of the current list so far
    std::uint64_t m_ownRevision = 0; ///< latest known revision of this node's object; 0: unknown
    bool m_hasLeft = false;
};

}
