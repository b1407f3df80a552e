#include "platform/nodefixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <string>
#include <vector>

using namespace Apricot;

namespace {

/// Streams one event, but declines the first \a count requests with a KV handle that reach any engine with this behaviour, without asking
/// for a back-off. A declined request has not taken the handle.
PlatformEngineStandIn::Behaviour declineHandles(std::atomic<int> &count)
{
    return [&count](EventLoop &, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request) {
        if (!request.header("Apricotladder-Kv-Source").empty() && count.fetch_sub(1) > 0) {
            PlatformEngineStandIn::respondNotExecuted(connection);
            return;
        }
        PlatformEngineStandIn::beginEventStream(connection, request, 1, 1);
        connection->endStream();
    };
}

/// Returns the KV handles that requests to \a engine named, in the order of the requests.
std::vector<std::string> handlesOf(const PlatformEngineStandIn &engine)
{
    std::vector<std::string> handles;
    for (const ReceivedRequest &it : engine.receivedRequests()) {
        handles.push_back(it.header("Apricotladder-Kv-Source"));
    }
    return handles;
}

}

BOOST_FIXTURE_TEST_SUITE(DeclinedHandles, PlatformWithNode)

/// A full decode engine declines a call whose prompt has just been prefilled: the prompt was computed again, and the handle was deleted.
BOOST_AUTO_TEST_CASE(aDeclinedHandleGoesToAnotherEngine)
{
    std::atomic<int> count{1};
    const PlatformEngineStandIn &prefill = addEngine("p-1", "model", "prefill", respondWithKvHandle);
    const PlatformEngineStandIn &first = addEngine("d-1", "model", "decode", declineHandles(count));
    const PlatformEngineStandIn &second = addEngine("d-2", "model", "decode", declineHandles(count));
    startNode();
    BOOST_TEST(countEventIds(node->call("/again/x", "POST", "prompt").body) == 1);
    const std::vector<std::string> once{prefill.address() + "/h1"};
    BOOST_TEST(handlesOf(first) == once, boost::test_tools::per_element());
    BOOST_TEST(handlesOf(second) == once, boost::test_tools::per_element());
    BOOST_TEST(prefill.receivedRequests().size() == 1U); // Neither another prompt nor a release.
}

/// Two engines decline a handle, so it cannot be fetched: the second one computes the prompt itself.
BOOST_AUTO_TEST_CASE(aHandleThatTwoEnginesDeclineIsGivenUp)
{
    std::atomic<int> count{2};
    const PlatformEngineStandIn &prefill = addEngine("p-1", "model", "prefill", respondWithKvHandle);
    const PlatformEngineStandIn &first = addEngine("d-1", "model", "decode", declineHandles(count));
    const PlatformEngineStandIn &second = addEngine("d-2", "model", "decode", declineHandles(count));
    startNode();
    BOOST_TEST(countEventIds(node->call("/again/x", "POST", "prompt").body) == 1);
    std::vector<std::vector<std::string>> handles{handlesOf(first), handlesOf(second)};
    std::sort(handles.begin(), handles.end(), [](const auto &left, const auto &right) { return left.size() < right.size(); });
    const std::string handle = prefill.address() + "/h1";
    BOOST_TEST(handles[0] == std::vector<std::string>{handle}, boost::test_tools::per_element());
    BOOST_TEST(handles[1] == (std::vector<std::string>{handle, std::string()}), boost::test_tools::per_element());
    BOOST_TEST(eventually([&] { return prefill.receivedRequests().size() == 2U; }));
    BOOST_TEST(prefill.receivedRequests().back().head.method == "DELETE");
}

/// A route with one attempt stays within it: the declined call is sent to no other engine.
BOOST_AUTO_TEST_CASE(aRouteWithOneAttemptUsesOneEngine)
{
    std::atomic<int> count{1};
    addEngine("p-1", "model", "prefill", respondWithKvHandle);
    const PlatformEngineStandIn &first = addEngine("d-1", "model", "decode", declineHandles(count));
    const PlatformEngineStandIn &second = addEngine("d-2", "model", "decode", declineHandles(count));
    startNode();
    BOOST_TEST(countEventIds(node->call("/draft/x", "POST", "prompt").body) == 1);
    BOOST_TEST(std::min(first.receivedRequests().size(), second.receivedRequests().size()) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
