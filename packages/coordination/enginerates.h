#pragma once

#include "coordination/boundedestimate.h"
#include "coordination/enginetable.h"

#include <absl/time/time.h>

#include <cstdint>

namespace Apricot {

/**
 * \class EngineRates
 * \brief Throughput of the engines of a slice, estimated from finished requests. The rates are cached for a few milliseconds.
 */
class EngineRates
{
public:
    EngineRates();

    /// Records the length of a finished answer, \a tokens.
    void recordOutput(std::int64_t tokens);

    /// Records that a prefill took \a duration.
    void recordPrefill(absl::Duration duration);

    /// Returns the expected length of an answer of at most \a maxTokens, in tokens.
    double meanOutput(std::int64_t maxTokens) const;

    /// Returns the requests per second that the usable engines can serve with all slots in use.
    double capacityPerSecond(const EngineTable &engines, absl::Time now) const;

    /// Returns the slots per millisecond that the running requests are expected to release.
    double releasesPerMs(const EngineTable &engines, absl::Time now) const;

private:
    void refresh(const EngineTable &engines, absl::Time now) const;

    BoundedEstimate m_meanOutput;
    BoundedEstimate m_meanPrefillMs;
    mutable double m_capacityPerSecond = 0; ///< rates as of m_refreshed
    mutable double m_releasesPerMs = 0;
    mutable absl::Time m_refreshed = absl::InfinitePast();
};

}
