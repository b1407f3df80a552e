#include "coordination/servicepool.h"

#include "coordination/memoryforecast.h"

#include <absl/hash/hash.h>

#include <algorithm>
#include <utility>

namespace Apricot {

namespace {

/// Estimated duration of a call at a plain endpoint before any has been measured.
constexpr absl::Duration expectedPlainCall = absl::Milliseconds(20);

/// Estimated time to prefill one token at a prefill and at a decode engine before any has been measured.
constexpr absl::Duration expectedPrefillToken = absl::Microseconds(20);
constexpr absl::Duration expectedDecodeToken = absl::Microseconds(40);

/// Penalty for an engine in another data centre: the network round trip.
constexpr double otherDataCentrePenaltyMs = 2;

/// Penalty for KV transfer between data centres.
constexpr double crossTransferPenaltyMs = 15;

/// Penalty for a full decode engine compared with an empty one.
constexpr double fullnessPenaltyMs = 60;

/// Maximum random part of a cost.
constexpr double jitterMs = 8;

/// Penalty for prefill at a decode engine, as it delays the streams there: a base, and an addition for each of those streams.
constexpr double readThereBaseMs = 60;
constexpr double readTherePerStreamMs = 4;

/// Penalty for an engine that fails all its calls, as a multiple of its cost.
constexpr double failureWeight = 12;

/// Maximum time until the prompt is prefilled, as a fraction of the target latency. Beyond it a call waits at the node, where a
/// more urgent one can still overtake it.
constexpr double longestReadShare = 0.55;

/// Fraction of the pool's memory that only the most urgent calls may use.
constexpr double urgentReserve = 0.05;

/// Minimum fraction of all placements that every rank gets, however many more urgent calls wait.
constexpr double rankFloor = 0.08;

/// Time constant of the placement rates.
constexpr absl::Duration placedMemory = absl::Seconds(5);

/// Maximum time of prefill at a decode engine, as a fraction of the acceptable gap in the streams there.
constexpr double longestReadPause = 0.55;

/// Maximum number of waiting calls of each service in a load report: enough for the capacity that becomes free between two
/// reports.
constexpr std::size_t mostTold = 4;

/// Maximum number of reservations that one pass leaves to peers. Beyond it, this node's own calls wait for newer load reports.
constexpr std::size_t mostLeftToPeers = 16;

/// Cost of an engine that has no capacity.
constexpr double noRoomCost = 1e12;

/// Slots of a decode engine that get no request.
constexpr std::int64_t spareSlots = 1;

/// Fractions of an engine's memory that are kept free, because a preempted run has to be prefilled again: for forecast errors,
/// for each peer's placements that have not been reported yet, and the maximum of their sum.
constexpr double forecastMargin = 0.06;
constexpr double marginPerPeer = 0.0015;
constexpr double largestMargin = 0.2;

/// Weight of the newest run in the mean answer length.
constexpr double newestRunWeight = 0.05;

/// Mean answer length before any run has ended, as a fraction of the maximum length.
constexpr double firstMeanPart = 0.5;

bool isAvoided(const std::vector<EngineId> &avoided, const EngineId &engine)
{
    return std::find(avoided.begin(), avoided.end(), engine) != avoided.end();
}

absl::Duration firstEstimate(EngineStage stage)
{
    switch (stage) {
    case EngineStage::Plain:
        return expectedPlainCall;
    case EngineStage::Prefill:
        return expectedPrefillToken;
    case EngineStage::Decode:
        return expectedDecodeToken;
    }
    return expectedPlainCall;
}

std::int64_t peakOf(const std::vector<EngineRun> &runs)
{
    std::vector<MemoryUse> uses;
    uses.reserve(runs.size());
    for (const EngineRun &run : runs) {
        uses.push_back(MemoryUse{run.promptTokens + run.madeTokens, remainingTokens(run.likelyTokens, run.madeTokens)});
    }
    return peakMemory(std::move(uses));
}

template<class Candidates>
auto cheapest(Candidates &candidates)
{
    return std::min_element(candidates.begin(), candidates.end(),
                            [](const auto &left, const auto &right) { return left.cost < right.cost; });
}

}

void ServicePool::setModel(const std::optional<ModelServing> &model)
{
    m_model = model;
}

void ServicePool::apply(const EngineEntry &entry)
{
    const auto it = m_engines.find(entry->id);
    const bool isSame = it != m_engines.end() && it->second.entry->bornMs == entry->bornMs && it->second.entry->stage == entry->stage;
    if (isSame) {
        it->second.entry = entry;
        return;
    }
    m_engines.insert_or_assign(entry->id, Engine{entry, EngineHealth()});
}

void ServicePool::remove(const EngineId &engine)
{
    m_engines.erase(engine);
}

bool ServicePool::isUsable(const Engine &engine, const std::vector<EngineId> &avoided, absl::Time now) const
{
    return engine.entry->condition == EngineCondition::Ready && !isAvoided(avoided, engine.entry->id) && !engine.health.isPassedOver(now);
}

std::vector<ServicePool::Candidate> ServicePool::candidates(EngineStage stage, const std::vector<EngineId> &avoided, absl::Time now) const
{
    std::vector<Candidate> found;
    for (const auto &[id, engine] : m_engines) {
        if (engine.entry->stage == stage && isUsable(engine, avoided, now)) {
            found.push_back(Candidate{&engine, totalLoad(id, now), 0});
        }
    }
    dropDoubted(found, now);
    if (!found.empty() || stage != EngineStage::Plain) {
        return found;
    }
    // If no plain endpoint is usable, an ejected or unreachable one is still tried: it may have recovered.
    for (const auto &[id, engine] : m_engines) {
        if (engine.entry->stage == stage && engine.entry->condition == EngineCondition::Ready && !isAvoided(avoided, id)) {
            found.push_back(Candidate{&engine, totalLoad(id, now), 0});
        }
    }
    return found;
}

void ServicePool::dropDoubted(std::vector<Candidate> &found, absl::Time now) const
{
    std::vector<Candidate> trusted;
    for (const Candidate &it : found) {
        if (!m_loads.isDoubted(it.engine->entry->id, now)) {
            trusted.push_back(it);
        }
    }
    // If most engines are reported unreachable, the reporting nodes are probably cut off themselves.
    if (2 * trusted.size() > found.size()) {
        found = std::move(trusted);
    }
}

double ServicePool::jitter(const EngineEntry &engine, const ModelDemand &demand) const
{
    constexpr std::uint64_t steps = 1024;
    const std::uint64_t drawn = absl::HashOf(engine->id, demand.luck) % steps;
    return jitterMs * static_cast<double>(drawn) / static_cast<double>(steps);
}

double ServicePool::failurePenalty(const Engine &engine, absl::Time now) const
{
    double least = 1;
    for (const auto &[id, other] : m_engines) {
        if (other.entry->stage == engine.entry->stage) {
            least = std::min(least, other.health.failureShare(now));
        }
    }
    return 1 + failureWeight * (engine.health.failureShare(now) - least);
}

absl::Duration ServicePool::expectedCost(EngineStage stage) const
{
    std::optional<absl::Duration> least;
    for (const auto &[id, engine] : m_engines) {
        const std::optional<absl::Duration> seen = engine.health.seenCost();
        if (engine.entry->stage == stage && seen && (!least || *seen < *least)) {
            least = seen;
        }
    }
    return least.value_or(firstEstimate(stage));
}

std::optional<EngineEntry> ServicePool::placePlain(const DataCentreName &nearTo, const std::vector<EngineId> &avoided, absl::Time now)
{
    std::vector<Candidate> found = candidates(EngineStage::Plain, avoided, now);
    if (found.empty()) {
        return std::nullopt;
    }
    // Rotation spreads calls over engines of equal cost.
    std::rotate(found.begin(), found.begin() + static_cast<std::ptrdiff_t>(++m_turn % found.size()), found.end());
    const absl::Duration expected = expectedCost(EngineStage::Plain);
    for (Candidate &it : found) {
        const double slots = static_cast<double>(std::max<std::int64_t>(1, it.engine->entry->slots));
        const double ahead = static_cast<double>(it.load.requests) / slots;
        const double callMs = absl::ToDoubleMilliseconds(it.engine->health.cost(expected, now));
        const double wayMs = it.engine->entry->dataCentre == nearTo ? 0 : otherDataCentrePenaltyMs;
        it.cost = (callMs * (1 + ahead) + wayMs) * failurePenalty(*it.engine, now);
    }
    const EngineEntry chosen = cheapest(found)->engine->entry;
    add(EngineReservation{chosen->id, 1, 0, std::nullopt});
    return chosen;
}

double ServicePool::freeShare(absl::Time now) const
{
    if (!m_model) {
        return 0;
    }
    double free = 0;
    double whole = 0;
    const double capacity = usableMemory(now);
    for (const Candidate &it : candidates(EngineStage::Decode, {}, now)) {
        whole += capacity;
        free += std::max(0.0, capacity - static_cast<double>(peakOf(it.load.runs)));
    }
    return whole > 0 ? free / whole : 0;
}

bool ServicePool::isBelowFloor(std::int64_t rank, absl::Time now) const
{
    double whole = 0;
    double own = 0;
    for (const auto &[placedRank, placed] : m_placedByRank) {
        whole += placed.sum(now);
        own += placedRank == rank ? placed.sum(now) : 0;
    }
    return own <= rankFloor * whole;
}

bool ServicePool::mayTakeReserve(const ModelDemand &demand, absl::Time now) const
{
    return demand.rank == 0 || isBelowFloor(demand.rank, now) || freeShare(now) > urgentReserve;
}

double ServicePool::readMsThere(const Candidate &decode, const ModelDemand &demand, absl::Time now) const
{
    const auto tokens = static_cast<double>(decode.load.prefillTokens + demand.promptTokens + demand.madeTokens);
    return absl::ToDoubleMilliseconds(decode.engine->health.cost(expectedCost(EngineStage::Decode), now) * tokens);
}

bool ServicePool::mayReadThere(const Candidate &decode, const ModelDemand &demand, double readMs) const
{
    // Only one prompt at a time, and only if the gap that it causes in the other streams is acceptable.
    const bool isFree = decode.load.requests == 0;
    return isFree || (decode.load.prefillTokens == 0 && readMs <= longestReadPause * absl::ToDoubleMilliseconds(demand.longestPause));
}

void ServicePool::notePlaced(const ModelDemand &demand, absl::Time now)
{
    const auto [it, isNew] = m_placedByRank.try_emplace(demand.rank, placedMemory);
    it->second.add(1, now);
}

std::vector<ServicePool::Candidate> ServicePool::decodeCandidates(const ModelDemand &demand, absl::Time now) const
{
    std::vector<Candidate> found = candidates(EngineStage::Decode, demand.avoided, now);
    const EngineRun added{0, demand.promptTokens, likelyTokens(demand), demand.madeTokens};
    const double usable = usableMemory(now);
    for (Candidate &it : found) {
        const bool slotIsFree = it.load.requests + spareSlots < it.engine->entry->slots;
        std::vector<EngineRun> runs = it.load.runs;
        runs.push_back(added);
        const auto peak = static_cast<double>(peakOf(runs));
        const double used = peak / usable;
        it.memoryPart = peak / wholeMemory();
        it.cost = slotIsFree && used <= 1 ? (fullnessPenaltyMs * used + jitter(it.engine->entry, demand)) * failurePenalty(*it.engine, now)
                                          : noRoomCost;
    }
    std::erase_if(found, [](const Candidate &it) { return it.cost >= noRoomCost; });
    return found;
}

std::vector<ServicePool::Candidate> ServicePool::prefillCandidates(const ModelDemand &demand, absl::Time now) const
{
    std::vector<Candidate> found = candidates(EngineStage::Prefill, demand.avoided, now);
    const absl::Duration expected = expectedCost(EngineStage::Prefill);
    for (Candidate &it : found) {
        const auto tokens = static_cast<double>(it.load.prefillTokens + demand.promptTokens);
        const double readMs = absl::ToDoubleMilliseconds(it.engine->health.cost(expected, now) * tokens);
        it.cost = (readMs + jitter(it.engine->entry, demand)) * failurePenalty(*it.engine, now);
    }
    return found;
}

std::optional<ModelPlacement> ServicePool::choose(const ModelDemand &demand, absl::Time now) const
{
    const std::vector<Candidate> decodes = decodeCandidates(demand, now);
    // A call that continues an answer has its earlier tokens prefilled at the decode engine, and the prompt with them.
    const std::vector<Candidate> prefills = demand.madeTokens > 0 ? std::vector<Candidate>() : prefillCandidates(demand, now);
    const double longestReadMs = longestReadShare * absl::ToDoubleMilliseconds(demand.target);
    const absl::Duration loadsAge = m_loads.oldestWord(now);
    std::optional<ModelPlacement> best;
    double bestCost = 0;
    const auto consider = [&](double cost, const Candidate &decode, const std::optional<EngineEntry> &prefill) {
        if (!best || cost < bestCost) {
            best = ModelPlacement{decode.engine->entry, prefill, {}, PlacementBasis{decode.memoryPart, decode.load.requests, loadsAge}};
            bestCost = cost;
        }
    };
    for (const Candidate &decode : decodes) {
        for (const Candidate &prefill : prefills) {
            const bool isNear = prefill.engine->entry->dataCentre == decode.engine->entry->dataCentre;
            if (prefill.cost <= longestReadMs) {
                consider(decode.cost + prefill.cost + (isNear ? 0 : crossTransferPenaltyMs), decode, prefill.engine->entry);
            }
        }
        const double readMs = readMsThere(decode, demand, now);
        if (readMs <= longestReadMs && mayReadThere(decode, demand, readMs)) {
            const double harmMs = readThereBaseMs + readTherePerStreamMs * static_cast<double>(decode.load.requests);
            consider(decode.cost + readMs + harmMs, decode, std::nullopt);
        }
    }
    return best;
}

void ServicePool::reserve(ModelPlacement *placement, const ModelDemand &demand)
{
    const EngineRun run{++m_lastRun, demand.promptTokens, likelyTokens(demand), demand.madeTokens};
    const std::int64_t readThere = placement->prefill ? 0 : demand.promptTokens + demand.madeTokens;
    placement->reservations.push_back(EngineReservation{placement->decode->id, 1, readThere, run});
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
        const std::optional<EngineEntry> plain = placePlain(demand.nearTo, demand.avoided, now);
        return plain ? std::optional(ModelPlacement{*plain, std::nullopt, {EngineReservation{(*plain)->id, 1, 0, std::nullopt}}, {}})
                     : std::nullopt;
    }
    if (!mayTakeReserve(demand, now)) {
        return std::nullopt;
    }
    if (m_meanTokens == 0) {
        // Short answers end first, so a mean that started from the first ones would be too low.
        m_meanTokens = firstMeanPart * static_cast<double>(demand.mostTokens);
    }
    std::optional<ModelPlacement> chosen = choose(demand, now);
    if (chosen) {
        reserve(&*chosen, demand);
        notePlaced(demand, now);
    }
    return chosen;
}

std::optional<ModelPlacement> ServicePool::placeArrival(const ModelDemand &demand, absl::Time now)
{
    return m_waiters.empty() && m_loads.peerWaiters(now).empty() ? placeModel(demand, now) : std::nullopt;
}

bool ServicePool::bearsReading(const EngineId &engine, const ModelDemand &demand, absl::Time now) const
{
    const auto it = m_engines.find(engine);
    if (it == m_engines.end()) {
        return false;
    }
    Candidate candidate{&it->second, totalLoad(engine, now), 0, 0};
    --candidate.load.requests; // The load already counts the call itself.
    return mayReadThere(candidate, demand, readMsThere(candidate, demand, now));
}

void ServicePool::wait(WaiterId waiter, ModelDemand demand, absl::Time now)
{
    m_waiters.insert_or_assign(waiter, Waiter{std::move(demand), now});
}

void ServicePool::stopWaiting(WaiterId waiter)
{
    m_waiters.erase(waiter);
}

std::int64_t ServicePool::countedRank(std::int64_t rank, absl::Time now) const
{
    return isBelowFloor(rank, now) ? 0 : rank;
}

std::vector<ServicePool::Turn> ServicePool::ownTurns(absl::Time now) const
{
    std::vector<Turn> order;
    for (const auto &[id, waiter] : m_waiters) {
        const ModelDemand &demand = waiter.demand;
        order.push_back(Turn{countedRank(demand.rank, now), id,
                             WaitingCall{{},
                                         demand.rank,
                                         waiter.since + demand.patience,
                                         demand.promptTokens + demand.madeTokens,
                                         likelyTokens(demand) - demand.madeTokens}});
    }
    std::sort(order.begin(), order.end());
    return order;
}

std::vector<ServicePool::Turn> ServicePool::allTurns(absl::Time now) const
{
    std::vector<Turn> order = ownTurns(now);
    for (const WaitingCall &it : m_loads.peerWaiters(now)) {
        order.push_back(Turn{countedRank(it.rank, now), 0, it});
    }
    std::sort(order.begin(), order.end());
    return order;
}

std::optional<ModelPlacement> ServicePool::roomForPeer(const WaitingCall &call, absl::Time now)
{
    ModelDemand demand;
    demand.promptTokens = call.promptTokens;
    demand.expectedTokens = call.likelyTokens;
    demand.target = absl::InfiniteDuration();
    std::optional<ModelPlacement> chosen = choose(demand, now);
    if (chosen) {
        reserve(&*chosen, demand);
    }
    return chosen;
}

std::vector<Grant> ServicePool::grantRoom(absl::Time now)
{
    std::vector<Grant> grants;
    if (m_waiters.empty()) {
        return grants;
    }
    std::vector<EngineReservation> leftToPeers;
    for (const Turn &turn : allTurns(now)) {
        if (turn.waiter == 0 && leftToPeers.size() >= mostLeftToPeers) {
            break;
        }
        const std::optional<ModelPlacement> placement
            = turn.waiter == 0 ? roomForPeer(turn.call, now) : placeModel(m_waiters.at(turn.waiter).demand, now);
        if (!placement) {
            break; // Smaller calls further back must not starve a large one.
        }
        if (turn.waiter == 0) {
            leftToPeers.insert(leftToPeers.end(), placement->reservations.begin(), placement->reservations.end());
        } else {
            grants.push_back(Grant{turn.waiter, *placement});
            m_waiters.erase(turn.waiter);
        }
        if (m_waiters.empty()) {
            break;
        }
    }
    for (const EngineReservation &reservation : leftToPeers) {
        release(reservation);
    }
    return grants;
}

std::vector<WaitingCall> ServicePool::ownWaiting(absl::Time now) const
{
    std::vector<WaitingCall> waiting;
    for (const Turn &turn : ownTurns(now)) {
        if (waiting.size() == mostTold) {
            break;
        }
        waiting.push_back(turn.call);
    }
    return waiting;
}

void ServicePool::noteRunEnded(std::int64_t tokens)
{
    if (m_meanTokens > 0) {
        m_meanTokens += newestRunWeight * (static_cast<double>(tokens) - m_meanTokens);
    }
}

void ServicePool::noteResult(const EngineId &engine, EngineResult result, absl::Time now)
{
    const auto it = m_engines.find(engine);
    if (it != m_engines.end()) {
        it->second.health.note(result, now);
    }
}

void ServicePool::noteCost(const EngineId &engine, double units, absl::Duration duration, absl::Time now)
{
    const auto it = m_engines.find(engine);
    if (it != m_engines.end()) {
        it->second.health.noteCost(units, duration, now);
    }
}

std::vector<EngineId> ServicePool::ownDoubts(absl::Time now) const
{
    std::vector<EngineId> doubts;
    for (const auto &[id, engine] : m_engines) {
        if (engine.health.isUnreachable(now)) {
            doubts.push_back(id);
        }
    }
    return doubts;
}

bool ServicePool::isReady(const EngineEntry &engine) const
{
    const auto it = m_engines.find(engine->id);
    return it != m_engines.end() && it->second.entry->condition == EngineCondition::Ready && it->second.entry->bornMs == engine->bornMs;
}

bool ServicePool::hasOther(const std::vector<EngineId> &avoided) const
{
    return std::any_of(m_engines.begin(), m_engines.end(), [&](const auto &entry) {
        return entry.second.entry->condition == EngineCondition::Ready && !isAvoided(avoided, entry.first);
    });
}

std::int64_t ServicePool::likelyTokens(const ModelDemand &demand) const
{
    return demand.expectedTokens.value_or(likelyAnswerTokens(demand.hintedTokens, m_meanTokens, demand.mostTokens));
}

double ServicePool::wholeMemory() const
{
    return m_model ? std::max(1.0, static_cast<double>((*m_model)->memoryTokens)) : 1.0;
}

double ServicePool::usableMemory(absl::Time now) const
{
    const double margin = forecastMargin + marginPerPeer * static_cast<double>(m_loads.peerCount(now));
    return (1 - std::min(margin, largestMargin)) * wholeMemory();
}

absl::Duration ServicePool::expectedWait(const ModelDemand &demand, absl::Time now) const
{
    double ahead = 1;
    for (const auto &[id, waiter] : m_waiters) {
        ahead += waiter.demand.rank <= demand.rank && waiter.since + waiter.demand.patience <= now + demand.patience ? 1 : 0;
    }
    double pace = 0;
    for (const auto &[rank, placed] : m_placedByRank) {
        pace += placed.perSecond(now);
    }
    return pace > 0 ? absl::Seconds(ahead / pace) : absl::ZeroDuration();
}

}
