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

/// Fraction of a request's token gaps that must be within tokenGapTargetMs.
constexpr double minFractionOfGapsWithinTarget = 0.95;

/// Guaranteed share of engine time of each rank, 0 to 1.
constexpr double rankFloorShare = 0.2;

/// Initial part of the run that is excluded from the figures, because queues and slots are still filling.
constexpr absl::Duration warmUp = absl::Seconds(5);

constexpr absl::Duration tickInterval = absl::Milliseconds(50);
constexpr absl::Duration reportInterval = absl::Milliseconds(250);

/// Time that the run continues after the last arrival, so that admitted requests can finish.
constexpr absl::Duration cooldown = absl::Seconds(20);

/// Time from the loss of an engine until the scheduler is told of it.
constexpr absl::Duration lossDetectionDelay = absl::Milliseconds(500);
constexpr absl::Duration retryDelay = absl::Milliseconds(50);
/// Requests that arrive in this time after an engine loss are excluded from the figures of the engine-loss scenario.
constexpr absl::Duration lossExclusionWindow = absl::Seconds(2);
constexpr std::uint64_t maxAttempts = 3;
constexpr double slowTransferFactor = 8;

/// State of one request as its caller observes it.
struct RequestState
{
    bool refused = false;
    bool admitted = false; ///< engines were assigned
    bool done = false;
    bool failed = false;
    std::uint64_t attempt = 1;
    std::int64_t tokens = 0;
    absl::Time firstToken = absl::InfiniteFuture();
    absl::Time lastToken;
    std::vector<float> gapsMs;
    double measuredDecodeMs = 0; ///< engine time within the measurement window
    double measuredPrefillMs = 0;
};

/// A retry of a request at a given time; the number keeps retries of the same time in order.
struct ScheduledRetry
{
    absl::Time at;
    std::uint64_t number;
    std::size_t request;

    friend bool operator>(const ScheduledRetry &a, const ScheduledRetry &b)
    {
        return std::pair(a.at, a.number) > std::pair(b.at, b.number);
    }
};

/// Runs the scheduler and the fake engines through one workload in virtual time.
class Run
{
public:
    Run(const WorkloadPlan &plan, const Policy &policy)
        : m_plan(plan)
        , m_requests(drawWorkload(plan))
        , m_states(m_requests.size())
        , m_pool(plan.deployment, m_requests)
        , m_scheduler(settings(plan, policy))
        , m_end(absl::UnixEpoch() + plan.length)
        , m_scheduledLoss(absl::InfiniteFuture())
    {
        m_pool.setMeasurementWindow(absl::UnixEpoch() + warmUp, m_end);
        if (plan.scenario == Scenario::SlowTransfer) {
            for (std::size_t i = 0; i < plan.deployment.decodeEngines; i += 4) {
                m_pool.setTransferFactor(i, slowTransferFactor);
            }
        }
        if (plan.scenario == Scenario::EngineLoss || plan.scenario == Scenario::Mixed) {
            m_scheduledLoss = absl::UnixEpoch() + plan.length / 2;
        }
    }

    BenchFigures run()
    {
        const auto started = std::chrono::steady_clock::now();
        while (m_now < m_end + cooldown) {
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
        const Rank rank = Rank::Builder().set(&RankFields::floorShare, rankFloorShare).build();
        settings.ranks = {rank.with(&RankFields::name, RankName("urgent")).with(&RankFields::priority, 0),
                          rank.with(&RankFields::name, RankName("other")).with(&RankFields::priority, 1)};
        return settings;
    }

    void step()
    {
        const absl::Time arrival = m_nextArrival < m_requests.size() ? m_requests[m_nextArrival].arrival : absl::InfiniteFuture();
        const absl::Time retry = m_retries.empty() ? absl::InfiniteFuture() : m_retries.top().at;
        const absl::Time engines = m_pool.nextEventTime();
        m_now = std::min({arrival, retry, engines, m_nextTick, m_nextReport, m_nextRenewal, m_scheduledLoss, m_lossDetectedAt});
        if (m_now == arrival) {
            submit(m_nextArrival++);
        } else if (m_now == engines) {
            for (const PoolEvent &event : m_pool.advance()) {
                handlePoolEvent(event);
            }
        } else if (m_now == retry) {
            const std::size_t request = m_retries.top().request;
            m_retries.pop();
            submit(request);
        } else if (m_now == m_scheduledLoss) {
            loseEngine();
        } else if (m_now == m_lossDetectedAt) {
            m_lossDetectedAt = absl::InfiniteFuture();
            handleEvent(EngineLost{m_lostEngine});
        } else if (m_now == m_nextRenewal) {
            m_nextRenewal += SchedulerTimings::renewalInterval;
            sendRenewals();
        } else if (m_now == m_nextReport) {
            m_nextReport += reportInterval;
            sendReports();
        } else {
            m_nextTick += tickInterval;
            handleEvent(Tick{});
        }
    }

    RequestId requestId(std::size_t request) const
    {
        return RequestId(absl::StrCat(request));
    }

    Work makeWork(std::size_t request) const
    {
        const OfferedRequest &offered = m_requests[request];
        const RequestState &state = m_states[request];
        return Work::Builder()
            .set(&WorkFields::id, requestId(request))
            .set(&WorkFields::attempt, state.attempt)
            .set(&WorkFields::rank, RankName(offered.urgent ? "urgent" : "other"))
            .set(&WorkFields::workspace, WorkspaceName(absl::StrCat("w", offered.workspace)))
            .set(&WorkFields::promptTokens, offered.promptTokens + state.tokens)
            .set(&WorkFields::maxTokens, EngineFigures::maxTokens - state.tokens)
            .set(&WorkFields::prefixHash, offered.prefixHash)
            .set(&WorkFields::prefixTokens, offered.prefixTokens)
            .set(&WorkFields::arrivalTime, offered.arrival)
            .set(&WorkFields::resumed, state.tokens > 0)
            .build();
    }

    void submit(std::size_t request)
    {
        handleEvent(WorkArrived{makeWork(request)});
    }

    void handleEvent(const Event &event)
    {
        ++m_decisions;
        for (const Action &action : m_scheduler.handle(event, m_now)) {
            std::visit(
                Overloaded{
                    [&](const StartPrefill &it) { startPrefill(it); },
                    [&](const StartDecode &it) { m_pool.startDecode(requestIndex(it.id), it.attempt, engineIndex(it.decode), m_now); },
                    [&](const Refuse &it) { refuse(requestIndex(it.id), it.attempt); },
                    [&](const CancelOnEngine &it) { m_pool.cancel(requestIndex(it.id), it.attempt, m_now); },
                },
                action);
        }
    }

    void startPrefill(const StartPrefill &action)
    {
        const std::size_t request = requestIndex(action.id);
        m_states[request].admitted = true;
        const std::size_t engine = engineIndex(action.prefill);
        if (action.prefill == m_lostEngine) {
            // The owner has not detected the loss of the engine yet, so the coordinator's connection attempt fails.
            retryLater(request);
            m_followUps.emplace_back(PrefillFailed{action.id, action.attempt});
            return;
        }
        m_pool.startPrefill(request, action.attempt, engine, m_states[request].tokens, m_now);
    }

    void refuse(std::size_t request, std::uint64_t attempt)
    {
        RequestState &state = m_states[request];
        if (attempt != state.attempt) {
            return;
        }
        if (state.admitted) {
            state.failed = true;
        } else {
            state.refused = true;
        }
    }

    void handlePoolEvent(const PoolEvent &event)
    {
        RequestState &state = m_states[event.request];
        if (event.attempt != state.attempt) {
            return;
        }
        const RequestId id = requestId(event.request);
        switch (event.kind) {
        case PoolEvent::Kind::PrefillDone:
            state.measuredPrefillMs += isMeasured() ? event.tookMs : 0;
            handleEvent(PrefillFinished{id, event.attempt, absl::Milliseconds(event.tookMs), event.cachedTokens});
            break;
        case PoolEvent::Kind::PrefillLost:
            handleEvent(PrefillFailed{id, event.attempt});
            retryLater(event.request);
            break;
        case PoolEvent::Kind::TransferStarted:
            handleEvent(DecodeStarted{id, event.attempt, absl::Milliseconds(event.tookMs)});
            break;
        case PoolEvent::Kind::TransferFailed:
        case PoolEvent::Kind::StreamLost:
            handleEvent(KvTransferFailed{id, event.attempt});
            retryLater(event.request);
            break;
        case PoolEvent::Kind::Token:
            recordToken(state);
            break;
        case PoolEvent::Kind::Done:
            state.done = true;
            handleEvent(WorkFinished{id, event.attempt, state.tokens});
            break;
        }
        flushFollowUps();
    }

    void flushFollowUps()
    {
        while (!m_followUps.empty()) {
            const Event event = m_followUps.back();
            m_followUps.pop_back();
            handleEvent(event);
        }
    }

    void recordToken(RequestState &state)
    {
        if (state.tokens == 0) {
            state.firstToken = m_now;
        } else {
            state.gapsMs.push_back(static_cast<float>(absl::ToDoubleMilliseconds(m_now - state.lastToken)));
        }
        state.lastToken = m_now;
        ++state.tokens;
        state.measuredDecodeMs += isMeasured() ? decodeMs(1) : 0;
    }

    void retryLater(std::size_t request)
    {
        RequestState &state = m_states[request];
        if (state.attempt >= maxAttempts) {
            state.failed = true;
            return;
        }
        ++state.attempt;
        m_retries.push(ScheduledRetry{m_now + retryDelay, m_nextRetryNumber++, request});
    }

    void loseEngine()
    {
        m_lossTime = m_scheduledLoss;
        m_scheduledLoss = absl::InfiniteFuture();
        m_lossDetectedAt = m_now + lossDetectionDelay;
        const bool decode = m_plan.seed % 2 == 1;
        m_lostEngine = EngineId(decode ? "d0" : "p0");
        const std::vector<PoolEvent> events = decode ? m_pool.failDecodeEngine(0, m_now) : m_pool.failPrefillEngine(0, m_now);
        for (const PoolEvent &event : events) {
            handlePoolEvent(event);
        }
    }

    void sendRenewals()
    {
        for (std::size_t i = m_firstUnfinished; i < m_nextArrival; ++i) {
            const RequestState &state = m_states[i];
            const bool ended = state.done || state.failed || state.refused;
            m_firstUnfinished += ended && i == m_firstUnfinished ? 1 : 0;
            if (!ended && state.admitted && m_scheduler.hasReservation(requestId(i))) {
                handleEvent(WorkRenewed{makeWork(i), EngineId(), EngineId(), state.tokens > 0, state.tokens});
            }
        }
    }

    void sendReports()
    {
        for (std::size_t i = 0; i < m_plan.deployment.prefillEngines; ++i) {
            EngineReported report;
            report.engine = EngineId(absl::StrCat("p", i));
            report.cachedPrefixes = m_pool.cachedPrefixes(i);
            if (!report.cachedPrefixes.empty()) {
                report.cachedPrefixes.pop_back(); // simulates a lost cache event
            }
            handleEvent(report);
        }
        for (std::size_t i = 0; i < m_plan.deployment.decodeEngines; ++i) {
            EngineReported report;
            report.engine = EngineId(absl::StrCat("d", i));
            report.running = m_pool.running(i);
            report.piecesInUse = m_pool.piecesInUse(i);
            handleEvent(report);
        }
    }

    bool isMeasured() const
    {
        return m_now >= absl::UnixEpoch() + warmUp && m_now < m_end;
    }

    static std::size_t requestIndex(const RequestId &id)
    {
        std::size_t number = 0;
        return absl::SimpleAtoi(id.text(), &number) ? number : 0;
    }

    static std::size_t engineIndex(const EngineId &engine)
    {
        std::size_t number = 0;
        return absl::SimpleAtoi(engine.text().substr(1), &number) ? number : 0;
    }

    bool meetsTargets(std::size_t request) const
    {
        const RequestState &state = m_states[request];
        if (!state.done || state.firstToken - m_requests[request].arrival > firstTokenTarget) {
            return false;
        }
        const auto within = std::count_if(state.gapsMs.begin(), state.gapsMs.end(), [](float it) { return it <= tokenGapTargetMs; });
        return static_cast<double>(within) >= minFractionOfGapsWithinTarget * static_cast<double>(state.gapsMs.size());
    }

    static double percentile95(std::vector<float> values)
    {
        if (values.empty()) {
            return 0;
        }
        const auto position = values.begin() + static_cast<std::ptrdiff_t>(static_cast<double>(values.size() - 1) * 0.95);
        std::nth_element(values.begin(), position, values.end());
        return *position;
    }

    BenchFigures measure() const;

    WorkloadPlan m_plan;
    std::vector<OfferedRequest> m_requests;
    std::vector<RequestState> m_states;
    FakeEnginePool m_pool;
    SliceScheduler m_scheduler;
    absl::Time m_end;
    absl::Time m_scheduledLoss;
    absl::Time m_lossTime = absl::InfiniteFuture();
    absl::Time m_lossDetectedAt = absl::InfiniteFuture();
    EngineId m_lostEngine;
    absl::Time m_now = absl::UnixEpoch();
    absl::Time m_nextTick = absl::UnixEpoch() + tickInterval;
    absl::Time m_nextReport = absl::UnixEpoch() + reportInterval;
    absl::Time m_nextRenewal = absl::UnixEpoch() + SchedulerTimings::renewalInterval;
    std::size_t m_nextArrival = 0;
    std::size_t m_firstUnfinished = 0;
    std::priority_queue<ScheduledRetry, std::vector<ScheduledRetry>, std::greater<>> m_retries;
    std::vector<Event> m_followUps;
    std::uint64_t m_nextRetryNumber = 0;
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
        const RequestState &state = m_states[i];
        const bool good = meetsTargets(i);
        if (request.arrival < absl::UnixEpoch() + warmUp) {
            continue;
        }
        // Requests that arrived during the warm-up are excluded, so the engine time of good requests cannot exceed the
        // offered engine time or the window.
        goodDecodeMs += good ? state.measuredDecodeMs : 0;
        goodPrefillMs += good ? state.measuredPrefillMs : 0;
        offeredDecodeMs += decodeMs(request.outputTokens);
        offeredPrefillMs += minPrefillMs(request);
        const bool afterLoss = request.arrival >= m_lossTime && request.arrival < m_lossTime + lossExclusionWindow;
        if (afterLoss && m_plan.scenario == Scenario::EngineLoss) {
            continue;
        }
        Sums &sums = request.urgent ? urgent : other;
        sums.offered += 1;
        sums.good += good ? 1 : 0;
        sums.refused += state.refused ? 1 : 0;
        sums.admitted += state.admitted ? 1 : 0;
        if (state.firstToken != absl::InfiniteFuture()) {
            firstTokens.push_back(static_cast<float>(absl::ToDoubleMilliseconds(state.firstToken - request.arrival)));
        }
        gaps.insert(gaps.end(), state.gapsMs.begin(), state.gapsMs.end());
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
    figures.floorShare = rankFloorShare;
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
