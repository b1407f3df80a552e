#pragma once

#include "coordination/enginetable.h"
#include "state/work.h"

#include <absl/time/time.h>

#include <cstddef>
#include <optional>

namespace Apricot {

/// Engines and expected times for one request.
struct Placement
{
    std::size_t prefill = 0;
    std::size_t decode = 0;
    double prefillMs = 0; ///< estimated prefill time without waiting, ms
    absl::Time readyAt; ///< expected end of the prefill
    absl::Time firstTokenAt;
};

/// Forecast of the decode slots that become available for new prefill results.
struct SlotForecast
{
    double freeNow = 0; ///< unoccupied slots minus the results that already need one; may be negative
    double releasesPerMs = 0;

    /// Returns when a slot becomes available for a result that is not counted in freeNow yet.
    absl::Time nextSlotAt(absl::Time now) const;
};

/// Constraints of a placement.
struct PlacementRules
{
    absl::Duration lookahead; ///< a prefill engine that stays busy for longer gets no more work
    absl::Duration maxSlotWait; ///< maximum planned time that a result waits for its slot
    bool useSlotForecast = true; ///< whether to count slots that become free before the result is ready
    bool checkMemory = true;
    bool usePrefixCache = true;
    std::int64_t growthPieces = 0; ///< pieces kept free on each engine for outputs longer than reserved
    std::int64_t headroomPieces = 0; ///< pieces that must stay free on at least one engine
    bool includeReported = false; ///< whether usage that engines report counts as taken
};

/// Reason why no placement was found.
enum class PlacementFailure { NoPrefillEngine, NoSlot, NoMemory };

/**
 * \class PlacementFinder
 * \brief Chooses the prefill and decode engine of a request together.
 *
 * It only reads the table, which must not change during the lifetime of the finder.
 */
class PlacementFinder
{
public:
    PlacementFinder(const EngineTable &table, PlacementRules rules);

    /// Returns the estimated prefill time of \a work on a prefill engine, in ms.
    double prefillMs(const Work &work, std::size_t prefill) const;

    /// Returns the estimated time of the KV transfer between two engines, in ms.
    double transferMs(const Work &work, std::size_t prefill, std::size_t decode) const;

    /// Whether any prefill engine can accept more work now.
    bool hasAvailablePrefill(absl::Time now) const;

    /// Returns the prefill engine that would finish \a work first, among those that are free within the lookahead.
    std::optional<std::size_t> earliestPrefill(const Work &work, absl::Time now) const;

    /// Returns the best decode engine with \a pieces of free memory, or nullopt if there is none.
    std::optional<std::size_t> bestDecode(const Work &work, std::size_t prefill, std::int64_t pieces, double meanOutputTokens) const;

    /// Returns both engines and the expected times. If there is no placement, returns nullopt and sets \a reason.
    std::optional<Placement> find(const Work &work, std::int64_t pieces, double meanOutputTokens, const SlotForecast &forecast,
                                  absl::Time now, PlacementFailure *reason) const;

private:
    bool keepsHeadroom(std::size_t decode, std::int64_t freeAfter) const;

    const EngineTable &m_table;
    PlacementRules m_rules;
    EngineTable::LargestFree m_largest; ///< determined at construction; used only if memory is checked
};

}
