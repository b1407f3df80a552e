#include "coordination/outlierdetector.h"

namespace Apricot {

FailureVerdict OutlierDetector::connectionWentSilent(const EngineId &engine) const
{
    const auto it = m_records.find(engine);
    const bool lost = it != m_records.end() && it->second.failures >= failuresUntilLost;
    return lost ? FailureVerdict::EngineLost : FailureVerdict::ReconnectAndResume;
}

FailureVerdict OutlierDetector::newConnectionFailed(const EngineId &engine, absl::Time now)
{
    Record &record = m_records[engine];
    ++record.failures;
    if (record.failures < failuresUntilLost) {
        return FailureVerdict::ReconnectAndResume;
    }
    record.ejectedUntil = now + ejection;
    return FailureVerdict::EngineLost;
}

void OutlierDetector::succeeded(const EngineId &engine)
{
    m_records.erase(engine);
}

std::vector<EngineId> OutlierDetector::usable(const std::vector<EngineId> &pool, absl::Time now) const
{
    std::vector<EngineId> found;
    for (const EngineId &engine : pool) {
        if (!isEjected(engine, now)) {
            found.push_back(engine);
        }
    }
    return 2 * found.size() < pool.size() ? pool : found;
}

bool OutlierDetector::isEjected(const EngineId &engine, absl::Time now) const
{
    const auto it = m_records.find(engine);
    return it != m_records.end() && now < it->second.ejectedUntil;
}

}
