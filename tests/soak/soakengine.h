#pragma once

#include "soak/soakledger.h"
#include "soak/soakserverconnection.h"
#include "soak/soakstep.h"
#include "transport/eventloop.h"
#include "transport/tcplistener.h"
#include "transport/thread.h"

#include <absl/time/time.h>

#include <atomic>
#include <memory>
#include <set>
#include <string>

namespace Apricot {

/// Name and role of one lifetime of an engine.
struct SoakEngineIdentity
{
    std::string id;
    std::string service;
    std::string phase; ///< empty for engines that send whole responses
    int incarnation = 0;

    /// Name of this lifetime.
    std::string lifetime() const
    {
        return id + "/" + std::to_string(incarnation);
    }

    friend bool operator==(const SoakEngineIdentity &, const SoakEngineIdentity &) = default;
};

/**
 * \class SoakEngine
 * \brief Stand-in for one engine, with its own thread. Records in the ledger what it runs, and what it breaks off.
 *
 * Of its answers, some are declined, some slow, and some have neither a length nor chunks.
 */
class SoakEngine
{
public:
    /// \a requestCount counts the requests to all engines except DELETE, and selects the declined, the slow and the unframed ones.
    SoakEngine(SoakEngineIdentity identity, SoakLedger &ledger, std::atomic<std::uint64_t> &requestCount);
    ~SoakEngine();

    SoakEngine(const SoakEngine &) = delete;
    SoakEngine &operator=(const SoakEngine &) = delete;

    const std::string &address() const
    {
        return m_address;
    }

    /// Sends nothing for \a duration, and then goes on where it was. Does nothing shortly after another silence. Thread-safe.
    void fallSilent(absl::Duration duration);

    /// Breaks off the answers that begin during \a duration in the given \a manner. Thread-safe.
    void breakAnswers(BreakOff manner, absl::Duration duration);

    /// Says in all answers from now on that the engine is leaving. Thread-safe.
    void announceLeaving();

    /// Refuses all requests for \a duration with a Retry-After that ends with it. Thread-safe.
    void backOff(absl::Duration duration);

private:
    struct Request
    {
        HttpRequestHead head;
        std::string body;
        std::uint64_t number = 0;

        std::string header(std::string_view name) const
        {
            return std::string(headerValue(head.headers, name));
        }
    };

    void accept(const std::shared_ptr<TcpConnection> &connection);
    void setSilent(bool silent);
    void handleRequest(const SoakServerConnection::Ptr &connection, Request request);
    void runPrefill(const SoakServerConnection::Ptr &connection, const Request &request);
    void runCall(const SoakServerConnection::Ptr &connection, const Request &request);
    void runStream(const SoakServerConnection::Ptr &connection, const Request &request);
    void sendEvents(const SoakServerConnection::Ptr &connection, const std::string &attemptId, int next, int breakOffAt);
    void breakInsideEvent(const SoakServerConnection::Ptr &connection, const std::string &attemptId, int event);
    bool breaksAnswers() const;
    void refuseWithRetryAfter(const SoakServerConnection::Ptr &connection, const std::string &attemptId);
    HttpResponseHead makeHead(int status) const;
    HttpResponseHead signedHead(const std::string &attemptId, const char *contentType) const;
    HttpResponseHead declinedHead(const std::string &attemptId) const;

    SoakEngineIdentity m_identity;
    SoakLedger &m_ledger;
    std::atomic<std::uint64_t> &m_requestCount;
    EventLoop m_loop;
    std::shared_ptr<SoakServerConnection::Hooks> m_hooks;
    std::set<SoakServerConnection::Ptr> m_connections;
    absl::Time m_silentUntil = absl::InfinitePast();
    absl::Time m_breaksUntil = absl::InfinitePast();
    BreakOff m_breakOff = BreakOff::Reset;
    absl::Time m_backsOffUntil = absl::InfinitePast();
    bool m_isLeaving = false;
    std::unique_ptr<TcpListener> m_listener;
    std::string m_address;
    Thread m_thread;
};

}
