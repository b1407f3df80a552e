#pragma once

#include "apricotladderd/journal.h"
#include "apricotladderd/nodemetrics.h"
#include "coordination/generationtracker.h"
#include "state/configset.h"
#include "state/mutex.h"

#include <memory>
#include <string>

namespace Apricot {

/**
 * \class ConfigKeeper
 * \brief The configuration in force on this node. It changes as a whole and only to a higher generation.
 */
class ConfigKeeper
{
public:
    ConfigKeeper(Journal &journal, NodeMetrics &metrics);

    /// The set in force; never null, empty before the first generation.
    std::shared_ptr<const ConfigSet> current() const;

    Generation generation() const;

    /// Generation and snapshot text together, for peers that catch up.
    std::pair<Generation, std::string> snapshot() const;

    bool wants(const Generation &generation) const;

    /// Checks a snapshot against its hash, validates it and puts it in force. Returns whether it is in force now.
    bool accept(const Generation &generation, const std::string &snapshot);

private:
    Journal &m_journal;
    NodeMetrics &m_metrics;
    mutable Mutex m_mutex;
    GenerationTracker m_gate ABSL_GUARDED_BY(m_mutex);
    std::string m_snapshot ABSL_GUARDED_BY(m_mutex);
    std::shared_ptr<const ConfigSet> m_set ABSL_GUARDED_BY(m_mutex);
};

}
