#include "apricotladderd/currentconfig.h"

#include "coordination/configvalidator.h"
#include "protocol/snapshotcodec.h"

#include <absl/strings/str_cat.h>

namespace Apricot {

CurrentConfig::CurrentConfig(Journal &journal, NodeMetrics &metrics)
    : m_journal(journal)
    , m_metrics(metrics)
    , m_set(std::make_shared<const ConfigSet>())
{
}

std::shared_ptr<const ConfigSet> CurrentConfig::current() const
{
    const MutexLock lock(m_mutex);
    return m_set;
}

Generation CurrentConfig::generation() const
{
    const MutexLock lock(m_mutex);
    return m_generations.current();
}

std::pair<Generation, std::string> CurrentConfig::snapshot() const
{
    const MutexLock lock(m_mutex);
    return {m_generations.current(), m_snapshot};
}

bool CurrentConfig::isNewer(const Generation &generation) const
{
    const MutexLock lock(m_mutex);
    return m_generations.isNewer(generation);
}

bool CurrentConfig::tryActivate(const Generation &generation, const std::string &snapshot)
{
    if (!isNewer(generation)) {
        return false;
    }
    if (snapshotHash(snapshot) != generation->hash) {
        m_journal.warning(RequestId(), "config.hash",
                          absl::StrCat("generation ", generation->number,
                                       ": the hash of the snapshot differs from that in the pointer; the current generation stays active"));
        return false;
    }
    const auto objects = toVariant<std::vector<RawObject>>([&] { return decodeSnapshot(snapshot); });
    const auto *list = std::get_if<std::vector<RawObject>>(&objects);
    const auto checked
        = list == nullptr ? std::variant<ConfigSet, std::vector<ConfigFault>>(std::vector<ConfigFault>()) : validateConfig(*list);
    const auto *set = std::get_if<ConfigSet>(&checked);
    if (set == nullptr) {
        m_journal.warning(
            RequestId(), "config.invalid",
            absl::StrCat("generation ", generation->number, " fails validation on this node; the current generation stays active"));
        return false;
    }
    {
        const MutexLock lock(m_mutex);
        if (!m_generations.tryAdvance(generation)) {
            return false;
        }
        m_snapshot = snapshot;
        m_set = std::make_shared<const ConfigSet>(*set);
    }
    m_metrics.setGeneration(static_cast<double>(generation->number));
    m_journal.info(RequestId(), "config.inForce", absl::StrCat("generation ", generation->number, " hash ", generation->hash));
    return true;
}

}
