#include "benchrun.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace Apricot::Bench {

namespace {

constexpr absl::Duration firstTokenTarget = absl::Milliseconds(1200);
constexpr double tokenGapTargetMs = 25;

/// Part of a request's gaps that has to be within the target.
constexpr double gapsWithinTarget = 0.95;

constexpr double floorShareOfRanks = 0.2;

/// Figures are taken without the first seconds, in which queues and slots fill.
constexpr absl::Duration warmUp = absl::Seconds(5);

constexpr absl::Duration tickInterval = absl::Milliseconds(50);
constexpr absl::Duration reportInterval = absl::Milliseconds(250);

/// After the last arrival the run goes on for this long.
constexpr absl::Duration tail = absl::Seconds(20);

constexpr absl::Duration lossDetection = absl::Milliseconds(500);
constexpr absl::Duration retryPause = absl::Milliseconds(50);
constexpr absl::Duration afterLossExcluded = absl::Seconds(2);
constexpr std::uint64_t mostAttempts = 3;
constexpr double slowTransferFactor = 8;

/// What the caller of a request has seen.
struct Seen
{
    bool refused = false;
    bool admitted = false; ///< was given engines
    bool done = false;
    bool failed = false;
    std::uint64_t attempt = 1;
    std::int64_t tokens = 0;
    absl::Time firstToken = absl::InfiniteFuture();
    absl::Time lastToken;
    std::vector<float> gapsMs;
    double countedDecodeMs = 0; ///< within the measured window
    double countedPrefillMs = 0;
};

/// Something that happens at a given time outside of the engines.
struct Due
{
    absl::Time at;
    std::uint64_t number;
    std::size_t request;

    friend bool operator>(const Due &a, const Due &b)
    {
        return std::pair(a.at, a.number) > std::pair(b.at, b.number);
    }
};

/// Drives the scheduler and the fake engines through one workload.
class Run
{
public:
    Run(const WorkloadPlan &plan, const Policy &policy)
        : m_plan(plan)
        , m_requests(drawWorkload(plan))
        , m_seen(m_requests.size())
        , m_pool(plan.deployment, m_requests)
        , m_scheduler(settings(plan, policy))
        , m_end(absl::UnixEpoch() + plan.length)
        , m_lossAt(absl::InfiniteFuture())
    {
        m_pool.countFrom(absl::UnixEpoch() + warmUp, m_end);
        if (plan.scenario == Scenario::SlowTransfer) {
            for (std::size_t i = 0; i < plan.deployment.decodeEngines; i += 4) {
                m_pool.slowTransfers(i, slowTransferFactor);
            }
        }
        if (plan.scenario == Scenario::EngineLoss || plan.scenario == Scenario::Mixed) {
            m_lossAt = absl::UnixEpoch() + plan.length / 2;
        }
    }

    BenchFigures run()
    {
        const auto started = std::chrono::steady_clock::now();
        while (m_now < m_end + tail) {
            step();
        }
        const std::chrono::duration<double> took = std::chrono::steady_clock::now() - started;
        BenchFigures figures = measure();
        figures.decisionsPerSecond = static_cast<double>(m_decisions) / took.count();
        return figures;
    }

private:
    static SchedulerSettings settings(const WorkloadPlan &plan, const Policy &policy)
    {
        SchedulerSettings settings;
        settings.policy = policy;
        const Pool common = Pool::Builder()
                                .set(&PoolFields::slots, EngineFigures::slots)
                                .set(&PoolFields::pieces, EngineFigures::pieces)
                                .set(&PoolFields::tokensPerPiece, EngineFigures::tokensPerPiece)
                                .build();
        settings.prefillPool = common.with(&PoolFields::role, PoolRole::Prefill);
        settings.decodePool = common.with(&PoolFields::role, PoolRole::Decode);
        for (std::size_t i = 0; i < plan.deployment.prefillEngines; ++i) {
            settings.prefillEndpoints.push_back(Endpoint::Builder().set(&EndpointFields::name, absl::StrCat("p", i)).build());
        }
        for (std::size_t i = 0; i < plan.deployment.decodeEngines; ++i) {
            settings.decodeEndpoints.push_back(Endpoint::Builder().set(&EndpointFields::name, absl::StrCat("d", i)).build());
        }
        const Rank rank = Rank::Builder().set(&RankFields::floorShare, floorShareOfRanks).build();
        settings.ranks = {rank.with(&RankFields::name, RankName("urgent")).with(&RankFields::priority, 0),
                          rank.with(&RankFields::name, RankName("other")).with(&RankFields::priority, 1)};
        return settings;
    }

    void step()
    {
        const absl::Time arrival = m_nextArrival < m_requests.size() ? m_requests[m_nextArrival].arrival : absl::InfiniteFuture();
        const absl::Time retry = m_retries.empty() ? absl::InfiniteFuture() : m_retries.top().at;
        const absl::Time engines = m_pool.nextAt();
        m_now = std::min({arrival, retry, engines, m_nextTick, m_nextReport, m_nextRenewal, m_lossAt, m_lossSeenAt});
        if (m_now == arrival) {
            offer(m_nextArrival++);
        } else if (m_now == engines) {
            for (const PoolEvent &event : m_pool.advance()) {
                take(event);
            }
        } else if (m_now == retry) {
            const std::size_t request = m_retries.top().request;
            m_retries.pop();
            offer(request);
        } else if (m_now == m_lossAt) {
            loseEngine();
        } else if (m_now == m_lossSeenAt) {
            m_lossSeenAt = absl::InfiniteFuture();
            decide(EngineLost{m_lostEngine});
        } else if (m_now == m_nextRenewal) {
            m_nextRenewal += SchedulerTimings::renewalInterval;
            renewAll();
        } else if (m_now == m_nextReport) {
            m_nextReport += reportInterval;
            reportAll();
        } else {
            m_nextTick += tickInterval;
            decide(Tick{});
        }
    }

    RequestId idOf(std::size_t request) const
    {
        return RequestId(absl::StrCat(request));
    }

    Work workOf(std::size_t request) const
    {
        const OfferedRequest &offered = m_requests[request];
        const Seen &seen = m_seen[request];
        return Work::Builder()
            .set(&WorkFields::id, idOf(request))
            .set(&WorkFields::attempt, seen.attempt)
            .set(&WorkFields::rank, RankName(offered.urgent ? "urgent" : "other"))
            .set(&WorkFields::workspace, WorkspaceName(absl::StrCat("w", offered.workspace)))
            .set(&WorkFields::promptTokens, offered.promptTokens + seen.tokens)
            .set(&WorkFields::maxTokens, EngineFigures::maxTokens - seen.tokens)
            .set(&WorkFields::prefixHash, offered.prefixHash)
            .set(&WorkFields::prefixTokens, offered.prefixTokens)
            .set(&WorkFields::arrivalTime, offered.arrival)
            .set(&WorkFields::resumed, seen.tokens > 0)
            .build();
    }

    void offer(std::size_t request)
    {
        decide(WorkArrived{workOf(request)});
    }

    void decide(const Event &event)
    {
        ++m_decisions;
        for (const Action &action : m_scheduler.handle(event, m_now)) {
            std::visit(Overloaded{
                           [&](const StartPrefill &it) { startPrefill(it); },
                           [&](const StartDecode &it) { m_pool.startDecode(requestOf(it.id), it.attempt, engineOf(it.decode), m_now); },
                           [&](const Refuse &it) { refuse(requestOf(it.id), it.attempt); },
                           [&](const CancelOnEngine &it) { m_pool.cancel(requestOf(it.id), it.attempt, m_now); },
                       },
                       action);
        }
    }

    void startPrefill(const StartPrefill &order)
    {
        const std::size_t request = requestOf(order.id);
        m_seen[request].admitted = true;
        const std::size_t engine = engineOf(order.prefill);
        if (order.prefill == m_lostEngine) {
            // The owner does not know yet that the engine is gone: the coordinator's connection fails.
            retryLater(request);
            m_followUps.emplace_back(PrefillFailed{order.id, order.attempt});
            return;
        }
        m_pool.startPrefill(request, order.attempt, engine, m_seen[request].tokens, m_now);
    }

    void refuse(std::size_t request, std::uint64_t attempt)
    {
        Seen &seen = m_seen[request];
        if (attempt != seen.attempt) {
            return;
        }
        if (seen.admitted) {
            seen.failed = true;
        } else {
            seen.refused = true;
        }
    }

    void take(const PoolEvent &event)
    {
        Seen &seen = m_seen[event.request];
        if (event.attempt != seen.attempt) {
            return;
        }
        const RequestId id = idOf(event.request);
        switch (event.kind) {
        case PoolEvent::Kind::PrefillDone:
            seen.countedPrefillMs += inWindow() ? event.tookMs : 0;
            decide(PrefillFinished{id, event.attempt, absl::Milliseconds(event.tookMs), event.cachedTokens});
            break;
        case PoolEvent::Kind::PrefillLost:
            decide(PrefillFailed{id, event.attempt});
            retryLater(event.request);
            break;
        case PoolEvent::Kind::TakenOver:
            decide(DecodeStarted{id, event.attempt, absl::Milliseconds(event.tookMs)});
            break;
        case PoolEvent::Kind::TakeoverFailed:
        case PoolEvent::Kind::StreamLost:
            decide(KvTransferFailed{id, event.attempt});
            retryLater(event.request);
            break;
        case PoolEvent::Kind::Token:
            takeToken(seen);
            break;
        case PoolEvent::Kind::Done:
            seen.done = true;
            decide(WorkFinished{id, event.attempt, seen.tokens});
            break;
        }
        flushFollowUps();
    }

    void flushFollowUps()
    {
        while (!m_followUps.empty()) {
            const Event event = m_followUps.back();
            m_followUps.pop_back();
            decide(event);
        }
    }

    void takeToken(Seen &seen)
    {
        if (seen.tokens == 0) {
            seen.firstToken = m_now;
        } else {
            seen.gapsMs.push_back(static_cast<float>(absl::ToDoubleMilliseconds(m_now - seen.lastToken)));
        }
        seen.lastToken = m_now;
        ++seen.tokens;
        seen.countedDecodeMs += inWindow() ? decodeMs(1) : 0;
    }

    void retryLater(std::size_t request)
    {
        Seen &seen = m_seen[request];
        if (seen.attempt >= mostAttempts) {
            seen.failed = true;
            return;
        }
        ++seen.attempt;
        m_retries.push(Due{m_now + retryPause, m_dueNumber++, request});
    }

    void loseEngine()
    {
        m_lossTime = m_lossAt;
        m_lossAt = absl::InfiniteFuture();
        m_lossSeenAt = m_now + lossDetection;
        const bool decode = m_plan.seed % 2 == 1;
        m_lostEngine = EngineId(decode ? "d0" : "p0");
        const std::vector<PoolEvent> events = decode ? m_pool.killDecode(0, m_now) : m_pool.killPrefill(0, m_now);
        for (const PoolEvent &event : events) {
            take(event);
        }
    }

    void renewAll()
    {
        for (std::size_t i = m_firstOpen; i < m_nextArrival; ++i) {
            const Seen &seen = m_seen[i];
            const bool ended = seen.done || seen.failed || seen.refused;
            m_firstOpen += ended && i == m_firstOpen ? 1 : 0;
            if (!ended && seen.admitted && m_scheduler.hasReservation(idOf(i))) {
                decide(WorkRenewed{workOf(i), EngineId(), EngineId(), seen.tokens > 0, seen.tokens});
            }
        }
    }

    void reportAll()
    {
        for (std::size_t i = 0; i < m_plan.deployment.prefillEngines; ++i) {
            EngineReported report;
            report.engine = EngineId(absl::StrCat("p", i));
            report.cachedPrefixes = m_pool.cachedPrefixes(i);
            if (!report.cachedPrefixes.empty()) {
                report.cachedPrefixes.pop_back(); // a gap in the cache events
            }
            decide(report);
        }
        for (std::size_t i = 0; i < m_plan.deployment.decodeEngines; ++i) {
            EngineReported report;
            report.engine = EngineId(absl::StrCat("d", i));
            report.running = m_pool.running(i);
            report.piecesInUse = m_pool.piecesInUse(i);
            decide(report);
        }
    }

    bool inWindow() const
    {
        return m_now >= absl::UnixEpoch() + warmUp && m_now < m_end;
    }

    static std::size_t requestOf(const RequestId &id)
    {
        std::size_t number = 0;
        return absl::SimpleAtoi(id.text(), &number) ? number : 0;
    }

    static std::size_t engineOf(const EngineId &engine)
    {
        std::size_t number = 0;
        return absl::SimpleAtoi(engine.text().substr(1), &number) ? number : 0;
    }

    bool isGood(std::size_t request) const
    {
        const Seen &seen = m_seen[request];
        if (!seen.done || seen.firstToken - m_requests[request].arrival > firstTokenTarget) {
            return false;
        }
        const auto within = std::count_if(seen.gapsMs.begin(), seen.gapsMs.end(), [](float it) { return it <= tokenGapTargetMs; });
        return static_cast<double>(within) >= gapsWithinTarget * static_cast<double>(seen.gapsMs.size());
    }

    static double percentile95(std::vector<float> values)
    {
        if (values.empty()) {
            return 0;
        }
        const auto place = values.begin() + static_cast<std::ptrdiff_t>(static_cast<double>(values.size() - 1) * 0.95);
        std::nth_element(values.begin(), place, values.end());
        return *place;
    }

    BenchFigures measure() const;

    WorkloadPlan m_plan;
    std::vector<OfferedRequest> m_requests;
    std::vector<Seen> m_seen;
    FakeEnginePool m_pool;
    SliceScheduler m_scheduler;
    absl::Time m_end;
    absl::Time m_lossAt;
    absl::Time m_lossTime = absl::InfiniteFuture();
    absl::Time m_lossSeenAt = absl::InfiniteFuture();
    EngineId m_lostEngine;
    absl::Time m_now = absl::UnixEpoch();
    absl::Time m_nextTick = absl::UnixEpoch() + tickInterval;
    absl::Time m_nextReport = absl::UnixEpoch() + reportInterval;
    absl::Time m_nextRenewal = absl::UnixEpoch() + SchedulerTimings::renewalInterval;
    std::size_t m_nextArrival = 0;
    std::size_t m_firstOpen = 0;
    std::priority_queue<Due, std::vector<Due>, std::greater<>> m_retries;
    std::vector<Event> m_followUps;
    std::uint64_t m_dueNumber = 0;
    std::uint64_t m_decisions = 0;
};

BenchFigures Run::measure() const
{
    struct Sums
    {
        double offered = 0;
        double good = 0;
        double refused = 0;
        double admitted = 0;
    };
    Sums urgent;
    Sums other;
    std::vector<float> firstTokens;
    std::vector<float> gaps;
    double goodDecodeMs = 0;
    double goodPrefillMs = 0;
    double offeredDecodeMs = 0;
    double offeredPrefillMs = 0;
    for (std::size_t i = 0; i < m_requests.size(); ++i) {
        const OfferedRequest &request = m_requests[i];
        const Seen &seen = m_seen[i];
        const bool good = isGood(i);
        if (request.arrival < absl::UnixEpoch() + warmUp) {
            continue;
        }
        // Work of earlier arrivals does not count, so neither the offer nor the engines' time can be passed.
        goodDecodeMs += good ? seen.countedDecodeMs : 0;
        goodPrefillMs += good ? seen.countedPrefillMs : 0;
        offeredDecodeMs += decodeMs(request.outputTokens);
        offeredPrefillMs += leastPrefillMs(request);
        const bool afterLoss = request.arrival >= m_lossTime && request.arrival < m_lossTime + afterLossExcluded;
        if (afterLoss && m_plan.scenario == Scenario::EngineLoss) {
            continue;
        }
        Sums &sums = request.urgent ? urgent : other;
        sums.offered += 1;
        sums.good += good ? 1 : 0;
        sums.refused += seen.refused ? 1 : 0;
        sums.admitted += seen.admitted ? 1 : 0;
        if (seen.firstToken != absl::InfiniteFuture()) {
            firstTokens.push_back(static_cast<float>(absl::ToDoubleMilliseconds(seen.firstToken - request.arrival)));
        }
        gaps.insert(gaps.end(), seen.gapsMs.begin(), seen.gapsMs.end());
    }
    const auto ratio = [](double part, double whole) {
        return whole > 0 ? part / whole : 0.0;
    };
    const double windowMs = absl::ToDoubleMilliseconds(m_plan.length - warmUp);
    const EngineTime &time = m_pool.engineTime();
    const double urgentTime = time.prefillUrgent + time.decodeUrgent;
    const double otherTime = time.prefillOther + time.decodeOther;
    BenchFigures figures;
    figures.goodputShare = ratio(urgent.good + other.good, urgent.offered + other.offered);
    figures.urgentGoodputShare = ratio(urgent.good, urgent.offered);
    figures.otherRankShare = ratio(other.good, other.offered);
    if (m_plan.scenario == Scenario::FloodLow) {
        figures.otherRankShare = ratio(urgentTime, urgentTime + otherTime);
    } else if (m_plan.scenario == Scenario::FloodUrgent) {
        figures.otherRankShare = ratio(otherTime, urgentTime + otherTime);
    }
    figures.floorShare = floorShareOfRanks;
    figures.wastedPrefillShare = ratio(m_pool.wastedPrefillMs(), m_pool.prefillMs());
    figures.refusedEarlyShare = ratio(urgent.refused + other.refused, urgent.offered + other.offered);
    figures.ttftP95Ms = percentile95(std::move(firstTokens));
    figures.tokenGapP95Ms = percentile95(std::move(gaps));
    figures.peakMemoryShare = m_pool.peakMemoryShare();
    figures.capacityBound = capacityBound(m_plan.deployment);
    figures.admittedGoodShare = ratio(urgent.good + other.good, urgent.admitted + other.admitted);
    if (decodeIsBottleneck(m_plan.deployment)) {
        figures.goodputOfBound
            = ratio(goodDecodeMs, std::min(offeredDecodeMs, windowMs * static_cast<double>(m_plan.deployment.decodeEngines)));
    } else {
        figures.goodputOfBound
            = ratio(goodPrefillMs, std::min(offeredPrefillMs, windowMs * static_cast<double>(m_plan.deployment.prefillEngines)));
    }
    return figures;
}

}

BenchFigures runBench(const WorkloadPlan &plan, const Policy &policy)
{
    return Run(plan, policy).run();
}

std::string figuresLine(const BenchFigures &it)
{
    return absl::StrFormat(
        "{\"goodputShare\":%.4f,\"urgentGoodputShare\":%.4f,\"otherRankShare\":%.4f,\"floorShare\":%.2f,\"wastedPrefillShare\":%.4f,"
        "\"refusedEarlyShare\":%.4f,\"ttftP95Ms\":%.1f,\"tokenGapP95Ms\":%.2f,\"peakMemoryShare\":%.4f,\"decisionsPerSecond\":%.0f,"
        "\"capacityBound\":%.2f,\"goodputOfBound\":%.4f,\"admittedGoodShare\":%.4f}",
        it.goodputShare, it.urgentGoodputShare, it.otherRankShare, it.floorShare, it.wastedPrefillShare, it.refusedEarlyShare, it.ttftP95Ms,
        it.tokenGapP95Ms, it.peakMemoryShare, it.decisionsPerSecond, it.capacityBound, it.goodputOfBound, it.admittedGoodShare);
}

}
