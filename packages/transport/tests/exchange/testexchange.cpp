#include "transport/connectionpool.h"
#include "transport/httpexchange.h"
#include "transport/httpfetch.h"
#include "transport/httplistener.h"
#include "transport/thread.h"

#include <absl/time/clock.h>
#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <functional>
#include <netinet/in.h>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

using namespace Apricot;

namespace {

/// Returns a blocking socket that is connected to \a port on this host.
int connectTo(int port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    BOOST_REQUIRE(connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0);
    return descriptor;
}

/// Result of an exchange.
struct ExchangeResult
{
    ExchangeOutcome outcome = ExchangeOutcome::NotSent;
    int status = 0;
    std::string body;
    bool sent = false;
};

/**
 * \class RawServer
 * \brief A server whose handler sends arbitrary bytes in response to received data.
 */
class RawServer
{
public:
    using Handler = std::function<void(const std::shared_ptr<TcpConnection> &, const std::string &)>;

    RawServer(EventLoop &loop, Handler handler)
        : m_handler(std::move(handler))
        , m_listener(loop, "127.0.0.1:0", AddressSharing::Exclusive, TcpTimeouts(),
                     [this](const std::shared_ptr<TcpConnection> &it) { accept(it); })
    {
    }

    ~RawServer()
    {
        for (const std::shared_ptr<TcpConnection> &it : m_connections) {
            it->abort();
        }
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_listener.port());
    }

    std::size_t connectionCount() const
    {
        return m_connections.size();
    }

    int requests = 0;
    int closedCount = 0;

private:
    void accept(const std::shared_ptr<TcpConnection> &connection)
    {
        m_connections.push_back(connection);
        TcpConnection::Callbacks callbacks;
        callbacks.onData = [this, connection](std::string_view bytes) {
            ++requests;
            m_handler(connection, std::string(bytes));
        };
        callbacks.onClosed = [this](TcpCloseReason) {
            ++closedCount;
        };
        connection->setCallbacks(std::move(callbacks));
    }

    Handler m_handler;
    std::vector<std::shared_ptr<TcpConnection>> m_connections;
    TcpListener m_listener;
};

struct Loop
{
    EventLoop events;
    ConnectionPool pool;

    ExchangeRequest request(const std::string &address) const
    {
        HttpRequestHead head;
        head.method = "GET";
        head.target = "/";
        ExchangeRequest it;
        it.address = address;
        it.poolKey = address;
        it.encodedRequest = encodeHttpRequest(head, {});
        it.maxIdleTime = absl::Seconds(60);
        it.keepAliveTime = absl::Seconds(60);
        it.connectTimeout = absl::Seconds(20);
        return it;
    }

    ExchangeResult exchange(ExchangeRequest request)
    {
        ExchangeResult result;
        bool isFinished = false;
        HttpExchange::Callbacks callbacks;
        callbacks.onSent = [&] {
            result.sent = true;
        };
        callbacks.onHead = [&](const HttpResponseHead &head) {
            result.status = head.status;
        };
        callbacks.onBody = [&](const std::string &part) {
            result.body += part;
        };
        callbacks.onEnded = [&](ExchangeOutcome outcome) {
            result.outcome = outcome;
            isFinished = true;
        };
        const auto running = HttpExchange::start(events, pool, std::move(request), std::move(callbacks));
        while (!isFinished) {
            events.runOnce();
        }
        return result;
    }

    void runUntil(const std::function<bool()> &done)
    {
        while (!done()) {
            events.runOnce();
        }
    }
};

/// Reads the owner of a response from its header X-For.
ResponseOwner ownerByHeader(const HttpResponseHead &head)
{
    const std::string_view owner = headerValue(head.headers, "X-For");
    if (owner.empty()) {
        return ResponseOwner::Unidentified;
    }
    return owner == "me" ? ResponseOwner::ThisRequest : ResponseOwner::OtherRequest;
}

/// Longer than any response of these tests.
constexpr std::size_t ampleBytes = 1U << 20;

const std::string goodResponse = "HTTP/1.1 200 OK\r\nX-For: me\r\nContent-Length: 4\r\n\r\ngood";

}

BOOST_FIXTURE_TEST_SUITE(Exchanges, Loop)

BOOST_AUTO_TEST_CASE(aConnectionIsReusedForTheNextExchange)
{
    RawServer server(events, [](const auto &connection, const std::string &) { connection->write(goodResponse); });
    BOOST_TEST(exchange(request(server.address())).body == "good");
    BOOST_TEST(exchange(request(server.address())).body == "good");
    BOOST_TEST(server.connectionCount() == 1U);
}

BOOST_AUTO_TEST_CASE(nothingIsSentWithoutAConnection)
{
    const ExchangeResult result = exchange(request("127.0.0.1:9"));
    BOOST_TEST((result.outcome == ExchangeOutcome::NotSent));
    BOOST_TEST(!result.sent);
}

BOOST_AUTO_TEST_CASE(aRequestThatWasSentIsNeverSentAgain)
{
    int responses = 0;
    RawServer server(events, [&](const auto &connection, const std::string &) {
        if (responses++ == 0) {
            connection->write(goodResponse);
        } else {
            connection->abort(); // The reused connection fails during the second request.
        }
    });
    BOOST_TEST(exchange(request(server.address())).body == "good");
    const ExchangeResult second = exchange(request(server.address()));
    BOOST_TEST((second.outcome == ExchangeOutcome::Incomplete));
    BOOST_TEST(second.sent);
    BOOST_TEST(server.requests == 2);
}

BOOST_AUTO_TEST_CASE(theResponseToAnotherRequestIsSkipped)
{
    RawServer server(events, [](const auto &connection, const std::string &) {
        connection->write("HTTP/1.1 200 OK\r\nX-For: other\r\nContent-Length: 5\r\n\r\nwrong" + goodResponse);
    });
    ExchangeRequest matchingRequest = request(server.address());
    matchingRequest.findOwner = ownerByHeader;
    BOOST_TEST(exchange(matchingRequest).body == "good");
    exchange(matchingRequest);
    BOOST_TEST(server.connectionCount() == 2U); // A connection with a response to another request is not reused.
}

/// A server wrote a response that names no request once more on a kept connection, and it passed for the response to the next one.
BOOST_AUTO_TEST_CASE(anUnidentifiedResponseCountsOnlyOnAFreshConnection)
{
    const std::string unidentified = "HTTP/1.1 503 Unavailable\r\nContent-Length: 4\r\n\r\nfull";
    std::string response = unidentified;
    RawServer server(events, [&](const auto &connection, const std::string &) { connection->write(response); });
    ExchangeRequest matchingRequest = request(server.address());
    matchingRequest.findOwner = ownerByHeader;
    BOOST_TEST(exchange(matchingRequest).status == 503);
    response = goodResponse;
    BOOST_TEST(exchange(matchingRequest).body == "good");
    BOOST_TEST(server.connectionCount() == 2U); // A connection with an unidentified response is not reused.
    response = unidentified + goodResponse;
    BOOST_TEST(exchange(matchingRequest).body == "good");
    BOOST_TEST(server.connectionCount() == 2U);
    response = "HTTP/1.1 200 OK\r\nX-For: other\r\nContent-Length: 5\r\n\r\nwrong" + unidentified + goodResponse;
    BOOST_TEST(exchange(matchingRequest).body == "good");
    BOOST_TEST(server.connectionCount() == 3U);
}

/// Guards against a call that hangs because the server's response to it names no request.
BOOST_AUTO_TEST_CASE(anUnidentifiedResponseOnAKeptConnectionEndsTheExchangeAfterAWhile)
{
    std::string response = goodResponse;
    RawServer server(events, [&](const auto &connection, const std::string &) { connection->write(response); });
    ExchangeRequest matchingRequest = request(server.address());
    matchingRequest.findOwner = ownerByHeader;
    BOOST_TEST(exchange(matchingRequest).body == "good");
    response = "HTTP/1.1 503 Unavailable\r\nContent-Length: 4\r\n\r\nfull";
    BOOST_TEST((exchange(matchingRequest).outcome == ExchangeOutcome::Incomplete));
    BOOST_TEST(server.connectionCount() == 1U);
}

/// What the head of a response to another request says must not be taken for what this response says.
BOOST_AUTO_TEST_CASE(onlyTheHeadOfTheOwnResponseIsObserved)
{
    RawServer server(events, [](const auto &connection, const std::string &) {
        connection->write("HTTP/1.1 103 Early Hints\r\nX-For: me\r\n\r\nHTTP/1.1 503 Service Unavailable\r\nX-For: other\r\n"
                          "Retry-After: 9\r\nContent-Length: 5\r\n\r\nwrong"
                          + goodResponse);
    });
    ExchangeRequest observedRequest = request(server.address());
    observedRequest.findOwner = ownerByHeader;
    std::vector<int> statuses;
    observedRequest.observeHead = [&](const HttpResponseHead &head) {
        statuses.push_back(head.status);
    };
    BOOST_TEST(exchange(observedRequest).body == "good");
    BOOST_TEST(statuses == std::vector<int>{200}, boost::test_tools::per_element());
}

/// Writes \a bytes to \a connection without end, faster than its peer parses them.
void writeWithoutEnd(EventLoop &loop, const std::shared_ptr<TcpConnection> &connection, const std::string &bytes)
{
    constexpr std::size_t maxBufferedBytes = 1U << 20;
    while (connection->isOpen() && connection->unsentBytes() < maxBufferedBytes) {
        connection->write(bytes);
    }
    if (connection->isOpen()) {
        loop.post([&loop, connection, bytes] { writeWithoutEnd(loop, connection, bytes); });
    }
}

std::string repeated(const std::string &text, int count)
{
    std::string result;
    for (int i = 0; i < count; ++i) {
        result += text;
    }
    return result;
}

/// Guards against CONFIG: interim heads without end kept the thread of the loop reading, so that no deadline and no other caller was
/// served.
BOOST_AUTO_TEST_CASE(interimHeadsWithoutEndEndTheExchange)
{
    constexpr int headsPerWrite = 4000;
    RawServer server(events, [&](const auto &connection, const std::string &) {
        writeWithoutEnd(events, connection, repeated("HTTP/1.1 100 Continue\r\n\r\n", headsPerWrite));
    });
    const ExchangeResult result = exchange(request(server.address()));
    BOOST_TEST((result.outcome == ExchangeOutcome::Incomplete));
    BOOST_TEST(result.body.empty());
}

/// A few interim responses are legitimate.
BOOST_AUTO_TEST_CASE(someInterimHeadsPrecedeTheResponse)
{
    constexpr int someHeads = 20;
    RawServer server(events, [&](const auto &connection, const std::string &) {
        connection->write(repeated("HTTP/1.1 102 Processing\r\n\r\n", someHeads) + goodResponse);
    });
    BOOST_TEST(exchange(request(server.address())).body == "good");
}

/// Guards against CONFIG: a peer that sends faster than its bytes are handled kept the loop from its timers.
BOOST_AUTO_TEST_CASE(aFastPeerDoesNotDelayTimers)
{
    // The peer writes from a thread of its own, as it could not outrun this loop from within it.
    EventLoop peerLoop;
    RawServer server(peerLoop, [&](const auto &connection, const std::string &) {
        writeWithoutEnd(peerLoop, connection, "HTTP/1.1 200 OK\r\n\r\n" + std::string(100000, 'x'));
    });
    Thread peer("peer", [&] { peerLoop.run(); });
    bool isTimerDue = false;
    std::size_t readsAfterwards = 0;
    HttpExchange::Callbacks callbacks;
    TimerId timer = 0;
    callbacks.onBody = [&](const std::string &) {
        if (timer == 0) {
            timer = events.after(absl::ZeroDuration(), [&] { isTimerDue = true; });
        } else {
            ++readsAfterwards;
        }
        absl::SleepFor(absl::Milliseconds(2)); // slower than the peer, so that each read fills its buffer
    };
    const auto running = HttpExchange::start(events, pool, request(server.address()), std::move(callbacks));
    runUntil([&] { return isTimerDue; });
    running->cancel();
    peerLoop.stop();
    peer.join();
    BOOST_TEST(readsAfterwards == 0U);
}

BOOST_AUTO_TEST_CASE(extraBytesAfterAResponsePreventReuse)
{
    RawServer server(events, [](const auto &connection, const std::string &) { connection->write(goodResponse + "more"); });
    BOOST_TEST(exchange(request(server.address())).body == "good");
    exchange(request(server.address()));
    BOOST_TEST(server.connectionCount() == 2U);
}

BOOST_AUTO_TEST_CASE(bytesOnAnIdleConnectionCloseIt)
{
    std::shared_ptr<TcpConnection> first;
    RawServer server(events, [&](const auto &connection, const std::string &) {
        first = first ? first : connection;
        connection->write(goodResponse);
    });
    exchange(request(server.address()));
    first->write(goodResponse); // A late response that belongs to no request.
    runUntil([&] { return server.closedCount == 1; });
    exchange(request(server.address()));
    BOOST_TEST(server.connectionCount() == 2U);
}

BOOST_AUTO_TEST_CASE(aBodyWithoutLengthIsCompleteOnlyAfterAnOrderlyClose)
{
    bool closesInOrder = true;
    RawServer server(events, [&](const auto &connection, const std::string &) {
        connection->write("HTTP/1.1 200 OK\r\nX-For: me\r\n\r\nwhole");
        if (closesInOrder) {
            connection->close();
        } else {
            connection->abort();
        }
    });
    BOOST_TEST((exchange(request(server.address())).outcome == ExchangeOutcome::Complete));
    closesInOrder = false;
    BOOST_TEST((exchange(request(server.address())).outcome == ExchangeOutcome::Incomplete));
}

/// Guards against MIXED: a head that broke off was taken for a whole one, at any place, on a fresh or a kept connection.
BOOST_AUTO_TEST_CASE(aResponseThatEndsInItsHeadIsIncomplete)
{
    const std::string head = goodResponse.substr(0, goodResponse.size() - 4);
    std::string answer;
    bool closesInOrder = true;
    RawServer server(events, [&](const auto &connection, const std::string &) {
        connection->write(answer);
        if (answer != goodResponse) {
            closesInOrder ? connection->close() : connection->abort();
        }
    });
    for (std::size_t cut = 0; cut < head.size(); ++cut) {
        for (const bool isKept : {false, true}) {
            answer = goodResponse;
            if (isKept) {
                BOOST_REQUIRE((exchange(request(server.address())).outcome == ExchangeOutcome::Complete));
            }
            answer = head.substr(0, cut);
            closesInOrder = cut % 2 == 0;
            const ExchangeResult result = exchange(request(server.address()));
            BOOST_TEST((result.outcome == ExchangeOutcome::Incomplete));
            BOOST_TEST(result.status == 0);
        }
    }
}

BOOST_AUTO_TEST_CASE(aCancelledExchangeResetsItsConnection)
{
    RawServer server(events, [](const auto &, const std::string &) {});
    bool hasEnded = false;
    HttpExchange::Callbacks callbacks;
    callbacks.onEnded = [&](ExchangeOutcome) {
        hasEnded = true;
    };
    const auto running = HttpExchange::start(events, pool, request(server.address()), std::move(callbacks));
    runUntil([&] { return server.requests == 1; });
    running->cancel();
    runUntil([&] { return server.closedCount == 1; });
    BOOST_TEST(!hasEnded);
}

BOOST_AUTO_TEST_CASE(aDisconnectIsDetectedDuringARequest)
{
    bool isPeerClosed = false;
    HttpServerConnection::Ptr accepted;
    HttpListener::Hooks hooks;
    hooks.onRequest = [&](const HttpServerConnection::Ptr &connection, const HttpRequestHead &, const std::string &) {
        accepted = connection;
        connection->setPeerClosedHandler([&] { isPeerClosed = true; });
    };
    HttpListener listener(events, "127.0.0.1:0", AddressSharing::Exclusive, std::move(hooks));
    const auto running
        = HttpExchange::start(events, pool, request("127.0.0.1:" + std::to_string(listener.port())), HttpExchange::Callbacks());
    runUntil([&] { return accepted != nullptr; });
    running->cancel();
    runUntil([&] { return isPeerClosed; });
    BOOST_TEST(listener.connectionCount() == 0U);
}

/// A client gave up while the server was busy: its request and the end of its connection are read at the same time.
BOOST_AUTO_TEST_CASE(aRequestIsNotHandledAfterItsClientHasLeft)
{
    int requests = 0;
    HttpListener::Hooks hooks;
    hooks.onRequest = [&](const HttpServerConnection::Ptr &connection, const HttpRequestHead &, const std::string &) {
        ++requests;
        connection->respond(HttpResponseHead(), {});
    };
    HttpListener listener(events, "127.0.0.1:0", AddressSharing::Exclusive, std::move(hooks));
    const std::string text = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
    const auto sendRequest = [&] {
        const int client = connectTo(listener.port());
        BOOST_REQUIRE(send(client, text.data(), text.size(), 0) == static_cast<ssize_t>(text.size()));
        return client;
    };
    close(sendRequest());
    const int waiting = sendRequest();
    runUntil([&] { return requests > 0; });
    runUntil([&] { return listener.connectionCount() == 1; });
    BOOST_TEST(requests == 1);
    close(waiting);
}

BOOST_AUTO_TEST_CASE(anAbortedStreamIsNotComplete)
{
    HttpListener::Hooks hooks;
    hooks.onRequest = [&](const HttpServerConnection::Ptr &connection, const HttpRequestHead &, const std::string &) {
        connection->beginStream(HttpResponseHead{200, "OK", {}, true, false}, "part");
        events.after(absl::Milliseconds(20), [connection] { connection->abort(); });
    };
    HttpListener listener(events, "127.0.0.1:0", AddressSharing::Exclusive, std::move(hooks));
    const ExchangeResult result = exchange(request("127.0.0.1:" + std::to_string(listener.port())));
    BOOST_TEST((result.outcome == ExchangeOutcome::Incomplete));
    BOOST_TEST(result.status == 200);
}

BOOST_AUTO_TEST_CASE(aFetchReturnsTheFullResponseOrAnError)
{
    const auto fetch = [this](const std::string &address, absl::Duration timeout) {
        std::vector<FetchResult> results;
        HttpFetch::start(events, pool, request(address), timeout, ampleBytes,
                         [&](const FetchResult &result) { results.push_back(result); });
        runUntil([&] { return !results.empty(); });
        BOOST_TEST(results.size() == 1U);
        return results.front();
    };
    RawServer answering(events, [](const auto &connection, const std::string &) { connection->write(goodResponse); });
    RawServer resetting(events, [](const auto &connection, const std::string &) { connection->abort(); });
    RawServer silent(events, [](const auto &, const std::string &) {});
    constexpr absl::Duration ample = absl::Seconds(20);
    const FetchResult complete = fetch(answering.address(), ample);
    BOOST_REQUIRE(std::holds_alternative<FullResponse>(complete));
    BOOST_TEST(std::get<FullResponse>(complete).head.status == 200);
    BOOST_TEST(headerValue(std::get<FullResponse>(complete).head.headers, "X-For") == "me");
    BOOST_TEST(std::get<FullResponse>(complete).body == "good");
    BOOST_TEST((fetch(resetting.address(), ample) == FetchResult(FetchError::NoResponse)));
    BOOST_TEST((fetch(silent.address(), absl::Milliseconds(20)) == FetchResult(FetchError::TimedOut)));
    BOOST_TEST((fetch("127.0.0.1:1", ample) == FetchResult(FetchError::NoConnection)));
    BOOST_TEST(silent.requests == 1);
}

/// Guards against MIXED: an engine answered a long upload at once with a 200 without a length and reset the connection; the write of the
/// upload took the report of the reset, so that the connection seemed to be closed in order, which completes such an answer.
BOOST_AUTO_TEST_CASE(anAnswerWithoutLengthIsNotCompletedByAResetDuringTheUpload)
{
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    BOOST_REQUIRE(bind(listener, reinterpret_cast<const sockaddr *>(&address), length) == 0);
    BOOST_REQUIRE(listen(listener, 1) == 0);
    getsockname(listener, reinterpret_cast<sockaddr *>(&address), &length);
    const auto answerWith = [&](const std::string &answer) {
        ExchangeResult result;
        bool isFinished = false;
        ExchangeRequest upload = request("127.0.0.1:" + std::to_string(ntohs(address.sin_port)));
        upload.encodedRequest = "POST / HTTP/1.1\r\nContent-Length: 64000000\r\n\r\n" + std::string(64'000'000, 'u');
        HttpExchange::Callbacks callbacks;
        callbacks.onSent = [&] {
            result.sent = true;
        };
        callbacks.onBody = [&](const std::string &part) {
            result.body += part;
        };
        callbacks.onEnded = [&](ExchangeOutcome outcome) {
            result.outcome = outcome;
            isFinished = true;
        };
        const auto running = HttpExchange::start(events, pool, std::move(upload), std::move(callbacks));
        const int engine = accept(listener, nullptr, nullptr);
        runUntil([&] { return result.sent; });
        BOOST_REQUIRE(send(engine, answer.data(), answer.size(), 0) == static_cast<ssize_t>(answer.size()));
        close(engine); // Resets the connection, because a part of the upload was not read.
        // The loop sees that it can write and that the connection has ended at the same time, and writes first.
        runUntil([&] { return isFinished; });
        return result;
    };
    for (const char *head : {"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"}) {
        BOOST_TEST((answerWith(std::string(head) + "a part").outcome == ExchangeOutcome::Incomplete));
    }
    const ExchangeResult complete = answerWith("HTTP/1.1 503 Full\r\nContent-Length: 4\r\n\r\nfull");
    BOOST_TEST((complete.outcome == ExchangeOutcome::Complete));
    BOOST_TEST(complete.body == "full");
    close(listener);
}

/// A complete answer of 8 MB where some hundred bytes were expected took a node's memory: it was read to its end.
BOOST_AUTO_TEST_CASE(aResponseOverTheLimitOfItsFetchIsNotReadOn)
{
    constexpr std::size_t limit = 100;
    constexpr std::size_t longLength = 1U << 20;
    const auto fetch = [&](const RawServer &server) {
        std::optional<FetchResult> result;
        HttpFetch::start(events, pool, request(server.address()), absl::Seconds(20), limit, [&](const FetchResult &it) { result = it; });
        runUntil([&] { return result.has_value(); });
        return *result;
    };
    const std::string longBody(longLength, 'x');
    const std::string chunk = "40\r\n" + std::string(0x40, 'x') + "\r\n";
    for (const std::string &response :
         {std::string("HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n"), "HTTP/1.1 200 OK\r\nContent-Length: 1048576\r\n\r\n" + longBody,
          "HTTP/1.1 503 Full\r\nContent-Length: 101\r\n\r\n" + std::string(101, 'x'),
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + chunk, "HTTP/1.1 200 OK\r\n\r\n" + longBody}) {
        RawServer server(events, [&](const auto &connection, const std::string &) { connection->write(response); });
        BOOST_TEST((fetch(server) == FetchResult(FetchError::TooLong)), response.substr(0, 60));
        runUntil([&] { return server.closedCount == 1; });
    }
    const std::string fitting(limit, 'x');
    RawServer server(events, [&](const auto &connection, const std::string &) {
        connection->write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n" + fitting);
    });
    const FetchResult complete = fetch(server);
    BOOST_REQUIRE(std::holds_alternative<FullResponse>(complete));
    BOOST_TEST(std::get<FullResponse>(complete).body == fitting);
}

BOOST_AUTO_TEST_CASE(aCancelledFetchReturnsNothing)
{
    RawServer silent(events, [](const auto &, const std::string &) {});
    bool hasEnded = false;
    const auto fetch = HttpFetch::start(events, pool, request(silent.address()), absl::Seconds(20), ampleBytes,
                                        [&](const FetchResult &) { hasEnded = true; });
    runUntil([&] { return silent.requests == 1; });
    fetch->cancel();
    runUntil([&] { return silent.closedCount == 1; });
    BOOST_TEST(!hasEnded);
}

BOOST_AUTO_TEST_SUITE_END()
