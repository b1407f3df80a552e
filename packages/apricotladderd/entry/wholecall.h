#pragma once

#include "apricotladderd/entry/answerbuffer.h"
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
    WholeCall(EntryLoop &loop, HttpServerConnection::Ptr caller, CallFacts facts, HttpRequestHead head, std::string body);

    void start();

private:
    void startAttempt();
    void send(const EngineEntry &engine);
    void handleBody(const std::string &chunk);
    void handleExchangeOutcome(ExchangeOutcome outcome);
    AttemptOutcome classifyOutcome(ExchangeOutcome outcome) const;
    void handleAttemptOutcome(const AttemptOutcome &outcome);
    void handleOverdue();
    void handleDeadline();
    void handleCallerDisconnected();
    /// Excludes the current engine from further attempts and returns the facts for decideNextStep().
    AttemptFacts makeAttemptFacts(absl::Time now);
    void execute(const NextStep &step);
    void relayResponse();
    void refuse(ErrorKind kind);
    void releaseEngine(std::optional<EngineResult> result);
    void finish(const char *outcome, int status);

    EntryLoop &m_loop;
    HttpServerConnection::Ptr m_caller;
    CallFacts m_facts;
    HttpRequestHead m_head;
    std::string m_body;
    std::shared_ptr<HttpExchange> m_exchange;
    EngineEntry m_engine;
    absl::Time m_sentAt;
    std::vector<EngineId> m_excludedEngines;
    std::int64_t m_sentAttempts = 0;
    bool m_wasSent = false; ///< whether the current attempt was sent
    bool m_mayHaveRun = false; ///< whether an earlier attempt may have run
    HttpResponseHead m_responseHead;
    AnswerBuffer m_responseBody;
    TimerId m_deadlineTimer = 0;
    TimerId m_overdueTimer = 0;
    bool m_isRefusedForBackOff = false; ///< all engines have asked for a back-off
    bool m_finished = false;
};

}
