#pragma once

#include "apricotladderd/entry/callfacts.h"
#include "apricotladderd/entry/entryloop.h"
#include "apricotladderd/entry/heldhandle.h"
#include "apricotladderd/entry/modelreservation.h"
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
 * \brief One call that is answered by a stream: waits for room, has the prompt read, and passes the events on.
 *
 * Decode memory is reserved before the prompt is read, so that no prefill is started whose decode would not follow. Only
 * whole events are passed on, so that a stream that breaks off can go on at another engine where its route allows that.
 */
class StreamCall : public std::enable_shared_from_this<StreamCall>
{
public:
    StreamCall(EntryLoop &loop, HttpServerConnection::Ptr caller, CallFacts facts, HttpRequestHead head, std::string body);

    void start();

private:
    ModelDemand demand(absl::Duration patience) const;
    void askForRoom(absl::Duration patience);
    void roomFound(const ModelPlacement &placement);
    void giveUpPlacement(EngineId failed);
    void noRoom();

    void startPrefill();
    void prefillEnded(const FetchResult &end);
    void prefillUnanswered(FetchError why);
    void prefillAnswered(const FullResponse &answer);
    void notePrefillSent();
    bool mayPrefillAgain() const;
    void readAtDecodeEngine();
    void afterFailedPrefill(EngineResult result, const char *why);

    void startDecode();
    void decodeHead(const HttpResponseHead &head);
    void decodeBody(const std::string &part);
    void decodeEnded(ExchangeOutcome end);
    void passOn(const std::string &events);
    void silent();
    void armSilence();
    void streamEnded(ExchangeOutcome end);
    void wholeAnswerEnded(ExchangeOutcome end);
    void goOnElsewhere();
    bool mayGoOnElsewhere();

    void timeIsUp();
    void callerGone();
    void refuse(ErrorKind kind, std::optional<absl::Duration> comeBack);
    void breakOff(const char *why);
    void cancelExchange();
    bool spendRepeat();
    ExchangeRequest requestTo(const EngineEntry &engine, const EngineTerms &terms) const;
    EngineTerms termsFor(const EngineEntry &engine) const;
    void finish(const char *outcome, int status);

    EntryLoop &m_loop;
    HttpServerConnection::Ptr m_caller;
    CallFacts m_facts;
    HttpRequestHead m_head;
    std::string m_body;

    WaiterId m_waiter = 0;
    TimerId m_waitTimer = 0;
    std::optional<ModelPlacement> m_placement;
    PlacementBasis m_basis; ///< of the last placement
    ModelReservation m_reservation;
    std::vector<EngineId> m_avoided;
    std::shared_ptr<HttpExchange> m_exchange;
    std::shared_ptr<HttpFetch> m_prefill;
    HeldHandle m_handle;
    absl::Time m_stageSince; ///< begin of the present prefill or decode
    EngineId m_lastDecode; ///< that the call was sent to last
    absl::Time m_placedAt;
    std::int64_t m_arrivals = 0; ///< engines that got the call, but for the first accepted prefill
    std::int64_t m_prefillsSent = 0;
    bool m_prefillCounts = false; ///< a prefill was turned down, so it counts as an arrival
    bool m_wasSent = false; ///< the present decode

    HttpResponseHead m_answerHead;
    std::string m_answerBody; ///< of an answer that is no stream
    bool m_isStream = false;
    bool m_streamBegun = false; ///< the caller has the head and the first event
    SseEventSplitter m_events;
    absl::Time m_lastPiece;
    absl::Duration m_longestPause;
    absl::Time m_firstPiece;
    TimerId m_silenceTimer = 0;
    TimerId m_deadlineTimer = 0;
    bool m_over = false;
};

}
