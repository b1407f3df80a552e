#include "coordination/servicepool.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace Apricot {

namespace {

/// Loads of a peer that says nothing for this long are forgotten.
constexpr absl::Duration peerLoadLife = absl::Seconds(2);

/// First estimate of a whole call at a plain endpoint.
constexpr absl::Duration expectedPlainCall = absl::Milliseconds(20);

/// First estimates of the time to read one prompt token.
constexpr absl::Duration expectedPrefillToken = absl::Microseconds(20);
constexpr absl::Duration expectedDecodeToken = absl::Microseconds(40);

/// What another data centre costs a call, ms: the way there and back.
constexpr double otherDataCentrePenaltyMs = 2;

/// What KV transfer between data centres is weighed with, ms.
constexpr double crossTransferPenaltyMs = 15;

/// What a full decode engine is weighed with against an empty one, ms.
constexpr double fullnessPenaltyMs = 60;

/// What reading a prompt at a decode engine costs the streams there, ms, and more for each of them.
constexpr double readThereBaseMs = 60;
constexpr double readTherePerStreamMs = 4;

/// What an engine that fails all its calls is weighed with, as a multiple of its cost.
constexpr double failureWeight = 12;

/// Longest wait for the prompt to be read, as a part of the target: beyond it a call waits at the node, where it can
/// still be overtaken by an urgent one.
constexpr double longestReadShare = 0.55;

/// Part of the pool's memory that only the most urgent calls may take, and part that late calls leave to all others.
constexpr double urgentReserve = 0.05;
constexpr double lateReserve = 0.1;

/// Part of what is placed that every rank gets, however many more urgent calls wait.
constexpr double rankFloor = 0.08;

/// Time constant of what was placed lately.
constexpr absl::Duration placedMemory = absl::Seconds(5);

/// Part of the target after which a waiting call counts as late: reading the prompt takes the rest.
constexpr double lateAfter = 0.65;

/// Part of the longest pause that reading a prompt may take from the streams beside it.
constexpr double longestReadPause = 0.55;

/// Requests that a decode engine is given: all but one of its slots.
constexpr std::int64_t spareSlots = 1;

/// Memory is handed out in blocks and grows a little beyond what callers say.
constexpr double usableMemoryPart = 0.97;

bool isAvoided(const std::vector<EngineId> &avoided, const EngineId &engine)
{
    return std::find(avoided.begin(), avoided.end(), engine) != avoided.end();
}

EngineHealth freshHealth(EngineStage stage)
{
    switch (stage) {
    case EngineStage::Plain:
        return EngineHealth(expectedPlainCall);
    case EngineStage::Prefill:
        return EngineHealth(expectedPrefillToken);
    case EngineStage::Decode:
        return EngineHealth(expectedDecodeToken);
    }
    return EngineHealth();
}

template<class Candidates>
auto cheapest(Candidates &candidates)
{
    return std::min_element(candidates.begin(), candidates.end(),
                            [](const auto &left, const auto &right) { return left.cost < right.cost; });
}

}

void ServicePool::setModel(std::optional<ModelServing> model)
{
    m_model = std::move(model);
}

void ServicePool::apply(const EngineEntry &entry)
{
    const auto it = m_engines.find(entry->id);
    const bool isSame = it != m_engines.end() && it->second.entry->bornMs == entry->bornMs && it->second.entry->stage == entry->stage;
    if (isSame) {
        it->second.entry = entry;
        return;
    }
    m_engines.insert_or_assign(entry->id, Engine{entry, freshHealth(entry->stage)});
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
    if (!found.empty() || stage != EngineStage::Plain) {
        return found;
    }
    // When every plain endpoint is passed over, one of them is better than none: what kept it away may be over.
    for (const auto &[id, engine] : m_engines) {
        if (engine.entry->stage == stage && engine.entry->condition == EngineCondition::Ready && !isAvoided(avoided, id)) {
            found.push_back(Candidate{&engine, totalLoad(id, now), 0});
        }
    }
    return found;
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

std::optional<EngineEntry> ServicePool::placePlain(const DataCentreName &nearTo, const std::vector<EngineId> &avoided, absl::Time now)
{
    std::vector<Candidate> found = candidates(EngineStage::Plain, avoided, now);
    if (found.empty()) {
        return std::nullopt;
    }
    for (Candidate &it : found) {
        const double slots = static_cast<double>(std::max<std::int64_t>(1, it.engine->entry->slots));
        const double ahead = static_cast<double>(it.load.requests) / slots;
        const double callMs = absl::ToDoubleMilliseconds(it.engine->health.cost(now));
        const double wayMs = it.engine->entry->dataCentre == nearTo ? 0 : otherDataCentrePenaltyMs;
        it.cost = (callMs * (1 + ahead) + wayMs) * failurePenalty(*it.engine, now);
    }
    const EngineEntry chosen = cheapest(found)->engine->entry;
    add(EngineLoad{chosen->id, 1, 0, 0});
    return chosen;
}

double ServicePool::freeShare(absl::Time now) const
{
    if (!m_model) {
        return 0;
    }
    double free = 0;
    double whole = 0;
    const auto capacity = static_cast<double>((*m_model)->memoryTokens);
    for (const Candidate &it : candidates(EngineStage::Decode, {}, now)) {
        whole += capacity;
        free += std::max(0.0, capacity - static_cast<double>(it.load.memoryTokens));
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
    if (demand.isLate) {
        return freeShare(now) > lateReserve;
    }
    return demand.rank == 0 || isBelowFloor(demand.rank, now) || freeShare(now) > urgentReserve;
}

bool ServicePool::mayReadThere(const Candidate &decode, const ModelDemand &demand, double readMs) const
{
    // One prompt at a time, and only if the streams beside it can bear the pause.
    const bool isFree = decode.load.requests == 0;
    return isFree || (decode.load.prefillTokens == 0 && readMs <= longestReadPause * absl::ToDoubleMilliseconds(demand.longestPause));
}

void ServicePool::notePlaced(const ModelDemand &demand, absl::Time now)
{
    const auto [it, isNew] = m_placedByRank.try_emplace(demand.rank, placedMemory);
    it->second.add(static_cast<double>(demand.memoryTokens), now);
}

std::vector<ServicePool::Candidate> ServicePool::decodeCandidates(const ModelDemand &demand, absl::Time now) const
{
    std::vector<Candidate> found = candidates(EngineStage::Decode, demand.avoided, now);
    const double capacity = usableMemoryPart * static_cast<double>((*m_model)->memoryTokens);
    std::erase_if(found, [&](const Candidate &it) {
        const bool slotIsFree = it.load.requests + spareSlots < it.engine->entry->slots;
        return !slotIsFree || static_cast<double>(it.load.memoryTokens + demand.memoryTokens) > capacity;
    });
    for (Candidate &it : found) {
        const double used = static_cast<double>(it.load.memoryTokens + demand.memoryTokens) / capacity;
        it.cost = fullnessPenaltyMs * used * failurePenalty(*it.engine, now);
    }
    return found;
}

std::vector<ServicePool::Candidate> ServicePool::prefillCandidates(const ModelDemand &demand, absl::Time now) const
{
    std::vector<Candidate> found = candidates(EngineStage::Prefill, demand.avoided, now);
    for (Candidate &it : found) {
        const auto tokens = static_cast<double>(it.load.prefillTokens + demand.promptTokens);
        it.cost = absl::ToDoubleMilliseconds(it.engine->health.cost(now) * tokens) * failurePenalty(*it.engine, now);
    }
    return found;
}

std::optional<ModelPlacement> ServicePool::placeModel(const ModelDemand &demand, absl::Time now)
{
    if (!m_model) {
        const std::optional<EngineEntry> plain = placePlain(demand.nearTo, demand.avoided, now);
        return plain ? std::optional(ModelPlacement{*plain, std::nullopt, {EngineLoad{(*plain)->id, 1, 0, 0}}}) : std::nullopt;
    }
    if (!mayTakeReserve(demand, now)) {
        return std::nullopt;
    }
    const std::vector<Candidate> decodes = decodeCandidates(demand, now);
    const std::vector<Candidate> prefills = prefillCandidates(demand, now);
    const double longestReadMs = longestReadShare * absl::ToDoubleMilliseconds(demand.target);
    std::optional<ModelPlacement> best;
    double bestCost = 0;
    const auto consider = [&](double cost, const EngineEntry &decode, const std::optional<EngineEntry> &prefill) {
        if (!best || cost < bestCost) {
            best = ModelPlacement{decode, prefill, {}};
            bestCost = cost;
        }
    };
    for (const Candidate &decode : decodes) {
        for (const Candidate &prefill : prefills) {
            const bool isNear = prefill.engine->entry->dataCentre == decode.engine->entry->dataCentre;
            if (prefill.cost <= longestReadMs) {
                consider(decode.cost + prefill.cost + (isNear ? 0 : crossTransferPenaltyMs), decode.engine->entry, prefill.engine->entry);
            }
        }
        const auto tokens = static_cast<double>(decode.load.prefillTokens + demand.promptTokens);
        const double readMs = absl::ToDoubleMilliseconds(decode.engine->health.cost(now) * tokens);
        if (readMs <= longestReadMs && mayReadThere(decode, demand, readMs)) {
            const double harmMs = readThereBaseMs + readTherePerStreamMs * static_cast<double>(decode.load.requests);
            consider(decode.cost + readMs + harmMs, decode.engine->entry, std::nullopt);
        }
    }
    if (best) {
        best->loads.push_back(EngineLoad{best->decode->id, 1, demand.memoryTokens, best->prefill ? 0 : demand.promptTokens});
        if (best->prefill) {
            best->loads.push_back(EngineLoad{(*best->prefill)->id, 1, 0, demand.promptTokens});
        }
        for (const EngineLoad &load : best->loads) {
            add(load);
        }
        notePlaced(demand, now);
    }
    return best;
}

void ServicePool::wait(WaiterId waiter, ModelDemand demand, absl::Time now)
{
    m_waiters.insert_or_assign(waiter, Waiter{std::move(demand), now});
}

void ServicePool::stopWaiting(WaiterId waiter)
{
    m_waiters.erase(waiter);
}

std::vector<Grant> ServicePool::grantRoom(absl::Time now)
{
    using Order = std::tuple<bool, std::int64_t, absl::Time, WaiterId>;
    std::vector<Order> order;
    for (const auto &[id, waiter] : m_waiters) {
        const bool isLate = waiter.demand.isLate || now - waiter.since > waiter.demand.target * lateAfter;
        const std::int64_t rank = isBelowFloor(waiter.demand.rank, now) ? 0 : waiter.demand.rank;
        order.emplace_back(isLate, rank, waiter.since, id);
    }
    std::sort(order.begin(), order.end());
    std::vector<Grant> grants;
    for (const auto &[isLate, rank, since, id] : order) {
        const std::optional<ModelPlacement> placement = placeModel(m_waiters.at(id).demand, now);
        if (!placement) {
            break; // A smaller call behind must not keep a large one waiting for ever.
        }
        grants.push_back(Grant{id, *placement});
        m_waiters.erase(id);
    }
    return grants;
}

void ServicePool::release(const EngineLoad &load)
{
    const auto it = m_own.find(load.engine);
    if (it == m_own.end()) {
        return;
    }
    EngineLoad &own = it->second;
    own.requests = std::max<std::int64_t>(0, own.requests - load.requests);
    own.memoryTokens = std::max<std::int64_t>(0, own.memoryTokens - load.memoryTokens);
    own.prefillTokens = std::max<std::int64_t>(0, own.prefillTokens - load.prefillTokens);
    if (own.requests == 0 && own.memoryTokens == 0 && own.prefillTokens == 0) {
        m_own.erase(it);
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

void ServicePool::setPeerLoads(const NodeId &node, const std::vector<EngineLoad> &loads, absl::Time now)
{
    PeerLoads &peer = m_peers[node];
    peer.heard = now;
    peer.loads.clear();
    for (const EngineLoad &load : loads) {
        peer.loads[load.engine] = load;
    }
    std::erase_if(m_peers, [&](const auto &entry) { return now - entry.second.heard > peerLoadLife; });
}

std::vector<EngineLoad> ServicePool::ownLoads() const
{
    std::vector<EngineLoad> loads;
    for (const auto &[id, load] : m_own) {
        loads.push_back(load);
    }
    return loads;
}

bool ServicePool::isReady(const EngineEntry &engine) const
{
    const auto it = m_engines.find(engine->id);
    return it != m_engines.end() && it->second.entry->condition == EngineCondition::Ready && it->second.entry->bornMs == engine->bornMs;
}

void ServicePool::add(const EngineLoad &load)
{
    EngineLoad &own = m_own[load.engine];
    own.engine = load.engine;
    own.requests += load.requests;
    own.memoryTokens += load.memoryTokens;
    own.prefillTokens += load.prefillTokens;
}

bool ServicePool::hasOther(const std::vector<EngineId> &avoided) const
{
    return std::any_of(m_engines.begin(), m_engines.end(), [&](const auto &entry) {
        return entry.second.entry->condition == EngineCondition::Ready && !isAvoided(avoided, entry.first);
    });
}

EngineLoad ServicePool::totalLoad(const EngineId &engine, absl::Time now) const
{
    EngineLoad total;
    total.engine = engine;
    const auto add = [&](const EngineLoad &load) {
        total.requests += load.requests;
        total.memoryTokens += load.memoryTokens;
        total.prefillTokens += load.prefillTokens;
    };
    if (const auto own = m_own.find(engine); own != m_own.end()) {
        add(own->second);
    }
    for (const auto &[node, peer] : m_peers) {
        const auto it = peer.loads.find(engine);
        if (it != peer.loads.end() && now - peer.heard <= peerLoadLife) {
            add(it->second);
        }
    }
    return total;
}

}
