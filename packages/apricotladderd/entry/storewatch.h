#pragma once

#include "apricotladderd/entry/entrycontext.h"
#include "platform/storeobjects.h"
#include "transport/connectionpool.h"
#include "transport/eventloop.h"
#include "transport/httpfetch.h"

#include <absl/time/time.h>

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace Apricot {

/**
 * \class StoreWatch
 * \brief Follows all objects of one kind in the platform's store: a list, then watches from its revision, a list again
 * whenever a watch fails.
 */
class StoreWatch
{
public:
    struct Callbacks
    {
        std::function<void(const StoreEntry &)> changed;
        std::function<void(const std::string &name)> removed;

        /// A whole list came: what is not among \a names does not exist. \a afterOutage if the store was away before.
        std::function<void(const std::set<std::string> &names, bool afterOutage)> listed;
    };

    StoreWatch(EventLoop &loop, ConnectionPool &pool, EntryContext &context, std::string kind, Callbacks callbacks);
    ~StoreWatch();

    StoreWatch(const StoreWatch &) = delete;
    StoreWatch &operator=(const StoreWatch &) = delete;

    void start();

    /// Lists anew: a peer knows more than this node.
    void refresh();

    /// Revision that is known here; 0 before the first list.
    std::uint64_t revision() const
    {
        return m_revision;
    }

    /// Whether the last call was answered.
    bool isInTouch() const
    {
        return m_inTouch;
    }

private:
    void list(const std::string &after);
    void listAnswered(const std::string &body);
    void watch();
    void watchAnswered(const FullResponse &answer);
    void call(const char *what, const HttpRequestHead &request, absl::Duration timeout, bool takesKept,
              std::function<void(const FullResponse &)> answered);
    void failed(const char *what, const std::string &why);
    void succeeded();
    void take(const StoreEntry &object);

    EventLoop &m_loop;
    ConnectionPool &m_pool;
    EntryContext &m_context;
    std::string m_kind;
    Callbacks m_callbacks;
    std::shared_ptr<HttpFetch> m_question;
    TimerId m_retry = 0;
    std::uint64_t m_revision = 0;
    std::set<std::string> m_listedNames;
    std::uint64_t m_listRevision = 0;
    bool m_inTouch = false;
    bool m_wasOut = false; ///< a call failed since the last whole list
    bool m_everInTouch = false;
    absl::Duration m_backoff;
};

}
