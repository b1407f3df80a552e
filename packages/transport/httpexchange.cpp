#include "transport/httpexchange.h"

#include "transport/socketaddress.h"

#include <absl/strings/numbers.h>

#include <algorithm>
#include <utility>

namespace Apricot {

namespace {

constexpr int firstFinalStatus = 200;

/// A connection is no longer reused this long before the idle timeout of the server, to avoid a race with its close.
constexpr absl::Duration keepAliveMargin = absl::Seconds(1);

/// Returns the idle timeout that the server announces in its Keep-Alive header; infinite if it announces none.
absl::Duration statedIdleTimeout(const HttpHeaders &headers)
{
    for (const std::string_view part : headerParts(headerValue(headers, "Keep-Alive"))) {
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
    , m_parser(m_request.answerHasNoBody)
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
        if (callbacks->sent) {
            callbacks->sent();
        }
    };
    callbacks.onData = [self](std::string_view bytes) {
        self->take(bytes);
    };
    callbacks.onClosed = [self](TcpCloseReason how) {
        self->connectionEnded(how);
    };
    return callbacks;
}

void HttpExchange::begin()
{
    if (m_request.mostIdle > absl::ZeroDuration()) {
        m_connection = m_pool.acquire(m_request.key, m_request.mostIdle, m_loop.now());
    }
    if (!m_connection) {
        connect();
        return;
    }
    m_connection->setCallbacks(connectionCallbacks());
    m_connection->write(m_request.bytes);
    const std::shared_ptr<Callbacks> callbacks = m_callbacks;
    if (callbacks->sent) {
        callbacks->sent();
    }
}

void HttpExchange::connect()
{
    const std::optional<sockaddr_in> address = parseSocketAddress(m_request.address);
    if (!address) {
        m_loop.post([self = shared_from_this()] { self->finish(ExchangeEnd::NotSent); });
        return;
    }
    m_connection = TcpConnection::connect(m_loop, *address, m_request.times, connectionCallbacks());
    m_connection->write(m_request.bytes);
    m_connectTimer = m_loop.after(m_request.connectTimeout, [self = shared_from_this()] { self->finish(ExchangeEnd::NotSent); });
}

void HttpExchange::cancel()
{
    if (m_over) {
        return;
    }
    m_over = true;
    m_loop.cancel(m_connectTimer);
    if (m_connection) {
        m_connection->abort();
    }
    m_callbacks = std::make_shared<Callbacks>();
}

void HttpExchange::setReading(bool reading)
{
    if (!m_over && m_connection) {
        m_connection->setReading(reading);
    }
}

void HttpExchange::take(std::string_view bytes)
{
    const std::shared_ptr<HttpExchange> self = shared_from_this();
    while (!m_over && !bytes.empty()) {
        const std::size_t used = m_parser.feed(bytes);
        const std::string_view rest = bytes.substr(used);
        afterFeed(rest);
        if (used == 0) {
            return;
        }
        bytes = rest;
    }
}

void HttpExchange::afterFeed(std::string_view rest)
{
    const ParseState state = m_parser.state();
    if (state == ParseState::Malformed || state == ParseState::HeadTooLarge || state == ParseState::BodyTooLarge) {
        finish(ExchangeEnd::Broken);
        return;
    }
    if (state == ParseState::Head) {
        return;
    }
    const std::shared_ptr<Callbacks> callbacks = m_callbacks;
    if (!m_headSeen) {
        m_headSeen = true;
        const HttpResponseHead &head = m_parser.head();
        const bool isInterim = head.status < firstFinalStatus;
        m_passingOver = isInterim || (m_request.isMine && !m_request.isMine(head));
        m_mayKeep = m_mayKeep && (isInterim || !m_passingOver);
        if (!m_passingOver && callbacks->head) {
            callbacks->head(head);
        }
    }
    if (m_over) {
        return;
    }
    std::string body = m_parser.takeBody();
    if (!body.empty() && !m_passingOver && callbacks->body) {
        callbacks->body(std::move(body));
    }
    if (!m_over && state == ParseState::Done) {
        complete(!rest.empty());
    }
}

void HttpExchange::complete(bool hasRest)
{
    if (m_passingOver) {
        const bool goesOn = m_parser.head().keepAlive;
        m_parser = HttpResponseParser(m_request.answerHasNoBody);
        m_headSeen = false;
        m_passingOver = false;
        if (!goesOn) {
            finish(ExchangeEnd::Broken);
        }
        return;
    }
    // If the response arrived before the whole request was sent, the next bytes on the connection still belong to this request.
    const bool isClean = m_mayKeep && !hasRest && m_connection->unsentBytes() == 0 && m_parser.head().keepAlive;
    const absl::Duration keepFor = std::min(m_request.keepFor, statedIdleTimeout(m_parser.head().headers) - keepAliveMargin);
    if (isClean && keepFor > absl::ZeroDuration()) {
        m_pool.release(m_request.key, std::exchange(m_connection, nullptr), m_loop.now(), m_loop.now() + keepFor);
    }
    finish(ExchangeEnd::Complete);
}

void HttpExchange::connectionEnded(TcpCloseReason how)
{
    if (how == TcpCloseReason::NotConnected) {
        finish(ExchangeEnd::NotSent);
        return;
    }
    const bool endsBody = how == TcpCloseReason::ClosedByPeer && m_headSeen && !m_passingOver && m_parser.head().endsWithConnection;
    if (endsBody) {
        m_parser.finish();
    }
    finish(endsBody && m_parser.state() == ParseState::Done ? ExchangeEnd::Complete : ExchangeEnd::Broken);
}

void HttpExchange::finish(ExchangeEnd how)
{
    if (m_over) {
        return;
    }
    m_over = true;
    m_loop.cancel(m_connectTimer);
    if (m_connection && how == ExchangeEnd::Complete) {
        m_connection->close();
    } else if (m_connection) {
        m_connection->abort();
    }
    m_connection.reset();
    const std::shared_ptr<Callbacks> callbacks = std::exchange(m_callbacks, std::make_shared<Callbacks>());
    if (callbacks->ended) {
        callbacks->ended(how);
    }
}

}
