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
 * \brief The platform's store as its pages describe it, as far as an entry node uses it: lists, watches, writes.
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

    /// Writes an object, or removes it; watches are answered.
    void put(const std::string &kind, const std::string &name, const Json &spec);
    void remove(const std::string &kind, const std::string &name);

    /// Names of the objects of a kind.
    std::vector<std::string> names(const std::string &kind);

    /// Answers every call with 503 while \a down is set.
    void setUnavailable(bool down);

    /// Forgets the history: watches from before get 410.
    void compactHistory();

    int calls() const
    {
        return m_calls;
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

    struct Waiting
    {
        HttpServerConnection::Ptr connection;
        std::string kind;
        std::uint64_t since = 0;
    };

    void handle(const HttpServerConnection::Ptr &connection, const HttpRequestHead &head, const std::string &body);
    void write(const HttpServerConnection::Ptr &connection, const HttpRequestHead &head, const std::string &body);
    void answerObject(const HttpServerConnection::Ptr &connection, int status, const std::string &kind, const std::string &name);
    void answerList(const HttpServerConnection::Ptr &connection, const std::string &kind);
    bool answerWatch(const HttpServerConnection::Ptr &connection, const std::string &kind, std::uint64_t since);
    void change(const std::string &kind, const std::string &name, const Json *spec);
    void onLoop(std::function<void()> task);

    EventLoop m_loop;
    std::unique_ptr<HttpListener> m_listener;
    std::string m_address;
    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::vector<Event> m_events;
    std::vector<Waiting> m_waiting;
    std::uint64_t m_revision = 10;
    std::uint64_t m_forgotten = 0; ///< history up to here is gone
    bool m_down = false;
    std::atomic<int> m_calls{0};
    Thread m_thread;
};

}
