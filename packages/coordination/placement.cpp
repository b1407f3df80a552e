#include "coordination/placement.h"

#include "coordination/seededbug.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Apricot {

namespace {

/// Factor on the transfer time if the engines are in different data centres.
constexpr double crossDataCentreFactor = 1.5;

/// Score penalty, in ms, per piece of difference between a request's size and an engine's free memory per free slot.
constexpr double mismatchMsPerPiece = 0.3;

/// Maximum forecast wait for a slot. A longer wait is equivalent to having no slot.
constexpr double maxForecastMs = 60000;

}

absl::Time SlotForecast::nextSlotAt(absl::Time now) const
{
    const double missing = 1 - freeNow;
    if (missing <= 0) {
        return now;
    }
    const double waitMs = releasesPerMs > 0 ? missing / releasesPerMs : maxForecastMs;
    return now + absl::Milliseconds(std::min(waitMs, maxForecastMs));
}

PlacementFinder::PlacementFinder(const EngineTable &table, PlacementRules rules)
    : m_table(table)
    , m_rules(rules)
    , m_largest(rules.checkMemory ? table.largestFree(rules.includeReported) : EngineTable::LargestFree())
{
}

double PlacementFinder::prefillMs(const Work &work, std::size_t prefill) const
{
    const PrefillEngine &engine = m_table.prefill()[prefill];
    const bool cached = m_rules.usePrefixCache && engine.cache.contains(work->prefixHash);
    const auto tokens = static_cast<double>(work->promptTokens - (cached ? work->prefixTokens : 0));
    return std::max(tokens, 1.0) / 1000.0 * engine.msPerThousandTokens.estimate();
}

double PlacementFinder::transferMs(const Work &work, std::size_t prefill, std::size_t decode) const
{
    const DecodeEngine &engine = m_table.decode()[decode];
    const double localMs = static_cast<double>(work->promptTokens) / 1000.0 * engine.transferMsPerThousandTokens.estimate();
    return m_table.prefill()[prefill].dataCentre == engine.dataCentre ? localMs : localMs * crossDataCentreFactor;
}

bool PlacementFinder::hasAvailablePrefill(absl::Time now) const
{
    const absl::Time latest = now + m_rules.lookahead;
    return std::any_of(m_table.prefill().begin(), m_table.prefill().end(),
                       [&](const PrefillEngine &it) { return it.alive && it.busyUntil <= latest; });
}

std::optional<std::size_t> PlacementFinder::earliestPrefill(const Work &work, absl::Time now) const
{
    std::optional<std::size_t> best;
    double bestDoneMs = std::numeric_limits<double>::infinity();
    const absl::Time latest = now + m_rules.lookahead;
    for (std::size_t i = 0; i < m_table.prefill().size(); ++i) {
        const PrefillEngine &engine = m_table.prefill()[i];
        const bool isCandidate = engine.isUsable() || (engine.alive && hasSeededBug(SeededBug::WorkToLeavingEngine));
        if (!isCandidate || engine.busyUntil > latest || engine.id == work->excludedEngine) {
            continue;
        }
        const double waitMs = engine.busyUntil > now ? absl::ToDoubleMilliseconds(engine.busyUntil - now) : 0;
        const double doneMs = waitMs + prefillMs(work, i);
        if (doneMs < bestDoneMs) {
            bestDoneMs = doneMs;
            best = i;
        }
    }
    return best;
}

std::optional<std::size_t> PlacementFinder::bestDecode(const Work &work, std::size_t prefill, std::int64_t pieces,
                                                       double meanOutputTokens) const
{
    std::optional<std::size_t> best;
    double bestScore = std::numeric_limits<double>::infinity();
    for (std::size_t i = 0; i < m_table.decode().size(); ++i) {
        const DecodeEngine &engine = m_table.decode()[i];
        const bool isCandidate = engine.isUsable() || (engine.alive && hasSeededBug(SeededBug::WorkToLeavingEngine));
        const std::int64_t free = m_table.freePieces(i, m_rules.includeReported);
        const bool fits = free >= pieces + m_rules.growthPieces || hasSeededBug(SeededBug::OverfillEngine);
        if (!isCandidate || engine.id == work->excludedEngine || (m_rules.checkMemory && (!fits || !keepsHeadroom(i, free - pieces)))) {
            continue;
        }
        const std::int64_t freeSlots = m_table.freeSlots(i, m_rules.includeReported) - engine.incoming;
        const double occupancyMs = meanOutputTokens * m_table.tokenGapMs(i, engine.running);
        const double waitMs = freeSlots > 0
            ? 0
            : static_cast<double>(1 - freeSlots) * occupancyMs / static_cast<double>(std::max<std::int64_t>(engine.running, 1));
        const double freePerSlot = static_cast<double>(free) / static_cast<double>(std::max<std::int64_t>(freeSlots, 0) + 1);
        const double mismatchMs = std::abs(freePerSlot - static_cast<double>(pieces)) * mismatchMsPerPiece;
        const double loadMs = m_table.tokenGapMs(i, engine.running + engine.incoming);
        const double score = waitMs + transferMs(work, prefill, i) + mismatchMs + loadMs;
        if (score < bestScore) {
            bestScore = score;
            best = i;
        }
    }
    return best;
}

std::optional<Placement> PlacementFinder::find(const Work &work, std::int64_t pieces, double meanOutputTokens, const SlotForecast &forecast,
                                               absl::Time now, PlacementFailure *reason) const
{
    if (m_rules.checkMemory && pieces + m_rules.growthPieces > m_largest.first && !hasSeededBug(SeededBug::OverfillEngine)) {
        *reason = PlacementFailure::NoMemory;
        return std::nullopt;
    }
    const std::optional<std::size_t> prefill = earliestPrefill(work, now);
    if (!prefill) {
        *reason = PlacementFailure::NoPrefillEngine;
        return std::nullopt;
    }
    Placement placement;
    placement.prefill = *prefill;
    placement.prefillMs = prefillMs(work, *prefill);
    placement.readyAt = std::max(m_table.prefill()[*prefill].busyUntil, now) + absl::Milliseconds(placement.prefillMs);
    const absl::Time slotAt = forecast.nextSlotAt(now);
    const absl::Time latestSlot = m_rules.useSlotForecast ? placement.readyAt + m_rules.maxSlotWait : now;
    if (slotAt > latestSlot) {
        *reason = PlacementFailure::NoSlot;
        return std::nullopt;
    }
    const std::optional<std::size_t> decode = bestDecode(work, *prefill, pieces, meanOutputTokens);
    if (!decode) {
        *reason = PlacementFailure::NoMemory;
        return std::nullopt;
    }
    placement.decode = *decode;
    const double remainingMs = transferMs(work, *prefill, *decode) + m_table.decodePool()->loadedGapMs;
    placement.firstTokenAt = std::max(placement.readyAt, slotAt) + absl::Milliseconds(remainingMs);
    return placement;
}

bool PlacementFinder::keepsHeadroom(std::size_t decode, std::int64_t freeAfter) const
{
    const std::int64_t elsewhere = m_largest.engine == decode ? m_largest.second : m_largest.first;
    return std::max(elsewhere, freeAfter) >= m_rules.headroomPieces;
}

}
