// Callers that read slowly against the real program, which has reached its limit of connections: what the system still sends to them
// counts.
#include "callerlimits/boundednode.h"
#include "transport/socketaddress.h"

#include <absl/time/clock.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <memory>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

using namespace Apricot;

namespace {

/// Connections of callers that a node with the descriptors of these tests has at most.
constexpr std::size_t maxConnections = 200;

/// Longer than what the window of a slow caller takes, and shorter than what the system buffers for the node.
constexpr std::size_t longAnswerBytes = 60'000;

/// Upper bound of each wait; a test that waits this long fails.
constexpr int receiveTimeoutS = 20;

const std::string head = " HTTP/1.1\r\nHost: h.example\r\nApricotladder-Attempt-Id: a\r\nApricotladder-Deadline-Ms: 15000\r\n";
const std::string longRequest = "GET /read/long" + head + "\r\n";
const std::string shortRequest = "GET /read/short" + head + "\r\n";

/**
 * \class BlockingCaller
 * \brief One connection of a caller. It sends a request at once, and reads when the test asks it to.
 */
class BlockingCaller
{
public:
    /// \a receiveBufferBytes: size of the receive buffer.
    BlockingCaller(const std::string &address, const std::string &request, int receiveBufferBytes)
        : m_descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const timeval timeout{receiveTimeoutS, 0};
        setsockopt(m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
        setsockopt(m_descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof(receiveBufferBytes));
        const sockaddr_in parsed = parseSocketAddress(address).value();
        BOOST_REQUIRE(connect(m_descriptor, reinterpret_cast<const sockaddr *>(&parsed), sizeof(parsed)) == 0);
        send(request);
    }

    ~BlockingCaller()
    {
        close(m_descriptor);
    }

    BlockingCaller(const BlockingCaller &) = delete;
    BlockingCaller &operator=(const BlockingCaller &) = delete;

    void send(const std::string &text) const
    {
        ::send(m_descriptor, text.data(), text.size(), MSG_NOSIGNAL);
    }

    /// Reads until the text so far ends with \a end, or nothing more comes; returns all text.
    const std::string &readUntil(const std::string &end)
    {
        char buf[1024];
        ssize_t n = 1;
        while (n > 0 && !m_received.ends_with(end)) {
            n = recv(m_descriptor, buf, sizeof(buf), 0);
            m_received.append(buf, n > 0 ? static_cast<std::size_t>(n) : 0);
        }
        return m_received;
    }

private:
    int m_descriptor;
    std::string m_received;
};

/**
 * \class NodeWithSlowCallers
 * \brief Fixture: a node with limited resources, and callers that have requested long answers and not read them yet.
 */
class NodeWithSlowCallers : public BoundedNode
{
public:
    NodeWithSlowCallers()
    {
        platform.addEngine("e1", "desk", "",
                           [this](EventLoop &, const HttpServerConnection::Ptr &connection, const ReceivedRequest &request) {
                               const bool isLong = request.head.target == "/read/long";
                               PlatformEngineStandIn::respondSigned(connection, request, 200, isLong ? longAnswer : shortAnswer);
                           });
        start();
    }

    /// Opens \a count connections that request long answers, and waits until the node has handed these to the system.
    void addSlowCallers(std::size_t count, int receiveBufferBytes)
    {
        for (std::size_t i = 0; i < count; ++i) {
            slow.push_back(std::make_unique<BlockingCaller>(callerAddress, longRequest, receiveBufferBytes));
        }
        absl::SleepFor(absl::Seconds(1));
    }

    /// Opens \a count connections one after the other, gets a short answer on each, and keeps them; returns how many got it.
    std::size_t addCallers(std::size_t count)
    {
        std::size_t served = 0;
        for (std::size_t i = 0; i < count; ++i) {
            others.push_back(std::make_unique<BlockingCaller>(callerAddress, shortRequest, 65536));
            served += others.back()->readUntil(shortAnswer).starts_with("HTTP/1.1 200") ? 1 : 0;
        }
        return served;
    }

    /// Lets the slow callers read; returns how many get their whole answer.
    std::size_t readSlowAnswers()
    {
        return static_cast<std::size_t>(
            std::count_if(slow.begin(), slow.end(), [&](const auto &it) { return it->readUntil(longAnswer).ends_with(longAnswer); }));
    }

    const std::string longAnswer = std::string(longAnswerBytes, 'l') + "the end";
    const std::string shortAnswer = "a short answer";
    std::vector<std::unique_ptr<BlockingCaller>> slow;
    std::vector<std::unique_ptr<BlockingCaller>> others;
};

}

BOOST_FIXTURE_TEST_SUITE(SlowCallers, NodeWithSlowCallers)

/// Guards against LOST: answers that the system still sent were destroyed when new connections took the place of those that seemed idle.
BOOST_AUTO_TEST_CASE(newConnectionsDoNotCutOffAnswersThatTheSystemStillSends)
{
    addSlowCallers(8, 4096);
    BOOST_TEST(addCallers(2 * maxConnections) == 2 * maxConnections);
    BOOST_TEST(readSlowAnswers() == slow.size());
    checkNode();
}

/// Guards against the same for callers with a larger receive buffer, which learn of room for more bytes in few steps.
BOOST_AUTO_TEST_CASE(newConnectionsDoNotCutOffCallersWithLargerBuffers)
{
    addSlowCallers(8, 16384);
    BOOST_TEST(addCallers(2 * maxConnections) == 2 * maxConnections);
    BOOST_TEST(readSlowAnswers() == slow.size());
}

/// Guards against new callers that get no answer at all, or cut off others, when all connections have answers on their way.
BOOST_AUTO_TEST_CASE(newCallersAreToldToComeBackWhenAllConnectionsDeliver)
{
    addSlowCallers(maxConnections - maxConnections / 16, 4096);
    BlockingCaller refused(callerAddress, shortRequest, 65536);
    const std::string answer = refused.readUntil("}");
    BOOST_TEST(answer.starts_with("HTTP/1.1 503"));
    BOOST_TEST(answer.find("Retry-After: ") != std::string::npos);
    BOOST_TEST(readSlowAnswers() == slow.size());
    checkNode(); // The connections of the slow callers are idle now and give way.
}

/// Guards against LOST at a planned stop: the node closed connections whose answers the system still sent, and the next byte of a caller
/// reset them.
BOOST_AUTO_TEST_CASE(aPlannedStopDoesNotCutOffAnswersThatTheSystemStillSends)
{
    addSlowCallers(8, 4096);
    node->signal(SIGTERM);
    absl::SleepFor(absl::Milliseconds(EntrySettingsFields().addressKeepMs) + absl::Seconds(1)); // It accepts no more connections now.
    for (const std::unique_ptr<BlockingCaller> &it : slow) {
        it->send("GET /read/short");
    }
    BOOST_TEST(readSlowAnswers() == slow.size());
    BOOST_TEST(eventually([&] { return node->reap().has_value(); }));
}

/// Guards against callers that are locked out by others which have connected and sent nothing while some read slowly.
BOOST_AUTO_TEST_CASE(silentConnectionsGiveWayBesideSlowCallers)
{
    addSlowCallers(8, 4096);
    for (std::size_t i = 0; i < 2 * maxConnections; ++i) {
        others.push_back(std::make_unique<BlockingCaller>(callerAddress, std::string(), 65536));
    }
    BOOST_TEST(addCallers(20) == 20U);
    BOOST_TEST(readSlowAnswers() == slow.size());
    checkNode();
}

BOOST_AUTO_TEST_SUITE_END()
