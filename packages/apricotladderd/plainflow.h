#pragma once

#include "apricotladderd/nodecontext.h"
#include "coordination/runtap.h"
#include "state/callerrequest.h"
#include "transport/httpclient.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Apricot {

/// Response of an endpoint to a plain call.
struct PlainAnswer
{
    std::int64_t status = 0;
    std::string body;
};

/**
 * \class PlainFlow
 * \brief Executes one call to a plain service: directly if the operation is idempotent, under a run record if it is not.
 */
class PlainFlow
{
public:
    PlainFlow(NodeContext context, PlainCall call, std::uint64_t turn);

    /// Executes the call on the calling thread; returns the response or the error.
    std::variant<PlainAnswer, Error> run();

private:
    std::variant<PlainAnswer, Error> runIdempotent();
    std::variant<PlainAnswer, Error> runOnce();
    std::optional<TapEvent> carryOut(const TapAction &action, absl::Time until, std::variant<PlainAnswer, Error> *answer);
    TapEvent readRecord(absl::Time until);
    TapEvent writeRecord(const WriteRecord &write, absl::Time until);
    TapEvent askCreator(const AskCreator &question);
    TapEvent dispatch();
    std::vector<Endpoint> candidates() const;
    HttpReply callEndpoint(const Endpoint &endpoint) const;
    absl::Duration callLimit() const;

    NodeContext m_context;
    PlainCall m_call;
    Service m_service;
    std::uint64_t m_turn;
    RequestId m_attempt;
    bool m_asked = false; ///< another attempt is in progress: wait before the next read of the record
    int m_dispatches = 0;
};

}
