#pragma once

#include "transport/httpexchange.h"

#include <absl/time/time.h>

#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace Apricot {

/// A whole answer.
struct WholeAnswer
{
    HttpResponseHead head;
    std::string body;

    friend bool operator==(const WholeAnswer &, const WholeAnswer &) = default;
};

/// Why there is no whole answer.
enum class Unanswered {
    NoConnection, ///< the other side knows nothing of the question
    NoAnswer, ///< the answer is missing, cut off or no HTTP
    TooLate, ///< the answer did not come within the limit
};

/// Says in words why there is no answer.
const char *unansweredText(Unanswered why);

/// What came of a question.
using QuestionEnd = std::variant<WholeAnswer, Unanswered>;

/**
 * \class HttpQuestion
 * \brief One request whose answer is wanted as a whole and within a limit. It is never sent twice.
 */
class HttpQuestion : public std::enable_shared_from_this<HttpQuestion>
{
public:
    using Ended = std::function<void(const QuestionEnd &)>;

    /// Asks; \a ended runs once on the loop's thread, unless the question is cancelled before.
    static std::shared_ptr<HttpQuestion> ask(EventLoop &loop, ConnectionPool &pool, ExchangeRequest request, absl::Duration limit,
                                             Ended ended);

    /// Gives the question up. \a ended does not run.
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
