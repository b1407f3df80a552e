#pragma once

#include "apricotladderd/entry/callfacts.h"
#include "apricotladderd/entry/entryloop.h"
#include "apricotladderd/entry/modelreservation.h"
#include "apricotladderd/entry/ownedkvhandle.h"
#include "coordination/attemptdecision.h"
#include "platform/callheaders.h"
#include "protocol/sseevents.h"
#include "transport/httpexchange.h"
#include "transport/httpmessage.h"
#include "transport/httpquestion.h"
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
    StreamCall(EntryLoop &loop, HttpServerConnection::Self caller, CallFacts facts, HttpRequestHead head, std::string body);

    void start();

private:
    ModelDemand demand(absl::Duration patience) const;
    void askForRoom(absl::Duration patience);
    void roomFound(const ModelPlacement &placement);
    void giveUpPlacement(EngineId failed);
    void noRoom();

    void startPrefill();
    void prefillEnded(const QuestionEnd &end);
    void prefillUnanswered(Unanswered why);
    void prefillAnswered(const WholeAnswer &answer);
    void notePrefillSent();
    bool mayPrefillAgain() const;
    void readAtDecodeEngine();
    void afterFailedPrefill(EngineResult result, const char *why);

    void startDecode();
    void decodeHead(const HttpResponseHead &head);
    void decodeBody(const std::string &part);
    void decodeEnded(ExchangeEnd end);
    void passOn(const std::string &events);
    void silent();
    void armSilence();
    void streamEnded(ExchangeEnd end);
    void wholeAnswerEnded(ExchangeEnd end);
    void goOnElsewhere();
    bool mayGoOnElsewhere();

    void timeIsUp();
    void callerGone();
    void refuse(ErrorKind kind, std::optional<absl::Duration> comeBack);
    void breakOff(const char *why);
    void cancelExchange();
    bool spendRepeat();
    ExchangeRequest requestTo(const EngineEntry &engine, const EngineRequestOptions &terms) const;
    EngineRequestOptions termsFor(const EngineEntry &engine) const;
    void finish(const char *outcome, int status);

    EntryLoop &m_loop;
    HttpServerConnection::Self m_caller;
    CallFacts m_facts;
    HttpRequestHead m_head;
    std::string m_body;

    WaiterId m_waiter = 0;
    TimerId m_waitTimer = 0;
    std::optional<ModelPlacement> m_placement;
    PlacementBasis m_basis; ///< basis of the last placement, for the log
    ModelReservation m_reservation;
    std::vector<EngineId> m_avoided;
    std::shared_ptr<HttpExchange> m_exchange;
    std::shared_ptr<HttpQuestion> m_prefill;
    OwnedKvHandle m_handle;
    absl::Time m_stageSince; ///< start of the current prefill or decode
    EngineId m_lastDecode; ///< decode engine that the call was last sent to
    absl::Time m_placedAt;
    std::int64_t m_arrivals = 0; ///< requests that reached an engine, not counting the first prefill
    std::int64_t m_prefillsSent = 0;
    bool m_prefillCounts = false; ///< an engine declined or failed a prefill, so continuing costs a retry
    bool m_wasSent = false; ///< whether the current decode request was sent

    HttpResponseHead m_answerHead;
    std::string m_answerBody; ///< body of an answer that is not a stream
    bool m_isStream = false;
    bool m_streamBegun = false; ///< the caller has received the head and the first event
    SseEvents m_events;
    absl::Time m_lastPiece;
    absl::Duration m_longestPause;
    absl::Time m_firstPiece;
    TimerId m_silenceTimer = 0;
    TimerId m_deadlineTimer = 0;
    bool m_over = false;
};

}
