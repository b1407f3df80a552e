#include "transport/httpserver.h"

#include <absl/time/clock.h>

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <utility>

namespace Apricot {

namespace {

constexpr std::size_t maxHeadBytes = 32 * 1024;
constexpr absl::Duration headerTimeout = absl::Seconds(10);

/// Interval at which a server that drains closes connections that have become idle.
constexpr absl::Duration drainCheckInterval = absl::Milliseconds(10);

/// Flow control: the source of a response is not read while more than this many bytes are unsent.
constexpr std::size_t maxUnsentBytes = 256 * 1024;

std::string toLower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

/// Decodes %XX and +, as in a query string.
std::string percentDecoded(std::string_view text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned value = 0;
        const bool isEscape = text[i] == '%' && i + 2 < text.size()
            && std::from_chars(text.data() + i + 1, text.data() + i + 3, value, 16).ptr == text.data() + i + 3;
        if (isEscape) {
            result += static_cast<char>(value);
            i += 2;
        } else {
            result += text[i] == '+' ? ' ' : text[i];
        }
    }
    return result;
}

std::map<std::string, std::string> parseQuery(std::string_view query)
{
    std::map<std::string, std::string> found;
    while (!query.empty()) {
        const std::size_t end = std::min(query.find('&'), query.size());
        const std::string_view part = query.substr(0, end);
        const std::size_t equals = std::min(part.find('='), part.size());
        if (!part.empty()) {
            found[percentDecoded(part.substr(0, equals))] = equals < part.size() ? percentDecoded(part.substr(equals + 1)) : std::string();
        }
        query.remove_prefix(std::min(end + 1, query.size()));
    }
    return found;
}

HttpRequest requestOf(const HttpRequestHead &head, std::string body)
{
    HttpRequest request;
    request.method = head.method;
    const std::size_t questionMark = std::min(head.target.find('?'), head.target.size());
    request.path = percentDecoded(std::string_view(head.target).substr(0, questionMark));
    if (questionMark < head.target.size()) {
        request.query = parseQuery(std::string_view(head.target).substr(questionMark + 1));
    }
    for (const HttpHeader &header : head.headers) {
        request.headers[toLower(header.name)] = header.value;
    }
    request.body = std::move(body);
    return request;
}

HttpResponseHead headOf(const HttpResponse &response)
{
    HttpResponseHead head;
    head.status = response.status;
    head.reason = std::string(reasonPhrase(response.status));
    for (const auto &[name, value] : response.headers) {
        head.headers.push_back(HttpHeader{name, value});
    }
    return head;
}

}

/// State of a streamed response that is shared by the worker and the event loop.
struct HttpServer::StreamState
{
    pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
    pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
    bool isPeerClosed = false; ///< the client has disconnected
    std::size_t unsentBytes = 0; ///< bytes not yet handed to the system

    void update(bool peerClosed, std::size_t bytes)
    {
        pthread_mutex_lock(&mutex);
        isPeerClosed = isPeerClosed || peerClosed;
        unsentBytes = bytes;
        pthread_cond_broadcast(&changed);
        pthread_mutex_unlock(&mutex);
    }

    /// Waits until few enough bytes are unsent; returns whether the client is still connected.
    bool waitUntilWritable()
    {
        pthread_mutex_lock(&mutex);
        while (!isPeerClosed && unsentBytes > maxUnsentBytes) {
            pthread_cond_wait(&changed, &mutex);
        }
        const bool isConnected = !isPeerClosed;
        pthread_mutex_unlock(&mutex);
        return isConnected;
    }
};

HttpServer::HttpServer(const std::string &address, Limits limits, Handler handler)
    : m_limits(limits)
    , m_handler(std::move(handler))
    , m_workers(std::make_unique<WorkerPool>(limits.connections))
{
    HttpListener::Hooks hooks;
    hooks.limits = [limits] {
        return HttpServerLimits{ParseLimits{maxHeadBytes, limits.bodyBytes}, headerTimeout, absl::Seconds(limits.idleSeconds)};
    };
    hooks.onRequest = [this](const HttpServerConnection::Ptr &connection, const HttpRequestHead &head, std::string body) {
        dispatch(connection, head, std::move(body));
    };
    m_listener = std::make_unique<HttpListener>(m_loop, address, AddressSharing::Exclusive, std::move(hooks));
    if (isOpen()) {
        m_thread = Thread("http", [this] { m_loop.run(); });
    }
}

HttpServer::~HttpServer()
{
    m_loop.stop();
    m_thread.join();
    m_listener.reset(); // Wakes up workers that wait in waitUntilWritable(): their clients count as disconnected.
    m_workers.reset();
}

bool HttpServer::drain(absl::Duration timeout)
{
    const absl::Time deadline = absl::Now() + timeout;
    while (!m_hasStoppedAccepting.load(std::memory_order_acquire) || m_listener->connectionCount() > 0) {
        if (absl::Now() >= deadline) {
            return false;
        }
        m_loop.post([this] {
            m_listener->stopAccepting(); // Also closes connections that have become idle since the last call.
            m_hasStoppedAccepting.store(true, std::memory_order_release);
        });
        absl::SleepFor(drainCheckInterval);
    }
    return true;
}

void HttpServer::dispatch(const HttpServerConnection::Ptr &connection, const HttpRequestHead &head, std::string body)
{
    const auto state = std::make_shared<StreamState>();
    connection->setPeerClosedHandler([state] { state->update(true, 0); });
    connection->setDrainedHandler([state, weakConnection = std::weak_ptr(connection)] {
        const HttpServerConnection::Ptr strongConnection = weakConnection.lock();
        state->update(false, strongConnection ? strongConnection->unsentBytes() : 0);
    });
    m_workers->run(
        [this, connection, state, request = requestOf(head, std::move(body))] { sendResponse(connection, m_handler(request), state); });
}

void HttpServer::sendResponse(const HttpServerConnection::Ptr &connection, HttpResponse response, const std::shared_ptr<StreamState> &state)
{
    if (response.source) {
        sendStream(connection, response, state);
        return;
    }
    m_loop.post([connection, response = std::move(response)] {
        if (connection->isClosed()) {
            return;
        }
        if (response.status == 0) {
            connection->abort();
        } else {
            connection->respond(headOf(response), response.body);
        }
    });
}

void HttpServer::sendStream(const HttpServerConnection::Ptr &connection, const HttpResponse &response,
                            const std::shared_ptr<StreamState> &state)
{
    m_loop.post([connection, head = headOf(response)] {
        if (!connection->isClosed()) {
            connection->beginStream(head, {});
        }
    });
    while (state->waitUntilWritable()) {
        std::optional<std::string> part = response.source();
        if (!part) {
            break;
        }
        m_loop.post([connection, state, bytes = std::move(*part)] {
            if (!connection->isClosed()) {
                connection->sendChunk(bytes);
                state->update(false, connection->unsentBytes());
            }
        });
    }
    m_loop.post([connection] {
        if (!connection->isClosed()) {
            connection->endStream();
        }
    });
    if (response.onClosed) {
        response.onClosed();
    }
}

}
