#pragma once

#include "caller/addresslookup.h"
#include "caller/requestsource.h"

#include <absl/time/time.h>

#include <string>
#include <vector>

namespace Apricot {

/// How one request ended for its caller.
enum class CallerEnd {
    Answered, ///< whole and right
    NotRun, ///< refused, "not run"
    MayHaveRun, ///< said to be unknown, or cancelled by the caller
    Lost, ///< no end at all
    Wrong, ///< an answer that is not its own, has gaps or repeats
};

struct CallerResult
{
    CallerEnd end = CallerEnd::Lost;
    std::string kind; ///< error kind, if any
    std::string key; ///< idempotency key, if any
    absl::Time ended;
    absl::Duration took;
    int resumes = 0;
    std::string text; ///< answer or message, for people
};

/**
 * \class CallerClient
 * \brief Sends one request as a careful caller does: resumes at another node with Last-Event-ID, repeats only what was not run.
 */
class CallerClient
{
public:
    explicit CallerClient(AddressLookup &addresses);

    /// Sends \a request; \a id is its request id, \a firstTurn says which address is tried first.
    CallerResult send(const InputRequest &request, const std::string &id, int firstTurn);

private:
    CallerResult complete(const InputRequest &request, const std::string &id, int firstTurn);
    CallerResult callPlain(const InputRequest &request, const std::string &id, int firstTurn);

    AddressLookup &m_addresses;
};

}
