#pragma once

#include "protocol/enginejson.h"
#include "state/mutex.h"
#include "transport/httpserver.h"

#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Apricot {

/// Speeds and sizes of an engine stand-in.
struct EngineTraits
{
    std::int64_t slots = 20;
    std::int64_t pieces = 2000;
    std::int64_t tokensPerPiece = 16;
    double prefillMsPerThousand = 66;
    double gapMs = 15;
    double loadedGapMs = 22;
    double transferMsPerThousand = 8;
    std::int64_t resultLifetimeMs = 800;
    bool checksFencing = false;
};

/// Token number \a index of the answer to \a prompt; callers check answers against it.
std::string standInToken(const std::string &prompt, std::int64_t index);

/// Length of the answer to \a prompt.
std::int64_t standInLength(const std::string &prompt, std::int64_t maxTokens);

/**
 * \class EngineStandIn
 * \brief A small stand-in for an inference engine: prefill, KV export and import, decode streams, memory in pieces.
 *
 * Tokens are worked out from the time that has passed, so a stream goes on whether or not somebody reads it.
 */
class EngineStandIn
{
public:
    explicit EngineStandIn(EngineTraits traits);

    HttpResponse handle(const HttpRequest &request);

private:
    struct Prefilled
    {
        std::string prompt;
        std::vector<std::string> produced;
        absl::Time expires;
    };

    struct Stream
    {
        RequestId id;
        std::uint64_t attempt = 1;
        std::string prompt;
        std::int64_t promptTokens = 0;
        std::int64_t maxTokens = 0;
        std::int64_t first = 0; ///< offset of the first token made here
        std::int64_t total = 0; ///< length of the whole answer
        absl::Time started;
        double gapMs = 15;
        bool holdsMemory = true;
        bool cancelled = false;
    };

    struct Faults
    {
        absl::Time silentBefore = absl::InfinitePast(); ///< connections opened before this give no byte any more
        absl::Time stallTransfersUntil = absl::InfinitePast();
        std::int64_t reportLagMs = 0;
        std::int64_t dropCacheEvents = 0; ///< every n-th cached prefix is missing in reports
    };

    HttpResponse prefill(const HttpRequest &request);
    HttpResponse exportKv(const std::string &handle);
    HttpResponse decode(const HttpRequest &request);
    HttpResponse resume(const HttpRequest &request, const std::string &id);
    HttpResponse cancel(const HttpRequest &request);
    HttpResponse report();
    HttpResponse order(const HttpRequest &request);
    HttpResponse control(const HttpRequest &request);

    HttpResponse streamFrom(const std::shared_ptr<Stream> &stream, std::int64_t offset, double importMs);
    bool importKv(const DecodeRequest &order, std::string *prompt, std::vector<std::string> *produced) const;
    std::int64_t tokensNow(const Stream &stream, absl::Time now) const;
    std::int64_t piecesOf(const Stream &stream, absl::Time now) const;
    std::int64_t piecesInUse(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    std::int64_t running() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void sweep(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const EngineTraits m_traits;
    Mutex m_mutex;
    CondVar m_changed;
    absl::Time m_busyUntil ABSL_GUARDED_BY(m_mutex) = absl::InfinitePast();
    std::map<std::string, Prefilled> m_results ABSL_GUARDED_BY(m_mutex);
    std::map<RequestId, std::shared_ptr<Stream>> m_streams ABSL_GUARDED_BY(m_mutex);
    std::deque<std::uint64_t> m_cache ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_nextHandle ABSL_GUARDED_BY(m_mutex) = 1;
    std::int64_t m_prefilling ABSL_GUARDED_BY(m_mutex) = 0;
    std::int64_t m_importing ABSL_GUARDED_BY(m_mutex) = 0;
    std::uint64_t m_highestFence ABSL_GUARDED_BY(m_mutex) = 0;
    std::string m_wanted ABSL_GUARDED_BY(m_mutex); ///< last order accepted
    Faults m_faults ABSL_GUARDED_BY(m_mutex);
    std::string m_lastReport ABSL_GUARDED_BY(m_mutex);
    absl::Time m_lastReportAt ABSL_GUARDED_BY(m_mutex) = absl::InfinitePast();
};

}
