#include "transport/httpexchange.h"

#include "transport/socketaddress.h"

#include <absl/strings/numbers.h>

#include <algorithm>
#include <utility>

namespace Apricot {

namespace {

/// How long the response to a request may still follow one that names no request.
constexpr absl::Duration maxWaitAfterUnidentifiedResponse = absl::Seconds(1);

constexpr int firstFinalStatus = 200;

/// Interim responses, and responses to other requests, that may precede the response to a request: a server in trouble may send them
/// without end.
constexpr int maxSkippedResponses = 32;

/// A connection is no longer reused this long before the idle timeout of the server, to avoid a race with its close.
constexpr absl::Duration keepAliveMargin = absl::Seconds(1);

/// Returns the idle timeout that the server announces in its Keep-Alive header; infinite if it announces none.
absl::Duration advertisedIdleTimeout(const HttpHeaders &headers)
{
    for (const std::string_view part : splitHeaderList(headerValue(headers, "Keep-Alive"))) {
        constexpr std::string_view name = "timeout=";
        std::int64_t seconds = 0;
        if (part.starts_with(name) && absl::SimpleAtoi(std::string(part.substr(name.size())), &seconds)) {
            return absl::Seconds(seconds);
        }
    }
    return absl::InfiniteDuration();
}

}

HttpExchange::HttpExchange(EventLoop &loop, ConnectionPool &pool, ExchangeRequest request, Callbacks callbacks)
    : m_loop(loop)
    , m_pool(pool)
    , m_request(std::move(request))
    , m_callbacks(std::make_shared<Callbacks>(std::move(callbacks)))
    , m_parser(m_request.responseHasNoBody)
{
}

std::shared_ptr<HttpExchange> HttpExchange::start(EventLoop &loop, ConnectionPool &pool, ExchangeRequest request, Callbacks callbacks)
{
    std::shared_ptr<HttpExchange> exchange(new HttpExchange(loop, pool, std::move(request), std::move(callbacks)));
    exchange->begin();
    return exchange;
}

TcpConnection::Callbacks HttpExchange::connectionCallbacks()
{
    const std::shared_ptr<HttpExchange> self = shared_from_this();
    TcpConnection::Callbacks callbacks;
    callbacks.onConnected = [self] {
        self->m_loop.cancel(self->m_connectTimer);
        const std::shared_ptr<Callbacks> callbacks = self->m_callbacks;
        if (callbacks->onSent) {
            callbacks->onSent();
        }
    };
    callbacks.onData = [self](std::string_view bytes) {
        self->handleData(bytes);
    };
    callbacks.onClosed = [self](TcpCloseReason reason) {
        self->handleClosed(reason);
    };
    return callbacks;
}

void HttpExchange::begin()
{
    if (m_request.maxIdleTime > absl::ZeroDuration()) {
        m_connection = m_pool.acquire(m_request.poolKey, m_request.maxIdleTime, m_loop.now());
    }
    if (!m_connection) {
        connect();
        return;
    }
    m_hasEarlierResponse = true;
    m_connection->setCallbacks(connectionCallbacks());
    m_connection->writeOwned(std::exchange(m_request.encodedRequest, std::string()));
    const std::shared_ptr<Callbacks> callbacks = m_callbacks;
    if (callbacks->onSent) {
        callbacks->onSent();
    }
}

void HttpExchange::connect()
{
    const std::optional<sockaddr_in> address = parseSocketAddress(m_request.address);
    if (!address) {
        m_loop.post([self = shared_from_this()] { self->finish(ExchangeOutcome::NotSent); });
        return;
    }
    m_connection = TcpConnection::connect(m_loop, *address, m_request.tcpTimeouts, connectionCallbacks());
    m_connection->writeOwned(std::exchange(m_request.encodedRequest, std::string()));
    m_connectTimer = m_loop.after(m_request.connectTimeout, [self = shared_from_this()] { self->finish(ExchangeOutcome::NotSent); });
}

void HttpExchange::cancel()
{
    if (m_finished) {
        return;
    }
    m_finished = true;
    m_loop.cancel(m_connectTimer);
    m_loop.cancel(m_unidentifiedTimer);
    if (m_connection) {
        m_connection->abort();
    }
    m_callbacks = std::make_shared<Callbacks>();
}

void HttpExchange::setReading(bool reading)
{
    if (!m_finished && m_connection) {
        m_connection->setReading(reading);
    }
}

void HttpExchange::handleData(std::string_view bytes)
{
    const std::shared_ptr<HttpExchange> self = shared_from_this();
    while (!m_finished && !bytes.empty()) {
        const std::size_t used = m_parser.feed(bytes);
        const std::string_view rest = bytes.substr(used);
        processParsed(rest);
        if (used == 0) {
            return;
        }
        bytes = rest;
    }
}

void HttpExchange::processParsed(std::string_view rest)
{
    const ParseState state = m_parser.state();
    if (state == ParseState::Malformed || state == ParseState::HeadTooLarge || state == ParseState::BodyTooLarge) {
        finish(ExchangeOutcome::Incomplete);
        return;
    }
    if (state == ParseState::Head) {
        return;
    }
    const std::shared_ptr<Callbacks> callbacks = m_callbacks;
    if (!m_headReceived) {
        m_headReceived = true;
        const HttpResponseHead &head = m_parser.head();
        identifyResponse(head);
        if (!m_skippingResponse && m_request.observeHead) {
            m_request.observeHead(head);
        }
        if (!m_skippingResponse && callbacks->onHead) {
            callbacks->onHead(head);
        }
    }
    if (m_finished) {
        return;
    }
    std::string body = m_parser.takeBody();
    if (!body.empty() && !m_skippingResponse && callbacks->onBody) {
        callbacks->onBody(std::move(body));
    }
    if (!m_finished && state == ParseState::Done) {
        complete(!rest.empty());
    }
}

void HttpExchange::limitWaitAfterUnidentifiedResponse()
{
    // The skipped response may have been the response to this request, in which case no other one follows.
    if (m_unidentifiedTimer == 0) {
        m_unidentifiedTimer = m_loop.after(maxWaitAfterUnidentifiedResponse, [self = shared_from_this()] {
            self->m_unidentifiedTimer = 0;
            self->finish(ExchangeOutcome::Incomplete);
        });
    }
}

void HttpExchange::identifyResponse(const HttpResponseHead &head)
{
    const bool isInterim = head.status < firstFinalStatus;
    if (isInterim || !m_request.findOwner) {
        m_skippingResponse = isInterim;
        return;
    }
    const ResponseOwner owner = m_request.findOwner(head);
    m_skippingResponse = owner == ResponseOwner::OtherRequest || (owner == ResponseOwner::Unidentified && m_hasEarlierResponse);
    m_hasEarlierResponse = m_hasEarlierResponse || m_skippingResponse;
    if (owner == ResponseOwner::ThisRequest) {
        m_loop.cancel(std::exchange(m_unidentifiedTimer, 0));
    } else if (owner == ResponseOwner::Unidentified && m_skippingResponse) {
        limitWaitAfterUnidentifiedResponse();
    }
    // A copy of an unidentified response could not be told from the response to the next request.
    m_reusable = m_reusable && owner == ResponseOwner::ThisRequest;
}

void HttpExchange::complete(bool hasRest)
{
    if (m_skippingResponse) {
        const bool keepAlive = m_parser.head().keepAlive;
        m_parser = HttpResponseParser(m_request.responseHasNoBody);
        m_headReceived = false;
        m_skippingResponse = false;
        if (!keepAlive || ++m_skippedResponses > maxSkippedResponses) {
            finish(ExchangeOutcome::Incomplete);
        }
        return;
    }
    // If the response arrived before the whole request was sent, the next bytes on the connection still belong to this request.
    const bool isReusable = m_reusable && !hasRest && m_connection->unsentBytes() == 0 && m_parser.head().keepAlive;
    const absl::Duration keepAliveTime
        = std::min(m_request.keepAliveTime, advertisedIdleTimeout(m_parser.head().headers) - keepAliveMargin);
    if (isReusable && keepAliveTime > absl::ZeroDuration()) {
        m_pool.release(m_request.poolKey, std::exchange(m_connection, nullptr), m_loop.now(), m_loop.now() + keepAliveTime);
    }
    finish(ExchangeOutcome::Complete);
}

void HttpExchange::handleClosed(TcpCloseReason reason)
{
    if (reason == TcpCloseReason::NotConnected) {
        finish(ExchangeOutcome::NotSent);
        return;
    }
    const bool completesBody
        = reason == TcpCloseReason::ClosedByPeer && m_headReceived && !m_skippingResponse && m_parser.head().bodyEndsAtClose;
    if (completesBody) {
        m_parser.finish();
    }
    finish(completesBody && m_parser.state() == ParseState::Done ? ExchangeOutcome::Complete : ExchangeOutcome::Incomplete);
}

void HttpExchange::finish(ExchangeOutcome outcome)
{
    if (m_finished) {
        return;
    }
    m_finished = true;
    m_loop.cancel(m_connectTimer);
    m_loop.cancel(m_unidentifiedTimer);
    if (m_connection && outcome == ExchangeOutcome::Complete) {
        m_connection->close();
    } else if (m_connection) {
        m_connection->abort();
    }
    m_connection.reset();
    const std::shared_ptr<Callbacks> callbacks = std::exchange(m_callbacks, std::make_shared<Callbacks>());
    if (callbacks->onEnded) {
        callbacks->onEnded(outcome);
    }
}

}
