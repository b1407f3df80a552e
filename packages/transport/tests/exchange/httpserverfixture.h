#pragma once

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

namespace Apricot {

/**
 * \class RawClient
 * \brief A client that sends arbitrary bytes over one blocking connection.
 */
class RawClient
{
public:
    /// \a receiveBufferBytes: size of the receive buffer; 0: that of the system.
    explicit RawClient(int port, int receiveBufferBytes = 0)
        : m_descriptor(socket(AF_INET, SOCK_STREAM, 0))
    {
        if (receiveBufferBytes > 0) {
            setsockopt(m_descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof(receiveBufferBytes));
        }
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

    /// Reads at most \a bytes without waiting.
    void receiveSome(std::size_t bytes)
    {
        std::string buf(bytes, ' ');
        const ssize_t n = recv(m_descriptor, buf.data(), bytes, MSG_DONTWAIT);
        m_received.append(buf, 0, n > 0 ? static_cast<std::size_t>(n) : 0);
        m_endedInOrder = m_endedInOrder || n == 0;
        m_ended = m_ended || n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
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

    /// Whether the end of the connection has been read.
    bool hasEnded() const
    {
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
        hooks.onRefused = [this](const HttpServerConnection::Ptr &connection, const HttpRequestHead &) {
            respondToRefused(connection);
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
    std::function<void(const HttpServerConnection::Ptr &)> respondToRefused = HttpListener::respondToRefused;
    std::unique_ptr<HttpListener> listener;
};

inline const std::string getRequest = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

}
