#include "coordination/enginerates.h"

#include <algorithm>

namespace Apricot {

namespace {

/// Estimates before any request has finished.
constexpr double initialOutputTokens = 200;
constexpr double initialPrefillMs = 80;

/// Time for which computed rates are reused.
constexpr absl::Duration refreshInterval = absl::Milliseconds(10);

}

EngineRates::EngineRates()
    : m_meanOutput(initialOutputTokens)
    , m_meanPrefillMs(initialPrefillMs)
{
}

void EngineRates::recordOutput(std::int64_t tokens)
{
    m_meanOutput.addSample(static_cast<double>(tokens));
}

void EngineRates::recordPrefill(absl::Duration duration)
{
    m_meanPrefillMs.addSample(absl::ToDoubleMilliseconds(duration));
}

double EngineRates::meanOutput(std::int64_t maxTokens) const
{
    return std::min(m_meanOutput.estimate(), static_cast<double>(maxTokens));
}

double EngineRates::capacityPerSecond(const EngineTable &engines, absl::Time now) const
{
    refresh(engines, now);
    return m_capacityPerSecond;
}

double EngineRates::releasesPerMs(const EngineTable &engines, absl::Time now) const
{
    refresh(engines, now);
    return m_releasesPerMs;
}

void EngineRates::refresh(const EngineTable &engines, absl::Time now) const
{
    if (now >= m_refreshed && now - m_refreshed < refreshInterval) {
        return;
    }
    m_refreshed = now;
    m_releasesPerMs = 0;
    double decodePerMs = 0;
    for (std::size_t i = 0; i < engines.decode().size(); ++i) {
        const DecodeEngine &engine = engines.decode()[i];
        if (engine.isUsable()) {
            m_releasesPerMs += static_cast<double>(engine.running) / (m_meanOutput.estimate() * engines.tokenGapMs(i, engine.running));
            decodePerMs += static_cast<double>(engine.slots) / (m_meanOutput.estimate() * engines.tokenGapMs(i, engine.slots));
        }
    }
    double prefillPerMs = 0;
    for (const PrefillEngine &engine : engines.prefill()) {
        prefillPerMs += engine.isUsable() ? 1.0 / m_meanPrefillMs.estimate() : 0.0;
    }
    m_capacityPerSecond = 1000.0 * std::min(decodePerMs, prefillPerMs);
}

}
