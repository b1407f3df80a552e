#pragma once

#include "coordination/enginetable.h"
#include "state/work.h"

#include <absl/time/time.h>

#include <cstddef>
#include <optional>

namespace Apricot {

/// Where and when one request would run.
struct Placement
{
    std::size_t prefill = 0;
    std::size_t decode = 0;
    double prefillMs = 0; ///< estimate of the prefill itself
    absl::Time readyAt; ///< when the result should be there
    absl::Time firstTokenAt;
};

/// How many slots the decode pool will have for new results.
struct SlotForecast
{
    double freeNow = 0; ///< slots that nobody holds, less the results on their way
    double releasesPerMs = 0;

    /// When the next result beyond those on their way finds a slot.
    absl::Time nextSlotAt(absl::Time now) const;
};

/// What a placement has to keep to.
struct PlacementRules
{
    absl::Duration lookahead; ///< a prefill engine busy for longer is not given more
    absl::Duration slotSlack; ///< longest planned wait of a result for its slot
    bool forecast = true; ///< count on slots that become free in the meantime
    bool checkMemory = true;
    bool usePrefixCache = true;
    std::int64_t growthPieces = 0; ///< pieces of each engine that are left for answers longer than reserved
    std::int64_t headroomPieces = 0; ///< pieces that must stay free on one engine
    bool careful = false; ///< count what engines report as taken
};

/// Why a request found no place.
enum class NoPlacement { NoPrefillEngine, NoSlot, NoMemory };

/**
 * \class PlacementFinder
 * \brief Chooses prefill and decode engine of a request together. It only reads the table, which must not change meanwhile.
 */
class PlacementFinder
{
public:
    PlacementFinder(const EngineTable &table, PlacementRules rules);

    /// Estimated prefill time of \a work on a prefill engine, ms.
    double prefillMs(const Work &work, std::size_t prefill) const;

    /// Estimated KV transfer from one engine to another, ms.
    double transferMs(const Work &work, std::size_t prefill, std::size_t decode) const;

    /// Whether any prefill engine may be given more work now.
    bool hasFreePrefill(absl::Time now) const;

    /// The prefill engine that would finish \a work first, within the lookahead.
    std::optional<std::size_t> earliestPrefill(const Work &work, absl::Time now) const;

    /// The decode engine for \a pieces of memory, or nothing if none has them.
    std::optional<std::size_t> bestDecode(const Work &work, std::size_t prefill, std::int64_t pieces, double meanOutputTokens) const;

    /// Both engines and the expected times; \a reason says why not.
    std::optional<Placement> find(const Work &work, std::int64_t pieces, double meanOutputTokens, const SlotForecast &forecast,
                                  absl::Time now, NoPlacement *reason) const;

private:
    bool keepsHeadroom(std::size_t decode, std::int64_t freeAfter) const;

    const EngineTable &m_table;
    PlacementRules m_rules;
    EngineTable::LargestFree m_largest; ///< as of the construction; used if memory is checked
};

}
