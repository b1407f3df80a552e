#include "coordination/slicescheduler.h"

#include "coordination/seededbug.h"
#include "state/invariant.h"

#include <absl/hash/hash.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace Apricot {

namespace {

/// Requests of one rank that are tried before the rank counts as blocked.
constexpr std::size_t candidatesTried = 8;

/// A reservation is made for this many times the mean answer.
constexpr double reservedOutputFactor = 1.15;

/// Part of an engine's memory that is left for answers that grow beyond their reservation.
constexpr double growthPart = 0.02;

/// Part of the urgent prompts for which memory is kept free.
constexpr double headroomQuantile = 0.95;

/// Highest attempt that fits the messages' signed numbers: all attempts of a request that nobody knows.
constexpr std::uint64_t anyAttempt = std::numeric_limits<std::int64_t>::max();

/// Headroom never takes more than this part of one engine.
constexpr double largestHeadroomPart = 0.15;

const LadderPolicy *ladderOf(const Policy &policy)
{
    return std::get_if<LadderPolicy>(&policy);
}

}

SliceScheduler::SliceScheduler(SchedulerSettings settings)
    : m_settings(std::move(settings))
    , m_engines(m_settings.prefillPool, m_settings.decodePool)
    , m_queue(m_settings.ranks, m_settings.policy)
    , m_sizes(m_queue.rankCount())
{
    for (const Endpoint &endpoint : m_settings.prefillEndpoints) {
        m_engines.addPrefill(EngineId(endpoint->name), endpoint->dataCentre);
        m_engines.prefill().back().leaving = endpoint->drain;
    }
    for (const Endpoint &endpoint : m_settings.decodeEndpoints) {
        m_engines.addDecode(EngineId(endpoint->name), endpoint->dataCentre);
        m_engines.decode().back().leaving = endpoint->drain;
    }
}

Actions SliceScheduler::handle(const Event &event, absl::Time now)
{
    m_actions.clear();
    std::visit(Overloaded{
                   [&](const WorkArrived &it) { arrived(it, now); },
                   [&](const PrefillFinished &it) { prefillFinished(it, now); },
                   [&](const PrefillFailed &it) { prefillFailed(it, now); },
                   [&](const DecodeStarted &it) { decodeStarted(it); },
                   [&](const TakeoverFailed &it) { takeoverFailed(it, now); },
                   [&](const WorkRenewed &it) { renewed(it, now); },
                   [&](const WorkFinished &it) { finished(it, now); },
                   [&](const WorkCancelled &it) { cancelled(it, now); },
                   [&](const EngineLost &it) { engineLost(it, now); },
                   [&](const EngineBack &it) { engineBack(it); },
                   [&](const EngineLeaving &it) { engineLeaving(it); },
                   [&](const EngineReported &it) { reported(it, now); },
                   [&](const Tick &) { tick(now); },
               },
               event);
    pump(now);
    return std::move(m_actions);
}

SliceCounts SliceScheduler::counts() const
{
    SliceCounts counts;
    counts.waiting = m_queue.size();
    for (const auto &[id, flight] : m_flights) {
        counts.prefilling += flight.stage == Stage::Prefilling ? 1 : 0;
        counts.resultsWaiting += flight.stage == Stage::ResultWaiting ? 1 : 0;
        counts.decoding += flight.stage == Stage::Decoding ? 1 : 0;
    }
    for (const DecodeEngine &engine : m_engines.decode()) {
        counts.reservedPieces += engine.reserved;
    }
    return counts;
}

SliceScheduler::Flight *SliceScheduler::flightOf(const RequestId &id, std::uint64_t attempt)
{
    const auto it = m_flights.find(id);
    return it != m_flights.end() && it->second.work->attempt == attempt ? &it->second : nullptr;
}

void SliceScheduler::arrived(const WorkArrived &event, absl::Time now)
{
    const Work &work = event.work;
    if (!supersede(work, now)) {
        return;
    }
    const std::size_t rank = m_queue.rankOf(work);
    m_queue.noteArrival(rank, now);
    m_sizes[rank].add(piecesNeeded(work));
    std::visit(Overloaded{
                   [&](const LadderPolicy &) { enqueue(work, rank, now); },
                   [&](const FifoPolicy &) {
                       m_queue.push(0, FairQueue::Entry{work, work->arrival, 1});
                   },
                   [&](const LeastLoadedPolicy &) { startAtOnce(work, rank, now); },
                   [&](const PrefixAffinityPolicy &) { startAtOnce(work, rank, now); },
               },
               m_settings.policy);
}

void SliceScheduler::enqueue(const Work &work, std::size_t rank, absl::Time now)
{
    const LadderPolicy &ladder = *ladderOf(m_settings.policy);
    const absl::Time start = latestStart(work, rank);
    const absl::Duration service = work->arrival + m_queue.target(rank) - start;
    const bool hopeless = ladder.earlyRefusal && start < now;
    const bool full = ladder.queueLimit && m_queue.isFull(rank, capacityPerSecond(now), service, now);
    if (!work->resumed && (hopeless || full)) {
        refuse(work, rank, hopeless ? ErrorKind::TargetUnreachable : ErrorKind::RateLimited, now);
        return;
    }
    const auto it = m_settings.weights.find(work->workspace);
    m_queue.push(rank, FairQueue::Entry{work, start, it == m_settings.weights.end() ? 1.0 : it->second});
}

bool SliceScheduler::supersede(const Work &work, absl::Time now)
{
    if (const FairQueue::Entry *waiting = m_queue.find(work->id)) {
        if (work->attempt <= waiting->work->attempt) {
            return false;
        }
        m_queue.remove(work->id);
    }
    const auto it = m_flights.find(work->id);
    if (it == m_flights.end()) {
        return true;
    }
    if (work->attempt < it->second.work->attempt) {
        m_actions.emplace_back(Refuse{work->id, work->attempt, ErrorKind::Superseded, absl::ZeroDuration()});
        return false;
    }
    if (work->attempt == it->second.work->attempt) {
        repeatOrder(it->second);
        return false;
    }
    release(work->id, true, now);
    return true;
}

void SliceScheduler::repeatOrder(const Flight &flight)
{
    const Work &work = flight.work;
    if (!flight.prefill) {
        return;
    }
    const EngineId &prefill = m_engines.prefill()[*flight.prefill].id;
    const EngineId &decode = m_engines.decode()[flight.decode].id;
    switch (flight.stage) {
    case Stage::Prefilling:
        m_actions.emplace_back(StartPrefill{work->id, work->attempt, prefill, decode});
        break;
    case Stage::ResultWaiting:
        break;
    case Stage::Decoding:
        m_actions.emplace_back(StartDecode{work->id, work->attempt, prefill, decode});
        break;
    }
}

void SliceScheduler::prefillFinished(const PrefillFinished &event, absl::Time now)
{
    Flight *flight = flightOf(event.id, event.attempt);
    if (flight == nullptr) {
        return;
    }
    if (flight->stage != Stage::Prefilling) {
        repeatOrder(*flight);
        return;
    }
    if (!flight->prefill) {
        // Taken over from an owner whose configuration had an engine that this one does not know.
        const Work work = flight->work;
        const std::size_t rank = flight->rank;
        release(event.id, true, now);
        refuse(work, rank, ErrorKind::NoCapacity, now);
        return;
    }
    PrefillEngine &engine = m_engines.prefill()[*flight->prefill];
    const auto uncached = static_cast<double>(std::max<std::int64_t>(flight->work->promptTokens - event.cachedTokens, 1));
    engine.msPerThousand.learn(absl::ToDoubleMilliseconds(event.took) / uncached * 1000.0);
    engine.cache.touch(flight->work->prefixHash);
    m_rates.recordPrefill(event.took);
    settlePrefill(*flight, now);
    flight->stage = Stage::ResultWaiting;
    flight->renewed = now;
    flight->resultExpires = now + absl::Milliseconds(m_settings.prefillPool->resultLifetimeMs);
    m_results.insert(resultKey(*flight));
}

void SliceScheduler::prefillFailed(const PrefillFailed &event, absl::Time now)
{
    if (flightOf(event.id, event.attempt) != nullptr) {
        release(event.id, true, now);
    }
}

void SliceScheduler::decodeStarted(const DecodeStarted &event)
{
    const Flight *flight = flightOf(event.id, event.attempt);
    if (flight == nullptr || flight->stage != Stage::Decoding) {
        return;
    }
    const auto thousands = static_cast<double>(std::max<std::int64_t>(flight->work->promptTokens, 1)) / 1000.0;
    m_engines.decode()[flight->decode].transferMsPerThousand.learn(absl::ToDoubleMilliseconds(event.transferTook) / thousands);
}

void SliceScheduler::takeoverFailed(const TakeoverFailed &event, absl::Time now)
{
    if (flightOf(event.id, event.attempt) != nullptr) {
        release(event.id, true, now);
    }
}

void SliceScheduler::renewed(const WorkRenewed &event, absl::Time now)
{
    const auto it = m_flights.find(event.work->id);
    if (it == m_flights.end()) {
        const std::optional<std::size_t> decode = m_engines.findDecode(event.decode);
        if (decode && m_queue.find(event.work->id) == nullptr) {
            adopt(event, *decode, now);
        }
        return;
    }
    Flight &flight = it->second;
    if (event.work->attempt > flight.work->attempt && event.decoding) {
        // A later attempt was given engines by another owner meanwhile.
        const std::optional<std::size_t> decode = m_engines.findDecode(event.decode);
        release(event.work->id, true, now);
        if (decode) {
            adopt(event, *decode, now);
        }
        return;
    }
    const bool sameAttempt = flight.work->attempt == event.work->attempt;
    if (!sameAttempt && !hasSeededBug(SeededBug::RenewWithoutOwnerCheck)) {
        return;
    }
    APRICOT_INVARIANT(sameAttempt, "renewal-of-current-attempt",
                      absl::StrCat(event.work->id.text(), " attempt ", event.work->attempt, " current ", flight.work->attempt));
    if (flight.stage == Stage::Decoding) {
        learnGap(flight, event.tokens, now);
        flight.tokens = std::max(flight.tokens, event.tokens);
        growReservation(flight);
    }
    flight.renewed = now;
}

void SliceScheduler::adopt(const WorkRenewed &event, std::size_t decode, absl::Time now)
{
    Flight flight;
    flight.work = event.work;
    flight.rank = m_queue.rankOf(event.work);
    flight.stage = event.decoding ? Stage::Decoding : Stage::Prefilling;
    flight.prefill = m_engines.findPrefill(event.prefill);
    flight.decode = decode;
    flight.tokens = event.tokens;
    flight.pieces = std::max(piecesNeeded(event.work), m_engines.piecesFor(event.work->promptTokens + event.tokens));
    flight.renewed = now;
    flight.adopted = true;
    ++m_adopted;
    m_engines.reserve(decode, flight.pieces);
    if (event.decoding) {
        m_engines.takeSlot(decode);
    } else if (flight.prefill) {
        ++m_engines.prefill()[*flight.prefill].depth;
    }
    m_orphans.forget(event.work->id);
    m_flights.emplace(event.work->id, std::move(flight));
}

void SliceScheduler::learnGap(Flight &flight, std::int64_t tokens, absl::Time now)
{
    const std::int64_t gained = tokens - flight.tokens;
    if (flight.tokens == 0 || gained <= 0) {
        return;
    }
    DecodeEngine &engine = m_engines.decode()[flight.decode];
    const double seenMs = absl::ToDoubleMilliseconds(now - flight.renewed) / static_cast<double>(gained);
    const double nominalMs = m_engines.gapMs(flight.decode, engine.running) / engine.gapFactor.estimate();
    if (nominalMs > 0) {
        engine.gapFactor.learn(seenMs / nominalMs);
    }
}

void SliceScheduler::growReservation(Flight &flight)
{
    // One renewal interval of growth is reserved ahead, as the next renewal comes only then.
    const std::int64_t ahead = absl::ToInt64Milliseconds(SchedulerTimes::renewalInterval)
        / std::max<std::int64_t>(1, static_cast<std::int64_t>(m_settings.decodePool->decodeGapMs));
    const std::int64_t tokens = std::min(flight.tokens + ahead, std::max(flight.work->maxTokens, flight.tokens));
    const std::int64_t wanted = m_engines.piecesFor(flight.work->promptTokens + tokens);
    if (wanted > flight.pieces && m_engines.grow(flight.decode, wanted - flight.pieces)) {
        flight.pieces = wanted;
    }
}

void SliceScheduler::finished(const WorkFinished &event, absl::Time now)
{
    if (flightOf(event.id, event.attempt) == nullptr) {
        return;
    }
    m_rates.recordOutput(event.tokens);
    release(event.id, false, now);
}

void SliceScheduler::cancelled(const WorkCancelled &event, absl::Time now)
{
    const FairQueue::Entry *waiting = m_queue.find(event.id);
    if (waiting != nullptr && waiting->work->attempt <= event.attempt) {
        m_queue.remove(event.id);
    }
    const auto it = m_flights.find(event.id);
    if (it != m_flights.end() && it->second.work->attempt <= event.attempt) {
        release(event.id, true, now);
    }
}

void SliceScheduler::engineLost(const EngineLost &event, absl::Time now)
{
    const std::optional<std::size_t> prefill = m_engines.findPrefill(event.engine);
    const std::optional<std::size_t> decode = m_engines.findDecode(event.engine);
    if (prefill) {
        m_engines.prefill()[*prefill].alive = false;
        m_engines.prefill()[*prefill].cache.clear();
    }
    if (decode) {
        m_engines.decode()[*decode].alive = false;
    }
    std::vector<RequestId> gone;
    for (auto &[id, flight] : m_flights) {
        const bool onPrefill = prefill && flight.prefill == prefill && flight.stage != Stage::Decoding;
        const bool onDecode = decode && flight.decode == *decode;
        if (onPrefill || (onDecode && flight.stage == Stage::Decoding)) {
            gone.push_back(id);
        }
    }
    // The coordinators of these requests see the loss themselves and come back with a later attempt.
    std::sort(gone.begin(), gone.end());
    for (const RequestId &id : gone) {
        release(id, false, now);
    }
}

void SliceScheduler::engineBack(const EngineBack &event)
{
    if (const std::optional<std::size_t> prefill = m_engines.findPrefill(event.engine)) {
        m_engines.prefill()[*prefill].alive = true;
    }
    if (const std::optional<std::size_t> decode = m_engines.findDecode(event.engine)) {
        m_engines.decode()[*decode].alive = true;
    }
}

void SliceScheduler::engineLeaving(const EngineLeaving &event)
{
    if (const std::optional<std::size_t> prefill = m_engines.findPrefill(event.engine)) {
        m_engines.prefill()[*prefill].leaving = true;
    }
    if (const std::optional<std::size_t> decode = m_engines.findDecode(event.engine)) {
        m_engines.decode()[*decode].leaving = true;
    }
}

void SliceScheduler::reported(const EngineReported &event, absl::Time now)
{
    if (const std::optional<std::size_t> prefill = m_engines.findPrefill(event.engine)) {
        if (!event.cachedPrefixes.empty()) {
            m_engines.prefill()[*prefill].cache.replace(event.cachedPrefixes);
        }
    }
    if (const std::optional<std::size_t> decode = m_engines.findDecode(event.engine)) {
        DecodeEngine &engine = m_engines.decode()[*decode];
        engine.reportedRunning = event.running;
        engine.reportedPieces = event.piecesInUse;
    }
    const auto isKnown = [this](const RequestId &id) {
        return m_flights.contains(id);
    };
    for (const RequestId &id : m_orphans.look(event.held, isKnown, now)) {
        m_actions.emplace_back(CancelOnEngine{id, anyAttempt, event.engine});
    }
}

void SliceScheduler::tick(absl::Time now)
{
    std::vector<RequestId> stale;
    for (const auto &[id, flight] : m_flights) {
        if (flight.renewed + SchedulerTimes::reservationLease < now) {
            stale.push_back(id);
        }
    }
    if (!hasSeededBug(SeededBug::ForgetOrphan)) {
        std::sort(stale.begin(), stale.end());
        for (const RequestId &id : stale) {
            release(id, true, now);
        }
    }
    m_orphans.forgetOld(now);
    refuseOverdue(now);
}

void SliceScheduler::pump(absl::Time now)
{
    pumpResults(now);
    if (m_queue.isEmpty()) {
        return;
    }
    SlotForecast slots = slotForecast(now);
    while (!m_queue.isEmpty() && startNext(slots, now)) {
        slots.freeNow -= 1;
    }
}

void SliceScheduler::pumpResults(absl::Time now)
{
    // The ranks' shares were settled when the prefills started; now the earliest deadline takes the next free slot.
    bool mayHaveSlot = takesOverAtOnce() || m_engines.hasFreeSlot(isCareful(now));
    for (auto it = m_results.begin(); it != m_results.end();) {
        const RequestId id = it->second;
        ++it; // The entry may go.
        Flight &flight = m_flights.at(id);
        if (flight.resultExpires - SchedulerTimes::takeoverMargin < now) {
            const Work work = flight.work;
            const std::size_t rank = flight.rank;
            release(id, true, now);
            refuse(work, rank, ErrorKind::NoCapacity, now);
            continue;
        }
        const std::optional<std::size_t> decode = mayHaveSlot ? decodeForResult(flight, now) : std::nullopt;
        if (decode) {
            takeOver(flight, *decode);
            mayHaveSlot = takesOverAtOnce() || m_engines.hasFreeSlot(isCareful(now));
        }
    }
}

bool SliceScheduler::takesOverAtOnce() const
{
    return std::holds_alternative<LeastLoadedPolicy>(m_settings.policy) || std::holds_alternative<PrefixAffinityPolicy>(m_settings.policy);
}

std::pair<absl::Time, RequestId> SliceScheduler::resultKey(const Flight &flight) const
{
    return {flight.work->arrival + m_queue.target(flight.rank), flight.work->id};
}

std::optional<std::size_t> SliceScheduler::decodeForResult(const Flight &flight, absl::Time now) const
{
    const LadderPolicy *ladder = ladderOf(m_settings.policy);
    const bool careful = isCareful(now);
    const bool ownAlive = m_engines.decode()[flight.decode].alive;
    if (ownAlive && ladder != nullptr && m_engines.freeSlots(flight.decode, careful) > 0) {
        return flight.decode;
    }
    const bool bySlots = ladder != nullptr || std::holds_alternative<FifoPolicy>(m_settings.policy);
    if (ladder != nullptr && !ladder->rebind && ownAlive) {
        return std::nullopt;
    }
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < m_engines.decode().size(); ++i) {
        const DecodeEngine &engine = m_engines.decode()[i];
        const bool hasSlot = !bySlots || m_engines.freeSlots(i, careful) > 0;
        const bool hasMemory = ladder == nullptr || !ladder->memoryReservation || m_engines.freePieces(i, careful) >= flight.pieces;
        if (!engine.usable() || !hasSlot || !hasMemory) {
            continue;
        }
        if (!best || engine.running < m_engines.decode()[*best].running) {
            best = i;
        }
    }
    return best;
}

void SliceScheduler::takeOver(Flight &flight, std::size_t decode)
{
    if (decode != flight.decode) {
        m_engines.release(flight.decode, flight.pieces, false);
        m_engines.reserve(decode, flight.pieces);
        flight.decode = decode;
    }
    m_engines.takeSlot(decode);
    flight.stage = Stage::Decoding;
    m_results.erase(resultKey(flight));
    repeatOrder(flight);
}

bool SliceScheduler::startNext(const SlotForecast &slots, absl::Time now)
{
    bool poolFull = false;
    for (const std::size_t rank : m_queue.order(now)) {
        if (startFrom(rank, slots, now, &poolFull)) {
            return true;
        }
        if (poolFull) {
            return false;
        }
    }
    return false;
}

bool SliceScheduler::startFrom(std::size_t rank, const SlotForecast &slots, absl::Time now, bool *poolFull)
{
    const PlacementFinder finder(m_engines, rulesFor(rank, now));
    const LadderPolicy *ladder = ladderOf(m_settings.policy);
    std::optional<Placement> placement;
    RequestId chosen;
    *poolFull = !finder.hasFreePrefill(now);
    if (*poolFull) {
        return false;
    }
    m_queue.anyCandidate(rank, capacityPerSecond(now), now, candidatesTried, [&](const FairQueue::Entry &entry) {
        const Work &work = entry.work;
        NoPlacement reason = NoPlacement::NoPrefillEngine;
        placement = finder.find(work, piecesNeeded(work), m_rates.meanOutput(work->maxTokens), slots, now, &reason);
        if (!placement) {
            *poolFull = reason != NoPlacement::NoMemory;
            return *poolFull;
        }
        if (ladder != nullptr && ladder->earlyRefusal && isTooLate(work, rank, placement->firstTokenAt)) {
            // A slot may come free sooner than forecast: the request waits until its latest start has passed.
            placement.reset();
            return false;
        }
        chosen = work->id;
        return true;
    });
    if (!placement) {
        return false;
    }
    start(chosen, rank, *placement, now);
    return true;
}

bool SliceScheduler::isTooLate(const Work &work, std::size_t rank, absl::Time firstToken) const
{
    return !work->resumed && firstToken + SchedulerTimes::predictionMargin > work->arrival + m_queue.target(rank);
}

void SliceScheduler::start(const RequestId &id, std::size_t rank, const Placement &placement, absl::Time now)
{
    FairQueue::Entry entry = *m_queue.remove(id);
    const Work &work = entry.work;
    PrefillEngine &prefill = m_engines.prefill()[placement.prefill];
    const DecodeEngine &decode = m_engines.decode()[placement.decode];
    APRICOT_INVARIANT(!prefill.leaving && !decode.leaving, "no-work-to-leaving-engine",
                      absl::StrCat(work->id.text(), " on ", prefill.id.text(), " and ", decode.id.text()));
    prefill.busyUntil = placement.readyAt;
    prefill.pendingMs += placement.prefillMs;
    ++prefill.depth;
    Flight flight;
    flight.work = work;
    flight.rank = rank;
    flight.prefill = placement.prefill;
    flight.decode = placement.decode;
    flight.pieces = piecesNeeded(work);
    flight.prefillMs = placement.prefillMs;
    flight.renewed = now;
    m_engines.reserve(placement.decode, flight.pieces);
    APRICOT_INVARIANT(mayOverfill() || decode.reserved <= decode.pieces, "reservations-within-memory",
                      absl::StrCat(decode.id.text(), " reserved=", decode.reserved, " of ", decode.pieces));
    const double slotMs = m_engines.gapMs(placement.decode, decode.slots) / static_cast<double>(std::max<std::int64_t>(decode.slots, 1));
    m_queue.noteStart(rank, entry, placement.prefillMs + m_rates.meanOutput(work->maxTokens) * slotMs, now);
    repeatOrder(flight);
    m_flights.insert_or_assign(id, std::move(flight));
}

void SliceScheduler::refuseOverdue(absl::Time now)
{
    const LadderPolicy *ladder = ladderOf(m_settings.policy);
    if (ladder == nullptr || !ladder->earlyRefusal) {
        return;
    }
    for (const RequestId &id : m_queue.overdue(now)) {
        const Work work = m_queue.find(id)->work;
        if (work->resumed && now - work->arrival < SchedulerTimes::resumeLimit) {
            continue;
        }
        m_queue.remove(id);
        refuse(work, m_queue.rankOf(work), work->resumed ? ErrorKind::AnswerIncomplete : ErrorKind::TargetUnreachable, now);
    }
}

void SliceScheduler::startAtOnce(const Work &work, std::size_t rank, absl::Time now)
{
    Placement placement;
    placement.prefill = fewestPrefills(work);
    const PlacementFinder finder(m_engines, PlacementRules{});
    placement.prefillMs = finder.prefillMs(work, placement.prefill);
    placement.readyAt = std::max(m_engines.prefill()[placement.prefill].busyUntil, now) + absl::Milliseconds(placement.prefillMs);
    m_queue.push(rank, FairQueue::Entry{work, work->arrival, 1});
    start(work->id, rank, placement, now);
}

std::size_t SliceScheduler::fewestPrefills(const Work &work) const
{
    const std::vector<PrefillEngine> &engines = m_engines.prefill();
    std::size_t best = 0;
    for (std::size_t i = 0; i < engines.size(); ++i) {
        if (engines[i].usable() && (!engines[best].usable() || engines[i].depth < engines[best].depth)) {
            best = i;
        }
    }
    if (!std::holds_alternative<PrefixAffinityPolicy>(m_settings.policy) || work->prefixHash == 0) {
        return best;
    }
    const std::size_t home = work->prefixHash % engines.size();
    return engines[home].usable() && engines[home].depth <= 2 * engines[best].depth + 2 ? home : best;
}

void SliceScheduler::release(const RequestId &id, bool cancelOnEngines, absl::Time now)
{
    const auto it = m_flights.find(id);
    if (it == m_flights.end()) {
        return;
    }
    Flight flight = std::move(it->second);
    m_flights.erase(it);
    m_results.erase(resultKey(flight));
    m_adopted -= flight.adopted ? 1 : 0;
    if (flight.stage == Stage::Prefilling) {
        settlePrefill(flight, now);
    }
    m_engines.release(flight.decode, flight.pieces, flight.stage == Stage::Decoding);
    if (hasSeededBug(SeededBug::ReleaseTwice)) {
        m_engines.release(flight.decode, flight.pieces, flight.stage == Stage::Decoding);
    }
    if (!cancelOnEngines) {
        return;
    }
    if (flight.prefill && flight.stage != Stage::Decoding) {
        m_actions.emplace_back(CancelOnEngine{id, flight.work->attempt, m_engines.prefill()[*flight.prefill].id});
    }
    m_actions.emplace_back(CancelOnEngine{id, flight.work->attempt, m_engines.decode()[flight.decode].id});
}

void SliceScheduler::settlePrefill(Flight &flight, absl::Time now)
{
    if (!flight.prefill) {
        return;
    }
    PrefillEngine &engine = m_engines.prefill()[*flight.prefill];
    --engine.depth;
    engine.pendingMs = engine.depth > 0 ? std::max(engine.pendingMs - flight.prefillMs, 0.0) : 0.0;
    engine.busyUntil = now + absl::Milliseconds(engine.pendingMs);
}

void SliceScheduler::refuse(const Work &work, std::size_t rank, ErrorKind kind, absl::Time now)
{
    m_queue.noteRefusal(rank, now);
    m_actions.emplace_back(Refuse{work->id, work->attempt, kind, m_queue.retryAfter(rank, capacityPerSecond(now), now)});
}

bool SliceScheduler::isCareful(absl::Time now) const
{
    return m_settings.careful && now < m_settings.startedAt + SchedulerTimes::carefulStart;
}

bool SliceScheduler::mayOverfill() const
{
    // Baselines do not reserve, and reservations taken over from an earlier owner may add up to more.
    const LadderPolicy *ladder = ladderOf(m_settings.policy);
    return ladder == nullptr || !ladder->memoryReservation || m_adopted > 0;
}

PlacementRules SliceScheduler::rulesFor(std::size_t rank, absl::Time now) const
{
    PlacementRules rules;
    rules.lookahead = SchedulerTimes::prefillLookahead;
    rules.slotSlack = SchedulerTimes::slotSlack;
    rules.careful = isCareful(now);
    const LadderPolicy *ladder = ladderOf(m_settings.policy);
    if (ladder == nullptr) {
        rules.checkMemory = false;
        rules.usePrefixCache = false;
        rules.slotSlack = absl::InfiniteDuration();
        return rules;
    }
    rules.forecast = ladder->slotForecast;
    rules.checkMemory = ladder->memoryReservation;
    rules.usePrefixCache = ladder->prefixCache;
    rules.growthPieces = static_cast<std::int64_t>(static_cast<double>(m_settings.decodePool->pieces) * growthPart);
    if (ladder->headroom && m_queue.hasUrgentDemand(rank, now) && m_queue.isOverloaded(rank, capacityPerSecond(now), now)) {
        const auto largest = static_cast<std::int64_t>(static_cast<double>(m_settings.decodePool->pieces) * largestHeadroomPart);
        rules.headroomPieces = std::min(m_sizes[0].quantile(headroomQuantile), largest);
    }
    return rules;
}

SlotForecast SliceScheduler::slotForecast(absl::Time now) const
{
    return SlotForecast{static_cast<double>(m_engines.openSlots(isCareful(now))), m_rates.releasesPerMs(m_engines, now)};
}

std::int64_t SliceScheduler::piecesNeeded(const Work &work) const
{
    const auto output = static_cast<std::int64_t>(m_rates.meanOutput(work->maxTokens) * reservedOutputFactor);
    return m_engines.piecesFor(work->promptTokens + std::min(output, work->maxTokens));
}

double SliceScheduler::capacityPerSecond(absl::Time now) const
{
    return m_rates.capacityPerSecond(m_engines, now);
}

absl::Time SliceScheduler::latestStart(const Work &work, std::size_t rank) const
{
    const double thousands = static_cast<double>(work->promptTokens) / 1000.0;
    const double serviceMs
        = thousands * (m_settings.prefillPool->prefillMsPerThousandTokens + m_settings.decodePool->transferMsPerThousandTokens)
        + m_settings.decodePool->loadedGapMs;
    return work->arrival + m_queue.target(rank) - absl::Milliseconds(serviceMs) - SchedulerTimes::predictionMargin;
}

}
