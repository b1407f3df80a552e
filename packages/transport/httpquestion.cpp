#include "transport/httpquestion.h"

#include <utility>

namespace Apricot {

const char *unansweredText(Unanswered why)
{
    switch (why) {
    case Unanswered::NoConnection:
        return "no connection could be established";
    case Unanswered::NoAnswer:
        return "no valid response was received";
    case Unanswered::TooLate:
        return "the response timed out";
    }
    return "no valid response was received";
}

HttpQuestion::HttpQuestion(EventLoop &loop, Ended ended)
    : m_loop(loop)
    , m_ended(std::move(ended))
{
}

std::shared_ptr<HttpQuestion> HttpQuestion::ask(EventLoop &loop, ConnectionPool &pool, ExchangeRequest request, absl::Duration limit,
                                                Ended ended)
{
    std::shared_ptr<HttpQuestion> question(new HttpQuestion(loop, std::move(ended)));
    HttpExchange::Callbacks callbacks;
    callbacks.onHead = [question](const HttpResponseHead &head) {
        question->m_answer.head = head;
    };
    callbacks.onBody = [question](const std::string &part) {
        question->m_answer.body += part;
    };
    callbacks.onEnded = [question](ExchangeOutcome end) {
        if (end == ExchangeOutcome::Complete) {
            question->finish(std::move(question->m_answer));
        } else {
            question->finish(end == ExchangeOutcome::NotSent ? Unanswered::NoConnection : Unanswered::NoAnswer);
        }
    };
    question->m_limit = loop.after(limit, [question] { question->finish(Unanswered::TooLate); });
    question->m_exchange = HttpExchange::start(loop, pool, std::move(request), std::move(callbacks));
    return question;
}

void HttpQuestion::cancel()
{
    m_loop.cancel(std::exchange(m_limit, 0));
    m_ended = nullptr;
    if (const std::shared_ptr<HttpExchange> exchange = std::exchange(m_exchange, nullptr)) {
        exchange->cancel();
    }
}

void HttpQuestion::finish(const QuestionEnd &end)
{
    const Ended ended = std::exchange(m_ended, nullptr);
    const std::shared_ptr<HttpQuestion> self = shared_from_this();
    cancel();
    if (ended) {
        ended(end);
    }
}

}
