#pragma once

#include "apricotladderd/nodecontext.h"
#include "apricotladderd/streambuffer.h"
#include "protocol/enginejson.h"
#include "state/callerrequest.h"
#include "transport/httpclient.h"

#include <absl/time/time.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace Apricot {

/**
 * \class CompletionFlow
 * \brief The coordinator of one completion: asks the owner, starts the prefill, streams from the decode engine.
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
    /// How one attempt ended.
    enum class AttemptEnd { Done, Failed, Cancelled, TryAgain };

    AttemptEnd runAttempt();
    Work makeWork() const;
    std::optional<StartPrefill> askOwner(const Work &work);
    std::optional<PrefillResult> prefill(const StartPrefill &order, const Work &work);
    std::optional<StartDecode> reportPrefill(const PrefillResult &result, const Work &work);
    AttemptEnd decode(const StartDecode &order, const PrefillResult &result, const Work &work);
    AttemptEnd followStream(const EngineId &engine, const HttpCall &first, const Work &work, std::int64_t firstToken);
    HttpReply streamOnce(const HttpCall &call, const Work &work, bool *done);
    void takeLine(const std::string &line, const Work &work, bool *done, bool *broken);
    AttemptEnd settleStream(const Work &work);
    HttpCall resumeCall(const EngineId &engine) const;

    std::string addressOf(const EngineId &engine) const;
    void refuse(const Refuse &refusal);
    void fail(ErrorKind kind, const std::string &message);
    void cancelEverywhere(const Work &work);
    void endCancelled();
    void sendOwner(const Event &event);
    absl::Duration target() const;
    bool isResumed() const;

    NodeContext m_context;
    CompletionRequest m_request;
    std::shared_ptr<StreamBuffer> m_buffer;
    std::shared_ptr<PendingWork> m_pending;
    absl::Time m_arrival;
    std::uint64_t m_attempt;
    EngineId m_avoid;
    EngineId m_prefillEngine;
    EngineId m_decodeEngine;
};

}
