#pragma once

#include "coordination/boundedestimate.h"
#include "coordination/prefixindex.h"
#include "state/configobjects.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Apricot {

/// State of one prefill engine as known to the slice owner.
struct PrefillEngine
{
    EngineId id;
    DataCentreName dataCentre;
    bool alive = true;
    bool leaving = false;
    absl::Time busyUntil = absl::InfinitePast(); ///< estimated end of all work sent to it
    double pendingMs = 0; ///< estimated time of the unfinished work sent to it, ms
    std::int64_t pendingRequests = 0; ///< number of unfinished requests sent to it
    BoundedEstimate msPerThousandTokens; ///< prefill time per 1,000 uncached tokens, ms
    PrefixIndex cache;

    bool isUsable() const
    {
        return alive && !leaving;
    }
};

/// State of one decode engine as known to the slice owner, with the accounting of its slots and memory pieces.
struct DecodeEngine
{
    EngineId id;
    DataCentreName dataCentre;
    bool alive = true;
    bool leaving = false;
    std::int64_t slots = 0;
    std::int64_t pieces = 0;
    std::int64_t running = 0; ///< requests that occupy a slot
    std::int64_t incoming = 0; ///< reservations that do not occupy a slot yet
    std::int64_t reservedPieces = 0; ///< pieces reserved by this owner
    std::int64_t reportedRunning = 0; ///< running requests as reported by the engine, with a lag
    std::int64_t reportedPieces = 0; ///< pieces in use as reported by the engine, with a lag
    BoundedEstimate transferMsPerThousandTokens; ///< KV transfer time into this engine per 1,000 tokens, ms
    BoundedEstimate tokenGapFactor{1.0}; ///< ratio of the measured token gap to the configured one

    bool isUsable() const
    {
        return alive && !leaving;
    }
};

/**
 * \class EngineTable
 * \brief The engines of one slice, with the accounting of their slots and memory.
 */
class EngineTable
{
public:
    /// Creates an empty table for the engines of the two pools.
    EngineTable(Pool prefillPool, Pool decodePool);

    void addPrefill(EngineId id, DataCentreName dataCentre);
    void addDecode(EngineId id, DataCentreName dataCentre);

    std::vector<PrefillEngine> &prefill()
    {
        return m_prefill;
    }

    const std::vector<PrefillEngine> &prefill() const
    {
        return m_prefill;
    }

    std::vector<DecodeEngine> &decode()
    {
        return m_decode;
    }

    const std::vector<DecodeEngine> &decode() const
    {
        return m_decode;
    }

    const Pool &prefillPool() const
    {
        return m_prefillPool;
    }

    const Pool &decodePool() const
    {
        return m_decodePool;
    }

    std::optional<std::size_t> findPrefill(const EngineId &id) const;
    std::optional<std::size_t> findDecode(const EngineId &id) const;

    /// Returns the number of pieces that hold \a tokens, rounded up.
    std::int64_t piecesFor(std::int64_t tokens) const;

    /// Returns the pieces of \a engine that are not reserved. If \a includeReported is set, pieces that
    /// the engine reports as used count as taken.
    std::int64_t freePieces(std::size_t engine, bool includeReported) const;

    /// Returns the slots of \a engine that no request occupies. If \a includeReported is set, slots that
    /// the engine reports as used count as taken.
    std::int64_t freeSlots(std::size_t engine, bool includeReported) const;

    /// Returns the slots of all usable decode engines that are neither occupied nor needed by incoming reservations.
    /// The result is negative if more slots are needed than are free.
    std::int64_t unreservedSlots(bool includeReported) const;

    /// Whether any usable decode engine has a slot that no request occupies.
    bool hasFreeSlot(bool includeReported) const;

    /// Reserves \a count pieces and adds one incoming reservation.
    void reserve(std::size_t engine, std::int64_t count);

    /// Adds \a count pieces to a reservation if they are free. Returns whether they were added.
    bool tryGrow(std::size_t engine, std::int64_t count);

    /// Releases \a count pieces and the occupied slot, or the incoming reservation if \a hadSlot is false.
    void release(std::size_t engine, std::int64_t count, bool hadSlot);

    /// Turns an incoming reservation into an occupied slot.
    void occupySlot(std::size_t engine);

    /// Returns the expected gap between tokens, in ms, on \a engine with \a running requests.
    double tokenGapMs(std::size_t engine, std::int64_t running) const;

    /// The two largest numbers of free pieces on usable engines, and the engine that has the largest.
    struct LargestFree
    {
        std::size_t engine = 0;
        std::int64_t first = 0;
        std::int64_t second = 0;
    };
    LargestFree largestFree(bool includeReported) const;

private:
    void checkAccounting(const DecodeEngine &engine) const;

    Pool m_prefillPool;
    Pool m_decodePool;
    std::vector<PrefillEngine> m_prefill;
    std::vector<DecodeEngine> m_decode;
    absl::flat_hash_map<EngineId, std::size_t> m_prefillIndex;
    absl::flat_hash_map<EngineId, std::size_t> m_decodeIndex;
};

}
