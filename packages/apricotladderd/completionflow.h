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
 * \brief Executes the actions of a CompletionMachine for one completion: calls to engines and messages to the slice's owner.
 *
 * It runs on its own thread and ends the buffer exactly once, with a complete answer or an error.
 */
class CompletionFlow
{
public:
    CompletionFlow(NodeContext context, CompletionRequest request, std::shared_ptr<StreamBuffer> buffer, absl::Time arrival);

    /// Serves the request from its first token.
    void run();

    /// Serves the remaining tokens of a request that another node started. The decode engines are searched for its stream.
    void resume();

private:
    CompletionPlan makePlan(absl::Time arrival) const;
    void runActions(CompletionActions actions);
    void enqueue(CompletionActions actions);
    void notifyMachine(const CompletionEvent &event);
    void execute(const CompletionAction &action);
    void waitForOwnerAction(absl::Duration wait);
    void runPrefill(const RunPrefill &action);
    void openStream(const OpenStream &action);
    void resumeStream(const ResumeStream &action);
    void readStream(const EngineId &engine, HttpCall call);
    void handleLine(const std::string &line, bool *done, bool *broken);
    void handleToken(StreamToken token, bool *broken);
    void reportProgress();
    void cancelEngines(const CancelEngines &action);
    void answerComplete();
    void answerFailed(const AnswerFailed &answer);
    std::string addressOf(const EngineId &engine) const;

    NodeContext m_context;
    CompletionRequest m_request;
    std::shared_ptr<StreamBuffer> m_buffer;
    absl::Time m_arrival;
    CompletionMachine m_machine;
    std::shared_ptr<OwnerActionQueue> m_ownerActions;
    std::deque<CompletionAction> m_actions;
    std::int64_t m_reportedNext = 0; ///< number of tokens that was last reported to the machine
};

}
