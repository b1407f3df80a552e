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
constexpr absl::Duration receiverPoll = absl::Milliseconds(50);

/// Maximum body size of a response that is not streamed, in bytes. A larger response fails the call.
constexpr std::size_t mostBodyBytes = 8 * 1024 * 1024;

/// How long an idle connection is kept for the next call of the thread.
constexpr absl::Duration keepFor = absl::Seconds(5);

/// Event loop and idle connections of one calling thread.
struct Caller
{
    EventLoop loop;
    ConnectionPool pool;
};

Caller &callerOfThread()
{
    thread_local const std::unique_ptr<Caller> caller = std::make_unique<Caller>();
    return *caller;
}

/// Address and request target of a URL "http://IP:port/path".
struct Place
{
    std::string address;
    std::string target;
};

Place placeOf(const std::string &url)
{
    constexpr std::string_view scheme = "http://";
    std::string_view rest = url;
    if (rest.starts_with(scheme)) {
        rest.remove_prefix(scheme.size());
    }
    const std::size_t slash = std::min(rest.find('/'), rest.size());
    const std::string_view target = rest.substr(slash);
    return Place{std::string(rest.substr(0, slash)), target.empty() ? "/" : std::string(target)};
}

ExchangeRequest requestOf(const HttpCall &call)
{
    const Place place = placeOf(call.url);
    HttpRequestHead head;
    head.method = call.method;
    head.target = place.target;
    head.keepAlive = !call.ownConnection;
    for (const auto &[name, value] : call.headers) {
        head.headers.push_back(HttpHeader{name, value});
    }
    if (!hasHeader(head.headers, "Host")) {
        head.headers.push_back(HttpHeader{"Host", place.address});
    }
    ExchangeRequest request;
    request.address = place.address;
    request.key = place.address;
    request.bytes = encodeHttpRequest(head, call.body);
    request.answerHasNoBody = call.method == "HEAD";
    request.connectTimeout = std::min(call.connectLimit, call.limit);
    request.mostIdle = call.ownConnection ? absl::ZeroDuration() : keepFor;
    request.keepFor = call.ownConnection ? absl::ZeroDuration() : keepFor;
    return request;
}

/**
 * \class RunningCall
 * \brief One call in progress. It runs on the event loop of the calling thread.
 */
class RunningCall
{
public:
    RunningCall(const HttpCall &call, const StreamReceiver *receiver)
        : m_call(call)
        , m_receiver(receiver)
        , m_caller(callerOfThread())
        , m_lastByte(EventLoop::readSteadyClock())
    {
    }

    HttpReply run()
    {
        m_caller.loop.updateNow();
        HttpExchange::Callbacks callbacks;
        callbacks.sent = [this] {
            m_sent = true;
        };
        callbacks.head = [this](const HttpResponseHead &head) {
            m_reply.status = head.status;
        };
        callbacks.body = [this](const std::string &part) {
            take(part);
        };
        callbacks.ended = [this](ExchangeEnd end) {
            ended(end);
        };
        m_exchange = HttpExchange::start(m_caller.loop, m_caller.pool, requestOf(m_call), std::move(callbacks));
        TimerId limit = 0;
        if (m_call.limit != absl::InfiniteDuration()) {
            limit = m_caller.loop.after(m_call.limit, [this] { settle(CallEnd::SentNoAnswer, "the response timed out"); });
        }
        if (m_receiver != nullptr) {
            poll();
        }
        while (!m_over) {
            m_caller.loop.runOnce();
        }
        m_caller.loop.cancel(limit);
        m_caller.loop.cancel(m_pollTimer);
        return m_reply;
    }

private:
    void take(const std::string &part)
    {
        m_lastByte = m_caller.loop.now();
        const bool isPassedOn = m_receiver != nullptr && m_reply.status == statusOk;
        if (isPassedOn && !(*m_receiver)(part)) {
            settle(CallEnd::Stopped, "the receiver stopped the stream");
        } else if (!isPassedOn && m_reply.body.size() + part.size() > mostBodyBytes) {
            settle(CallEnd::SentNoAnswer, "the response body exceeds the size limit");
        } else if (!isPassedOn) {
            m_reply.body += part;
        }
    }

    void ended(ExchangeEnd end)
    {
        switch (end) {
        case ExchangeEnd::Complete:
            settle(CallEnd::Answered, {});
            break;
        case ExchangeEnd::NotSent:
            settle(CallEnd::NotSent, "cannot connect to " + m_call.url);
            break;
        case ExchangeEnd::Broken:
            settle(CallEnd::SentNoAnswer, "the connection was closed before the response was complete");
            break;
        }
    }

    void poll()
    {
        m_pollTimer = m_caller.loop.after(receiverPoll, [this] {
            m_pollTimer = 0;
            if (!(*m_receiver)({})) {
                settle(CallEnd::Stopped, "the receiver stopped the stream");
            } else if (m_caller.loop.now() - m_lastByte > m_call.silenceLimit) {
                settle(CallEnd::Silent, "no data received within the silence limit");
            } else {
                poll();
            }
        });
    }

    void settle(CallEnd end, const std::string &problem)
    {
        if (m_over) {
            return;
        }
        m_over = true;
        m_reply.end = end == CallEnd::SentNoAnswer && !m_sent ? CallEnd::NotSent : end;
        m_reply.problem = problem;
        m_exchange->cancel();
    }

    const HttpCall &m_call;
    const StreamReceiver *m_receiver;
    Caller &m_caller;
    std::shared_ptr<HttpExchange> m_exchange;
    HttpReply m_reply;
    absl::Time m_lastByte;
    TimerId m_pollTimer = 0;
    bool m_sent = false;
    bool m_over = false;
};

}

void HttpClient::initialize()
{
    // Writing to a connection that the other side has closed must not terminate the process.
    signal(SIGPIPE, SIG_IGN);
}

HttpReply HttpClient::call(const HttpCall &call)
{
    return RunningCall(call, nullptr).run();
}

HttpReply HttpClient::stream(const HttpCall &call, const StreamReceiver &receiver)
{
    return RunningCall(call, &receiver).run();
}

}
