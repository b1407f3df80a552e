#include "platform/nodefixture.h"

#include <absl/time/clock.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <memory>
#include <string>
#include <vector>

using namespace Apricot;

namespace {

constexpr int endpointSlots = 8; // as the fixture publishes them

/// An endpoint without a queue: it refuses a request while all its slots are in use.
class EndpointWithoutQueue
{
public:
    PlatformEngineStandIn::Behaviour behaviour()
    {
        return [this](EventLoop &loop, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request) {
            if (m_running >= endpointSlots) {
                ++m_refused;
                PlatformEngineStandIn::respondNotExecuted(connection);
                return;
            }
            ++m_running;
            m_gate.whenOpen(loop, [this, &loop, connection, request] {
                loop.after(absl::Milliseconds(60), [this, &loop, connection, request] {
                    --m_running;
                    respondSuccessfully(loop, connection, request);
                });
            });
        };
    }

    /// Lets the endpoint answer.
    void open()
    {
        m_gate.open();
    }

    int running() const
    {
        return m_running;
    }

    int refused() const
    {
        return m_refused;
    }

private:
    Gate m_gate;
    std::atomic<int> m_running{0};
    std::atomic<int> m_refused{0};
};

/// Calls that run at the same time, each on its own thread; the destructor waits for them.
class ParallelCalls
{
public:
    ParallelCalls(const NodeUnderTest &node, int count)
    {
        for (int i = 0; i < count; ++i) {
            m_threads.push_back(std::make_unique<Thread>("call", [this, &node, i] {
                const int status = node.call("/book/x", "POST", "b", "call-" + std::to_string(i)).status;
                (status == 200 ? m_served : m_refused) += 1;
            }));
        }
    }

    ~ParallelCalls()
    {
        join();
    }

    ParallelCalls(const ParallelCalls &) = delete;
    ParallelCalls &operator=(const ParallelCalls &) = delete;

    void join()
    {
        for (const std::unique_ptr<Thread> &it : m_threads) {
            it->join();
        }
        m_threads.clear();
    }

    int served() const
    {
        return m_served;
    }

private:
    std::vector<std::unique_ptr<Thread>> m_threads;
    std::atomic<int> m_served{0};
    std::atomic<int> m_refused{0};
};

bool hasMetric(const NodeUnderTest &node, const std::string &line)
{
    return node.fetch(node.settings()->metricsAddress, "/metrics").body.find(line) != std::string::npos;
}

}

BOOST_FIXTURE_TEST_SUITE(FullEndpoints, PlatformWithNode)

/// Guards against calls that are sent to an endpoint which is known to be full, and against a wait without end: such a call ends with
/// "not run" although its deadline is seconds away.
BOOST_AUTO_TEST_CASE(aFullEndpointGetsNoMoreCalls)
{
    EndpointWithoutQueue endpoint;
    addEngine("i-1", "desk", "", endpoint.behaviour());
    startNode();
    ParallelCalls running(*node, endpointSlots);
    BOOST_REQUIRE(eventually([&] { return endpoint.running() == endpointSlots; }));
    const absl::Time refusedAt = absl::Now();
    BOOST_TEST(node->callWithHead("/book/x").head.status == 503); // It is not known yet how many calls the endpoint accepts.
    BOOST_TEST(endpoint.refused() == 1);
    const FullResponse response = node->callWithHead("/book/x");
    BOOST_TEST(response.head.status == 503);
    BOOST_TEST(hasHeader(response.head.headers, "Retry-After"));
    // Each second without a refusal allows one more call.
    BOOST_TEST(endpoint.refused() <= 1 + absl::ToDoubleSeconds(absl::Now() - refusedAt));
    endpoint.open();
    running.join();
    BOOST_TEST(running.served() == endpointSlots);
    BOOST_TEST(node->call("/book/x", "POST", "b").status == 200);
}

/// Guards against calls that do not get the room which an answer leaves.
BOOST_AUTO_TEST_CASE(callsWaitForAnEndpointWithRoom)
{
    EndpointWithoutQueue endpoint;
    addEngine("i-1", "desk", "", endpoint.behaviour());
    startNode();
    {
        ParallelCalls running(*node, endpointSlots);
        BOOST_REQUIRE(eventually([&] { return endpoint.running() == endpointSlots; }));
        BOOST_TEST(node->call("/book/x", "POST", "b").status == 503);
        endpoint.open();
    }
    // A wait depends on how the calls overlap.
    const bool hasWaited = eventually([&] {
        ParallelCalls(*node, 2 * endpointSlots).join();
        return hasMetric(*node, "apricotladder_entry_endpoint_waits_total{outcome=\"sent\"}");
    });
    BOOST_TEST(hasWaited);
    BOOST_TEST(hasMetric(*node, "apricotladder_entry_attempts_total{end=\"refused\",stage=\"plain\"}"));
}

BOOST_AUTO_TEST_SUITE_END()
