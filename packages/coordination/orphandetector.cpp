#include "coordination/orphandetector.h"

#include "coordination/schedulersettings.h"
#include "coordination/seededbug.h"

namespace Apricot {

std::vector<RequestId> OrphanDetector::update(const std::vector<RequestId> &held, const std::function<bool(const RequestId &)> &isKnown,
                                              absl::Time now)
{
    std::vector<RequestId> orphans;
    for (const RequestId &id : held) {
        if (isKnown(id)) {
            m_firstReported.erase(id);
            continue;
        }
        const absl::Time firstReported = m_firstReported.try_emplace(id, now).first->second;
        if (now - firstReported >= SchedulerTimings::orphanGracePeriod && !hasSeededBug(SeededBug::ForgetOrphan)) {
            orphans.push_back(id);
            m_firstReported.erase(id);
        }
    }
    return orphans;
}

void OrphanDetector::remove(const RequestId &id)
{
    m_firstReported.erase(id);
}

void OrphanDetector::removeExpired(absl::Time now)
{
    absl::erase_if(m_firstReported, [&](const auto &it) { return now - it.second > 2 * SchedulerTimings::orphanGracePeriod; });
}

}
