#include "coordination/enginetable.h"

#include "state/invariant.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace Apricot {

EngineTable::EngineTable(Pool prefillPool, Pool decodePool)
    : m_prefillPool(std::move(prefillPool))
    , m_decodePool(std::move(decodePool))
{
}

void EngineTable::addPrefill(EngineId id, DataCentreName dataCentre)
{
    PrefillEngine engine;
    engine.id = std::move(id);
    engine.dataCentre = std::move(dataCentre);
    engine.msPerThousand = SpeedModel(m_prefillPool->prefillMsPerThousandTokens);
    m_prefillPlaces[engine.id] = m_prefill.size();
    m_prefill.push_back(std::move(engine));
}

void EngineTable::addDecode(EngineId id, DataCentreName dataCentre)
{
    DecodeEngine engine;
    engine.id = std::move(id);
    engine.dataCentre = std::move(dataCentre);
    engine.slots = m_decodePool->slots;
    engine.pieces = m_decodePool->pieces;
    engine.transferMsPerThousand = SpeedModel(m_decodePool->transferMsPerThousandTokens);
    m_decodePlaces[engine.id] = m_decode.size();
    m_decode.push_back(std::move(engine));
}

std::optional<std::size_t> EngineTable::findPrefill(const EngineId &id) const
{
    const auto it = m_prefillPlaces.find(id);
    return it == m_prefillPlaces.end() ? std::nullopt : std::optional(it->second);
}

std::optional<std::size_t> EngineTable::findDecode(const EngineId &id) const
{
    const auto it = m_decodePlaces.find(id);
    return it == m_decodePlaces.end() ? std::nullopt : std::optional(it->second);
}

std::int64_t EngineTable::piecesFor(std::int64_t tokens) const
{
    return (tokens + m_decodePool->tokensPerPiece - 1) / m_decodePool->tokensPerPiece;
}

std::int64_t EngineTable::freePieces(std::size_t engine, bool includeReported) const
{
    const DecodeEngine &it = m_decode[engine];
    return it.pieces - (includeReported ? std::max(it.reserved, it.reportedPieces) : it.reserved);
}

std::int64_t EngineTable::freeSlots(std::size_t engine, bool includeReported) const
{
    const DecodeEngine &it = m_decode[engine];
    return it.slots - (includeReported ? std::max(it.running, it.reportedRunning) : it.running);
}

std::int64_t EngineTable::openSlots(bool includeReported) const
{
    std::int64_t open = 0;
    for (std::size_t i = 0; i < m_decode.size(); ++i) {
        open += m_decode[i].usable() ? freeSlots(i, includeReported) - m_decode[i].incoming : 0;
    }
    return open;
}

bool EngineTable::hasFreeSlot(bool includeReported) const
{
    for (std::size_t i = 0; i < m_decode.size(); ++i) {
        if (m_decode[i].usable() && freeSlots(i, includeReported) > 0) {
            return true;
        }
    }
    return false;
}

void EngineTable::reserve(std::size_t engine, std::int64_t count)
{
    DecodeEngine &it = m_decode[engine];
    it.reserved += count;
    ++it.incoming;
    checkLedger(it);
}

bool EngineTable::grow(std::size_t engine, std::int64_t count)
{
    DecodeEngine &it = m_decode[engine];
    if (it.reserved + count > it.pieces) {
        return false;
    }
    it.reserved += count;
    return true;
}

void EngineTable::release(std::size_t engine, std::int64_t count, bool hadSlot)
{
    DecodeEngine &it = m_decode[engine];
    it.reserved -= count;
    --(hadSlot ? it.running : it.incoming);
    checkLedger(it);
}

void EngineTable::takeSlot(std::size_t engine)
{
    DecodeEngine &it = m_decode[engine];
    --it.incoming;
    ++it.running;
    checkLedger(it);
}

double EngineTable::gapMs(std::size_t engine, std::int64_t running) const
{
    const DecodeEngine &it = m_decode[engine];
    const double load = it.slots > 0 ? static_cast<double>(running) / static_cast<double>(it.slots) : 1.0;
    const double nominal = m_decodePool->decodeGapMs + (m_decodePool->loadedGapMs - m_decodePool->decodeGapMs) * load;
    return nominal * it.gapFactor.estimate();
}

EngineTable::LargestFree EngineTable::largestFree(bool includeReported) const
{
    LargestFree largest;
    for (std::size_t i = 0; i < m_decode.size(); ++i) {
        if (!m_decode[i].usable()) {
            continue;
        }
        const std::int64_t free = freePieces(i, includeReported);
        if (free > largest.first) {
            largest = LargestFree{i, free, largest.first};
        } else {
            largest.second = std::max(largest.second, free);
        }
    }
    return largest;
}

void EngineTable::checkLedger(const DecodeEngine &engine) const
{
    const bool holds = engine.reserved >= 0 && engine.running >= 0 && engine.incoming >= 0;
    APRICOT_INVARIANT(
        holds, "engine-ledger",
        absl::StrCat(engine.id.text(), " reserved=", engine.reserved, " running=", engine.running, " incoming=", engine.incoming));
}

}
