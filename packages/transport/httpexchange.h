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
enum class ExchangeOutcome {
    NotSent, ///< no connection was established, so the server has not received any part of the request
    Complete, ///< the whole response was received
    Incomplete, ///< the request was sent, and the response is missing, cut off or malformed
};

/// Which request a response belongs to, by what its head says.
enum class ResponseOwner {
    ThisRequest,
    OtherRequest,
    Unidentified, ///< it names no request, so it could also be a late copy of the response to an earlier one
};

/// Parameters of one exchange with an engine, a peer or the store.
struct ExchangeRequest
{
    std::string address; ///< "IP:port"
    std::string poolKey; ///< key of the connection in the ConnectionPool
    std::string encodedRequest; ///< the whole encoded request
    bool responseHasNoBody = false; ///< the request is a HEAD request
    absl::Duration connectTimeout = absl::Milliseconds(250);
    absl::Duration maxIdleTime; ///< maximum idle time of a reused connection; zero: always open a new one
    absl::Duration keepAliveTime; ///< how long the connection may be reused afterwards; zero: close it
    TcpTimeouts tcpTimeouts;

    /// Returns which request a response belongs to; responses to other requests are skipped, and so are unidentified ones on a
    /// connection that has carried another response. If null, every response belongs to this request.
    std::function<ResponseOwner(const HttpResponseHead &)> findOwner;

    /// Called with the head of the response before all callbacks that receive the response, also if its body never arrives.
    std::function<void(const HttpResponseHead &)> observeHead;
};

/**
 * \class HttpExchange
 * \brief One HTTP request and its response. The request is never sent twice.
 */
class HttpExchange : public std::enable_shared_from_this<HttpExchange>
{
public:
    struct Callbacks
    {
        std::function<void()> onSent; ///< from now on the server may have received the request
        std::function<void(const HttpResponseHead &)> onHead;
        std::function<void(std::string)> onBody; ///< one part of the body
        std::function<void(ExchangeOutcome)> onEnded;
    };

    /// Starts the exchange. The callbacks run on the loop's thread; none runs after onEnded or cancel().
    static std::shared_ptr<HttpExchange> start(EventLoop &loop, ConnectionPool &pool, ExchangeRequest request, Callbacks callbacks);

    /// Ends the exchange and resets its connection. No further callback runs.
    void cancel();

    /// Pauses or resumes reading the response.
    void setReading(bool reading);

private:
    HttpExchange(EventLoop &loop, ConnectionPool &pool, ExchangeRequest request, Callbacks callbacks);

    void begin();
    void connect();
    TcpConnection::Callbacks connectionCallbacks();
    void handleData(std::string_view bytes);
    void processParsed(std::string_view rest);
    void limitWaitAfterUnidentifiedResponse();
    void identifyResponse(const HttpResponseHead &head);
    void handleClosed(TcpCloseReason reason);
    void complete(bool hasRest);
    void finish(ExchangeOutcome outcome);

    EventLoop &m_loop;
    ConnectionPool &m_pool;
    ExchangeRequest m_request;
    std::shared_ptr<Callbacks> m_callbacks; ///< copied before a callback runs, because the callback may cancel the exchange
    std::shared_ptr<TcpConnection> m_connection;
    HttpResponseParser m_parser;
    TimerId m_connectTimer = 0;
    TimerId m_unidentifiedTimer = 0; ///< ends the exchange if no identified response follows an unidentified one
    bool m_headReceived = false;
    bool m_skippingResponse = false; ///< the current response is an interim one or belongs to another request
    int m_skippedResponses = 0;
    bool m_hasEarlierResponse = false; ///< the connection has carried a response to another request
    bool m_reusable = true;
    bool m_finished = false;
};

}
