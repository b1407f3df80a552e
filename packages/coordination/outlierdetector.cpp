#include "coordination/outlierdetector.h"

namespace Apricot {

FailureAction OutlierDetector::recordStalledConnection(const EngineId &engine) const
{
    const auto it = m_records.find(engine);
    const bool lost = it != m_records.end() && it->second.failures >= maxConsecutiveFailures;
    return lost ? FailureAction::EngineLost : FailureAction::ReconnectAndResume;
}

FailureAction OutlierDetector::recordConnectFailure(const EngineId &engine, absl::Time now)
{
    Record &record = m_records[engine];
    ++record.failures;
    if (record.failures < maxConsecutiveFailures) {
        return FailureAction::ReconnectAndResume;
    }
    record.ejectedUntil = now + ejectionTime;
    return FailureAction::EngineLost;
}

void OutlierDetector::recordSuccess(const EngineId &engine)
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
