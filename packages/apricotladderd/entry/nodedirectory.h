#pragma once

#include "apricotladderd/entry/celllink.h"
#include "apricotladderd/entry/entrycontext.h"
#include "coordination/gonenodes.h"
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
 * \brief The nodes' own objects in the platform's store: writes this node's, reads the others', removes those that are gone.
 *
 * Seeds lead most nodes to each other; the store does it when all seeds were replaced.
 */
class NodeDirectory
{
public:
    NodeDirectory(EventLoop &loop, ConnectionPool &pool, EntryContext &context, CellLink &cell);

    /// Writes this node's object and follows the others.
    void start();

    /// Removes this node's object: it leaves as planned.
    void leave();

private:
    void registerSelf();
    void registered(const char *call, const FetchResult &end);
    void list(const std::string &after);
    void listAnswered(const FetchResult &end);
    void takePage(const StorePage &page);
    void listed();
    void removeGone();
    void ask(const HttpRequestHead &head, const std::string &body, HttpFetch::ResultHandler ended);

    EventLoop &m_loop;
    ConnectionPool &m_pool;
    EntryContext &m_context;
    CellLink &m_cell;
    GoneNodes m_gone;
    absl::Time m_registeredAt = absl::InfiniteFuture(); ///< when the store took this node's object
    std::vector<StoredNode> m_stored; ///< pages of the list that is under way
    std::uint64_t m_ownRevision = 0; ///< of this node's object, as far as it is known; 0: not at all
    bool m_hasLeft = false;
};

}
