#include "entry/fairload.h"

#include <algorithm>
#include <utility>

namespace Apricot {

namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
constexpr absl::Duration stepTime = absl::Milliseconds(5);
constexpr absl::Duration tokenTime = absl::Milliseconds(5);
constexpr absl::Duration prefillTime = absl::Milliseconds(150);
constexpr absl::Duration deadline = absl::Seconds(14);
constexpr absl::Duration lateMaxWait = absl::Milliseconds(2200);
constexpr std::int64_t engineTokens = 10000;

EngineEntry engine(const std::string &id, EngineStage stage)
{
    EngineEntryFields fields;
    fields.id = EngineId(id);
    fields.service = ServiceName("s");
    fields.dataCentre = DataCentreName("here");
    fields.slots = 32;
    fields.stage = stage;
    fields.startedMs = 1;
    return EngineEntry(fields);
}

ServicePool makePool(int decodeEngines)
{
    ModelEngineSpecFields model;
    model.slots = 32;
    model.kvCapacityTokens = engineTokens;
    model.handleLifetime = absl::Milliseconds(500);
    ServicePool pool;
    pool.setModel(ModelEngineSpec(model));
    for (int i = 0; i < decodeEngines; ++i) {
        pool.apply(engine("p" + std::to_string(i), EngineStage::Prefill));
        pool.apply(engine("d" + std::to_string(i), EngineStage::Decode));
    }
    return pool;
}

/// Moves the entries of \a map that are due at \a now out of it.
template<class Value>
std::vector<Value> takeDue(std::multimap<absl::Time, Value> &map, absl::Time now)
{
    std::vector<Value> due;
    const auto end = map.upper_bound(now);
    for (auto it = map.begin(); it != end; ++it) {
        due.push_back(std::move(it->second));
    }
    map.erase(map.begin(), end);
    return due;
}

}

FairLoad::FairLoad(SimulatedDeployment deployment, std::vector<WorkspaceLoad> loads)
    : m_deployment(deployment)
    , m_loads(std::move(loads))
    , m_random(deployment.seed)
    , m_pools(static_cast<std::size_t>(deployment.nodes), makePool(deployment.decodeEngines))
    , m_nextReport(start)
{
}

double FairLoad::random()
{
    constexpr double range = 4294967296.0;
    return static_cast<double>(m_random()) / range;
}

void FairLoad::run()
{
    const absl::Time end = start + m_deployment.length;
    for (absl::Time now = start; now < end; now += stepTime) {
        for (std::size_t i = 0; i < m_loads.size(); ++i) {
            // At most one call of a workspace arrives in a step, which is accurate for rates far below 200 a second.
            if (random() < m_loads[i].callsPerSecond(now - start) * absl::ToDoubleSeconds(stepTime)) {
                Call call;
                call.load = i;
                call.firstArrival = now;
                m_calls.push_back(call);
                m_arrivals.emplace(now, m_calls.size() - 1);
            }
        }
        step(now);
    }
    for (absl::Time now = end; now < end + deadline; now += stepTime) {
        step(now);
    }
}

void FairLoad::step(absl::Time now)
{
    for (const Report &report : takeDue(m_reports, now)) {
        for (std::size_t node = 0; node < m_pools.size(); ++node) {
            if (node != report.node) {
                m_pools[node].setPeerLoads(NodeId("n" + std::to_string(report.node)), report.loads, report.waiting, now);
                grant(node, now);
            }
        }
    }
    for (const Run &run : takeDue(m_prefillEnds, now)) {
        if (run.placement.prefill) {
            m_pools[run.node].release(run.placement.reservations.back());
        }
    }
    std::set<std::size_t> released;
    for (const Run &run : takeDue(m_runEnds, now)) {
        m_pools[run.node].release(run.placement.reservations.front());
        m_usedTokens[run.placement.decode->id] -= run.tokens;
        released.insert(run.node);
    }
    for (const std::size_t node : released) {
        grant(node, now);
    }
    for (const std::size_t id : takeDue(m_waitEnds, now)) {
        if (m_calls[id].waitEnd <= now) {
            m_pools[m_calls[id].node].removeWaiter(id + 1);
            refuse(id, now);
        }
    }
    for (const std::size_t id : takeDue(m_arrivals, now)) {
        arrive(id, now);
    }
    sendReports(now);
}

void FairLoad::arrive(std::size_t id, absl::Time now)
{
    Call &call = m_calls[id];
    const WorkspaceLoad &load = m_loads[call.load];
    call.arrival = now;
    call.node = static_cast<std::size_t>(random() * static_cast<double>(m_pools.size()));
    ModelDemand demand;
    demand.nearTo = DataCentreName("here");
    demand.promptTokens = load.promptTokens;
    demand.maxOutputTokens = 2 * load.outputTokens;
    demand.expectedOutputTokens = load.outputTokens;
    demand.rank = load.rank;
    demand.workspace = WorkspaceName(m_deployment.namesWorkspaces ? load.name : std::string());
    demand.targetLatency = absl::Milliseconds(800);
    demand.maxEventGap = absl::Milliseconds(300);
    demand.maxWait = call.isReturn ? std::max(load.maxWait, lateMaxWait) : load.maxWait;
    demand.jitterSeed = m_random();
    call.demand = demand;
    wait(id, now);
}

void FairLoad::wait(std::size_t id, absl::Time now)
{
    Call &call = m_calls[id];
    const ModelDemand &demand = call.demand;
    ServicePool &pool = m_pools[call.node];
    if (const std::optional<ModelPlacement> placement = pool.placeNewCall(demand, now)) {
        place(id, *placement, now);
        return;
    }
    const absl::Duration refusalWait = std::max(demand.maxWait, absl::Seconds(m_deployment.minRefusalWaitSeconds));
    if (pool.expectedWait(demand, now) > refusalWait) {
        refuse(id, now);
        return;
    }
    pool.addWaiter(id + 1, demand, now);
    call.waitEnd = now + demand.maxWait;
    m_waitEnds.emplace(call.waitEnd, id);
    grant(call.node, now);
}

void FairLoad::place(std::size_t id, const ModelPlacement &placement, absl::Time now)
{
    Call &call = m_calls[id];
    call.waitEnd = absl::InfiniteFuture();
    const EngineId &engine = placement.decode->id;
    const Run run{call.node, placement, call.demand.promptTokens + *call.demand.expectedOutputTokens};
    if (m_usedTokens[engine] + run.tokens > engineTokens) {
        ++m_refusedByEngines;
        m_pools[call.node].recordResult(engine, EngineResult::Refused, now);
        for (const EngineReservation &reservation : placement.reservations) {
            m_pools[call.node].release(reservation);
        }
        if (call.demand.excludedEngines.empty()) {
            call.demand.excludedEngines.push_back(engine);
            wait(id, now);
        } else {
            refuse(id, now);
        }
        return;
    }
    call.isPlaced = true;
    call.placedAt = now;
    m_pools[call.node].recordAccepted(engine, now);
    m_usedTokens[engine] += run.tokens;
    m_prefillEnds.emplace(now + prefillTime, run);
    m_runEnds.emplace(now + prefillTime + tokenTime * *call.demand.expectedOutputTokens, run);
}

void FairLoad::refuse(std::size_t id, absl::Time now)
{
    Call &call = m_calls[id];
    call.waitEnd = absl::InfiniteFuture();
    const absl::Duration timeLeft = call.firstArrival + deadline - now;
    const double drawn = random();
    const absl::Duration scheduled = m_pools[call.node].recordRefused(call.demand, timeLeft, drawn, now).retryAfter;
    const absl::Duration retryAfter = m_deployment.usesFixedRetryAfter ? absl::Seconds(2.5 + 1.8 * drawn) : scheduled;
    if (!std::exchange(call.isReturn, true) && retryAfter <= timeLeft / 3) {
        m_arrivals.emplace(now + retryAfter, id);
    }
}

void FairLoad::grant(std::size_t node, absl::Time now)
{
    for (const Grant &it : m_pools[node].grantCapacity(now)) {
        place(it.waiter - 1, it.placement, now);
    }
}

void FairLoad::sendReports(absl::Time now)
{
    if (m_pools.size() < 2 || now < m_nextReport) {
        return;
    }
    m_nextReport = now + m_deployment.reportInterval;
    for (std::size_t node = 0; node < m_pools.size(); ++node) {
        m_reports.emplace(now + m_deployment.reportDelay, Report{node, m_pools[node].ownLoads(), m_pools[node].ownWaitingCalls(now)});
    }
}

WorkspaceOutcome FairLoad::outcome(const std::string &workspace, absl::Duration from, absl::Duration until) const
{
    WorkspaceOutcome sum;
    for (const Call &call : m_calls) {
        const absl::Duration at = call.firstArrival - start;
        if (m_loads[call.load].name != workspace || at < from || at >= until) {
            continue;
        }
        ++sum.asked;
        sum.placed += call.isPlaced ? 1 : 0;
        sum.placedAtOnce += call.isPlaced && !call.isReturn ? 1 : 0;
        sum.timeToPlacement += call.isPlaced ? call.placedAt - call.firstArrival : absl::ZeroDuration();
    }
    return sum;
}

WorkspaceOutcome FairLoad::total(absl::Duration from, absl::Duration until) const
{
    WorkspaceOutcome sum;
    for (const WorkspaceLoad &load : m_loads) {
        const WorkspaceOutcome it = outcome(load.name, from, until);
        sum.asked += it.asked;
        sum.placed += it.placed;
        sum.placedAtOnce += it.placedAtOnce;
        sum.timeToPlacement += it.timeToPlacement;
    }
    return sum;
}

double FairLoad::lowestRelativeFraction(absl::Duration from, absl::Duration until) const
{
    double lowest = 1;
    for (const WorkspaceLoad &load : m_loads) {
        lowest = std::min(lowest, outcome(load.name, from, until).servedFraction());
    }
    return lowest / total(from, until).servedFraction();
}

}
