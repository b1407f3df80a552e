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
    engine.msPerThousandTokens = BoundedEstimate(m_prefillPool->prefillMsPerThousandTokens);
    m_prefillIndex[engine.id] = m_prefill.size();
    m_prefill.push_back(std::move(engine));
}

void EngineTable::addDecode(EngineId id, DataCentreName dataCentre)
{
    DecodeEngine engine;
    engine.id = std::move(id);
    engine.dataCentre = std::move(dataCentre);
    engine.slots = m_decodePool->slots;
    engine.pieces = m_decodePool->pieces;
    engine.transferMsPerThousandTokens = BoundedEstimate(m_decodePool->transferMsPerThousandTokens);
    m_decodeIndex[engine.id] = m_decode.size();
    m_decode.push_back(std::move(engine));
}

std::optional<std::size_t> EngineTable::findPrefill(const EngineId &id) const
{
    const auto it = m_prefillIndex.find(id);
    return it == m_prefillIndex.end() ? std::nullopt : std::optional(it->second);
}

std::optional<std::size_t> EngineTable::findDecode(const EngineId &id) const
{
    const auto it = m_decodeIndex.find(id);
    return it == m_decodeIndex.end() ? std::nullopt : std::optional(it->second);
}

std::int64_t EngineTable::piecesFor(std::int64_t tokens) const
{
    return (tokens + m_decodePool->tokensPerPiece - 1) / m_decodePool->tokensPerPiece;
}

std::int64_t EngineTable::freePieces(std::size_t engine, bool includeReported) const
{
    const DecodeEngine &it = m_decode[engine];
    return it.pieces - (includeReported ? std::max(it.reservedPieces, it.reportedPieces) : it.reservedPieces);
}

std::int64_t EngineTable::freeSlots(std::size_t engine, bool includeReported) const
{
    const DecodeEngine &it = m_decode[engine];
    return it.slots - (includeReported ? std::max(it.running, it.reportedRunning) : it.running);
}

std::int64_t EngineTable::unreservedSlots(bool includeReported) const
{
    std::int64_t unreserved = 0;
    for (std::size_t i = 0; i < m_decode.size(); ++i) {
        unreserved += m_decode[i].isUsable() ? freeSlots(i, includeReported) - m_decode[i].incoming : 0;
    }
    return unreserved;
}

bool EngineTable::hasFreeSlot(bool includeReported) const
{
    for (std::size_t i = 0; i < m_decode.size(); ++i) {
        if (m_decode[i].isUsable() && freeSlots(i, includeReported) > 0) {
            return true;
        }
    }
    return false;
}

void EngineTable::reserve(std::size_t engine, std::int64_t count)
{
    DecodeEngine &it = m_decode[engine];
    it.reservedPieces += count;
    ++it.incoming;
    checkAccounting(it);
}

bool EngineTable::tryGrow(std::size_t engine, std::int64_t count)
{
    DecodeEngine &it = m_decode[engine];
    if (it.reservedPieces + count > it.pieces) {
        return false;
    }
    it.reservedPieces += count;
    return true;
}

void EngineTable::release(std::size_t engine, std::int64_t count, bool hadSlot)
{
    DecodeEngine &it = m_decode[engine];
    it.reservedPieces -= count;
    --(hadSlot ? it.running : it.incoming);
    checkAccounting(it);
}

void EngineTable::occupySlot(std::size_t engine)
{
    DecodeEngine &it = m_decode[engine];
    --it.incoming;
    ++it.running;
    checkAccounting(it);
}

double EngineTable::tokenGapMs(std::size_t engine, std::int64_t running) const
{
    const DecodeEngine &it = m_decode[engine];
    const double load = it.slots > 0 ? static_cast<double>(running) / static_cast<double>(it.slots) : 1.0;
    const double nominal = m_decodePool->decodeGapMs + (m_decodePool->loadedGapMs - m_decodePool->decodeGapMs) * load;
    return nominal * it.tokenGapFactor.estimate();
}

EngineTable::LargestFree EngineTable::largestFree(bool includeReported) const
{
    LargestFree largest;
    for (std::size_t i = 0; i < m_decode.size(); ++i) {
        if (!m_decode[i].isUsable()) {
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

void EngineTable::checkAccounting(const DecodeEngine &engine) const
{
    const bool isValid = engine.reservedPieces >= 0 && engine.running >= 0 && engine.incoming >= 0;
    APRICOT_INVARIANT(
        isValid, "engine-ledger",
        absl::StrCat(engine.id.text(), " reserved=", engine.reservedPieces, " running=", engine.running, " incoming=", engine.incoming));
}

}
