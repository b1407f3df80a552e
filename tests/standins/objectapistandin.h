#pragma once

#include "protocol/objectjson.h"
#include "state/mutex.h"
#include "transport/httpserver.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Apricot {

/**
 * \class ObjectApiStandIn
 * \brief Stand-in for the platform's object API: versions, conditional updates, watches, call counts, rate limits, faults.
 */
class ObjectApiStandIn
{
public:
    /// Rate limits in calls per second; calls beyond them get 429.
    static constexpr double writesPerSecond = 400;
    static constexpr double readsPerSecond = 2000;

    /// Handles the object API, GET /stats with the call counts, and POST /control, which sets faults.
    HttpResponse handle(const HttpRequest &request);

private:
    struct Stored
    {
        StoredObject object;
        std::uint64_t changedAt = 0; ///< global version of the last spec change or of the removal
        bool removed = false;
    };

    struct Faults
    {
        bool outage = false; ///< every call gets 503
        bool hang = false; ///< no call gets a response; each ends after hangDuration
        std::int64_t slowMs = 0; ///< delay of every call
        std::int64_t loseReplies = 0; ///< number of further writes that take effect but get no response
    };

    struct TokenBucket
    {
        double tokens = 0;
        absl::Time updated = absl::InfinitePast();
    };

    using Key = std::pair<std::string, std::string>;

    HttpResponse get(const Key &key);
    HttpResponse list(const std::string &kinds);
    HttpResponse watch(const HttpRequest &request);
    HttpResponse put(const HttpRequest &request, const Key &key);
    HttpResponse putStatus(const HttpRequest &request, const Key &key);
    HttpResponse remove(const HttpRequest &request, const Key &key);
    HttpResponse control(const HttpRequest &request);
    HttpResponse stats();
    HttpResponse respondToWrite(std::uint64_t version);
    std::string listBody(const std::string &kinds, std::uint64_t after, bool *hasChanges) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    bool trySpendToken(TokenBucket *bucket, double perSecond) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    Mutex m_mutex;
    CondVar m_changed;
    std::map<Key, Stored> m_objects ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_version ABSL_GUARDED_BY(m_mutex) = 0;
    Faults m_faults ABSL_GUARDED_BY(m_mutex);
    TokenBucket m_reads ABSL_GUARDED_BY(m_mutex);
    TokenBucket m_writes ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, std::int64_t> m_counts ABSL_GUARDED_BY(m_mutex);
};

}
