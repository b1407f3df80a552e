#include "apricotladderd/entry/localserver.h"

#include <utility>

namespace Apricot {

namespace {

/// Questions have no bodies worth mentioning.
constexpr ParseLimits questionLimits{16384, 65536};

/// A connection without a question for this long is closed.
constexpr absl::Duration idleTimeout = absl::Seconds(30);

}

/**
 * \class LocalServer::Connection
 * \brief One connection of whoever asks.
 */
class LocalServer::Connection : public std::enable_shared_from_this<LocalServer::Connection>
{
public:
    Connection(LocalServer &server, std::shared_ptr<TcpConnection> tcp)
        : m_server(server)
        , m_tcp(std::move(tcp))
        , m_parser(questionLimits)
    {
    }

    void start()
    {
        const std::shared_ptr<Connection> self = shared_from_this();
        TcpConnection::Callbacks callbacks;
        callbacks.data = [self](std::string_view bytes) {
            self->take(bytes);
        };
        callbacks.ended = [self](TcpEnd) {
            self->forget();
        };
        m_tcp->setCallbacks(std::move(callbacks));
        armTimer();
    }

private:
    void take(std::string_view bytes)
    {
        const std::shared_ptr<Connection> self = shared_from_this();
        while (!bytes.empty() && m_tcp->isOpen()) {
            const std::size_t used = m_parser.feed(bytes);
            bytes.remove_prefix(used);
            const ParseState state = m_parser.state();
            if (state == ParseState::Done) {
                answer();
            } else if (state != ParseState::Head && state != ParseState::Body) {
                forget();
            } else if (used == 0) {
                return;
            }
        }
    }

    void answer()
    {
        const HttpRequestHead question = m_parser.head();
        m_parser = HttpRequestParser(questionLimits);
        const LocalAnswer given = m_server.m_handler(question);
        HttpResponseHead head;
        head.status = given.status;
        head.reason = given.status == 200 ? "OK" : "Unavailable";
        head.headers.push_back(HttpHeader{"Content-Type", given.contentType});
        head.keepAlive = question.keepAlive;
        m_tcp->write(encodeHttpResponse(head, given.body));
        armTimer();
        if (!question.keepAlive) {
            forget();
        }
    }

    void armTimer()
    {
        m_server.m_loop.cancel(m_timer);
        m_timer = m_server.m_loop.after(idleTimeout, [self = shared_from_this()] { self->forget(); });
    }

    void forget()
    {
        const std::shared_ptr<Connection> self = shared_from_this();
        m_server.m_loop.cancel(m_timer);
        m_tcp->close();
        m_server.m_connections.erase(self);
    }

    LocalServer &m_server;
    std::shared_ptr<TcpConnection> m_tcp;
    HttpRequestParser m_parser;
    TimerId m_timer = 0;
};

LocalServer::LocalServer(EventLoop &loop, const std::string &address, Handler handler)
    : m_loop(loop)
    , m_handler(std::move(handler))
    , m_listener(loop, address, TcpTimes(), [this](std::shared_ptr<TcpConnection> tcp) {
        auto connection = std::make_shared<Connection>(*this, std::move(tcp));
        m_connections.insert(connection);
        connection->start();
    })
{
}

LocalServer::~LocalServer() = default;

}
