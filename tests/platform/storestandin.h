#pragma once

#include "protocol/jsonreader.h"
#include "transport/eventloop.h"
#include "transport/httplistener.h"
#include "transport/thread.h"

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Apricot {

/**
 * \class PlatformStoreStandIn
 * \brief Stand-in for the platform's object store with the calls that an entry node uses: lists, watches, writes.
 */
class PlatformStoreStandIn
{
public:
    PlatformStoreStandIn();
    ~PlatformStoreStandIn();

    PlatformStoreStandIn(const PlatformStoreStandIn &) = delete;
    PlatformStoreStandIn &operator=(const PlatformStoreStandIn &) = delete;

    std::string address() const
    {
        return m_address;
    }

    /// Another address of the same store, whose nodes it can turn away while it serves the rest.
    std::string restrictedAddress() const
    {
        return m_restrictedAddress;
    }

    /// Sets whether calls at restrictedAddress() get 503. Aborts the pending watches there.
    void setTurnsAway(bool turnsAway);

    /// Writes or removes an object, and responds to the pending watches of its kind.
    void put(const std::string &kind, const std::string &name, const Json &spec);
    void remove(const std::string &kind, const std::string &name);

    /// Writes an object whose spec is sent as \a text, which need not be JSON.
    void putText(const std::string &kind, const std::string &name, const std::string &text);

    /// Returns the names of all objects of a kind.
    std::vector<std::string> names(const std::string &kind);

    /// Sets whether every call gets 503. Aborts the pending watches.
    void setUnavailable(bool unavailable);

    /// Sets whether the answers to writes are held back. A write is carried out when its answer is released.
    void setHoldsWrites(bool holds);

    /// Sets the kind whose watches get no answer to a change: it is lost, and the connection stays open. Empty: none.
    void setLosesWatchAnswers(const std::string &kind);

    /// Number of watches that wait for a change.
    std::size_t watchCount();

    /// Number of writes that are held back.
    std::size_t heldWriteCount();

    /// Discards the event history, so that watches from an earlier revision get 410. Aborts the pending watches.
    void compactHistory();

    /// Number of calls received.
    int callCount() const
    {
        return m_callCount;
    }

private:
    struct Object
    {
        Json spec;
        std::uint64_t revision = 0;
    };

    struct Event
    {
        std::string kind;
        std::uint64_t revision = 0;
        Json json;
    };

    struct HeldWrite
    {
        HttpServerConnection::Ptr connection;
        HttpRequestHead head;
        std::string body;
    };

    struct PendingWatch
    {
        HttpServerConnection::Ptr connection;
        std::string kind;
        std::uint64_t afterRevision = 0;
        bool isRestricted = false; ///< it came at restrictedAddress()
        std::uint64_t number = 0;
    };

    std::unique_ptr<HttpListener> listen(bool isRestricted);
    void handle(const HttpServerConnection::Ptr &connection, const HttpRequestHead &head, const std::string &body, bool isRestricted);
    void abortWatches(bool onlyRestricted);
    void handleWrite(const HttpServerConnection::Ptr &connection, const HttpRequestHead &head, const std::string &body);
    void respondObject(const HttpServerConnection::Ptr &connection, int status, const std::string &kind, const std::string &name);
    /// Responds with the objects whose names follow \a after; a page has about 1 MB at most.
    void respondList(const HttpServerConnection::Ptr &connection, const std::string &kind, const std::string &after);
    std::size_t specBytes(const Json &spec) const;
    void beginWatch(const HttpServerConnection::Ptr &connection, const std::string &kind, const std::string &target, bool isRestricted);
    void endWatch(std::uint64_t number);
    bool tryRespondWatch(const HttpServerConnection::Ptr &connection, const std::string &kind, std::uint64_t afterRevision);
    void respondJson(const HttpServerConnection::Ptr &connection, int status, const Json &json) const;
    void applyChange(const std::string &kind, const std::string &name, const Json *spec);
    void runOnLoop(std::function<void()> task);

    EventLoop m_loop;
    std::unique_ptr<HttpListener> m_listener;
    std::unique_ptr<HttpListener> m_restrictedListener;
    std::string m_address;
    std::string m_restrictedAddress;
    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::map<std::string, std::string> m_specTexts; ///< text that replaces a string in responses
    std::vector<Event> m_events;
    std::vector<PendingWatch> m_pendingWatches;
    std::uint64_t m_watchCount = 0; ///< watches that have waited for a change
    std::string m_kindWithLostAnswers;
    std::uint64_t m_revision = 10;
    std::uint64_t m_compactedRevision = 0; ///< events before this revision are discarded
    bool m_isUnavailable = false;
    bool m_turnsAway = false;
    bool m_holdsWrites = false;
    std::vector<HeldWrite> m_heldWrites;
    std::atomic<int> m_callCount{0};
    Thread m_thread;
};

}
