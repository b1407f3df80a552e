#pragma once

#include "coordination/boundedestimate.h"
#include "coordination/enginetable.h"

#include <absl/time/time.h>

#include <cstdint>

namespace Apricot {

/**
 * \class EngineRates
 * \brief What the engines of a slice can do, learnt from what they did. Rates are kept for a few milliseconds.
 */
class EngineRates
{
public:
    EngineRates();

    void learnOutput(std::int64_t tokens);
    void learnPrefill(absl::Duration took);

    /// Expected length of an answer of at most \a maxTokens, tokens.
    double meanOutput(std::int64_t maxTokens) const;

    /// Requests a second that the usable engines can serve with all slots in use.
    double capacityPerSecond(const EngineTable &engines, absl::Time now) const;

    /// Slots a millisecond that the running requests will set free.
    double releasesPerMs(const EngineTable &engines, absl::Time now) const;

private:
    void refresh(const EngineTable &engines, absl::Time now) const;

    BoundedEstimate m_meanOutput;
    BoundedEstimate m_meanPrefillMs;
    mutable double m_capacityPerSecond = 0; ///< estimates of m_refreshed
    mutable double m_releasesPerMs = 0;
    mutable absl::Time m_refreshed = absl::InfinitePast();
};

}
