#pragma once

#include "caller/addresslookup.h"
#include "caller/requestsource.h"

#include <absl/time/time.h>

#include <string>
#include <vector>

namespace Apricot {

/// Outcome of one request as its caller observes it.
enum class RequestOutcome {
    Answered, ///< complete and correct answer
    NotRun, ///< refused with the outcome NotRun
    MayHaveRun, ///< reported as unknown, or cancelled by the caller
    Lost, ///< neither an answer nor an error after all attempts
    Wrong, ///< answer of another request, or an answer with gaps or repeats
};

/// Result of one request.
struct CallerResult
{
    RequestOutcome outcome = RequestOutcome::Lost;
    std::string kind; ///< kind of the error; empty if there was none
    std::string key; ///< idempotency key; empty if there was none
    absl::Time ended;
    absl::Duration took;
    int resumes = 0; ///< number of attempts that resumed the stream
    std::string text; ///< answer or error message, for display
};

/**
 * \class CallerClient
 * \brief Sends one request with safe retries: resumes streams at another node with Last-Event-ID, and retries a call only if it
 * has not run or has an idempotency key.
 */
class CallerClient
{
public:
    explicit CallerClient(AddressLookup &addresses);

    /// Sends \a request with the request id \a id and returns its result. \a firstNodeIndex selects the node of the first attempt.
    CallerResult send(const InputRequest &request, const std::string &id, int firstNodeIndex);

private:
    CallerResult sendCompletion(const InputRequest &request, const std::string &id, int firstNodeIndex);
    CallerResult callPlainService(const InputRequest &request, const std::string &id, int firstNodeIndex);

    AddressLookup &m_addresses;
};

}
