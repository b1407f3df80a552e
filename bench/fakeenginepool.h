#pragma once

#include "workload.h"

#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <vector>

namespace Apricot::Bench {

/// What happens in the pool, for the run that drives it.
struct PoolEvent
{
    enum class Kind { PrefillDone, PrefillLost, TakenOver, TakeoverFailed, Token, Done, StreamLost };
    Kind kind = Kind::Token;
    std::size_t request = 0;
    std::uint64_t attempt = 1;
    double tookMs = 0;
    std::int64_t cachedTokens = 0;
};

/// Engine time spent in the measured window, ms.
struct EngineTime
{
    double prefillUrgent = 0;
    double prefillOther = 0;
    double decodeUrgent = 0;
    double decodeOther = 0;
};

/**
 * \class FakeEnginePool
 * \brief Hand-written fake engines in virtual time: serial prefill, results that expire, decode in steps, memory in pieces.
 */
class FakeEnginePool
{
public:
    FakeEnginePool(const Deployment &deployment, const std::vector<OfferedRequest> &requests);

    /// Time of the next thing that happens; infinite if nothing is left.
    absl::Time nextAt() const;

    /// Carries out the next thing and returns what came of it.
    std::vector<PoolEvent> advance();

    void startPrefill(std::size_t request, std::uint64_t attempt, std::size_t engine, std::int64_t extraTokens, absl::Time now);
    void startDecode(std::size_t request, std::uint64_t attempt, std::size_t engine, absl::Time now);
    void cancel(std::size_t request, std::uint64_t attempt, absl::Time now);

    /// The engine dies: what it holds is lost.
    std::vector<PoolEvent> killPrefill(std::size_t engine, absl::Time now);
    std::vector<PoolEvent> killDecode(std::size_t engine, absl::Time now);

    /// Transfers into the engine take \a factor times as long.
    void slowTransfers(std::size_t engine, double factor);

    /// Engine time from now on is counted until \a until.
    void countFrom(absl::Time from, absl::Time until);

    const EngineTime &engineTime() const
    {
        return m_time;
    }

    double prefillMs() const
    {
        return m_prefillMs;
    }

    double wastedPrefillMs() const
    {
        return m_wastedMs;
    }

    double lostWithEngineMs() const
    {
        return m_lostMs;
    }

    /// Highest part of an engine's memory that was in use.
    double peakMemoryShare() const
    {
        return m_peakMemory;
    }

    std::int64_t running(std::size_t engine) const
    {
        return static_cast<std::int64_t>(m_decode[engine].running.size());
    }

    std::int64_t piecesInUse(std::size_t engine) const;
    std::vector<std::uint64_t> cachedPrefixes(std::size_t engine) const;

private:
    struct Job
    {
        std::size_t request = 0;
        std::uint64_t attempt = 1;
        std::int64_t tokens = 0; ///< prompt and tokens already produced
    };

    struct Result
    {
        std::uint64_t attempt = 1;
        absl::Time expires;
        double costMs = 0;
        std::int64_t tokens = 0;
    };

    struct PrefillEngine
    {
        bool alive = true;
        std::deque<Job> queue;
        absl::Time doneAt = absl::InfiniteFuture();
        double costMs = 0;
        std::int64_t cachedTokens = 0;
        std::deque<std::uint64_t> cache;
    };

    struct Running
    {
        std::size_t request = 0;
        std::uint64_t attempt = 1;
        std::int64_t context = 0; ///< tokens in memory
        absl::Time decodesFrom; ///< end of the transfer
        bool announced = false;
    };

    struct DecodeEngine
    {
        bool alive = true;
        std::vector<Running> running; ///< oldest first; each holds a slot and its memory
        std::deque<Job> waiting; ///< take-overs without a slot or memory
        absl::Time stepAt = absl::InfiniteFuture();
        double transferFactor = 1;
    };

    void beginPrefill(PrefillEngine &engine, absl::Time now);
    void finishPrefill(PrefillEngine &engine, std::vector<PoolEvent> *events);
    void step(DecodeEngine &engine, std::vector<PoolEvent> *events);
    void admitWaiting(DecodeEngine &engine, absl::Time now, std::vector<PoolEvent> *events);
    void scheduleStep(DecodeEngine &engine, absl::Time now);
    void countPrefill(std::size_t request, double ms);
    void countToken(std::size_t request, absl::Time now);
    void wasteResult(std::size_t request);
    bool counts(absl::Time now) const
    {
        return now >= m_countFrom && now < m_countUntil;
    }
    static std::int64_t piecesOf(std::int64_t tokens);
    static std::int64_t piecesOf(const DecodeEngine &engine);

    const std::vector<OfferedRequest> &m_requests;
    std::vector<PrefillEngine> m_prefill;
    std::vector<DecodeEngine> m_decode;
    std::map<std::size_t, Result> m_results; ///< finished prefills that were not taken over, by request
    std::vector<std::int64_t> m_produced; ///< tokens each request has received
    EngineTime m_time;
    absl::Time m_now = absl::UnixEpoch();
    absl::Time m_countFrom = absl::InfiniteFuture();
    absl::Time m_countUntil = absl::InfiniteFuture();
    double m_prefillMs = 0;
    double m_wastedMs = 0;
    double m_lostMs = 0;
    double m_peakMemory = 0;
};

}
