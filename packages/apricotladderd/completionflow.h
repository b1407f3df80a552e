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
    std::shared_ptr<OwnerActionQueue> m_pending;
    std::deque<CompletionAction> m_actions;
    std::int64_t m_toldNext = 0; ///< number of tokens that was last reported to the machine
};

}
