#include "platform/nodefixture.h"

#include <boost/test/unit_test.hpp>

using namespace Apricot;

BOOST_FIXTURE_TEST_SUITE(UnsignedAnswers, Platform)

/// Guards against MIXED: on a streaming route, a success other than 200 was relayed without a signature and without the request's id.
BOOST_AUTO_TEST_CASE(anUnsignedSuccessOnAStreamingRouteIsNotRelayed)
{
    const auto respondAccepted = [](EventLoop &, const HttpServerConnection::Ptr &connection, const ReceivedRequest &) {
        HttpResponseHead head;
        head.status = 202;
        connection->respond(std::move(head), "not an answer");
    };
    addEngine("d-1", "model", "decode", respondAccepted);
    const NodeUnderTest node("n1", store.address());
    BOOST_REQUIRE(eventually([&] { return node.isReady(); }));
    BOOST_TEST(node.call("/draft/x", "POST", "prompt").status == 502);
}

BOOST_AUTO_TEST_CASE(aSignedSuccessOnAStreamingRouteIsRelayed)
{
    const auto respondAccepted = [](EventLoop &, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request) {
        PlatformEngineStandIn::respondSigned(connection, request, 202, "an answer");
    };
    addEngine("d-1", "model", "decode", respondAccepted);
    const NodeUnderTest node("n1", store.address());
    BOOST_REQUIRE(eventually([&] { return node.isReady(); }));
    BOOST_TEST(node.call("/draft/x", "POST", "prompt").status == 202);
}

BOOST_AUTO_TEST_SUITE_END()
