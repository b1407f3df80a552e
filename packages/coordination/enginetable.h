#pragma once

#include "coordination/prefixindex.h"
#include "coordination/speedmodel.h"
#include "state/configobjects.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Apricot {

/// What the owner knows of one prefill engine.
struct PrefillEngine
{
    EngineId id;
    DataCentreName dataCentre;
    bool alive = true;
    bool leaving = false;
    absl::Time busyUntil = absl::InfinitePast(); ///< when all that was sent to it should be done
    double pendingMs = 0; ///< estimated work sent and not finished
    std::int64_t depth = 0; ///< requests sent and not finished
    SpeedModel msPerThousand; ///< prefill time per 1,000 uncached tokens
    PrefixIndex cache;

    bool usable() const
    {
        return alive && !leaving;
    }
};

/// What the owner knows of one decode engine: the ledger of its slots and pieces.
struct DecodeEngine
{
    EngineId id;
    DataCentreName dataCentre;
    bool alive = true;
    bool leaving = false;
    std::int64_t slots = 0;
    std::int64_t pieces = 0;
    std::int64_t running = 0; ///< requests that hold a slot
    std::int64_t incoming = 0; ///< reservations without a slot yet
    std::int64_t reserved = 0; ///< pieces given out by this owner
    std::int64_t reportedRunning = 0; ///< by the engine itself, with a lag
    std::int64_t reportedPieces = 0;
    SpeedModel transferMsPerThousand; ///< KV transfer into this engine
    SpeedModel gapFactor{1.0}; ///< seen gap between tokens over the one that the settings say

    bool usable() const
    {
        return alive && !leaving;
    }
};

/**
 * \class EngineTable
 * \brief The engines of one slice and the ledger of their slots and memory.
 */
class EngineTable
{
public:
    /// Settings of the two pools that the engines belong to.
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

    /// Pieces that hold \a tokens, rounded up.
    std::int64_t piecesFor(std::int64_t tokens) const;

    /// Pieces of \a engine that can still be given out. While \a careful, what the engine reports counts as taken too.
    std::int64_t freePieces(std::size_t engine, bool careful) const;

    /// Slots of \a engine that nobody holds. While \a careful, what the engine reports counts as taken too.
    std::int64_t freeSlots(std::size_t engine, bool careful) const;

    /// Slots of all usable decode engines that are neither held nor promised; below zero if more are promised.
    std::int64_t openSlots(bool careful) const;

    /// Whether any usable decode engine has a slot that nobody holds.
    bool hasFreeSlot(bool careful) const;

    /// Takes \a count pieces and one place among the incoming reservations.
    void reserve(std::size_t engine, std::int64_t count);

    /// Adds pieces to a reservation if they are free; returns whether they were.
    bool grow(std::size_t engine, std::int64_t count);

    /// Gives \a count pieces and the slot (or the incoming place) back.
    void release(std::size_t engine, std::int64_t count, bool hadSlot);

    /// Turns an incoming reservation into a held slot.
    void takeSlot(std::size_t engine);

    /// Gap between tokens in ms on \a engine with \a running requests.
    double gapMs(std::size_t engine, std::int64_t running) const;

    /// The two largest numbers of free pieces on usable engines, and where the first one is.
    struct LargestFree
    {
        std::size_t engine = 0;
        std::int64_t first = 0;
        std::int64_t second = 0;
    };
    LargestFree largestFree(bool careful) const;

private:
    void checkLedger(const DecodeEngine &engine) const;

    Pool m_prefillPool;
    Pool m_decodePool;
    std::vector<PrefillEngine> m_prefill;
    std::vector<DecodeEngine> m_decode;
    absl::flat_hash_map<EngineId, std::size_t> m_prefillPlaces;
    absl::flat_hash_map<EngineId, std::size_t> m_decodePlaces;
};

}
