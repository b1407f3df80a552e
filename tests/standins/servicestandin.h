#pragma once

#include "state/mutex.h"
#include "transport/httpserver.h"

#include <cstdint>
#include <map>
#include <string>

namespace Apricot {

/**
 * \class ServiceStandIn
 * \brief A small stand-in for a plain service. It does whatever it is asked and counts the runs per key.
 */
class ServiceStandIn
{
public:
    HttpResponse handle(const HttpRequest &request);

private:
    HttpResponse run(const HttpRequest &request, const std::string &operation);
    HttpResponse control(const HttpRequest &request);

    Mutex m_mutex;
    std::map<std::string, std::int64_t> m_runs ABSL_GUARDED_BY(m_mutex); ///< by Idempotency-Key
    std::int64_t m_delayMs ABSL_GUARDED_BY(m_mutex) = 5;
    std::int64_t m_loseReplies ABSL_GUARDED_BY(m_mutex) = 0; ///< so many of the next calls run without an answer
};

}
