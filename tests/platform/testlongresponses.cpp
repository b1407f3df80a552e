#include "platform/nodefixture.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace Apricot;

namespace {

/// Responds to a prefill request with a valid handle beside 8 MB of JSON, as an engine in trouble may.
void respondWithHugeHandle(EventLoop &, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request)
{
    constexpr int numbers = 4'000'000;
    std::string body = R"({"kv-handle":"h1","data":[0)";
    for (int i = 0; i < numbers; ++i) {
        body += ",0";
    }
    body += "]}";
    PlatformEngineStandIn::respondSigned(connection, request, 200, body);
}

void streamOneEvent(EventLoop &, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request)
{
    PlatformEngineStandIn::beginEventStream(connection, request, 1, 1);
    connection->endStream();
}

}

BOOST_FIXTURE_TEST_SUITE(LongResponses, PlatformWithNode)

/// Guards against a process that ends by its memory: one complete prefill answer of 8 MB was read and parsed, which took over 100 MB.
BOOST_AUTO_TEST_CASE(aPrefillAnswerFarOverItsSizeIsNoHandle)
{
    addEngine("p-1", "model", "prefill", respondWithHugeHandle);
    const PlatformEngineStandIn &decode = addEngine("d-1", "model", "decode", streamOneEvent);
    startNode();
    BOOST_TEST(countEventIds(node->call("/again/x", "POST", "prompt").body) == 1);
    BOOST_REQUIRE(decode.receivedRequests().size() == 1U);
    BOOST_TEST(decode.receivedRequests().front().header("Apricotladder-Kv-Source").empty());
}

BOOST_AUTO_TEST_SUITE_END()
