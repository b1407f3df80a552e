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

/// Number of requests of one rank that are tried before the rank counts as blocked.
constexpr std::size_t maxCandidatesPerRank = 8;

/// Reservations cover the mean output length multiplied by this factor.
constexpr double reservedOutputFactor = 1.15;

/// Fraction of an engine's memory that is kept free for outputs that exceed their reservation.
constexpr double growthFraction = 0.02;

/// Quantile of the urgent requests' memory needs for which memory is kept free.
constexpr double headroomQuantile = 0.95;

/// Highest attempt number that the signed fields of messages can hold. It covers all attempts of an unknown request.
constexpr std::uint64_t maxAttemptNumber = std::numeric_limits<std::int64_t>::max();

/// Maximum fraction of one engine's memory that is kept free as headroom.
constexpr double maxHeadroomFraction = 0.15;

const LadderPolicy *ladderPolicyOf(const Policy &policy)
{
    return std::get_if<LadderPolicy>(&policy);
}

}

SliceScheduler::SliceScheduler(SchedulerSettings settings)
    : m_settings(std::move(settings))
    , m_engines(m_settings.prefillPool, m_settings.decodePool)
    , m_queue(m_settings.ranks, m_settings.policy)
    , m_requestPieces(m_queue.rankCount())
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
                   [&](const WorkArrived &it) { handleWorkArrived(it, now); },
                   [&](const PrefillFinished &it) { handlePrefillFinished(it, now); },
                   [&](const PrefillFailed &it) { handlePrefillFailed(it, now); },
                   [&](const DecodeStarted &it) { handleDecodeStarted(it); },
                   [&](const KvTransferFailed &it) { handleKvTransferFailed(it, now); },
                   [&](const WorkRenewed &it) { handleWorkRenewed(it, now); },
                   [&](const WorkFinished &it) { handleWorkFinished(it, now); },
                   [&](const WorkCancelled &it) { handleWorkCancelled(it, now); },
                   [&](const EngineLost &it) { handleEngineLost(it, now); },
                   [&](const EngineRecovered &it) { handleEngineRecovered(it); },
                   [&](const EngineLeaving &it) { handleEngineLeaving(it); },
                   [&](const EngineReported &it) { handleEngineReported(it, now); },
                   [&](const Tick &) { handleTick(now); },
               },
               event);
    dispatch(now);
    return std::move(m_actions);
}

SliceCounts SliceScheduler::counts() const
{
    SliceCounts counts;
    counts.waiting = m_queue.size();
    for (const auto &[id, request] : m_activeRequests) {
        counts.prefilling += request.stage == Stage::Prefilling ? 1 : 0;
        counts.awaitingSlot += request.stage == Stage::AwaitingSlot ? 1 : 0;
        counts.decoding += request.stage == Stage::Decoding ? 1 : 0;
    }
    for (const DecodeEngine &engine : m_engines.decode()) {
        counts.reservedPieces += engine.reservedPieces;
    }
    return counts;
}

SliceScheduler::ActiveRequest *SliceScheduler::findActiveRequest(const RequestId &id, std::uint64_t attempt)
{
    const auto it = m_activeRequests.find(id);
    return it != m_activeRequests.end() && it->second.work->attempt == attempt ? &it->second : nullptr;
}

void SliceScheduler::handleWorkArrived(const WorkArrived &event, absl::Time now)
{
    const Work &work = event.work;
    if (!supersedeEarlierAttempt(work, now)) {
        return;
    }
    const std::size_t rank = m_queue.rankOf(work);
    m_queue.recordArrival(rank, now);
    m_requestPieces[rank].add(piecesNeeded(work));
    std::visit(Overloaded{
                   [&](const LadderPolicy &) { enqueue(work, rank, now); },
                   [&](const FifoPolicy &) {
                       m_queue.push(0, FairQueue::Entry{work, work->arrivalTime, 1});
                   },
                   [&](const LeastLoadedPolicy &) { startImmediately(work, rank, now); },
                   [&](const PrefixAffinityPolicy &) { startImmediately(work, rank, now); },
               },
               m_settings.policy);
}

void SliceScheduler::enqueue(const Work &work, std::size_t rank, absl::Time now)
{
    const LadderPolicy &ladder = *ladderPolicyOf(m_settings.policy);
    const absl::Time start = latestStart(work, rank);
    const absl::Duration serviceTime = work->arrivalTime + m_queue.target(rank) - start;
    const bool tooLate = ladder.earlyRefusal && start < now;
    const bool queueFull = ladder.queueLimit && m_queue.isFull(rank, capacityPerSecond(now), serviceTime, now);
    if (!work->resumed && (tooLate || queueFull)) {
        refuse(work, rank, tooLate ? ErrorKind::TargetUnreachable : ErrorKind::RateLimited, now);
        return;
    }
    const auto it = m_settings.weights.find(work->workspace);
    m_queue.push(rank, FairQueue::Entry{work, start, it == m_settings.weights.end() ? 1.0 : it->second});
}

bool SliceScheduler::supersedeEarlierAttempt(const Work &work, absl::Time now)
{
    if (const FairQueue::Entry *waiting = m_queue.find(work->id)) {
        if (work->attempt <= waiting->work->attempt) {
            return false;
        }
        m_queue.remove(work->id);
    }
    const auto it = m_activeRequests.find(work->id);
    if (it == m_activeRequests.end()) {
        return true;
    }
    if (work->attempt < it->second.work->attempt) {
        m_actions.emplace_back(Refuse{work->id, work->attempt, ErrorKind::Superseded, absl::ZeroDuration()});
        return false;
    }
    if (work->attempt == it->second.work->attempt) {
        emitStartAction(it->second);
        return false;
    }
    release(work->id, true, now);
    return true;
}

void SliceScheduler::emitStartAction(const ActiveRequest &request)
{
    const Work &work = request.work;
    if (!request.prefill) {
        return;
    }
    const EngineId &prefill = m_engines.prefill()[*request.prefill].id;
    const EngineId &decode = m_engines.decode()[request.decode].id;
    switch (request.stage) {
    case Stage::Prefilling:
        m_actions.emplace_back(StartPrefill{work->id, work->attempt, prefill, decode});
        break;
    case Stage::AwaitingSlot:
        break;
    case Stage::Decoding:
        m_actions.emplace_back(StartDecode{work->id, work->attempt, prefill, decode});
        break;
    }
}

void SliceScheduler::handlePrefillFinished(const PrefillFinished &event, absl::Time now)
{
    ActiveRequest *request = findActiveRequest(event.id, event.attempt);
    if (request == nullptr) {
        return;
    }
    if (request->stage != Stage::Prefilling) {
        emitStartAction(*request);
        return;
    }
    if (!request->prefill) {
        // The request was adopted from an owner whose configuration had an engine that this node does not know.
        const Work work = request->work;
        const std::size_t rank = request->rank;
        release(event.id, true, now);
        refuse(work, rank, ErrorKind::NoCapacity, now);
        return;
    }
    PrefillEngine &engine = m_engines.prefill()[*request->prefill];
    const auto uncached = static_cast<double>(std::max<std::int64_t>(request->work->promptTokens - event.cachedTokens, 1));
    engine.msPerThousandTokens.addSample(absl::ToDoubleMilliseconds(event.duration) / uncached * 1000.0);
    engine.cache.touch(request->work->prefixHash);
    m_rates.recordPrefill(event.duration);
    releasePrefill(*request, now);
    request->stage = Stage::AwaitingSlot;
    request->lastRenewal = now;
    request->resultExpiry = now + absl::Milliseconds(m_settings.prefillPool->resultLifetimeMs);
    m_pendingResults.insert(resultKey(*request));
}

void SliceScheduler::handlePrefillFailed(const PrefillFailed &event, absl::Time now)
{
    if (findActiveRequest(event.id, event.attempt) != nullptr) {
        release(event.id, true, now);
    }
}

void SliceScheduler::handleDecodeStarted(const DecodeStarted &event)
{
    const ActiveRequest *request = findActiveRequest(event.id, event.attempt);
    if (request == nullptr || request->stage != Stage::Decoding) {
        return;
    }
    const auto thousands = static_cast<double>(std::max<std::int64_t>(request->work->promptTokens, 1)) / 1000.0;
    m_engines.decode()[request->decode].transferMsPerThousandTokens.addSample(absl::ToDoubleMilliseconds(event.transferDuration)
                                                                              / thousands);
}

void SliceScheduler::handleKvTransferFailed(const KvTransferFailed &event, absl::Time now)
{
    if (findActiveRequest(event.id, event.attempt) != nullptr) {
        release(event.id, true, now);
    }
}

void SliceScheduler::handleWorkRenewed(const WorkRenewed &event, absl::Time now)
{
    const auto it = m_activeRequests.find(event.work->id);
    if (it == m_activeRequests.end()) {
        const std::optional<std::size_t> decode = m_engines.findDecode(event.decode);
        if (decode && m_queue.find(event.work->id) == nullptr) {
            adopt(event, *decode, now);
        }
        return;
    }
    ActiveRequest &request = it->second;
    if (event.work->attempt > request.work->attempt && event.decoding) {
        // In the meantime, another owner assigned engines to a later attempt.
        const std::optional<std::size_t> decode = m_engines.findDecode(event.decode);
        release(event.work->id, true, now);
        if (decode) {
            adopt(event, *decode, now);
        }
        return;
    }
    const bool sameAttempt = request.work->attempt == event.work->attempt;
    if (!sameAttempt && !hasSeededBug(SeededBug::RenewWithoutOwnerCheck)) {
        return;
    }
    APRICOT_INVARIANT(sameAttempt, "renewal-of-current-attempt",
                      absl::StrCat(event.work->id.text(), " attempt ", event.work->attempt, " current ", request.work->attempt));
    if (request.stage == Stage::Decoding) {
        updateTokenGap(request, event.tokens, now);
        request.tokens = std::max(request.tokens, event.tokens);
        extendReservation(request);
    }
    request.lastRenewal = now;
}

void SliceScheduler::adopt(const WorkRenewed &event, std::size_t decode, absl::Time now)
{
    ActiveRequest request;
    request.work = event.work;
    request.rank = m_queue.rankOf(event.work);
    request.stage = event.decoding ? Stage::Decoding : Stage::Prefilling;
    request.prefill = m_engines.findPrefill(event.prefill);
    request.decode = decode;
    request.tokens = event.tokens;
    request.pieces = std::max(piecesNeeded(event.work), m_engines.piecesFor(event.work->promptTokens + event.tokens));
    request.lastRenewal = now;
    request.adopted = true;
    ++m_adoptedCount;
    m_engines.reserve(decode, request.pieces);
    if (event.decoding) {
        m_engines.occupySlot(decode);
    } else if (request.prefill) {
        ++m_engines.prefill()[*request.prefill].pendingRequests;
    }
    m_orphanDetector.remove(event.work->id);
    m_activeRequests.emplace(event.work->id, std::move(request));
}

void SliceScheduler::updateTokenGap(ActiveRequest &request, std::int64_t tokens, absl::Time now)
{
    const std::int64_t newTokens = tokens - request.tokens;
    if (request.tokens == 0 || newTokens <= 0) {
        return;
    }
    DecodeEngine &engine = m_engines.decode()[request.decode];
    const double measuredMs = absl::ToDoubleMilliseconds(now - request.lastRenewal) / static_cast<double>(newTokens);
    const double nominalMs = m_engines.tokenGapMs(request.decode, engine.running) / engine.tokenGapFactor.estimate();
    if (nominalMs > 0) {
        engine.tokenGapFactor.addSample(measuredMs / nominalMs);
    }
}

void SliceScheduler::extendReservation(ActiveRequest &request)
{
    // Reserves the growth of one renewal interval in advance, because the next renewal arrives only after it.
    const std::int64_t lookaheadTokens = absl::ToInt64Milliseconds(SchedulerTimings::renewalInterval)
        / std::max<std::int64_t>(1, static_cast<std::int64_t>(m_settings.decodePool->decodeGapMs));
    const std::int64_t tokens = std::min(request.tokens + lookaheadTokens, std::max(request.work->maxTokens, request.tokens));
    const std::int64_t neededPieces = m_engines.piecesFor(request.work->promptTokens + tokens);
    if (neededPieces > request.pieces && m_engines.tryGrow(request.decode, neededPieces - request.pieces)) {
        request.pieces = neededPieces;
    }
}

void SliceScheduler::handleWorkFinished(const WorkFinished &event, absl::Time now)
{
    if (findActiveRequest(event.id, event.attempt) == nullptr) {
        return;
    }
    m_rates.recordOutput(event.tokens);
    release(event.id, false, now);
}

void SliceScheduler::handleWorkCancelled(const WorkCancelled &event, absl::Time now)
{
    const FairQueue::Entry *waiting = m_queue.find(event.id);
    if (waiting != nullptr && waiting->work->attempt <= event.attempt) {
        m_queue.remove(event.id);
    }
    const auto it = m_activeRequests.find(event.id);
    if (it != m_activeRequests.end() && it->second.work->attempt <= event.attempt) {
        release(event.id, true, now);
    }
}

void SliceScheduler::handleEngineLost(const EngineLost &event, absl::Time now)
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
    std::vector<RequestId> affected;
    for (auto &[id, request] : m_activeRequests) {
        const bool onPrefill = prefill && request.prefill == prefill && request.stage != Stage::Decoding;
        const bool onDecode = decode && request.decode == *decode;
        if (onPrefill || (onDecode && request.stage == Stage::Decoding)) {
            affected.push_back(id);
        }
    }
    // The coordinators of these requests detect the loss themselves and send a later attempt.
    std::sort(affected.begin(), affected.end());
    for (const RequestId &id : affected) {
        release(id, false, now);
    }
}

void SliceScheduler::handleEngineRecovered(const EngineRecovered &event)
{
    if (const std::optional<std::size_t> prefill = m_engines.findPrefill(event.engine)) {
        m_engines.prefill()[*prefill].alive = true;
    }
    if (const std::optional<std::size_t> decode = m_engines.findDecode(event.engine)) {
        m_engines.decode()[*decode].alive = true;
    }
}

void SliceScheduler::handleEngineLeaving(const EngineLeaving &event)
{
    if (const std::optional<std::size_t> prefill = m_engines.findPrefill(event.engine)) {
        m_engines.prefill()[*prefill].leaving = true;
    }
    if (const std::optional<std::size_t> decode = m_engines.findDecode(event.engine)) {
        m_engines.decode()[*decode].leaving = true;
    }
}

void SliceScheduler::handleEngineReported(const EngineReported &event, absl::Time now)
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
        return m_activeRequests.contains(id);
    };
    for (const RequestId &id : m_orphanDetector.update(event.held, isKnown, now)) {
        m_actions.emplace_back(CancelOnEngine{id, maxAttemptNumber, event.engine});
    }
}

void SliceScheduler::handleTick(absl::Time now)
{
    std::vector<RequestId> stale;
    for (const auto &[id, request] : m_activeRequests) {
        if (request.lastRenewal + SchedulerTimings::reservationTimeout < now) {
            stale.push_back(id);
        }
    }
    if (!hasSeededBug(SeededBug::ForgetOrphan)) {
        std::sort(stale.begin(), stale.end());
        for (const RequestId &id : stale) {
            release(id, true, now);
        }
    }
    m_orphanDetector.removeExpired(now);
    refuseOverdue(now);
}

void SliceScheduler::dispatch(absl::Time now)
{
    dispatchResults(now);
    if (m_queue.isEmpty()) {
        return;
    }
    SlotForecast slots = slotForecast(now);
    while (!m_queue.isEmpty() && startNext(slots, now)) {
        slots.freeNow -= 1;
    }
}

void SliceScheduler::dispatchResults(absl::Time now)
{
    // Rank shares were already charged when the prefills started, so free slots are assigned by earliest deadline.
    bool slotAvailable = startsDecodeImmediately() || m_engines.hasFreeSlot(usesReportedUsage(now));
    for (auto it = m_pendingResults.begin(); it != m_pendingResults.end();) {
        const RequestId id = it->second;
        ++it; // Advance first, because the entry may be erased below.
        ActiveRequest &request = m_activeRequests.at(id);
        if (request.resultExpiry - SchedulerTimings::transferMargin < now) {
            const Work work = request.work;
            const std::size_t rank = request.rank;
            release(id, true, now);
            refuse(work, rank, ErrorKind::NoCapacity, now);
            continue;
        }
        const std::optional<std::size_t> decode = slotAvailable ? selectDecode(request, now) : std::nullopt;
        if (decode) {
            startDecode(request, *decode);
            slotAvailable = startsDecodeImmediately() || m_engines.hasFreeSlot(usesReportedUsage(now));
        }
    }
}

bool SliceScheduler::startsDecodeImmediately() const
{
    return std::holds_alternative<LeastLoadedPolicy>(m_settings.policy) || std::holds_alternative<PrefixAffinityPolicy>(m_settings.policy);
}

std::pair<absl::Time, RequestId> SliceScheduler::resultKey(const ActiveRequest &request) const
{
    return {request.work->arrivalTime + m_queue.target(request.rank), request.work->id};
}

std::optional<std::size_t> SliceScheduler::selectDecode(const ActiveRequest &request, absl::Time now) const
{
    const LadderPolicy *ladder = ladderPolicyOf(m_settings.policy);
    const bool includeReported = usesReportedUsage(now);
    const bool assignedAlive = m_engines.decode()[request.decode].alive;
    if (assignedAlive && ladder != nullptr && m_engines.freeSlots(request.decode, includeReported) > 0) {
        return request.decode;
    }
    const bool needsSlot = ladder != nullptr || std::holds_alternative<FifoPolicy>(m_settings.policy);
    if (ladder != nullptr && !ladder->rebind && assignedAlive) {
        return std::nullopt;
    }
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < m_engines.decode().size(); ++i) {
        const DecodeEngine &engine = m_engines.decode()[i];
        const bool hasSlot = !needsSlot || m_engines.freeSlots(i, includeReported) > 0;
        const bool hasMemory
            = ladder == nullptr || !ladder->memoryReservation || m_engines.freePieces(i, includeReported) >= request.pieces;
        if (!engine.isUsable() || !hasSlot || !hasMemory) {
            continue;
        }
        if (!best || engine.running < m_engines.decode()[*best].running) {
            best = i;
        }
    }
    return best;
}

void SliceScheduler::startDecode(ActiveRequest &request, std::size_t decode)
{
    if (decode != request.decode) {
        m_engines.release(request.decode, request.pieces, false);
        m_engines.reserve(decode, request.pieces);
        request.decode = decode;
    }
    m_engines.occupySlot(decode);
    request.stage = Stage::Decoding;
    m_pendingResults.erase(resultKey(request));
    emitStartAction(request);
}

bool SliceScheduler::startNext(const SlotForecast &slots, absl::Time now)
{
    bool poolFull = false;
    for (const std::size_t rank : m_queue.order(now)) {
        if (startFromRank(rank, slots, now, &poolFull)) {
            return true;
        }
        if (poolFull) {
            return false;
        }
    }
    return false;
}

bool SliceScheduler::startFromRank(std::size_t rank, const SlotForecast &slots, absl::Time now, bool *poolFull)
{
    const PlacementFinder finder(m_engines, placementRules(rank, now));
    const LadderPolicy *ladder = ladderPolicyOf(m_settings.policy);
    std::optional<Placement> placement;
    RequestId chosen;
    *poolFull = !finder.hasAvailablePrefill(now);
    if (*poolFull) {
        return false;
    }
    m_queue.visitCandidates(rank, capacityPerSecond(now), now, maxCandidatesPerRank, [&](const FairQueue::Entry &entry) {
        const Work &work = entry.work;
        PlacementFailure reason = PlacementFailure::NoPrefillEngine;
        placement = finder.find(work, piecesNeeded(work), m_rates.meanOutput(work->maxTokens), slots, now, &reason);
        if (!placement) {
            *poolFull = reason != PlacementFailure::NoMemory;
            return *poolFull;
        }
        if (ladder != nullptr && ladder->earlyRefusal && missesTarget(work, rank, placement->firstTokenAt)) {
            // A slot may become free earlier than forecast, so the request keeps waiting until its latest start has passed.
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

bool SliceScheduler::missesTarget(const Work &work, std::size_t rank, absl::Time firstToken) const
{
    return !work->resumed && firstToken + SchedulerTimings::predictionMargin > work->arrivalTime + m_queue.target(rank);
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
    ++prefill.pendingRequests;
    ActiveRequest request;
    request.work = work;
    request.rank = rank;
    request.prefill = placement.prefill;
    request.decode = placement.decode;
    request.pieces = piecesNeeded(work);
    request.prefillMs = placement.prefillMs;
    request.lastRenewal = now;
    m_engines.reserve(placement.decode, request.pieces);
    APRICOT_INVARIANT(mayOvercommit() || decode.reservedPieces <= decode.pieces, "reservations-within-memory",
                      absl::StrCat(decode.id.text(), " reserved=", decode.reservedPieces, " of ", decode.pieces));
    const double slotMs
        = m_engines.tokenGapMs(placement.decode, decode.slots) / static_cast<double>(std::max<std::int64_t>(decode.slots, 1));
    m_queue.recordStart(rank, entry, placement.prefillMs + m_rates.meanOutput(work->maxTokens) * slotMs, now);
    emitStartAction(request);
    m_activeRequests.insert_or_assign(id, std::move(request));
}

void SliceScheduler::refuseOverdue(absl::Time now)
{
    const LadderPolicy *ladder = ladderPolicyOf(m_settings.policy);
    if (ladder == nullptr || !ladder->earlyRefusal) {
        return;
    }
    for (const RequestId &id : m_queue.overdue(now)) {
        const Work work = m_queue.find(id)->work;
        if (work->resumed && now - work->arrivalTime < SchedulerTimings::maxResumeWait) {
            continue;
        }
        m_queue.remove(id);
        refuse(work, m_queue.rankOf(work), work->resumed ? ErrorKind::AnswerIncomplete : ErrorKind::TargetUnreachable, now);
    }
}

void SliceScheduler::startImmediately(const Work &work, std::size_t rank, absl::Time now)
{
    Placement placement;
    placement.prefill = leastLoadedPrefill(work);
    const PlacementFinder finder(m_engines, PlacementRules{});
    placement.prefillMs = finder.prefillMs(work, placement.prefill);
    placement.readyAt = std::max(m_engines.prefill()[placement.prefill].busyUntil, now) + absl::Milliseconds(placement.prefillMs);
    m_queue.push(rank, FairQueue::Entry{work, work->arrivalTime, 1});
    start(work->id, rank, placement, now);
}

std::size_t SliceScheduler::leastLoadedPrefill(const Work &work) const
{
    const std::vector<PrefillEngine> &engines = m_engines.prefill();
    std::size_t best = 0;
    for (std::size_t i = 0; i < engines.size(); ++i) {
        if (engines[i].isUsable() && (!engines[best].isUsable() || engines[i].pendingRequests < engines[best].pendingRequests)) {
            best = i;
        }
    }
    if (!std::holds_alternative<PrefixAffinityPolicy>(m_settings.policy) || work->prefixHash == 0) {
        return best;
    }
    const std::size_t preferred = work->prefixHash % engines.size();
    return engines[preferred].isUsable() && engines[preferred].pendingRequests <= 2 * engines[best].pendingRequests + 2 ? preferred : best;
}

void SliceScheduler::release(const RequestId &id, bool cancelOnEngines, absl::Time now)
{
    const auto it = m_activeRequests.find(id);
    if (it == m_activeRequests.end()) {
        return;
    }
    ActiveRequest request = std::move(it->second);
    m_activeRequests.erase(it);
    m_pendingResults.erase(resultKey(request));
    m_adoptedCount -= request.adopted ? 1 : 0;
    if (request.stage == Stage::Prefilling) {
        releasePrefill(request, now);
    }
    m_engines.release(request.decode, request.pieces, request.stage == Stage::Decoding);
    if (hasSeededBug(SeededBug::ReleaseTwice)) {
        m_engines.release(request.decode, request.pieces, request.stage == Stage::Decoding);
    }
    if (!cancelOnEngines) {
        return;
    }
    if (request.prefill && request.stage != Stage::Decoding) {
        m_actions.emplace_back(CancelOnEngine{id, request.work->attempt, m_engines.prefill()[*request.prefill].id});
    }
    m_actions.emplace_back(CancelOnEngine{id, request.work->attempt, m_engines.decode()[request.decode].id});
}

void SliceScheduler::releasePrefill(ActiveRequest &request, absl::Time now)
{
    if (!request.prefill) {
        return;
    }
    PrefillEngine &engine = m_engines.prefill()[*request.prefill];
    --engine.pendingRequests;
    engine.pendingMs = engine.pendingRequests > 0 ? std::max(engine.pendingMs - request.prefillMs, 0.0) : 0.0;
    engine.busyUntil = now + absl::Milliseconds(engine.pendingMs);
}

void SliceScheduler::refuse(const Work &work, std::size_t rank, ErrorKind kind, absl::Time now)
{
    m_queue.recordRefusal(rank, now);
    m_actions.emplace_back(Refuse{work->id, work->attempt, kind, m_queue.retryAfter(rank, capacityPerSecond(now), now)});
}

bool SliceScheduler::usesReportedUsage(absl::Time now) const
{
    return m_settings.conservativeStart && now < m_settings.startedAt + SchedulerTimings::conservativeStartPeriod;
}

bool SliceScheduler::mayOvercommit() const
{
    // Baseline policies do not reserve memory, and adopted reservations may add up to more than the memory.
    const LadderPolicy *ladder = ladderPolicyOf(m_settings.policy);
    return ladder == nullptr || !ladder->memoryReservation || m_adoptedCount > 0;
}

PlacementRules SliceScheduler::placementRules(std::size_t rank, absl::Time now) const
{
    PlacementRules rules;
    rules.lookahead = SchedulerTimings::prefillLookahead;
    rules.maxSlotWait = SchedulerTimings::maxSlotWait;
    rules.includeReported = usesReportedUsage(now);
    const LadderPolicy *ladder = ladderPolicyOf(m_settings.policy);
    if (ladder == nullptr) {
        rules.checkMemory = false;
        rules.usePrefixCache = false;
        rules.maxSlotWait = absl::InfiniteDuration();
        return rules;
    }
    rules.useSlotForecast = ladder->slotForecast;
    rules.checkMemory = ladder->memoryReservation;
    rules.usePrefixCache = ladder->prefixCache;
    rules.growthPieces = static_cast<std::int64_t>(static_cast<double>(m_settings.decodePool->pieces) * growthFraction);
    if (ladder->headroom && m_queue.hasMoreUrgentDemand(rank, now) && m_queue.isOverloaded(rank, capacityPerSecond(now), now)) {
        const auto largest = static_cast<std::int64_t>(static_cast<double>(m_settings.decodePool->pieces) * maxHeadroomFraction);
        rules.headroomPieces = std::min(m_requestPieces[0].quantile(headroomQuantile), largest);
    }
    return rules;
}

SlotForecast SliceScheduler::slotForecast(absl::Time now) const
{
    return SlotForecast{static_cast<double>(m_engines.unreservedSlots(usesReportedUsage(now))), m_rates.releasesPerMs(m_engines, now)};
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
    return work->arrivalTime + m_queue.target(rank) - absl::Milliseconds(serviceMs) - SchedulerTimings::predictionMargin;
}

}
