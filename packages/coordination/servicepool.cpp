#include "coordination/servicepool.h"

#include "coordination/enginepairing.h"
#include "coordination/memoryforecast.h"

#include <absl/hash/hash.h>

#include <algorithm>
#include <utility>

namespace Apricot {

namespace {

/// Estimated duration of a call at a plain endpoint before any has been measured.
constexpr absl::Duration initialPlainCallTime = absl::Milliseconds(20);

/// Estimated time to prefill one token at a prefill and at a decode engine before any has been measured.
constexpr absl::Duration initialPrefillTokenTime = absl::Microseconds(20);
constexpr absl::Duration initialDecodeTokenTime = absl::Microseconds(40);

/// Penalty for KV transfer between data centres.
constexpr double crossDataCentreTransferPenaltyMs = 15;

/// Penalty for a full decode engine compared with an empty one.
constexpr double fullnessPenaltyMs = 60;

/// Maximum random part of a cost.
constexpr double jitterMs = 8;

/// Penalty for prefill at a decode engine, as it delays the streams there: a base, and an addition for each of those streams.
constexpr double localPrefillPenaltyMs = 60;
constexpr double localPrefillPenaltyPerStreamMs = 4;

/// Penalty for an engine that fails all its calls, as a multiple of its cost.
constexpr double failureWeight = 12;

/// Maximum time until the prompt is prefilled, as a fraction of the target latency. Beyond it a call waits at the node, where a
/// more urgent one can still overtake it.
constexpr double maxPrefillTargetFraction = 0.55;

/// Fraction of the pool's memory that only the most urgent calls may use.
constexpr double urgentReserveFraction = 0.05;

/// Maximum time of prefill at a decode engine, as a fraction of the acceptable gap in the streams there.
constexpr double maxLocalPrefillGapFraction = 0.55;

/// Maximum number of reservations that one pass leaves to peers. Beyond it, this node's own calls wait for newer load reports.
constexpr std::size_t maxPeerReservations = 16;

/// Cost of an engine that has no capacity.
constexpr double noCapacityCost = 1e12;

/// Slots of a decode engine that get no request.
constexpr std::int64_t spareSlots = 1;

/// Fractions of an engine's memory that are kept free, because a preempted run has to be prefilled again: for forecast errors,
/// for each peer's placements that have not been reported yet, and the maximum of their sum.
constexpr double forecastMarginFraction = 0.06;
constexpr double marginFractionPerPeer = 0.0015;
constexpr double maxMarginFraction = 0.2;

/// Weight of the newest run in the mean answer length.
constexpr double newestRunWeight = 0.05;

/// Mean answer length before any run has ended, as a fraction of the maximum length.
constexpr double initialMeanFraction = 0.5;

bool isExcluded(const std::vector<EngineId> &excludedEngines, const EngineId &engine)
{
    return std::find(excludedEngines.begin(), excludedEngines.end(), engine) != excludedEngines.end();
}

absl::Duration initialEstimate(EngineStage stage)
{
    switch (stage) {
    case EngineStage::Plain:
        return initialPlainCallTime;
    case EngineStage::Prefill:
        return initialPrefillTokenTime;
    case EngineStage::Decode:
        return initialDecodeTokenTime;
    }
    return initialPlainCallTime;
}

std::int64_t peakMemoryTokens(const std::vector<EngineRun> &runs)
{
    std::vector<MemoryUse> uses;
    uses.reserve(runs.size());
    for (const EngineRun &run : runs) {
        uses.push_back(MemoryUse{run.promptTokens + run.generatedTokens, remainingTokens(run.expectedOutputTokens, run.generatedTokens)});
    }
    return peakMemory(std::move(uses));
}

}

void ServicePool::setModel(const std::optional<ModelEngineSpec> &model)
{
    m_model = model;
}

void ServicePool::apply(const EngineEntry &entry)
{
    const auto it = m_engines.find(entry->id);
    const bool isSame = it != m_engines.end() && it->second.entry->startedMs == entry->startedMs && it->second.entry->stage == entry->stage;
    if (isSame) {
        it->second.entry = entry;
        return;
    }
    m_engines.insert_or_assign(entry->id, Engine{entry, EngineHealth(), UnknownLoad()});
    m_endpoints.forget(entry->id);
}

void ServicePool::remove(const EngineId &engine)
{
    m_engines.erase(engine);
    m_endpoints.forget(engine);
}

EngineNoticeResult ServicePool::recordNotice(const EngineEntry &engine, const EngineNotice &notice, absl::Time now)
{
    const EngineNoticeResult result = m_availability[engine->id].record(notice, engine->startedMs, now);
    std::erase_if(m_availability, [&](const auto &it) { return it.second.isExpired(now) && !m_engines.contains(it.first); });
    return result;
}

std::optional<absl::Time> ServicePool::leavingSince(const EngineEntry &engine) const
{
    const auto it = m_availability.find(engine->id);
    return it == m_availability.end() ? std::nullopt : it->second.leavingSince(engine->startedMs);
}

bool ServicePool::isOffered(const EngineEntry &engine) const
{
    return engine->condition == EngineCondition::Ready && !leavingSince(engine);
}

bool ServicePool::isBackingOff(const EngineId &engine, absl::Time now) const
{
    const auto it = m_availability.find(engine);
    return it != m_availability.end() && now < it->second.backOffUntil();
}

std::optional<absl::Duration> ServicePool::backOffOfAllEngines(absl::Time now) const
{
    absl::Time earliest = absl::InfiniteFuture();
    for (const auto &[id, engine] : m_engines) {
        if (engine.entry->stage == EngineStage::Prefill || !isOffered(engine.entry)) {
            continue;
        }
        if (!isBackingOff(id, now)) {
            return std::nullopt;
        }
        earliest = std::min(earliest, m_availability.at(id).backOffUntil());
    }
    return earliest == absl::InfiniteFuture() ? std::nullopt : std::optional(earliest - now);
}

bool ServicePool::mayBeTried(const EngineEntry &engine, const std::vector<EngineId> &excludedEngines, absl::Time now) const
{
    return isOffered(engine) && !isBackingOff(engine->id, now) && !isExcluded(excludedEngines, engine->id);
}

bool ServicePool::isUsable(const Engine &engine, const std::vector<EngineId> &excludedEngines, absl::Time now) const
{
    return mayBeTried(engine.entry, excludedEngines, now) && !engine.health.isEjected(now);
}

std::vector<ServicePool::Candidate> ServicePool::candidates(EngineStage stage, const std::vector<EngineId> &excludedEngines,
                                                            absl::Time now) const
{
    std::vector<Candidate> found;
    for (const auto &[id, engine] : m_engines) {
        if (engine.entry->stage == stage && isUsable(engine, excludedEngines, now)) {
            found.push_back(Candidate{&engine, totalLoad(id, now), 0});
        }
    }
    removeUnreachable(found, now);
    if (!found.empty() || stage != EngineStage::Plain) {
        return found;
    }
    // If no plain endpoint is usable, an ejected or unreachable one is still tried: it may have recovered.
    for (const auto &[id, engine] : m_engines) {
        if (engine.entry->stage == stage && mayBeTried(engine.entry, excludedEngines, now)) {
            found.push_back(Candidate{&engine, totalLoad(id, now), 0});
        }
    }
    return found;
}

void ServicePool::removeUnreachable(std::vector<Candidate> &found, absl::Time now) const
{
    std::vector<Candidate> reachable;
    for (const Candidate &it : found) {
        if (!m_loads.isReportedUnreachable(it.engine->entry->id, now)) {
            reachable.push_back(it);
        }
    }
    // If half of the engines or more are reported unreachable, the reporting nodes are probably disconnected themselves.
    if (2 * reachable.size() > found.size()) {
        found = std::move(reachable);
    }
}

double ServicePool::jitter(const EngineEntry &engine, const ModelDemand &demand) const
{
    constexpr std::uint64_t steps = 1024;
    const std::uint64_t drawn = absl::HashOf(engine->id, demand.jitterSeed) % steps;
    return jitterMs * static_cast<double>(drawn) / static_cast<double>(steps);
}

double ServicePool::lowestFailureFraction(EngineStage stage, absl::Time now) const
{
    double lowest = 1;
    for (const auto &[id, engine] : m_engines) {
        if (engine.entry->stage == stage) {
            lowest = std::min(lowest, engine.health.failureFraction(now));
        }
    }
    return lowest;
}

double ServicePool::failurePenalty(const Engine &engine, double lowestFraction, absl::Time now) const
{
    return 1 + failureWeight * (engine.health.failureFraction(now) - lowestFraction);
}

absl::Duration ServicePool::expectedCost(EngineStage stage) const
{
    std::optional<absl::Duration> lowest;
    for (const auto &[id, engine] : m_engines) {
        const std::optional<absl::Duration> observed = engine.health.observedCost();
        if (engine.entry->stage == stage && observed && (!lowest || *observed < *lowest)) {
            lowest = observed;
        }
    }
    return lowest.value_or(initialEstimate(stage));
}

double ServicePool::freeMemoryFraction(absl::Time now) const
{
    if (!m_model) {
        return 0;
    }
    double free = 0;
    double total = 0;
    const double capacity = usableMemoryTokens(now);
    for (const Candidate &it : candidates(EngineStage::Decode, {}, now)) {
        total += capacity;
        free += std::max(0.0, capacity - static_cast<double>(peakMemoryTokens(it.load.runs)));
    }
    return total > 0 ? free / total : 0;
}

bool ServicePool::mayUseUrgentReserve(const ModelDemand &demand, absl::Time now) const
{
    return demand.rank == 0 || m_waiting.isBelowFloor(demand.rank, workspaceTag(demand.workspace), now)
        || freeMemoryFraction(now) > urgentReserveFraction;
}

double ServicePool::localPrefillMs(const Candidate &decode, const ModelDemand &demand, absl::Duration expectedTokenTime,
                                   absl::Time now) const
{
    const auto tokens = static_cast<double>(decode.load.pendingPrefillTokens + demand.promptTokens + demand.generatedTokens);
    return absl::ToDoubleMilliseconds(decode.engine->health.cost(expectedTokenTime, now) * tokens);
}

bool ServicePool::fitsLocalPrefill(const Candidate &decode, const ModelDemand &demand, double prefillMs) const
{
    // Only one prompt at a time, and only if the gap that it causes in the other streams is acceptable.
    const bool isFree = decode.load.requests == 0;
    return isFree
        || (decode.load.pendingPrefillTokens == 0
            && prefillMs <= maxLocalPrefillGapFraction * absl::ToDoubleMilliseconds(demand.maxEventGap));
}

std::vector<ServicePool::Candidate> ServicePool::decodeCandidates(const ModelDemand &demand, absl::Time now) const
{
    std::vector<Candidate> found = candidates(EngineStage::Decode, demand.excludedEngines, now);
    const EngineRun newRun{0, demand.promptTokens, expectedOutputTokens(demand, m_meanOutputTokens), demand.generatedTokens};
    const double usable = usableMemoryTokens(now);
    const double lowestFraction = lowestFailureFraction(EngineStage::Decode, now);
    for (Candidate &it : found) {
        const bool slotIsFree = it.load.requests + spareSlots < it.engine->entry->slots;
        std::vector<EngineRun> runs = it.load.runs;
        runs.push_back(newRun);
        const double peak = static_cast<double>(peakMemoryTokens(runs)) + it.engine->unknownLoad.tokens(now);
        const double used = peak / usable;
        it.memoryFraction = peak / totalMemoryTokens();
        it.cost = slotIsFree && used <= 1
            ? (fullnessPenaltyMs * used + jitter(it.engine->entry, demand)) * failurePenalty(*it.engine, lowestFraction, now)
            : noCapacityCost;
    }
    std::erase_if(found, [](const Candidate &it) { return it.cost >= noCapacityCost; });
    return found;
}

std::vector<ServicePool::Candidate> ServicePool::prefillCandidates(const ModelDemand &demand, absl::Time now) const
{
    std::vector<Candidate> found = candidates(EngineStage::Prefill, demand.excludedEngines, now);
    const absl::Duration expected = expectedCost(EngineStage::Prefill);
    const double lowestFraction = lowestFailureFraction(EngineStage::Prefill, now);
    for (Candidate &it : found) {
        const auto tokens = static_cast<double>(it.load.pendingPrefillTokens + demand.promptTokens);
        const double prefillMs = absl::ToDoubleMilliseconds(it.engine->health.cost(expected, now) * tokens);
        it.cost = (prefillMs + jitter(it.engine->entry, demand)) * failurePenalty(*it.engine, lowestFraction, now);
    }
    return found;
}

std::optional<ModelPlacement> ServicePool::choose(const ModelDemand &demand, absl::Time now) const
{
    const std::vector<Candidate> decodes = decodeCandidates(demand, now);
    // To continue an answer, the decode engine prefills the prompt and the tokens generated so far itself.
    const std::vector<Candidate> prefills = demand.generatedTokens > 0 ? std::vector<Candidate>() : prefillCandidates(demand, now);
    const double maxPrefillMs = maxPrefillTargetFraction * absl::ToDoubleMilliseconds(demand.targetLatency);
    const std::vector<std::size_t> cheapestPrefills = cheapestOfEachDataCentre(prefills, maxPrefillMs);
    const absl::Duration expectedTokenTime = expectedCost(EngineStage::Decode);
    const absl::Duration loadsAge = m_loads.loadsAge(now);
    std::optional<ModelPlacement> best;
    double bestCost = 0;
    const auto consider = [&](double cost, const Candidate &decode, const std::optional<EngineEntry> &prefill) {
        if (!best || cost < bestCost) {
            best = ModelPlacement{decode.engine->entry, prefill, {}, PlacementBasis{decode.memoryFraction, decode.load.requests, loadsAge}};
            bestCost = cost;
        }
    };
    for (const Candidate &decode : decodes) {
        for (const std::size_t index : cheapestPrefills) {
            const Candidate &prefill = prefills[index];
            const bool isNear = prefill.dataCentre() == decode.dataCentre();
            consider(decode.cost + prefill.cost + (isNear ? 0 : crossDataCentreTransferPenaltyMs), decode, prefill.engine->entry);
        }
        const double prefillMs = localPrefillMs(decode, demand, expectedTokenTime, now);
        if (prefillMs <= maxPrefillMs && fitsLocalPrefill(decode, demand, prefillMs)) {
            const double interferenceMs
                = localPrefillPenaltyMs + localPrefillPenaltyPerStreamMs * static_cast<double>(decode.load.requests);
            consider(decode.cost + prefillMs + interferenceMs, decode, std::nullopt);
        }
    }
    return best;
}

void ServicePool::reserve(ModelPlacement *placement, const ModelDemand &demand)
{
    const EngineRun run{++m_lastRunId, demand.promptTokens, expectedOutputTokens(demand, m_meanOutputTokens), demand.generatedTokens};
    const std::int64_t localPrefillTokens = placement->prefill ? 0 : demand.promptTokens + demand.generatedTokens;
    placement->reservations.push_back(EngineReservation{placement->decode->id, 1, localPrefillTokens, run});
    if (placement->prefill) {
        placement->reservations.push_back(EngineReservation{(*placement->prefill)->id, 1, demand.promptTokens, std::nullopt});
    }
    for (const EngineReservation &reservation : placement->reservations) {
        add(reservation);
    }
}

std::optional<ModelPlacement> ServicePool::placeModel(const ModelDemand &demand, absl::Time now)
{
    if (!m_model) {
        const std::optional<EngineEntry> plain = placePlain(demand.nearTo, demand.excludedEngines, now);
        return plain ? std::optional(ModelPlacement{*plain, std::nullopt, {EngineReservation{(*plain)->id, 1, 0, std::nullopt}}, {}})
                     : std::nullopt;
    }
    if (!mayUseUrgentReserve(demand, now)) {
        return std::nullopt;
    }
    if (m_meanOutputTokens == 0) {
        // Short answers end first, so a mean that started from the first finished answers would be too low.
        m_meanOutputTokens = initialMeanFraction * static_cast<double>(demand.maxOutputTokens);
    }
    std::optional<ModelPlacement> chosen = choose(demand, now);
    if (chosen) {
        reserve(&*chosen, demand);
        m_waiting.recordPlacement(demand, m_meanOutputTokens, now);
        recordAttempt(chosen->decode->id, now);
        if (chosen->prefill) {
            recordAttempt((*chosen->prefill)->id, now);
        }
    }
    return chosen;
}

std::optional<ModelPlacement> ServicePool::placeNewCall(const ModelDemand &demand, absl::Time now)
{
    return m_waiting.isEmpty() && m_loads.peerWaitingCalls(now).empty() ? placeModel(demand, now) : std::nullopt;
}

bool ServicePool::allowsLocalPrefill(const EngineId &engine, const ModelDemand &demand, absl::Time now) const
{
    const auto it = m_engines.find(engine);
    if (it == m_engines.end()) {
        return false;
    }
    Candidate candidate{&it->second, totalLoad(engine, now), 0, 0};
    --candidate.load.requests; // The load already counts the call itself.
    return fitsLocalPrefill(candidate, demand, localPrefillMs(candidate, demand, expectedCost(EngineStage::Decode), now));
}

void ServicePool::addWaiter(WaiterId waiter, ModelDemand demand, absl::Time now)
{
    m_waiting.add(waiter, std::move(demand), now);
}

void ServicePool::removeWaiter(WaiterId waiter)
{
    m_waiting.remove(waiter);
}

std::optional<ModelPlacement> ServicePool::reserveForPeer(const WaitingCall &call, absl::Time now)
{
    ModelDemand demand;
    demand.promptTokens = call.promptTokens;
    demand.expectedOutputTokens = call.expectedOutputTokens;
    demand.targetLatency = absl::InfiniteDuration();
    std::optional<ModelPlacement> chosen = choose(demand, now);
    if (chosen) {
        reserve(&*chosen, demand);
    }
    return chosen;
}

std::vector<Grant> ServicePool::grantCapacity(absl::Time now)
{
    std::vector<Grant> grants;
    if (m_waiting.isEmpty()) {
        return grants;
    }
    std::vector<EngineReservation> peerReservations;
    for (const QueueEntry &entry : m_waiting.cellQueue(m_loads.peerWaitingCalls(now), m_meanOutputTokens, now)) {
        if (entry.waiter == 0 && peerReservations.size() >= maxPeerReservations) {
            break;
        }
        const std::optional<ModelPlacement> placement
            = entry.waiter == 0 ? reserveForPeer(entry.call, now) : placeModel(m_waiting.demand(entry.waiter), now);
        if (!placement && entry.waiter != 0 && !m_waiting.demand(entry.waiter).excludedEngines.empty()) {
            continue; // The call may wait for other engines than those further back.
        }
        if (!placement) {
            break; // Smaller calls further back must not starve a large one.
        }
        if (entry.waiter == 0) {
            peerReservations.insert(peerReservations.end(), placement->reservations.begin(), placement->reservations.end());
        } else {
            grants.push_back(Grant{entry.waiter, *placement});
            m_waiting.remove(entry.waiter);
        }
        if (m_waiting.isEmpty()) {
            break;
        }
    }
    for (const EngineReservation &reservation : peerReservations) {
        release(reservation);
    }
    return grants;
}

std::vector<WaitingCall> ServicePool::ownWaitingCalls(absl::Time now) const
{
    return m_waiting.reported(m_meanOutputTokens, now);
}

void ServicePool::recordRunEnded(std::int64_t tokens)
{
    if (m_meanOutputTokens > 0) {
        m_meanOutputTokens += newestRunWeight * (static_cast<double>(tokens) - m_meanOutputTokens);
    }
}

void ServicePool::recordResult(const EngineId &engine, EngineResult result, absl::Time now)
{
    const auto it = m_engines.find(engine);
    if (it == m_engines.end()) {
        return;
    }
    it->second.health.recordResult(result, now);
    if (result == EngineResult::Refused && it->second.entry->stage == EngineStage::Decode) {
        // Without the refused call, there was room for one more of its kind.
        const auto runs = static_cast<double>(std::max<std::size_t>(1, totalLoad(engine, now).runs.size()));
        const double free = freeTokens(engine, now);
        it->second.unknownLoad.recordRefused(free + (usableMemoryTokens(now) - free) / runs, now);
    }
}

void ServicePool::recordAttempt(const EngineId &engine, absl::Time now)
{
    const auto it = m_engines.find(engine);
    if (it != m_engines.end()) {
        it->second.health.recordAttempt(now);
        if (it->second.entry->stage == EngineStage::Plain) {
            m_endpoints.recordAttempt(engine, now);
        }
    }
}

void ServicePool::recordAccepted(const EngineId &engine, absl::Time now)
{
    const auto it = m_engines.find(engine);
    if (it != m_engines.end()) {
        it->second.health.recordAccepted();
        it->second.unknownLoad.recordAccepted(freeTokens(engine, now), now);
    }
}

double ServicePool::freeTokens(const EngineId &engine, absl::Time now) const
{
    return usableMemoryTokens(now) - static_cast<double>(peakMemoryTokens(totalLoad(engine, now).runs));
}

bool ServicePool::isReachable(const EngineId &engine, absl::Time now) const
{
    const auto it = m_engines.find(engine);
    return it != m_engines.end() && !it->second.health.isUnreachable(now);
}

bool ServicePool::isRefusing(const EngineId &engine) const
{
    const auto it = m_engines.find(engine);
    return it != m_engines.end() && it->second.health.isRefusing();
}

void ServicePool::recordCost(const EngineId &engine, double units, absl::Duration duration, absl::Time now)
{
    const auto it = m_engines.find(engine);
    if (it == m_engines.end()) {
        return;
    }
    it->second.health.recordCost(units, duration, now);
    if (it->second.entry->stage == EngineStage::Plain && units > 0) {
        m_endpoints.recordCallTime(it->second.entry, duration / units, now);
    }
}

void ServicePool::recordFailedAttempt(const EngineId &engine, absl::Duration duration, absl::Time now)
{
    recordResult(engine, EngineResult::Failed, now);
    const auto it = m_engines.find(engine);
    if (it != m_engines.end() && duration > it->second.health.cost(expectedCost(it->second.entry->stage), now)) {
        recordCost(engine, 1, duration, now);
    }
}

std::vector<EngineId> ServicePool::unreachableEngines(absl::Time now) const
{
    std::vector<EngineId> unreachable;
    for (const auto &[id, engine] : m_engines) {
        if (engine.health.isUnreachable(now)) {
            unreachable.push_back(id);
        }
    }
    return unreachable;
}

bool ServicePool::isReady(const EngineEntry &engine) const
{
    const auto it = m_engines.find(engine->id);
    return it != m_engines.end() && isOffered(it->second.entry) && it->second.entry->startedMs == engine->startedMs;
}

bool ServicePool::acceptsCalls(const EngineEntry &engine, absl::Time now) const
{
    return isReady(engine) && isReachable(engine->id, now) && !isBackingOff(engine->id, now);
}

bool ServicePool::hasAlternative(const std::vector<EngineId> &excludedEngines, absl::Time now) const
{
    return std::any_of(m_engines.begin(), m_engines.end(),
                       [&](const auto &entry) { return mayBeTried(entry.second.entry, excludedEngines, now); });
}

bool ServicePool::hasDecodeAlternative(const std::vector<EngineId> &excludedEngines, absl::Time now) const
{
    return std::any_of(m_engines.begin(), m_engines.end(), [&](const auto &entry) {
        const Engine &engine = entry.second;
        return engine.entry->stage == EngineStage::Decode && isUsable(engine, excludedEngines, now);
    });
}

double ServicePool::totalMemoryTokens() const
{
    return m_model ? std::max(1.0, static_cast<double>((*m_model)->kvCapacityTokens)) : 1.0;
}

double ServicePool::usableMemoryTokens(absl::Time now) const
{
    const double margin = forecastMarginFraction + marginFractionPerPeer * static_cast<double>(m_loads.peerCount(now));
    return (1 - std::min(margin, maxMarginFraction)) * totalMemoryTokens();
}

absl::Duration ServicePool::expectedWait(const ModelDemand &demand, absl::Time now) const
{
    return m_waiting.expectedWait(demand, m_meanOutputTokens, now);
}

}
