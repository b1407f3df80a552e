#pragma once

#include "transport/httpexchange.h"

#include <absl/time/time.h>

#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace Apricot {

/// A response with its whole body.
struct WholeAnswer
{
    HttpResponseHead head;
    std::string body;

    friend bool operator==(const WholeAnswer &, const WholeAnswer &) = default;
};

/// Why there is no complete response.
enum class Unanswered {
    NoConnection, ///< no connection was established, so the server has not received the request
    NoAnswer, ///< the request was sent, and the response is missing, cut off or malformed
    TooLate, ///< the response was not complete within the time limit
};

/// Returns a description of \a why.
const char *unansweredText(Unanswered why);

/// Result of a request: a response, or the reason why there is none.
using QuestionEnd = std::variant<WholeAnswer, Unanswered>;

/**
 * \class HttpQuestion
 * \brief One request with a time limit, whose response is returned as a whole. The request is never sent twice.
 */
class HttpQuestion : public std::enable_shared_from_this<HttpQuestion>
{
public:
    using Ended = std::function<void(const QuestionEnd &)>;

    /// Sends the request. \a ended runs once on the loop's thread, unless cancel() is called before.
    static std::shared_ptr<HttpQuestion> ask(EventLoop &loop, ConnectionPool &pool, ExchangeRequest request, absl::Duration limit,
                                             Ended ended);

    /// Cancels the request and resets its connection. The callback does not run.
    void cancel();

private:
    HttpQuestion(EventLoop &loop, Ended ended);

    void finish(const QuestionEnd &end);

    EventLoop &m_loop;
    Ended m_ended;
    WholeAnswer m_answer;
    std::shared_ptr<HttpExchange> m_exchange;
    TimerId m_limit = 0;
};

}
