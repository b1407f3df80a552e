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
 * \brief A small stand-in for the platform's object API: versions, conditional updates, watches, counts, rates, faults.
 */
class ObjectApiStandIn
{
public:
    /// Calls a second that are answered; more get 429.
    static constexpr double writesPerSecond = 400;
    static constexpr double readsPerSecond = 2000;

    HttpResponse handle(const HttpRequest &request);

private:
    struct Stored
    {
        StoredObject object;
        std::uint64_t changedAt = 0; ///< global version of the last change of the spec, or of the removal
        bool removed = false;
    };

    struct Faults
    {
        bool outage = false; ///< every call is refused
        bool hang = false; ///< every call is left without an answer for a while
        std::int64_t slowMs = 0;
        std::int64_t loseReplies = 0; ///< so many of the next writes take effect without an answer
    };

    struct Bucket
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
    HttpResponse answerWrite(std::uint64_t version);
    std::string listBody(const std::string &kinds, std::uint64_t after, bool *any) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    bool spend(Bucket *bucket, double perSecond) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    Mutex m_mutex;
    CondVar m_changed;
    std::map<Key, Stored> m_objects ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_version ABSL_GUARDED_BY(m_mutex) = 0;
    Faults m_faults ABSL_GUARDED_BY(m_mutex);
    Bucket m_reads ABSL_GUARDED_BY(m_mutex);
    Bucket m_writes ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, std::int64_t> m_counts ABSL_GUARDED_BY(m_mutex);
};

}
