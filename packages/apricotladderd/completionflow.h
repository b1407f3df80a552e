#pragma once

#include "apricotladderd/nodecontext.h"
#include "apricotladderd/streambuffer.h"
#include "coordination/completionmachine.h"
#include "protocol/enginejson.h"
#include "state/callerrequest.h"
#include "transport/httpclient.h"

#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace Apricot {

/**
 * \class CompletionFlow
 * \brief Carries out what a CompletionMachine decides for one completion: calls to engines, messages to the owner.
 *
 * It runs on a thread of its own and ends the buffer exactly once.
 */
class CompletionFlow
{
public:
    CompletionFlow(NodeContext context, CompletionRequest request, std::shared_ptr<StreamBuffer> buffer, absl::Time arrival);

    /// Serves the request from its start.
    void run();

    /// Serves the rest of a request that another node started: its stream is looked for on the engines.
    void resume();

private:
    CompletionPlan makePlan(absl::Time arrival) const;
    void loop(CompletionActions actions);
    void add(CompletionActions actions);
    void tell(const CompletionEvent &event);
    void carryOut(const CompletionAction &action);
    void awaitOwner(absl::Duration wait);
    void runPrefill(const RunPrefill &order);
    void openStream(const OpenStream &order);
    void resumeStream(const ResumeStream &order);
    void follow(const EngineId &engine, HttpCall call);
    void takeLine(const std::string &line, bool *done, bool *broken);
    void takeToken(StreamToken token, bool *broken);
    void tellAdvanced();
    void cancelEngines(const CancelEngines &order);
    void answerComplete();
    void answerFailed(const AnswerFailed &answer);
    std::string addressOf(const EngineId &engine) const;

    NodeContext m_context;
    CompletionRequest m_request;
    std::shared_ptr<StreamBuffer> m_buffer;
    absl::Time m_arrival;
    CompletionMachine m_machine;
    std::shared_ptr<PendingWork> m_pending;
    std::deque<CompletionAction> m_actions;
    std::int64_t m_toldNext = 0; ///< tokens that the machine knows of
};

}
