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
 * \class CurrentConfig
 * \brief Holds the active configuration of this node. It is replaced as a whole, and only by a higher generation.
 */
class CurrentConfig
{
public:
    CurrentConfig(Journal &journal, NodeMetrics &metrics);

    /// Returns the active configuration; never null, empty before the first generation.
    std::shared_ptr<const ConfigSet> current() const;

    Generation generation() const;

    /// Returns the generation and its snapshot text consistently, for peers with an older generation.
    std::pair<Generation, std::string> snapshot() const;

    /// Whether \a generation is newer than the active one.
    bool isNewer(const Generation &generation) const;

    /// Compares a snapshot with its hash, validates it and activates it. Returns whether it was activated.
    bool tryActivate(const Generation &generation, const std::string &snapshot);

private:
    Journal &m_journal;
    NodeMetrics &m_metrics;
    mutable Mutex m_mutex;
    GenerationTracker m_generations ABSL_GUARDED_BY(m_mutex);
    std::string m_snapshot ABSL_GUARDED_BY(m_mutex);
    std::shared_ptr<const ConfigSet> m_set ABSL_GUARDED_BY(m_mutex);
};

}
