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

/// Response of an endpoint to a plain call.
struct PlainResponse
{
    std::int64_t status = 0;
    std::string body;
};

/**
 * \class PlainFlow
 * \brief Executes one call to a plain service: directly if the operation is idempotent, otherwise with a run record in the store.
 */
class PlainFlow
{
public:
    /// \a service is the service of \a call in the configuration with which the call was decoded.
    PlainFlow(NodeContext context, PlainCall call, Service service, std::uint64_t sequence);

    /// Executes the call on the calling thread; returns the response or the error.
    std::variant<PlainResponse, Error> run();

private:
    std::variant<PlainResponse, Error> runIdempotent();
    std::variant<PlainResponse, Error> runNonIdempotent();
    std::optional<RunAttemptEvent> execute(const RunAttemptAction &action, absl::Time deadline, std::variant<PlainResponse, Error> *result);
    RunAttemptEvent readRecord(absl::Time deadline);
    RunAttemptEvent writeRecord(const WriteRecord &write, absl::Time deadline);
    RunAttemptEvent queryCreator(const AskCreator &query);
    RunAttemptEvent dispatch();
    std::vector<Endpoint> candidates() const;
    HttpReply callEndpoint(const Endpoint &endpoint) const;
    absl::Duration callTimeout() const;

    NodeContext m_context;
    PlainCall m_call;
    Service m_service;
    std::uint64_t m_sequence;
    RequestId m_attemptId;
    bool m_creatorQueried = false; ///< another attempt is in progress: wait before the next read of the record
    int m_dispatches = 0;
};

}
