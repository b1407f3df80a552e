#include "coordination/orphanwatch.h"

#include "coordination/schedulersettings.h"
#include "coordination/seededbug.h"

namespace Apricot {

std::vector<RequestId> OrphanWatch::look(const std::vector<RequestId> &held, const std::function<bool(const RequestId &)> &isKnown,
                                         absl::Time now)
{
    std::vector<RequestId> orphans;
    for (const RequestId &id : held) {
        if (isKnown(id)) {
            m_since.erase(id);
            continue;
        }
        const absl::Time since = m_since.try_emplace(id, now).first->second;
        if (now - since >= SchedulerTimings::orphanGracePeriod && !hasSeededBug(SeededBug::ForgetOrphan)) {
            orphans.push_back(id);
            m_since.erase(id);
        }
    }
    return orphans;
}

void OrphanWatch::forget(const RequestId &id)
{
    m_since.erase(id);
}

void OrphanWatch::forgetOld(absl::Time now)
{
    absl::erase_if(m_since, [&](const auto &it) { return now - it.second > 2 * SchedulerTimings::orphanGracePeriod; });
}

}
