#include "transport/httpfetch.h"

#include <absl/strings/numbers.h>

#include <cstdint>
#include <utility>

namespace Apricot {

namespace {

/// Returns the length that the head announces; 0 if it announces none.
std::uint64_t announcedLength(const HttpResponseHead &head)
{
    std::uint64_t length = 0;
    return absl::SimpleAtoi(std::string(headerValue(head.headers, "Content-Length")), &length) ? length : 0;
}

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
    case FetchError::TooLong:
        return "the response is too long";
    }
    return "no valid response was received";
}

HttpFetch::HttpFetch(EventLoop &loop, ResultHandler onResult)
    : m_loop(loop)
    , m_onResult(std::move(onResult))
{
}

std::shared_ptr<HttpFetch> HttpFetch::start(EventLoop &loop, ConnectionPool &pool, ExchangeRequest request, absl::Duration timeout,
                                            std::size_t maxBodyBytes, ResultHandler onResult)
{
    std::shared_ptr<HttpFetch> fetch(new HttpFetch(loop, std::move(onResult)));
    HttpExchange::Callbacks callbacks;
    callbacks.onHead = [fetch, maxBodyBytes](const HttpResponseHead &head) {
        fetch->m_response.head = head;
        const std::uint64_t length = announcedLength(head);
        if (length > maxBodyBytes) {
            fetch->finish(FetchError::TooLong);
            return;
        }
        fetch->m_response.body.reserve(length);
    };
    callbacks.onBody = [fetch, maxBodyBytes](const std::string &part) {
        if (part.size() > maxBodyBytes - fetch->m_response.body.size()) {
            fetch->finish(FetchError::TooLong);
            return;
        }
        fetch->m_response.body += part;
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
