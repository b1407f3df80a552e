#pragma once

#include "apricotladderd/entry/entrynode.h"
#include "platform/enginestandin.h"
#include "platform/storestandin.h"
#include "protocol/jsonreader.h"
#include "transport/httpclient.h"
#include "transport/httpfetch.h"
#include "transport/thread.h"

#include <absl/time/time.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Apricot {

/// Far longer than any step of these tests takes; a test that waits this long fails.
inline constexpr absl::Duration testTimeout = absl::Seconds(30);

/// Polls until \a condition is true; returns false if that takes far longer than any step of these tests.
bool eventually(const std::function<bool()> &condition);

/// Builds a route of the host of the tests. A streaming route with more than one attempt is resumable.
Json route(const std::string &prefix, const std::string &type, const std::string &service, int attempts, int timeoutMs = 20000);

/// Builds a desired state with the services "desk" and "model", a route of each type, and \a moreRoutes.
Json desiredState(int version, const Json &moreRoutes = Json::array());

/**
 * \class NodeUnderTest
 * \brief Runs an entry node on its own thread; the destructor makes it leave.
 */
class NodeUnderTest
{
public:
    /// \a changeTime is the time in which changes must be in force.
    explicit NodeUnderTest(const std::string &name, const std::string &store, const std::vector<std::string> &seeds = {},
                           std::int64_t threads = EntrySettingsFields().threads, absl::Duration grace = absl::Seconds(20),
                           const std::string &logLevel = "error", absl::Duration changeTime = absl::Seconds(2));
    ~NodeUnderTest();

    NodeUnderTest(const NodeUnderTest &) = delete;
    NodeUnderTest &operator=(const NodeUnderTest &) = delete;

    /// Sends a caller's request on a connection of its own.
    HttpReply call(const std::string &path, const std::string &method = "GET", const std::string &body = {},
                   const std::string &requestId = "attempt") const;

    /// Sends a call to a streaming route whose prompt consists of \a parts, the ids of parts separated by commas.
    HttpReply callWithPrompt(const std::string &path, const std::string &parts) const;

    /// Sends a call with the API key \a key.
    HttpReply callWithKey(const std::string &path, const std::string &key) const;

    /// Sends a call to a streaming route and passes the parts of its response to \a receiver.
    HttpReply stream(const std::string &path, const StreamReceiver &receiver) const;

    /// Sends a call without a body and returns the whole response with its head; its status is 0 if there is none. \a key is the API
    /// key; empty: none.
    FullResponse callWithHead(const std::string &path, const std::string &key = {}) const;

    HttpReply fetch(const std::string &address, const std::string &path) const;

    bool isReady() const;

    const EntrySettings &settings() const
    {
        return m_settings;
    }

    void leave()
    {
        m_node->leave();
    }

    bool hasEnded() const
    {
        return m_ended;
    }

private:
    HttpCall makeCall(const std::string &path, const std::string &method, const std::string &body, const std::string &requestId) const;
    static std::map<std::string, std::string> callHeaders(const std::string &requestId);

    EntrySettings m_settings;
    std::unique_ptr<EntryNode> m_node;
    std::atomic<bool> m_ended{false};
    Thread m_thread;
};

/**
 * \class Platform
 * \brief Fixture: a store with a desired state, and the engines that the test adds.
 */
class Platform
{
public:
    Platform();

    PlatformEngineStandIn &addEngine(const std::string &id, const std::string &service, const std::string &stage,
                                     PlatformEngineStandIn::Behaviour behaviour);

    /// Writes the entry of \a engine to the store, for its lifetime that started at \a startedMs.
    void publishEngine(const PlatformEngineStandIn &engine, const std::string &service, const std::string &stage, const std::string &state,
                       std::int64_t startedMs = 1);

    PlatformStoreStandIn store;
    std::vector<std::unique_ptr<PlatformEngineStandIn>> engines;
};

/**
 * \class PlatformWithNode
 * \brief Fixture: the platform with a node, which the test starts once its engines are registered.
 */
class PlatformWithNode : public Platform
{
public:
    void startNode();

    std::unique_ptr<NodeUnderTest> node; ///< after the engines, which it calls
};

/**
 * \class Gate
 * \brief Holds back what engines do until the test opens it.
 */
class Gate
{
public:
    void open()
    {
        m_isOpen = true;
    }

    /// Runs \a function on \a loop once the gate is open.
    void whenOpen(EventLoop &loop, std::function<void()> function)
    {
        if (m_isOpen) {
            function();
            return;
        }
        loop.after(absl::Milliseconds(5), [this, &loop, function = std::move(function)] { whenOpen(loop, function); });
    }

private:
    std::atomic<bool> m_isOpen{false};
};

void respondSuccessfully(EventLoop &loop, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request);

void respondWithKvHandle(EventLoop &loop, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request);

/// Returns the number of events in an event stream.
int countEventIds(const std::string &stream);

}
