#pragma once

#include "apricotladderd/entry/calls/callfacts.h"
#include "apricotladderd/entry/calls/modelreservation.h"
#include "apricotladderd/entry/calls/ownedkvhandle.h"
#include "apricotladderd/entry/calls/streamtakeover.h"
#include "apricotladderd/entry/engines/answerbuffer.h"
#include "apricotladderd/entry/entryloop.h"
#include "apricotladderd/entry/peers/promptguard.h"
#include "coordination/attemptdecision.h"
#include "platform/callheaders.h"
#include "protocol/sseeventsplitter.h"
#include "transport/httpexchange.h"
#include "transport/httpfetch.h"
#include "transport/httpmessage.h"
#include "transport/httpserverconnection.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Apricot {

/**
 * \class StreamCall
 * \brief One streaming call: waits for engine capacity, runs the prefill, and forwards the decode engine's events.
 *
 * Decode memory is reserved before the prefill starts, so that no prefill runs without a decode engine for its result. Only
 * complete events are forwarded, so that an interrupted stream can resume on another engine if its route allows it.
 */
class StreamCall : public std::enable_shared_from_this<StreamCall>
{
public:
    StreamCall(EntryLoop &loop, HttpServerConnection::Ptr caller, CallFacts facts, AllowanceCharge charge, HttpRequestHead head,
               std::string body);

    void start();

private:
    /// Retry-After of a call that is refused after an engine failure. \see ReturnSchedule for calls that find no capacity
    static constexpr absl::Duration shortRetryAfter = absl::Milliseconds(50);

    ModelDemand makeDemand(absl::Duration maxWait) const;
    void requestPlacement(absl::Duration maxWait);
    void handlePlacement(const ModelPlacement &placement);
    void abandonPlacement(EngineId failed);
    void handleNoCapacity();

    void startPrefill();
    void handlePrefillResult(const FetchResult &result);
    void handlePrefillError(FetchError why);
    void handlePrefillResponse(const FullResponse &response);
    void recordPrefillSent();
    bool canRetryPrefill() const;
    void startLocalPrefill();
    void continueAfterFailedPrefill(EngineResult result, const char *why);

    void startDecode();
    /// Makes the call ready for the response of \a engine.
    void beginResponse(const EngineEntry &engine, absl::Time now);
    HttpExchange::Callbacks decodeCallbacks(const EngineEntry &engine);
    void handleDecodeHead(const HttpResponseHead &head);
    void handleDecodeBody(const std::string &chunk);
    void handleDecodeOutcome(ExchangeOutcome outcome);
    void forwardEvents(const std::string &events);
    void cutOffEngine();
    void handleStall();
    void startTakeover(const ModelPlacement &placement);
    void handleTakeoverAccepted();
    /// Gives up the current engine of the stream for that of the takeover.
    void switchToTakeover();
    void handleTakeoverDeclined(const HttpResponseHead &head, ExchangeOutcome outcome);
    void cancelTakeover();
    void armStallTimer();
    void handleStreamOutcome(ExchangeOutcome outcome);
    void handleNonStreamOutcome(ExchangeOutcome outcome);
    /// Whether the call may be sent to another decode engine with the KV handle that the current one has declined.
    bool mayMoveWithHandle();
    /// Gives up the current engine of the stream, which is then to be resumed elsewhere.
    void leaveEngine();
    void resumeOnOtherEngine();
    bool canResumeOnOtherEngine();

    void handleDeadline();
    /// Ends the call because the node is about to end.
    void handleNodeEnding();
    void handleCallerDisconnected();
    void refuse(ErrorKind kind, std::optional<absl::Duration> retryAfter);
    bool refuseQuarantined();
    void abortStream(const char *why);
    void cancelExchange();
    bool trySpendRetry();
    ExchangeRequest makeEngineRequest(const EngineEntry &engine, const EngineRequestOptions &options) const;
    EngineRequestOptions makeRequestOptions(const EngineEntry &engine) const;
    void finish(const char *outcome, int status);

    EntryLoop &m_loop;
    HttpServerConnection::Ptr m_caller;
    CallFacts m_facts;
    AllowanceCharge m_charge; ///< to the workspace of the call
    HttpRequestHead m_head;
    std::string m_body;

    WaiterId m_waiter = 0;
    TimerId m_waitTimer = 0;
    std::optional<ModelPlacement> m_placement;
    PlacementBasis m_basis; ///< basis of the last placement, for the log
    ModelReservation m_reservation;
    ModelReservation m_takeoverReservation;
    std::shared_ptr<StreamTakeover> m_takeover; ///< of the stream, while its engine is silent
    std::vector<EngineId> m_excludedEngines;
    std::shared_ptr<HttpExchange> m_exchange;
    std::shared_ptr<HttpFetch> m_prefillFetch;
    OwnedKvHandle m_kvHandle;
    bool m_isHandleDeclined = false; ///< a decode engine has declined a call with this handle
    PromptGuard m_promptGuard;
    absl::Time m_stageStart; ///< start of the current prefill or decode
    EngineId m_lastDecodeEngine; ///< decode engine that the call was last sent to
    absl::Time m_placedAt;
    std::int64_t m_sentAttempts = 0; ///< requests that reached an engine, not counting the first prefill
    std::int64_t m_sentPrefills = 0;
    bool m_prefillFailureCounts = false; ///< an engine answered a prefill without a usable result, so continuing costs a retry
    bool m_wasSent = false; ///< whether the current decode request was sent

    HttpResponseHead m_responseHead;
    AnswerBuffer m_responseBody; ///< body of a response that is not a stream
    AnswerBytes m_eventBytes; ///< of the event that is not complete
    bool m_isStream = false;
    bool m_streamStarted = false; ///< the caller has received the head and the first event
    SseEventSplitter m_events;
    absl::Time m_lastEventTime;
    absl::Duration m_longestEventGap;
    absl::Time m_firstEventTime;
    std::optional<absl::Time> m_answerBegin; ///< time of the first event of the current decode engine
    TimerId m_stallTimer = 0;
    TimerId m_deadlineTimer = 0;
    bool m_isRefusedForBackOff = false; ///< all engines have asked for a back-off
    bool m_finished = false;
};

}
