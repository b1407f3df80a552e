#include "transport/httpclient.h"

#include "transport/connectionpool.h"
#include "transport/eventloop.h"
#include "transport/httpexchange.h"

#include <algorithm>
#include <csignal>
#include <memory>
#include <string>
#include <utility>

namespace Apricot {

namespace {

/// Interval at which a streamed call asks its receiver whether to continue.
constexpr absl::Duration receiverPollInterval = absl::Milliseconds(50);

/// How long an idle connection is kept for the next call of the thread.
constexpr absl::Duration keepAliveTime = absl::Seconds(5);

/// Event loop and idle connections of one calling thread.
struct ThreadClient
{
    EventLoop loop;
    ConnectionPool pool;
};

ThreadClient &threadClient()
{
    thread_local const std::unique_ptr<ThreadClient> client = std::make_unique<ThreadClient>();
    return *client;
}

/// Address and request target of a URL "http://IP:port/path".
struct UrlParts
{
    std::string address;
    std::string target;
};

UrlParts splitUrl(const std::string &url)
{
    constexpr std::string_view scheme = "http://";
    std::string_view rest = url;
    if (rest.starts_with(scheme)) {
        rest.remove_prefix(scheme.size());
    }
    const std::size_t slash = std::min(rest.find('/'), rest.size());
    const std::string_view target = rest.substr(slash);
    return UrlParts{std::string(rest.substr(0, slash)), target.empty() ? "/" : std::string(target)};
}

ExchangeRequest requestOf(const HttpCall &call)
{
    const UrlParts parts = splitUrl(call.url);
    HttpRequestHead head;
    head.method = call.method;
    head.target = parts.target;
    head.keepAlive = !call.dedicatedConnection;
    for (const auto &[name, value] : call.headers) {
        head.headers.push_back(HttpHeader{name, value});
    }
    if (!hasHeader(head.headers, "Host")) {
        head.headers.push_back(HttpHeader{"Host", parts.address});
    }
    ExchangeRequest request;
    request.address = parts.address;
    request.poolKey = parts.address;
    request.encodedRequest = encodeHttpRequest(head, call.body);
    request.responseHasNoBody = call.method == "HEAD";
    request.connectTimeout = std::min(call.connectTimeout, call.timeout);
    request.maxIdleTime = call.dedicatedConnection ? absl::ZeroDuration() : keepAliveTime;
    request.keepAliveTime = call.dedicatedConnection ? absl::ZeroDuration() : keepAliveTime;
    return request;
}

/**
 * \class PendingCall
 * \brief One call in progress. It runs on the event loop of the calling thread.
 */
class PendingCall
{
public:
    PendingCall(const HttpCall &call, const StreamReceiver *receiver)
        : m_call(call)
        , m_receiver(receiver)
        , m_client(threadClient())
        , m_lastDataTime(EventLoop::readSteadyClock())
    {
    }

    HttpReply run()
    {
        m_client.loop.updateNow();
        HttpExchange::Callbacks callbacks;
        callbacks.onSent = [this] {
            m_sent = true;
        };
        callbacks.onHead = [this](const HttpResponseHead &head) {
            m_reply.status = head.status;
        };
        callbacks.onBody = [this](const std::string &part) {
            handleBody(part);
        };
        callbacks.onEnded = [this](ExchangeOutcome outcome) {
            handleEnded(outcome);
        };
        m_exchange = HttpExchange::start(m_client.loop, m_client.pool, requestOf(m_call), std::move(callbacks));
        TimerId timeoutTimer = 0;
        if (m_call.timeout != absl::InfiniteDuration()) {
            timeoutTimer
                = m_client.loop.after(m_call.timeout, [this] { finish(CallOutcome::SentWithoutResponse, "the response timed out"); });
        }
        if (m_receiver != nullptr) {
            startPollTimer();
        }
        while (!m_finished) {
            m_client.loop.runOnce();
        }
        m_client.loop.cancel(timeoutTimer);
        m_client.loop.cancel(m_pollTimer);
        return m_reply;
    }

private:
    void handleBody(const std::string &part)
    {
        m_lastDataTime = m_client.loop.now();
        const bool isStreamed = m_receiver != nullptr && m_reply.status == statusOk;
        if (isStreamed && !(*m_receiver)(part)) {
            finish(CallOutcome::StoppedByReceiver, "the receiver stopped the stream");
        } else if (!isStreamed && m_reply.body.size() + part.size() > m_call.maxBodyBytes) {
            finish(CallOutcome::SentWithoutResponse, "the response body exceeds the size limit");
        } else if (!isStreamed) {
            m_reply.body += part;
        }
    }

    void handleEnded(ExchangeOutcome outcome)
    {
        switch (outcome) {
        case ExchangeOutcome::Complete:
            finish(CallOutcome::Answered, {});
            break;
        case ExchangeOutcome::NotSent:
            finish(CallOutcome::NotSent, "cannot connect to " + m_call.url);
            break;
        case ExchangeOutcome::Incomplete:
            finish(CallOutcome::SentWithoutResponse, "the connection was closed before the response was complete");
            break;
        }
    }

    void startPollTimer()
    {
        m_pollTimer = m_client.loop.after(receiverPollInterval, [this] {
            m_pollTimer = 0;
            if (!(*m_receiver)({})) {
                finish(CallOutcome::StoppedByReceiver, "the receiver stopped the stream");
            } else if (m_client.loop.now() - m_lastDataTime > m_call.idleTimeout) {
                finish(CallOutcome::IdleTimeout, "no data received within the idle timeout");
            } else {
                startPollTimer();
            }
        });
    }

    void finish(CallOutcome outcome, const std::string &errorMessage)
    {
        if (m_finished) {
            return;
        }
        m_finished = true;
        m_reply.outcome = outcome == CallOutcome::SentWithoutResponse && !m_sent ? CallOutcome::NotSent : outcome;
        m_reply.errorMessage = errorMessage;
        m_exchange->cancel();
    }

    const HttpCall &m_call;
    const StreamReceiver *m_receiver;
    ThreadClient &m_client;
    std::shared_ptr<HttpExchange> m_exchange;
    HttpReply m_reply;
    absl::Time m_lastDataTime;
    TimerId m_pollTimer = 0;
    bool m_sent = false;
    bool m_finished = false;
};

}

void HttpClient::initialize()
{
    // Writing to a connection that the peer has closed must not terminate the process.
    signal(SIGPIPE, SIG_IGN);
}

HttpReply HttpClient::call(const HttpCall &call)
{
    return PendingCall(call, nullptr).run();
}

HttpReply HttpClient::stream(const HttpCall &call, const StreamReceiver &receiver)
{
    return PendingCall(call, &receiver).run();
}

}
