#include "coordination/slicescheduler.h"

#include <absl/strings/str_cat.h>
#include <benchmark/benchmark.h>

#include <cstdint>
#include <deque>

using namespace Apricot;

namespace {

/// Number of requests waiting at the owner.
constexpr int queueLength = 1000;

/**
 * \class BusyOwner
 * \brief A slice owner with all slots in use and a long queue, and the events that its engines would send.
 */
class BusyOwner
{
public:
    explicit BusyOwner(std::int64_t engines)
        : m_scheduler(settings(engines))
    {
        const std::int64_t slots = engines / 2 * PoolFields().slots;
        for (std::int64_t i = 0; i < slots + queueLength; ++i) {
            addRequest();
        }
        finishPrefills();
        while (m_waiting < queueLength) {
            addRequest();
        }
    }

    /// Adds one request to the owner's queue.
    void addRequest()
    {
        const Work work = Work::Builder()
                              .set(&WorkFields::id, RequestId(absl::StrCat("request-", m_nextNumber)))
                              .set(&WorkFields::rank, RankName(m_nextNumber % 2 == 0 ? "urgent" : "other"))
                              .set(&WorkFields::workspace, WorkspaceName(absl::StrCat("w", m_nextNumber % 40)))
                              .set(&WorkFields::promptTokens, 200 + m_nextNumber * 37 % 1500)
                              .set(&WorkFields::maxTokens, 400)
                              .set(&WorkFields::prefixHash, static_cast<std::uint64_t>(m_nextNumber % 50))
                              .set(&WorkFields::arrivalTime, m_now)
                              .build();
        ++m_nextNumber;
        ++m_waiting;
        applyActions(m_scheduler.handle(WorkArrived{work}, m_now));
    }

    /// Finishes the oldest decoding request, so that a waiting one can start.
    void finishRequest()
    {
        const RequestId id = m_decoding.front();
        m_decoding.pop_front();
        applyActions(m_scheduler.handle(WorkFinished{id, 1, 140}, m_now));
    }

    /// Finishes all running prefills, 1 ms apart.
    void finishPrefills()
    {
        while (!m_prefilling.empty()) {
            const RequestId id = m_prefilling.front();
            m_prefilling.pop_front();
            m_now += absl::Milliseconds(1);
            applyActions(m_scheduler.handle(PrefillFinished{id, 1, absl::Milliseconds(60), 0}, m_now));
        }
    }

private:
    static SchedulerSettings settings(std::int64_t engines)
    {
        SchedulerSettings settings;
        LadderPolicy ladder;
        ladder.queueLimit = false;
        settings.policy = ladder;
        settings.decodePool = settings.decodePool.with(&PoolFields::role, PoolRole::Decode);
        for (std::int64_t i = 0; i < engines / 2; ++i) {
            settings.prefillEndpoints.push_back(Endpoint::Builder().set(&EndpointFields::name, absl::StrCat("p", i)).build());
            settings.decodeEndpoints.push_back(Endpoint::Builder().set(&EndpointFields::name, absl::StrCat("d", i)).build());
        }
        const Rank rank = Rank::Builder().set(&RankFields::floorShare, 0.2).set(&RankFields::firstTokenMs, 600000).build();
        settings.ranks = {rank.with(&RankFields::name, RankName("urgent")),
                          rank.with(&RankFields::name, RankName("other")).with(&RankFields::priority, 1)};
        return settings;
    }

    void applyActions(const Actions &actions)
    {
        for (const Action &action : actions) {
            if (const auto *prefill = std::get_if<StartPrefill>(&action)) {
                m_prefilling.push_back(prefill->id);
                --m_waiting;
            } else if (const auto *decode = std::get_if<StartDecode>(&action)) {
                m_decoding.push_back(decode->id);
            }
        }
    }

    SliceScheduler m_scheduler;
    absl::Time m_now = absl::UnixEpoch();
    std::int64_t m_nextNumber = 0;
    std::int64_t m_waiting = 0;
    std::deque<RequestId> m_prefilling;
    std::deque<RequestId> m_decoding;
};

/// Measures the decisions for one request: an arrival, the end of another request, the start of a waiting one, and a KV transfer.
void decideOneRequest(benchmark::State &state)
{
    BusyOwner owner(state.range(0));
    for (auto step : state) {
        owner.addRequest();
        owner.finishRequest();
        owner.finishPrefills();
    }
}

BENCHMARK(decideOneRequest)->RangeMultiplier(2)->Range(4, 256)->Repetitions(5)->ReportAggregatesOnly(true)->Unit(benchmark::kMicrosecond);

// For instruction counts with callgrind: the difference between the two runs, divided by 2,000, is the cost of one request.
BENCHMARK(decideOneRequest)->Name("counted1000")->Arg(32)->Iterations(1000);
BENCHMARK(decideOneRequest)->Name("counted3000")->Arg(32)->Iterations(3000);

}

BENCHMARK_MAIN();
