#include "platform/nodefixture.h"
#include "transport/socketaddress.h"
#include "transport/tcpconnection.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace Apricot;

namespace {

/// An engine that works on a request for longer than any test lasts.
void respondNever(EventLoop &, const HttpServerConnection::Ptr &, const ReceivedRequest &)
{
}

/// Sends the head of a request to \a address, and its body after \a pause. Returns all that the server sends before it closes.
std::string callSlowly(const std::string &address, absl::Duration pause)
{
    EventLoop loop;
    std::string response;
    bool isClosed = false;
    TcpConnection::Callbacks callbacks;
    callbacks.onData = [&](std::string_view bytes) {
        response += bytes;
    };
    callbacks.onClosed = [&](TcpCloseReason) {
        isClosed = true;
    };
    const auto connection = TcpConnection::connect(loop, *parseSocketAddress(address), TcpTimeouts(), std::move(callbacks));
    connection->write("POST /book/y HTTP/1.1\r\nHost: h.example\r\nApricotladder-Attempt-Id: late\r\nContent-Length: 1\r\n\r\n");
    loop.after(pause, [&] { connection->write("b"); });
    while (!isClosed) {
        loop.runOnce();
    }
    return response;
}

}

BOOST_FIXTURE_TEST_SUITE(PlannedStops, Platform)

/// Guards against LOST: calls in progress at the end of the grace period were cut off without an answer.
BOOST_AUTO_TEST_CASE(callsInProgressAtTheEndOfTheGracePeriodAreAnswered)
{
    PlatformEngineStandIn &desk = addEngine("i-1", "desk", "", respondNever);
    PlatformEngineStandIn &decode = addEngine("d-1", "model", "decode", respondNever);
    NodeUnderTest node("n1", store.address(), {}, EntrySettingsFields().threads, absl::Seconds(1));
    BOOST_REQUIRE(eventually([&] { return node.isReady(); }));
    HttpReply whole;
    HttpReply stream;
    Thread wholeCaller("whole", [&] { whole = node.call("/book/x", "POST", "b"); });
    Thread streamCaller("stream", [&] { stream = node.call("/draft/x", "POST", "prompt"); });
    BOOST_REQUIRE(eventually([&] { return !desk.receivedRequests().empty() && !decode.receivedRequests().empty(); }));
    node.leave();
    wholeCaller.join();
    streamCaller.join();
    BOOST_TEST(whole.status == 504);
    BOOST_TEST(stream.status == 504);
    BOOST_TEST(eventually([&] { return node.hasEnded(); }));
}

/// Guards against LOST: a call that came late in the grace period was passed on, and its process ended before its engine.
BOOST_AUTO_TEST_CASE(aCallThatMayOutlastTheNodeIsRefusedLateInTheGracePeriod)
{
    PlatformEngineStandIn &desk = addEngine("i-1", "desk", "", respondNever);
    NodeUnderTest node("n1", store.address(), {}, EntrySettingsFields().threads, absl::Seconds(5));
    BOOST_REQUIRE(eventually([&] { return node.isReady(); }));
    // A call in progress keeps the node from ending sooner, and its connections open.
    Thread first("first", [&] { node.call("/book/x", "POST", "b"); });
    BOOST_REQUIRE(eventually([&] { return desk.receivedRequests().size() == 1U; }));
    node.leave();
    const std::string response = callSlowly(node.settings()->callerAddress, absl::Seconds(3));
    first.join();
    BOOST_TEST(response.find(" 503 ") != std::string::npos);
    BOOST_TEST(desk.receivedRequests().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
