#pragma once

#include "state/name.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <vector>

namespace Apricot {

/// Reaction to a connection to an engine that failed or stalled.
enum class FailureAction { ReconnectAndResume, EngineLost };

/**
 * \class OutlierDetector
 * \brief Distinguishes lost connections from lost engines, and never ejects more than half of a pool.
 */
class OutlierDetector
{
public:
    /// Number of consecutive failures of new connections after which an engine is lost.
    static constexpr int maxConsecutiveFailures = 2;

    /// Time after which an ejected engine is used again.
    static constexpr absl::Duration ejectionTime = absl::Seconds(3);

    /// Returns the action for an open connection that failed or stalled, before a new connection was tried.
    FailureAction recordStalledConnection(const EngineId &engine) const;

    /// Records a new connection to the engine that could not be opened or got no response.
    FailureAction recordConnectFailure(const EngineId &engine, absl::Time now);

    void recordSuccess(const EngineId &engine);

    /// Returns \a pool without its ejected engines, or the whole pool if more than half of it is ejected.
    std::vector<EngineId> usable(const std::vector<EngineId> &pool, absl::Time now) const;

    bool isEjected(const EngineId &engine, absl::Time now) const;

private:
    struct Record
    {
        int failures = 0;
        absl::Time ejectedUntil = absl::InfinitePast();
    };

    absl::flat_hash_map<EngineId, Record> m_records;
};

}
