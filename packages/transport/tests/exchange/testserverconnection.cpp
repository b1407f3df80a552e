#include "httpserverfixture.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace Apricot;

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
