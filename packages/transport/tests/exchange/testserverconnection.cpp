#include "transport/httplistener.h"

#include <absl/time/clock.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

using namespace Apricot;

namespace {

/**
 * \class RawClient
 * \brief A client that sends arbitrary bytes over one blocking connection.
 */
class RawClient
{
public:
    explicit RawClient(int port)
        : m_descriptor(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        BOOST_REQUIRE(connect(m_descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0);
    }

    ~RawClient()
    {
        close(m_descriptor);
    }

    RawClient(const RawClient &) = delete;
    RawClient &operator=(const RawClient &) = delete;

    void send(const std::string &text) const
    {
        BOOST_REQUIRE(::send(m_descriptor, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()));
    }

    /// Reads what is there without waiting; \see isEnded().
    void receive()
    {
        char buf[4096];
        ssize_t n = 0;
        while ((n = recv(m_descriptor, buf, sizeof(buf), MSG_DONTWAIT)) > 0) {
            m_received.append(buf, static_cast<std::size_t>(n));
        }
        m_endedInOrder = m_endedInOrder || n == 0;
        m_ended = m_ended || n == 0 || (errno != EAGAIN && errno != EINTR);
    }

    /// Returns the number of responses received so far.
    int responseCount()
    {
        receive();
        int n = 0;
        for (std::size_t at = m_received.find("HTTP/1.1 "); at != std::string::npos; at = m_received.find("HTTP/1.1 ", at + 1)) {
            ++n;
        }
        return n;
    }

    /// Whether the server has closed or reset the connection.
    bool isEnded()
    {
        receive();
        return m_ended;
    }

    /// Whether the end that isEnded() reports was no reset.
    bool hasEndedInOrder() const
    {
        return m_endedInOrder;
    }

    const std::string &received() const
    {
        return m_received;
    }

private:
    int m_descriptor;
    std::string m_received;
    bool m_ended = false;
    bool m_endedInOrder = false;
};

/// Fixture: a listener whose limits a test changes, and which answers each request at once.
struct Server
{
    static constexpr absl::Duration longIdleTimeout = absl::Seconds(30);
    static constexpr absl::Duration shortIdleTimeout = absl::Milliseconds(40);

    Server()
    {
        limits.headerTimeout = absl::Milliseconds(20); // half of it is the interval at which the timeouts are checked
        limits.idleTimeout = longIdleTimeout;
        HttpListener::Hooks hooks;
        hooks.limits = [this] {
            return limits;
        };
        hooks.onRequest = [this](const HttpServerConnection::Ptr &connection, const HttpRequestHead &, const std::string &) {
            ++requestCount;
            respond(connection);
        };
        hooks.onUse = [this](const HttpServerConnection::Ptr &connection, const ConnectionUse &use) {
            lastConnection = connection;
            lastUse = use;
            return permission(use);
        };
        hooks.keepsConnectionsOpen = [this] {
            return keepsConnectionsOpen;
        };
        listener = std::make_unique<HttpListener>(events, "127.0.0.1:0", AddressSharing::Exclusive, std::move(hooks));
    }

    /// Runs the loop until \a condition is true; a test that waits for 20 s fails.
    template<class Condition>
    void runUntil(Condition condition)
    {
        bool isOver = false;
        const TimerId timer = events.after(absl::Seconds(20), [&] { isOver = true; });
        while (!condition() && !isOver) {
            bool isDue = false;
            const TimerId tick = events.after(absl::Milliseconds(5), [&] { isDue = true; });
            events.runOnce();
            events.cancel(tick);
        }
        events.cancel(timer);
        BOOST_REQUIRE(!isOver);
    }

    void runFor(absl::Duration duration)
    {
        bool isOver = false;
        events.after(duration, [&] { isOver = true; });
        while (!isOver) {
            events.runOnce();
        }
    }

    EventLoop events;
    HttpServerLimits limits;
    bool keepsConnectionsOpen = true;
    int requestCount = 0;
    HttpServerConnection::Ptr lastConnection;
    ConnectionUse lastUse;
    std::function<ReadPermission(const ConnectionUse &)> permission = [](const ConnectionUse &) {
        return ReadPermission::Read;
    };
    std::function<void(const HttpServerConnection::Ptr &)> respond = [](const HttpServerConnection::Ptr &connection) {
        connection->respond(HttpResponseHead{200, "OK", {}, true, false}, "ok");
    };
    std::unique_ptr<HttpListener> listener;
};

const std::string getRequest = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

}

BOOST_FIXTURE_TEST_SUITE(ServerConnections, Server)

/// Guards against a call that gets no answer because a change lowered the idle limit while its connection was idle.
BOOST_AUTO_TEST_CASE(aLoweredIdleTimeoutAppliesFromTheNextResponseOn)
{
    RawClient client(listener->port());
    client.send(getRequest);
    runUntil([&] { return client.responseCount() == 1; });
    limits.idleTimeout = shortIdleTimeout;
    runFor(shortIdleTimeout * 5);
    BOOST_TEST(!client.isEnded());
    client.send(getRequest);
    runUntil([&] { return client.responseCount() == 2; });
    runUntil([&] { return client.isEnded(); });
}

/// Guards against a connection that is closed too early because a change has just raised the idle limit.
BOOST_AUTO_TEST_CASE(aRaisedIdleTimeoutAppliesAtOnce)
{
    limits.idleTimeout = shortIdleTimeout;
    RawClient client(listener->port());
    client.send(getRequest);
    runUntil([&] { return client.responseCount() == 1; });
    limits.idleTimeout = longIdleTimeout;
    runFor(shortIdleTimeout * 5);
    BOOST_TEST(!client.isEnded());
}

/// Guards against a call that is rejected as late by a limit that a change has raised before the call was sent.
BOOST_AUTO_TEST_CASE(aRaisedHeaderTimeoutAppliesToTheNextRequest)
{
    RawClient client(listener->port());
    client.send(getRequest);
    runUntil([&] { return client.responseCount() == 1; });
    limits.headerTimeout = longIdleTimeout;
    client.send("GET /x HTTP/1.1\r\n");
    runFor(shortIdleTimeout * 5);
    client.send("Host: h\r\n\r\n");
    runUntil([&] { return client.responseCount() == 2; });
    BOOST_TEST(client.received().find("408") == std::string::npos);
}

/// Guards against a call that is rejected as too large by a limit that a change has raised before the call was sent.
BOOST_AUTO_TEST_CASE(raisedSizeLimitsApplyToTheNextRequest)
{
    limits.parse.bodyBytes = 10;
    RawClient client(listener->port());
    client.send(getRequest);
    runUntil([&] { return client.responseCount() == 1; });
    limits.parse.bodyBytes = 100;
    client.send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 20\r\n\r\n" + std::string(20, 'x'));
    runUntil([&] { return client.responseCount() == 2; });
    BOOST_TEST(client.received().find("413") == std::string::npos);
}

/// Guards against a client that waits for the body of a refusal, which was left out because the request before was a HEAD.
BOOST_AUTO_TEST_CASE(aRefusalAfterAHeadRequestHasItsBody)
{
    RawClient client(listener->port());
    client.send("HEAD /x HTTP/1.1\r\nHost: h\r\n\r\n");
    runUntil([&] { return client.responseCount() == 1; });
    BOOST_TEST(client.received().ends_with("\r\n\r\n"));
    permission = [](const ConnectionUse &use) {
        return use.isNewRequest ? ReadPermission::Refuse : ReadPermission::Read;
    };
    client.send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 20\r\n\r\n");
    runUntil([&] { return client.isEnded(); });
    BOOST_TEST(client.responseCount() == 2);
    BOOST_TEST(!client.received().ends_with("\r\n\r\n"));
}

/// Guards against a process that ends before the rest of an answer was sent: its connection must count until then.
BOOST_AUTO_TEST_CASE(aConnectionCountsUntilItsAnswerIsSent)
{
    keepsConnectionsOpen = false;
    const std::string hugeBody(16'000'000, 'a');
    respond = [&](const HttpServerConnection::Ptr &connection) {
        connection->respond(HttpResponseHead{200, "OK", {}, true, false}, hugeBody);
    };
    RawClient client(listener->port());
    client.send(getRequest);
    runFor(absl::Milliseconds(100));
    BOOST_TEST(listener->connectionCount() == 1U);
    runUntil([&] { return client.isEnded(); });
    BOOST_TEST(client.received().size() > hugeBody.size());
    BOOST_TEST(listener->connectionCount() == 0U);
}

/// Guards against a call that was sent before a planned stop and is reset because its connection had not been accepted yet.
BOOST_AUTO_TEST_CASE(connectionsThatWaitToBeAcceptedAreServedWhenTheListenerStops)
{
    RawClient client(listener->port());
    client.send(getRequest);
    listener->stopAccepting();
    runUntil([&] { return client.isEnded() || client.responseCount() > 0; });
    BOOST_TEST(client.responseCount() == 1);
}

/// Guards against a planned stop that forgets a connection which stays open while the rest of its answer is not sent.
BOOST_AUTO_TEST_CASE(aKeptConnectionCountsUntilItsAnswerIsSent)
{
    const std::string hugeBody(16'000'000, 'a');
    respond = [&](const HttpServerConnection::Ptr &connection) {
        connection->respond(HttpResponseHead{200, "OK", {}, true, false}, hugeBody);
    };
    RawClient client(listener->port());
    client.send(getRequest);
    runFor(absl::Milliseconds(100));
    listener->stopAccepting();
    BOOST_TEST(listener->connectionCount() == 1U);
    runUntil([&] {
        listener->stopAccepting();
        return client.isEnded();
    });
    BOOST_TEST(client.received().size() > hugeBody.size());
    BOOST_TEST(listener->connectionCount() == 0U);
}

/// Guards against an idle timeout that cuts off a caller who is still receiving the rest of an answer.
BOOST_AUTO_TEST_CASE(aConnectionIsNotIdleUntilItsAnswerIsSent)
{
    limits.idleTimeout = shortIdleTimeout;
    const std::string hugeBody(16'000'000, 'a');
    respond = [&](const HttpServerConnection::Ptr &connection) {
        connection->respond(HttpResponseHead{200, "OK", {}, true, false}, hugeBody);
    };
    RawClient client(listener->port());
    client.send(getRequest);
    runFor(shortIdleTimeout * 5);
    BOOST_TEST(listener->connectionCount() == 1U);
    runUntil([&] { return client.isEnded(); });
    BOOST_TEST(client.received().size() > hugeBody.size());
}

/// Guards against a connection, its memory and its engine that are held for ever for a client which has stopped reading.
BOOST_AUTO_TEST_CASE(aClientThatHasStoppedReadingIsDisconnected)
{
    limits.idleTimeout = shortIdleTimeout;
    bool isRequestCancelled = false;
    const std::string part(64 * 1024, 'a');
    respond = [&](const HttpServerConnection::Ptr &connection) {
        connection->setPeerClosedHandler([&] { isRequestCancelled = true; });
        connection->beginStream(HttpResponseHead{200, "OK", {}, true, false}, {});
        while (connection->unsentBytes() == 0) {
            connection->sendChunk(part);
        }
    };
    RawClient streaming(listener->port());
    streaming.send(getRequest);
    runUntil([&] { return isRequestCancelled; });
    BOOST_TEST(listener->connectionCount() == 0U);
    const std::string hugeBody(16'000'000, 'a');
    for (const bool keepsOpen : {true, false}) {
        keepsConnectionsOpen = keepsOpen;
        respond = [&](const HttpServerConnection::Ptr &connection) {
            connection->respond(HttpResponseHead{200, "OK", {}, true, false}, hugeBody);
        };
        RawClient client(listener->port());
        client.send(getRequest);
        runUntil([&] { return listener->connectionCount() == 1U; });
        runUntil([&] { return listener->connectionCount() == 0U; });
        runUntil([&] { return client.isEnded(); });
        BOOST_TEST(client.received().size() < hugeBody.size());
    }
}

/// Guards against a whole request that gets no answer because the idle timeout is checked before the request is read.
BOOST_AUTO_TEST_CASE(requestsThatWaitToBeReadAreAnswered)
{
    // More connections than the loop handles before it runs its timers.
    std::vector<std::unique_ptr<RawClient>> clients(200);
    for (std::unique_ptr<RawClient> &it : clients) {
        it = std::make_unique<RawClient>(listener->port());
    }
    const auto sendAll = [&] {
        for (const std::unique_ptr<RawClient> &it : clients) {
            it->send(getRequest);
        }
    };
    const auto allHaveResponses = [&](int n) {
        return std::all_of(clients.begin(), clients.end(),
                           [n](const std::unique_ptr<RawClient> &it) { return it->responseCount() == n || it->isEnded(); });
    };
    limits.idleTimeout = shortIdleTimeout * 10;
    sendAll();
    runUntil([&] { return allHaveResponses(1); });
    sendAll();
    absl::SleepFor(limits.idleTimeout * 1.5); // The loop's thread does not run.
    runUntil([&] { return allHaveResponses(2); });
    BOOST_TEST(std::count_if(clients.begin(), clients.end(), [](const auto &it) { return it->responseCount() == 2; }) == 200);
}

/// Guards against a refusal that the client never sees, because the connection is reset while it goes on sending.
BOOST_AUTO_TEST_CASE(aRefusedBodyGetsItsWholeResponse)
{
    limits.parse.bodyBytes = 1000;
    for (const std::string head : {"Content-Length: 10000000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n5000\r\n"}) {
        RawClient client(listener->port());
        client.send("POST /x HTTP/1.1\r\nHost: h\r\n" + head);
        for (int i = 0; i < 10; ++i) {
            client.send(std::string(1900, 'x'));
            runFor(absl::Milliseconds(2));
        }
        runUntil([&] { return client.isEnded(); });
        BOOST_TEST(client.received().starts_with("HTTP/1.1 413 "));
        BOOST_TEST(client.received().ends_with("not received in time\n"));
        BOOST_TEST(client.hasEndedInOrder());
    }
    BOOST_TEST(requestCount == 0);
}

/// Guards against responses that pile up for a client that sends requests and does not read.
BOOST_AUTO_TEST_CASE(aPipelinedRequestWaitsUntilTheResponseBeforeItIsSent)
{
    const std::string hugeBody(16'000'000, 'a');
    respond = [&](const HttpServerConnection::Ptr &connection) {
        connection->respond(HttpResponseHead{200, "OK", {}, true, false}, hugeBody);
    };
    RawClient client(listener->port());
    client.send(getRequest + getRequest);
    runFor(absl::Milliseconds(100));
    BOOST_TEST(requestCount == 1);
    BOOST_TEST((lastUse.phase == ConnectionPhase::Sending));
    BOOST_TEST(lastUse.bytes > hugeBody.size());
    runUntil([&] { return client.responseCount() == 2; });
}

/// Guards against a body that trickles in for as long as the client likes.
BOOST_AUTO_TEST_CASE(aRequestMustArriveWithinItsTimeEvenIfItsBytesKeepArriving)
{
    limits.receiveTimeout = absl::Milliseconds(60);
    RawClient client(listener->port());
    client.send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n");
    runUntil([&] {
        if (client.responseCount() == 0) {
            client.send("x");
        }
        return client.responseCount() > 0 || client.isEnded();
    });
    BOOST_TEST(client.received().starts_with("HTTP/1.1 408 "));
}

/// Guards against a connection that holds more after its owner has told it to stop, or never goes on.
BOOST_AUTO_TEST_CASE(aPausedConnectionReadsNothingUntilItIsAllowedTo)
{
    bool pauses = true;
    permission = [&](const ConnectionUse &use) {
        return pauses && use.bytes > 10'000 ? ReadPermission::Pause : ReadPermission::Read;
    };
    RawClient client(listener->port());
    client.send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + std::string(10'000, 'x'));
    runFor(absl::Milliseconds(20));
    const std::size_t held = lastUse.bytes;
    client.send(std::string(90'000, 'x'));
    runFor(absl::Milliseconds(20));
    lastConnection->reviewUse();
    BOOST_TEST(lastConnection->isPaused());
    BOOST_TEST(lastUse.bytes == held);
    pauses = false;
    lastConnection->reviewUse();
    runUntil([&] { return client.responseCount() == 1; });
    BOOST_TEST(requestCount == 1);
}

/// Guards against a request that is refused for lack of memory and reaches the owner all the same.
BOOST_AUTO_TEST_CASE(aRequestForWhichThereIsNoMemoryIsRefused)
{
    permission = [&](const ConnectionUse &use) {
        return use.isNewRequest ? ReadPermission::Refuse : ReadPermission::Read;
    };
    RawClient client(listener->port());
    client.send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n12345");
    runUntil([&] { return client.isEnded(); });
    BOOST_TEST(client.received().starts_with("HTTP/1.1 503 "));
    BOOST_TEST(requestCount == 0);
}

/// Guards against buffers that idle connections keep, which thousands of silent callers would add up.
BOOST_AUTO_TEST_CASE(anIdleConnectionHoldsNoBuffer)
{
    RawClient client(listener->port());
    client.send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 30000\r\n\r\n" + std::string(30'000, 'x'));
    runUntil([&] { return client.responseCount() == 1; });
    runFor(absl::Milliseconds(5));
    lastConnection->reviewUse();
    BOOST_TEST((lastUse.phase == ConnectionPhase::Idle));
    BOOST_TEST(lastUse.bytes < 5000U);
}

BOOST_AUTO_TEST_SUITE_END()
