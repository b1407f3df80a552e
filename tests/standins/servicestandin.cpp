#include "standins/servicestandin.h"

#include "standins/jsonanswer.h"

#include <absl/strings/match.h>
#include <absl/time/clock.h>

#include <algorithm>

namespace Apricot {

namespace {

const std::string operationsPath = "/v1/operations/";

}

HttpResponse ServiceStandIn::handle(const HttpRequest &request)
{
    if (request.path == "/control") {
        return control(request);
    }
    if (request.path == "/runs") {
        const MutexLock lock(m_mutex);
        return jsonAnswer(200, Json(m_runs));
    }
    if (absl::StartsWith(request.path, operationsPath)) {
        return run(request, request.path.substr(operationsPath.size()));
    }
    return jsonAnswer(404, Json{{"error", "unknown path"}});
}

HttpResponse ServiceStandIn::run(const HttpRequest &request, const std::string &operation)
{
    const std::string key = request.header("idempotency-key");
    std::int64_t delayMs = 0;
    std::int64_t runs = 0;
    bool loseReply = false;
    {
        const MutexLock lock(m_mutex);
        runs = key.empty() ? 0 : ++m_runs[key];
        delayMs = m_delayMs;
        loseReply = m_loseReplies > 0;
        m_loseReplies -= loseReply ? 1 : 0;
    }
    absl::SleepFor(absl::Milliseconds(delayMs));
    if (loseReply) {
        return HttpResponse{0, {}, {}, {}, {}};
    }
    return jsonAnswer(200, Json{{"operation", operation}, {"done", true}, {"run", runs}});
}

HttpResponse ServiceStandIn::control(const HttpRequest &request)
{
    const Json json = Json::parse(request.body, nullptr, false);
    if (json.is_discarded()) {
        return jsonAnswer(400, Json{{"error", "the body is not valid JSON"}});
    }
    const MutexLock lock(m_mutex);
    m_delayMs = jsonInteger(json, "delayMs", m_delayMs);
    m_loseReplies = jsonInteger(json, "loseReplies", m_loseReplies);
    return jsonAnswer(200, Json{{"done", true}});
}

}
