// Responses that the system still sends to a client which reads slowly: nothing that ends or replaces its connection may destroy them.
#include "httpserverfixture.h"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>

using namespace Apricot;

namespace {

/// Receive buffer of the slow client, bytes.
constexpr int smallBuffer = 4096;

/// Longer than what the client's window takes, and shorter than what the system buffers for the server.
const std::string longBody(24'000, 'a');

/**
 * \class SlowDelivery
 * \brief Fixture: a server whose responses are long, and a client that reads them slowly.
 */
struct SlowDelivery : Server
{
    SlowDelivery()
    {
        respond = [](const HttpServerConnection::Ptr &connection) {
            connection->respond(HttpResponseHead{200, "OK", {}, true, false}, longBody);
        };
        client.emplace(listener->port(), smallBuffer);
    }

    /// Sends a request, and lets the system take the response.
    void request()
    {
        const int before = requestCount;
        client->send(getRequest);
        runUntil([&] { return requestCount > before; });
        runFor(absl::Milliseconds(100));
    }

    /// Reads up to 400 bytes every 20 ms until \a responses have been received, or the connection ends.
    void readSlowly(std::size_t responses = 1)
    {
        bool isEnded = false;
        while (!isEnded && client->received().size() < responses * longBody.size()) {
            runFor(absl::Milliseconds(20));
            const std::size_t before = client->received().size();
            client->receiveSome(400);
            isEnded = client->received().size() == before && client->hasEnded();
        }
    }

    bool hasWholeBody() const
    {
        return client->received().ends_with(longBody);
    }

    std::optional<RawClient> client;
};

}

BOOST_FIXTURE_TEST_SUITE(SlowDeliveries, SlowDelivery)

/// Guards against a connection that counts as idle, and its bytes as none, while the system still sends the response.
BOOST_AUTO_TEST_CASE(aConnectionIsIdleOnceItsResponseHasReachedTheClient)
{
    request();
    runFor(absl::Seconds(1));
    BOOST_TEST((lastUse.phase == ConnectionPhase::Sending));
    BOOST_TEST(lastUse.systemBytes > longBody.size() / 2);
    BOOST_TEST(lastUse.systemBytes < 2 * longBody.size());
    const absl::Time before = lastUse.lastProgress;
    readSlowly();
    runUntil([&] { return lastUse.phase == ConnectionPhase::Idle; });
    BOOST_TEST(lastUse.systemBytes == 0U);
    BOOST_TEST((lastUse.lastProgress > before));
}

/// Guards against a response that is destroyed because its connection is closed for another one.
BOOST_AUTO_TEST_CASE(aConnectionWhoseResponseIsOnItsWayIsNotClosedForAnother)
{
    request();
    lastConnection->closeForAnother();
    BOOST_TEST(listener->connectionCount() == 1U);
    readSlowly();
    BOOST_TEST(hasWholeBody());
    runFor(absl::Milliseconds(100));
    lastConnection->closeForAnother();
    BOOST_TEST(listener->connectionCount() == 0U);
    runUntil([&] { return client->isEnded(); });
    BOOST_TEST(client->hasEndedInOrder());
}

/// Guards against a request that is destroyed unread, with a reset, because its connection is closed for another one.
BOOST_AUTO_TEST_CASE(aRequestThatArrivesBeforeTheCloseForAnotherIsAnswered)
{
    client.emplace(listener->port());
    request();
    runUntil([&] { return client->responseCount() == 1 && lastUse.phase == ConnectionPhase::Idle; });
    client->send(getRequest);
    lastConnection->closeForAnother();
    runUntil([&] { return client->isEnded(); });
    BOOST_TEST(client->responseCount() == 2);
    BOOST_TEST(client->hasEndedInOrder());
    BOOST_TEST(client->received().find("Connection: close") != std::string::npos);
}

/// Guards against an idle timeout that counts the time in which the client still reads the response.
BOOST_AUTO_TEST_CASE(theIdleTimeBeginsWhenTheResponseHasReachedTheClient)
{
    limits.idleTimeout = absl::Milliseconds(600); // Half of the time that the client takes to read.
    request();
    readSlowly();
    BOOST_TEST(hasWholeBody());
    client->send(getRequest);
    readSlowly(2);
    BOOST_TEST(client->responseCount() == 2);
    BOOST_TEST(hasWholeBody());
}

/// Guards against a client that keeps its connection for ever because all that it does not read fits into the buffers of the system.
BOOST_AUTO_TEST_CASE(aClientThatHasStoppedReadingWhatTheSystemHoldsIsDisconnected)
{
    limits.idleTimeout = shortIdleTimeout;
    request();
    BOOST_TEST(listener->connectionCount() == 1U);
    runUntil([&] { return listener->connectionCount() == 0U; });
}

/// Guards against a planned stop that closes the connection while the client reads: the reset for its next bytes destroys the response.
BOOST_AUTO_TEST_CASE(aResponseOnItsWayOutlivesTheStopOfTheListener)
{
    request();
    listener->stopAccepting();
    client->send("GET /next");
    readSlowly();
    BOOST_TEST(hasWholeBody());
}

/// Guards against the same when the listener is destroyed, which resets only responses that are incomplete.
BOOST_AUTO_TEST_CASE(aResponseOnItsWayOutlivesTheListener)
{
    request();
    listener.reset();
    readSlowly();
    BOOST_TEST(hasWholeBody());
}

/// Guards against the same at the end of the grace period, when what is in progress is interrupted.
BOOST_AUTO_TEST_CASE(aResponseOnItsWayIsNotInterrupted)
{
    request();
    listener->interruptRequests();
    BOOST_TEST(listener->connectionCount() == 0U);
    readSlowly();
    BOOST_TEST(hasWholeBody());
    runUntil([&] { return client->isEnded(); });
    BOOST_TEST(client->hasEndedInOrder());
}

/// Guards against the same after the last response of a connection, whose client sends more than its request.
BOOST_AUTO_TEST_CASE(theLastResponseArrivesAlthoughMoreInputFollows)
{
    keepsConnectionsOpen = false;
    request();
    client->send("GET /next");
    readSlowly();
    BOOST_TEST(hasWholeBody());
    BOOST_TEST(lastConnection->undeliveredBytes() == 0U); // What is asked meanwhile must not hide the end of the delivery.
    runUntil([&] { return listener->connectionCount() == 0U; });
}

/// Guards against an account that learns late what a stream holds: its first part was reported with the next one, what was sent with the
/// end.
BOOST_AUTO_TEST_CASE(aStreamReportsWhatItHoldsInBothDirections)
{
    const std::string part(600'000, 'p');
    respond = [&](const HttpServerConnection::Ptr &connection) {
        events.post([&, connection] { connection->beginStream(HttpResponseHead{200, "OK", {}, true, false}, part); });
    };
    request();
    BOOST_TEST(lastUse.bytes > part.size() / 2);
    runUntil([&] {
        client->receive();
        return client->received().size() > part.size() && lastUse.bytes < part.size() / 100;
    });
    BOOST_TEST((lastUse.phase == ConnectionPhase::Responding));
}

/// Guards against a refusal that is cut off when its client reads it for longer than the input of the request is discarded.
BOOST_AUTO_TEST_CASE(aLongRefusalArrives)
{
    permission = [](const ConnectionUse &use) {
        return use.isNewRequest ? ReadPermission::Refuse : ReadPermission::Read;
    };
    respondToRefused = respond;
    client->send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n" + std::string(1000, 'b'));
    runFor(absl::Milliseconds(2500)); // Longer than input is discarded.
    client->send(std::string(1000, 'b'));
    readSlowly();
    BOOST_TEST(hasWholeBody());
}

BOOST_AUTO_TEST_SUITE_END()
