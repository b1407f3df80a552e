#pragma once

#include "apricotladderd/entry/callfacts.h"
#include "apricotladderd/entry/entryloop.h"
#include "coordination/attemptdecision.h"
#include "transport/httpexchange.h"
#include "transport/httpmessage.h"
#include "transport/httpserverconnection.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Apricot {

/**
 * \class WholeCall
 * \brief One non-streaming call: sends it to one engine after another until decideNextStep() says to answer the caller.
 */
class WholeCall : public std::enable_shared_from_this<WholeCall>
{
public:
    WholeCall(EntryLoop &loop, HttpServerConnection::Self caller, CallFacts facts, HttpRequestHead head, std::string body);

    void start();

private:
    void tryEngine();
    void send(const EngineEntry &engine);
    void exchangeEnded(ExchangeEnd end);
    AttemptEnd readEnd(ExchangeEnd end) const;
    void attemptEnded(const AttemptEnd &end);
    void overdue();
    void timeIsUp();
    void callerGone();
    AttemptFacts attemptFacts(absl::Time now);
    void take(const NextStep &step);
    void relay();
    void refuse(ErrorKind kind);
    void releaseEngine(std::optional<EngineResult> result);
    void finish(const char *outcome, int status);

    EntryLoop &m_loop;
    HttpServerConnection::Self m_caller;
    CallFacts m_facts;
    HttpRequestHead m_head;
    std::string m_body;
    std::shared_ptr<HttpExchange> m_exchange;
    EngineEntry m_engine;
    absl::Time m_sentAt;
    std::vector<EngineId> m_avoided;
    std::int64_t m_arrivals = 0;
    bool m_wasSent = false; ///< whether the current attempt was sent
    bool m_mayHaveRun = false; ///< whether an earlier attempt may have run
    HttpResponseHead m_answerHead;
    std::string m_answerBody;
    TimerId m_deadlineTimer = 0;
    TimerId m_overdueTimer = 0;
    bool m_over = false;
};

}
