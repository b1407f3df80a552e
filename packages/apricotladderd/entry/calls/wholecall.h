#pragma once

#include "apricotladderd/entry/calls/callfacts.h"
#include "apricotladderd/entry/engines/answerbuffer.h"
#include "apricotladderd/entry/entryloop.h"
#include "coordination/attemptdecision.h"
#include "coordination/servicepool.h"
#include "transport/httpexchange.h"
#include "transport/httpmessage.h"
#include "transport/httpserverconnection.h"

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Apricot {

/**
 * \class WholeCall
 * \brief One non-streaming call: sends it to one engine after another until decideNextStep() says to answer the caller.
 *
 * An idempotent call whose engine takes too long is sent to a second engine as well; the first usable answer is relayed.
 */
class WholeCall : public std::enable_shared_from_this<WholeCall>
{
public:
    WholeCall(EntryLoop &loop, HttpServerConnection::Ptr caller, CallFacts facts, AllowanceCharge charge, HttpRequestHead head,
              std::string body);

    void start();

private:
    /// One attempt at one engine.
    struct Attempt
    {
        Attempt(const PlainPlacement &chosen, absl::Time now, std::atomic<std::size_t> &totalBytes)
            : placement(chosen)
            , engine(chosen.engine)
            , startedAt(now)
            , body(totalBytes)
        {
        }

        PlainPlacement placement;
        EngineEntry engine;
        absl::Time startedAt;
        std::shared_ptr<HttpExchange> exchange;
        bool wasSent = false;
        HttpResponseHead head;
        AnswerBuffer body;
    };
    using AttemptPtr = std::shared_ptr<Attempt>;

    void startAttempt();
    PlainDemand makeDemand();
    void handleNoEndpoint();
    /// Waits at this node until an endpoint has room, if there is time for it; \a expectedWait is how long that takes.
    void waitForEndpoint(absl::Duration expectedWait);
    /// Returns how long the call may wait at this node.
    absl::Duration maxEndpointWait(absl::Time now) const;
    void checkEndpointsLater();
    void stopWaiting();
    void refuseAsFull(absl::Duration expectedWait, const char *reason);
    void handlePlacement(const PlainPlacement &placement);
    void send(const PlainPlacement &placement);
    HttpExchange::Callbacks exchangeCallbacks(const AttemptPtr &attempt);
    void handleBody(const AttemptPtr &attempt, const std::string &chunk);
    void handleExchangeOutcome(const AttemptPtr &attempt, ExchangeOutcome outcome);
    void handleAttemptOutcome(const AttemptOutcome &outcome);
    void handleOverdueOutcome(const AttemptPtr &attempt, const AttemptOutcome &outcome);
    void handleOverdue();
    /// Waits for the overdue attempt again, if there is one; returns whether there is.
    bool returnToOverdueAttempt();
    /// Ends \a attempt, if there is one, and records \a result for its engine.
    void cancel(const AttemptPtr &attempt, std::optional<EngineResult> result);
    void handleDeadline();
    /// Ends the call because the node is about to end.
    void handleNodeEnding();
    void handleCallerDisconnected();
    /// Excludes the current engine from further attempts and returns the facts for decideNextStep().
    AttemptFacts makeAttemptFacts(absl::Time now);
    void execute(const NextStep &step);
    void relayResponse();
    void refuse(ErrorKind kind);
    static void recordEngineResult(ServicePool &pool, const Attempt &attempt, EngineResult result, absl::Time now);
    void releaseEngine(const Attempt &attempt, std::optional<EngineResult> result);
    void finish(const char *outcome, int status);

    EntryLoop &m_loop;
    HttpServerConnection::Ptr m_caller;
    CallFacts m_facts;
    AllowanceCharge m_charge; ///< to the workspace of the call
    HttpRequestHead m_head;
    std::string m_body;
    AttemptPtr m_attempt; ///< the latest attempt; null while the call waits for an endpoint
    AttemptPtr m_overdueAttempt; ///< an earlier one that took too long and may still answer
    std::vector<EngineId> m_excludedEngines;
    std::int64_t m_sentAttempts = 0;
    bool m_mayHaveRun = false; ///< whether an earlier attempt may have run
    TimerId m_deadlineTimer = 0;
    TimerId m_overdueTimer = 0;
    TimerId m_waitTimer = 0;
    TimerId m_checkTimer = 0;
    WaiterId m_waiter = 0; ///< set while the call waits at this node for an endpoint with room
    bool m_isRetry = false; ///< the next attempt counts against the retry limit
    std::optional<absl::Duration> m_fullRetryAfter; ///< Retry-After of a call that is refused because all endpoints are full
    bool m_isRefusedForBackOff = false; ///< all engines have asked for a back-off
    bool m_finished = false;
};

}
