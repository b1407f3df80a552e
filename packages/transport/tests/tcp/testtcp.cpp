#include "transport/socketaddress.h"
#include "transport/tcpframes.h"
#include "transport/tcplistener.h"
#include "transport/tcpserver.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

using namespace Apricot;

BOOST_AUTO_TEST_SUITE(Tcp)

BOOST_AUTO_TEST_CASE(framesGetReplies)
{
    const std::string address = "127.0.0.1:21991";
    const TcpServer server(address, [](const std::string &request) { return "got " + request; });
    BOOST_REQUIRE(server.isOpen());
    BOOST_TEST(exchangeFrame(address, "a", absl::Seconds(5)).value_or("") == "got a");
    const std::string large(300000, 'x');
    BOOST_TEST((exchangeFrame(address, large, absl::Seconds(5)).value_or("") == "got " + large));
    BOOST_TEST(!exchangeFrame("127.0.0.1:9", "a", absl::Seconds(1)).has_value());
}

BOOST_AUTO_TEST_CASE(anOversizedLengthIsRejected)
{
    int pair[2];
    BOOST_REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, pair) == 0);
    BOOST_TEST(::send(pair[0], "\xff\xff\xff\xff", 4, 0) == 4);
    BOOST_TEST(!readFrame(pair[1], absl::Seconds(1)).has_value());
    close(pair[0]);
    close(pair[1]);
    BOOST_TEST(!writeFrame(0, std::string(maxFrameBytes + 1, 'x'), absl::Seconds(1)));
}

/// Guards against MIXED: the system reports a reset once. If a write gets the report, reading ends as after an orderly close, which
/// completes an answer without a length.
BOOST_AUTO_TEST_CASE(aResetThatAWriteHasGotIsNoOrderlyClose)
{
    for (const bool isReset : {true, false}) {
        EventLoop loop;
        std::shared_ptr<TcpConnection> connection;
        TcpListener listener(loop, "127.0.0.1:0", AddressSharing::Exclusive, TcpTimeouts(),
                             [&](const std::shared_ptr<TcpConnection> &it) { connection = it; });
        std::string received;
        std::optional<TcpCloseReason> reason;
        const int peer = socket(AF_INET, SOCK_STREAM, 0);
        const std::optional<sockaddr_in> address = parseSocketAddress("127.0.0.1:" + std::to_string(listener.port()));
        BOOST_REQUIRE(connect(peer, reinterpret_cast<const sockaddr *>(&*address), sizeof(*address)) == 0);
        while (!connection) {
            loop.runOnce();
        }
        TcpConnection::Callbacks callbacks;
        callbacks.onData = [&](std::string_view bytes) {
            received += bytes;
        };
        callbacks.onClosed = [&](TcpCloseReason it) {
            reason = it;
        };
        connection->setCallbacks(std::move(callbacks));
        BOOST_REQUIRE(send(peer, "part", 4, 0) == 4);
        const linger reset{isReset ? 1 : 0, 0};
        setsockopt(peer, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        close(peer);
        connection->write("x");
        while (!reason) {
            loop.runOnce();
        }
        BOOST_TEST(received == "part");
        BOOST_TEST((*reason == (isReset ? TcpCloseReason::Reset : TcpCloseReason::ClosedByPeer)));
    }
}

BOOST_AUTO_TEST_SUITE_END()
