#include "transport/httpfetch.h"

#include <utility>

namespace Apricot {

namespace {

/// Longest response: several times the largest page of a list.
constexpr std::size_t maxBodyBytes = 8U << 20;

}

const char *fetchErrorText(FetchError error)
{
    switch (error) {
    case FetchError::NoConnection:
        return "no connection could be established";
    case FetchError::NoResponse:
        return "no valid response was received";
    case FetchError::TimedOut:
        return "the response timed out";
    }
    return "no valid response was received";
}

HttpFetch::HttpFetch(EventLoop &loop, ResultHandler onResult)
    : m_loop(loop)
    , m_onResult(std::move(onResult))
{
}

std::shared_ptr<HttpFetch> HttpFetch::start(EventLoop &loop, ConnectionPool &pool, ExchangeRequest request, absl::Duration timeout,
                                            ResultHandler onResult)
{
    std::shared_ptr<HttpFetch> fetch(new HttpFetch(loop, std::move(onResult)));
    HttpExchange::Callbacks callbacks;
    callbacks.onHead = [fetch](const HttpResponseHead &head) {
        fetch->m_response.head = head;
    };
    callbacks.onBody = [fetch](const std::string &part) {
        fetch->m_response.body += part;
        if (fetch->m_response.body.size() > maxBodyBytes) {
            fetch->finish(FetchError::NoResponse);
        }
    };
    callbacks.onEnded = [fetch](ExchangeOutcome outcome) {
        if (outcome == ExchangeOutcome::Complete) {
            fetch->finish(std::move(fetch->m_response));
        } else {
            fetch->finish(outcome == ExchangeOutcome::NotSent ? FetchError::NoConnection : FetchError::NoResponse);
        }
    };
    fetch->m_timeoutTimer = loop.after(timeout, [fetch] { fetch->finish(FetchError::TimedOut); });
    fetch->m_exchange = HttpExchange::start(loop, pool, std::move(request), std::move(callbacks));
    return fetch;
}

void HttpFetch::cancel()
{
    m_loop.cancel(std::exchange(m_timeoutTimer, 0));
    m_onResult = nullptr;
    if (const std::shared_ptr<HttpExchange> exchange = std::exchange(m_exchange, nullptr)) {
        exchange->cancel();
    }
}

void HttpFetch::finish(const FetchResult &result)
{
    const ResultHandler onResult = std::exchange(m_onResult, nullptr);
    const std::shared_ptr<HttpFetch> self = shared_from_this();
    cancel();
    if (onResult) {
        onResult(result);
    }
}

}
