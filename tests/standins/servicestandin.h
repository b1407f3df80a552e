#pragma once

#include "state/mutex.h"
#include "transport/httpserver.h"

#include <cstdint>
#include <map>
#include <string>

namespace Apricot {

/**
 * \class ServiceStandIn
 * \brief Stand-in for a plain service: accepts every operation and counts the runs by idempotency key.
 */
class ServiceStandIn
{
public:
    /// Handles operations, GET /runs with the counts, and POST /control, which sets delay and faults.
    HttpResponse handle(const HttpRequest &request);

private:
    HttpResponse run(const HttpRequest &request, const std::string &operation);
    HttpResponse control(const HttpRequest &request);

    Mutex m_mutex;
    std::map<std::string, std::int64_t> m_runs ABSL_GUARDED_BY(m_mutex); ///< by Idempotency-Key
    std::int64_t m_delayMs ABSL_GUARDED_BY(m_mutex) = 5;
    std::int64_t m_loseReplies ABSL_GUARDED_BY(m_mutex) = 0; ///< number of further calls that run but get no response
};

}
