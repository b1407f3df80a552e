#pragma once

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
 * \brief Callers that send calls of all kinds to nodes drawn at random, keep their connections, and leave now and then.
 *
 * It belongs to its loop's thread.
 */
class SoakCallers
{
public:
    struct Hooks
    {
        std::function<bool(absl::Time since)> wasCalm; ///< whether nothing but planned work went on since then
        std::function<int(std::size_t node)> lifetime; ///< number of the node's present process
    };

    SoakCallers(EventLoop &loop, SoakLedger &ledger, std::vector<std::string> nodes, std::uint64_t seed, Hooks hooks);

    /// Sends calls until stop().
    void start();
    void stop();

    /// Sends one call of \a kind to \a node, and tells how it ended.
    void callOnce(CallKind kind, std::size_t node, const std::function<void(const SoakEnd &)> &ended);

    /// Says that the route of change \a number is in the desired state from now on.
    void addRoute(int number)
    {
        m_routes = number;
    }

    std::size_t underWay() const
    {
        return m_underWay;
    }

    /// Nodes that forgot a route in one lifetime, in words.
    const std::vector<std::string> &forgotten() const
    {
        return m_forgotten;
    }

private:
    struct Call;

    void sendSome();
    void send(const SoakCall &call, std::size_t node, const std::function<void(const SoakEnd &)> &ended);
    void finish(const std::shared_ptr<Call> &call, const SoakEnd &end);
    void noteRoute(const Call &call, const SoakEnd &end);
    SoakCall draw();
    SoakCall make(CallKind kind, const std::string &prefix);

    /// Newest route that a process is known to have.
    struct KnownRoute
    {
        int lifetime = 0;
        int number = 0;
        absl::Time since;
    };

    EventLoop &m_loop;
    SoakLedger &m_ledger;
    std::vector<std::string> m_nodes;
    Hooks m_hooks;
    std::mt19937_64 m_random;
    ConnectionPool m_pool;
    std::vector<KnownRoute> m_known; ///< of each node
    std::vector<std::string> m_forgotten;
    int m_routes = 0;
    std::uint64_t m_lastCall = 0;
    std::size_t m_underWay = 0;
    bool m_isStopped = false;
};

}
