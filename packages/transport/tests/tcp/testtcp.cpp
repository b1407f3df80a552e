#include "transport/socketaddress.h"
#include "transport/tcpframes.h"
#include "transport/tcpserver.h"

#include <boost/test/unit_test.hpp>

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

BOOST_AUTO_TEST_SUITE_END()
