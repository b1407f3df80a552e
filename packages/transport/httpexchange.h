#pragma once

#include "transport/connectionpool.h"
#include "transport/eventloop.h"
#include "transport/httpparser.h"
#include "transport/tcpconnection.h"

#include <absl/time/time.h>

#include <functional>
#include <memory>
#include <string>

namespace Apricot {

/// How an exchange ended.
enum class ExchangeEnd {
    NotSent, ///< no connection was made: the other side knows nothing of the request
    Complete, ///< the whole answer came
    Broken, ///< the request was sent, and the answer is missing, cut off or no HTTP
};

/// One request to an engine, a peer or the store.
struct ExchangeRequest
{
    std::string address; ///< "IP:port"
    std::string key; ///< connections are kept and taken under it
    std::string bytes; ///< the whole request
    bool answerHasNoBody = false; ///< the request is a HEAD
    absl::Duration connectTimeout = absl::Milliseconds(250);
    absl::Duration mostIdle; ///< a kept connection may have been idle for this long; zero: always a new one
    absl::Duration keepFor; ///< how long the connection is kept afterwards; zero: it is closed
    TcpTimes times;

    /// Whether an answer belongs to this request. One that does not is passed over. Null: every answer does.
    std::function<bool(const HttpResponseHead &)> isMine;
};

/**
 * \class HttpExchange
 * \brief One request and its answer. It never sends a request twice.
 */
class HttpExchange : public std::enable_shared_from_this<HttpExchange>
{
public:
    struct Callbacks
    {
        std::function<void()> sent; ///< the other side may have the request from now on
        std::function<void(const HttpResponseHead &)> head;
        std::function<void(std::string)> body; ///< a part of it
        std::function<void(ExchangeEnd)> ended;
    };

    /// Starts the exchange. Its callbacks run on the loop's thread until it ended or was cancelled.
    static std::shared_ptr<HttpExchange> start(EventLoop &loop, ConnectionPool &pool, ExchangeRequest request, Callbacks callbacks);

    /// Ends the exchange with a reset of its connection. No callback follows.
    void cancel();

    /// Stops and resumes reading the answer.
    void setReading(bool reading);

private:
    HttpExchange(EventLoop &loop, ConnectionPool &pool, ExchangeRequest request, Callbacks callbacks);

    void begin();
    void connect();
    TcpConnection::Callbacks connectionCallbacks();
    void take(std::string_view bytes);
    void afterFeed(std::string_view rest);
    void connectionEnded(TcpEnd how);
    void complete(bool hasRest);
    void finish(ExchangeEnd how);

    EventLoop &m_loop;
    ConnectionPool &m_pool;
    ExchangeRequest m_request;
    std::shared_ptr<Callbacks> m_callbacks; ///< held by whoever runs one, as the callback may cancel the exchange
    std::shared_ptr<TcpConnection> m_connection;
    HttpResponseParser m_parser;
    TimerId m_connectTimer = 0;
    bool m_headSeen = false;
    bool m_passingOver = false; ///< the present answer belongs to another request
    bool m_mayKeep = true;
    bool m_over = false;
};

}
