#include "transport/socketaddress.h"
#include "transport/udpsocket.h"

#include <boost/test/unit_test.hpp>

using namespace Apricot;

BOOST_AUTO_TEST_SUITE(Udp)

BOOST_AUTO_TEST_CASE(addressesAreParsedStrictly)
{
    BOOST_TEST(socketAddressText(*parseSocketAddress("127.0.0.1:80")) == "127.0.0.1:80");
    for (const char *text : {"", "localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:x", "127.0.0.1:70000", "1.2.3:4"}) {
        BOOST_TEST(!parseSocketAddress(text).has_value(), text);
    }
}

BOOST_AUTO_TEST_CASE(datagramsAreReceived)
{
    const auto a = std::make_shared<UdpSocket>("127.0.0.1:0");
    const auto b = std::make_shared<UdpSocket>("127.0.0.1:0");
    BOOST_REQUIRE(a->isOpen());
    BOOST_TEST(a->send(b->localAddress(), "hello"));
    const std::vector<Datagram> found = UdpSocket::receiveAny({a, b}, absl::Seconds(5));
    BOOST_REQUIRE(found.size() == 1U);
    BOOST_TEST(found.front().bytes == "hello");
    BOOST_TEST(found.front().from == a->localAddress());
    BOOST_TEST(!a->send("nowhere", "x"));
    BOOST_TEST(!a->send(b->localAddress(), std::string(UdpSocket::maxDatagramBytes + 1, 'x')));
    BOOST_TEST(!UdpSocket("not an address").isOpen());
}

BOOST_AUTO_TEST_CASE(sendToAllSkipsUnreachableAddresses)
{
    const UdpSocket sender("127.0.0.1:0");
    const UdpSocket first("127.0.0.1:0");
    const UdpSocket second("127.0.0.1:0");
    BOOST_TEST(!first.receive(absl::ZeroDuration()).has_value());
    BOOST_TEST(sender.sendToAll({first.localAddress(), "nowhere", "127.0.0.1:0", second.localAddress()}, "hello") == 2U);
    for (const UdpSocket *it : {&first, &second}) {
        const std::optional<Datagram> found = it->receive(absl::Seconds(5));
        BOOST_REQUIRE(found.has_value());
        BOOST_TEST(found->bytes == "hello");
    }
    BOOST_TEST(sender.sendToAll({first.localAddress()}, std::string(UdpSocket::maxDatagramBytes + 1, 'x')) == 0U);
    BOOST_TEST(sender.sendToAll({}, "x") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
