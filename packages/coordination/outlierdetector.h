#pragma once

#include "state/name.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <vector>

namespace Apricot {

/// What to do after a connection to an engine failed or went silent.
enum class FailureVerdict { ReconnectAndResume, EngineLost };

/**
 * \class OutlierDetector
 * \brief Tells a lost connection from a lost engine, and never gives up more than half of a pool.
 */
class OutlierDetector
{
public:
    /// Failures of new connections in a row that make an engine lost.
    static constexpr int failuresUntilLost = 2;

    /// An ejected engine is tried again after this long.
    static constexpr absl::Duration ejection = absl::Seconds(3);

    /// An open connection failed or went silent; a new one has not been tried yet.
    FailureVerdict connectionWentSilent(const EngineId &engine) const;

    /// A new connection to the engine could not be opened or was not answered.
    FailureVerdict newConnectionFailed(const EngineId &engine, absl::Time now);

    void succeeded(const EngineId &engine);

    /// Removes ejected engines from \a pool unless more than half of it would go; then all stay.
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
