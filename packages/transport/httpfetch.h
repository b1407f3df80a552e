#pragma once

#include "transport/httpexchange.h"

#include <absl/time/time.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace Apricot {

/// A response with its whole body.
struct FullResponse
{
    HttpResponseHead head;
    std::string body;

    friend bool operator==(const FullResponse &, const FullResponse &) = default;
};

/// Why there is no complete response.
enum class FetchError {
    NoConnection, ///< no connection was established, so the server has not received the request
    NoResponse, ///< the request was sent, and the response is missing, cut off or malformed
    TimedOut, ///< the response was not complete within the timeout
    TooLong, ///< the body of the response is longer than the caller of HttpFetch accepts
};

/// Returns a description of \a error.
const char *fetchErrorText(FetchError error);

/// Result of a request: a response, or the reason why there is none.
using FetchResult = std::variant<FullResponse, FetchError>;

/**
 * \class HttpFetch
 * \brief One request with a timeout, whose response is returned as a whole. The request is never sent twice.
 */
class HttpFetch : public std::enable_shared_from_this<HttpFetch>
{
public:
    using ResultHandler = std::function<void(const FetchResult &)>;

    /// Sends the request. \a onResult runs once on the loop's thread, unless cancel() is called before. A body of more than
    /// \a maxBodyBytes is not read further, and its connection is reset.
    static std::shared_ptr<HttpFetch> start(EventLoop &loop, ConnectionPool &pool, ExchangeRequest request, absl::Duration timeout,
                                            std::size_t maxBodyBytes, ResultHandler onResult);

    /// Cancels the request and resets its connection. The handler does not run.
    void cancel();

private:
    HttpFetch(EventLoop &loop, ResultHandler onResult);

    void finish(const FetchResult &result);

    EventLoop &m_loop;
    ResultHandler m_onResult;
    FullResponse m_response;
    std::shared_ptr<HttpExchange> m_exchange;
    TimerId m_timeoutTimer = 0;
};

}
