#pragma once

#include "apricotladderd/nodecontext.h"
#include "coordination/runattempt.h"
#include "state/callerrequest.h"
#include "transport/httpclient.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Apricot {

/// The endpoint's answer to a plain call.
struct PlainAnswer
{
    std::int64_t status = 0;
    std::string body;
};

/**
 * \class PlainFlow
 * \brief One call to a plain service: directly if it is idempotent, under a run record if it is not.
 */
class PlainFlow
{
public:
    PlainFlow(NodeContext context, PlainCall call, std::uint64_t turn);

    /// Runs the call on the calling thread.
    std::variant<PlainAnswer, Error> run();

private:
    std::variant<PlainAnswer, Error> runIdempotent();
    std::variant<PlainAnswer, Error> runOnce();
    std::optional<RunAttemptEvent> carryOut(const RunAttemptAction &action, absl::Time until, std::variant<PlainAnswer, Error> *answer);
    RunAttemptEvent readRecord(absl::Time until);
    RunAttemptEvent writeRecord(const WriteRecord &write, absl::Time until);
    RunAttemptEvent askCreator(const AskCreator &question);
    RunAttemptEvent dispatch();
    std::vector<Endpoint> candidates() const;
    HttpReply callEndpoint(const Endpoint &endpoint) const;
    absl::Duration callLimit() const;

    NodeContext m_context;
    PlainCall m_call;
    Service m_service;
    std::uint64_t m_turn;
    RequestId m_attempt;
    bool m_asked = false; ///< another attempt was found in progress: wait before reading again
    int m_dispatches = 0;
};

}
