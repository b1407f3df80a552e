#pragma once

#include "apricotladderd/entry/entrycontext.h"
#include "platform/storeobjects.h"
#include "transport/connectionpool.h"
#include "transport/eventloop.h"
#include "transport/httpfetch.h"

#include <absl/time/time.h>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Apricot {

/**
 * \class StoreWatch
 * \brief Watches all objects of one kind in the platform's store: lists them, then watches from the list's revision; lists
 * again whenever a watch fails.
 */
class StoreWatch
{
public:
    struct Callbacks
    {
        /// Called for each object that exists; returns whether it is valid. An object that is not is not among the names of onListed.
        std::function<bool(const StoredObject &)> onChanged;
        std::function<void(const std::string &name)> onRemoved;

        /// Called after the changes of a watch: \a revision is that of the last one.
        std::function<void(std::uint64_t revision)> onWatched = [](std::uint64_t) {
        };

        /// Called after a complete list: an object not among \a names does not exist. \a afterOutage: a call has failed before it.
        std::function<void(const std::set<std::string> &names, bool afterOutage)> onListed;
    };

    StoreWatch(EventLoop &loop, ConnectionPool &pool, EntryContext &context, std::string kind, Callbacks callbacks);
    ~StoreWatch();

    StoreWatch(const StoreWatch &) = delete;
    StoreWatch &operator=(const StoreWatch &) = delete;

    /// Starts or resumes watching, with a list.
    void start();

    /// Stops watching; what is known stays known.
    void pause();

    /// Sets how long a watch waits at most, if this node has to confirm that the watches miss nothing. A watch that is not answered in
    /// time is sent again on another connection at once. std::nullopt: watches are long.
    void setConfirmInterval(std::optional<absl::Duration> interval);

    /// Whether start() was called, and not pause() after it.
    bool isStarted() const
    {
        return m_started;
    }

    /// Lists all objects again, because a peer has newer objects.
    void refresh();

    /// Store revision up to which changes are known; 0 before the first list.
    std::uint64_t revision() const
    {
        return m_revision;
    }

    /// Whether the last call to the store was answered.
    bool isConnected() const
    {
        return m_connected;
    }

private:
    void cancelCalls();
    void list(const std::string &after);
    void handleListResponse(const FullResponse &response, const std::string &after);
    void watch();
    void handleWatchResponse(const FullResponse &response);
    /// Asks for the changes since the last known revision on a new connection, as the watch may have lost its answer.
    void repeatWatch();
    void handleWatchError(FetchError why);
    absl::Duration watchDuration() const;
    absl::Duration watchTimeout() const;
    /// Records how long the store took to answer beyond the \a duration that it was to wait.
    void recordAnswerTime(absl::Duration duration);
    void sendCall(const HttpRequestHead &head, absl::Duration timeout, bool mayReuseConnection, HttpFetch::ResultHandler onResult);
    void handleFailure(const char *callName, const std::string &why);
    void handleSuccess();
    void notifyChange(const StoredObject &object);

    EventLoop &m_loop;
    ConnectionPool &m_pool;
    EntryContext &m_context;
    std::string m_kind;
    Callbacks m_callbacks;
    std::shared_ptr<HttpFetch> m_fetch;
    TimerId m_nextCallTimer = 0;
    std::uint64_t m_revision = 0;
    std::set<std::string> m_listedNames;
    std::uint64_t m_listRevision = 0;
    bool m_started = false;
    bool m_connected = false;
    bool m_failedSinceList = false; ///< a call has failed since the last complete list
    bool m_wasConnected = false;
    std::optional<absl::Duration> m_confirmInterval; ///< longest duration of a watch; std::nullopt: maxWatchDuration
    absl::Duration m_answerTime; ///< of the last watch, beyond its duration
    absl::Time m_callStart; ///< when the current call was sent
    bool m_isWatching = false; ///< the current call is a watch
    absl::Duration m_backoff;
};

}
