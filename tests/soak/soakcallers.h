#pragma once

#include "soak/loopbackproxy.h"
#include "soak/soakdesiredstate.h"
#include "soak/soakledger.h"
#include "transport/connectionpool.h"
#include "transport/eventloop.h"
#include "transport/httpexchange.h"

#include <absl/time/time.h>

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Apricot {

/**
 * \class SoakCallers
 * \brief Sends calls of all kinds to random nodes over persistent connections, and sometimes disconnects early.
 *
 * Some callers call rarely, over a slow path. They use connections that have been idle for up to four fifths of the idle timeout that
 * was in force when the connection was last used: the lowest one, if it changed about then.
 *
 * Used only on the thread of its event loop.
 */
class SoakCallers
{
public:
    struct Hooks
    {
        std::function<bool(absl::Time since)> wasUndisturbed; ///< whether no fault has been in effect since then
        std::function<int(std::size_t node)> incarnation; ///< incarnation of the node's current process

        /// Condition of the node since \a start, when its process was \a incarnation.
        std::function<NodeCondition(std::size_t node, int incarnation, absl::Time start)> nodeCondition;

        std::function<void(std::size_t node, int incarnation)> onAnswered; ///< a process has answered a call
    };

    SoakCallers(EventLoop &loop, SoakLedger &ledger, std::vector<std::string> nodes, std::uint64_t seed, Hooks hooks);
    ~SoakCallers();

    /// Starts to send calls, until stop() is called.
    void start();
    void stop();

    /// Sends one call of \a kind to \a node, and passes its outcome to \a onEnded.
    void sendCall(CallKind kind, std::size_t node, const std::function<void(const SoakOutcome &)> &onEnded);

    /// Records that the desired state \a state was written.
    void setDesiredState(const SoakDesiredState &state);

    std::size_t activeCalls() const
    {
        return m_activeCalls;
    }

    /// Descriptions of nodes that lost a known route without a restart.
    const std::vector<std::string> &lostRoutes() const
    {
        return m_lostRoutes;
    }

private:
    struct Call;

    void sendNextCall();
    void send(const SoakCall &call, std::size_t node, const std::function<void(const SoakOutcome &)> &onEnded);
    void finish(const std::shared_ptr<Call> &call, const SoakOutcome &outcome);
    void checkKnownRoute(const Call &call, const SoakOutcome &outcome);
    SoakCall drawCall();
    SoakCall makeCall(CallKind kind, const std::string &prefix);
    std::size_t drawBodySize();
    absl::Duration usableIdleTime() const;
    bool isAllowed(const Call &call) const;
    CallCircumstances circumstancesOf(const Call &call) const;

    /// Newest change route that a node's process has served.
    struct KnownRoute
    {
        int incarnation = 0;
        int number = 0;
        absl::Time since;
    };

    EventLoop &m_loop;
    SoakLedger &m_ledger;
    std::vector<std::string> m_nodes;
    Hooks m_hooks;
    std::mt19937_64 m_random;
    std::vector<ConnectionPool> m_pools; ///< one per caller; the first one belongs to the callers that call often
    std::vector<std::unique_ptr<LoopbackProxy>> m_slowPaths; ///< indexed by node
    SoakDesiredState m_desired;
    absl::Time m_idleTimeoutSince; ///< when the idle timeout last changed
    absl::Duration m_idleTimeoutBefore; ///< the lowest idle timeout of the changes shortly before that
    absl::Time m_sizeLimitsSince; ///< when the size limits last changed
    std::vector<KnownRoute> m_knownRoutes; ///< indexed by node
    std::vector<std::string> m_lostRoutes;
    std::uint64_t m_lastCall = 0;
    std::size_t m_activeCalls = 0;
    bool m_isStopped = false;
};

}
