#pragma once

#include "apricotladderd/entry/entrymetrics.h"
#include "apricotladderd/entry/eventlog.h"
#include "coordination/promptquarantine.h"
#include "state/engineentry.h"
#include "state/mutex.h"
#include "state/routedcall.h"

#include <absl/time/time.h>

#include <optional>
#include <vector>

namespace Apricot {

/**
 * \class SharedQuarantine
 * \brief The node's PromptQuarantine under its own lock, with log lines and metrics. Any thread may call it.
 */
class SharedQuarantine
{
public:
    SharedQuarantine(const NodeId &self, EventLog &log, EntryMetrics &metrics);

    void setActiveNodes(const std::vector<NodeId> &nodes);

    /// \see PromptQuarantine::check()
    PromptVerdict check(const RoutedCall &call, const std::optional<PromptTrial> &trial, absl::Time now);

    /// \see PromptQuarantine::isSuspicious()
    bool isSuspicious(const RoutedCall &call, absl::Time now);

    void recordOutlived(const ServiceName &service, const RoutedCall &call, absl::Time now);
    void recordBroken(const EngineEntry &engine, const RoutedCall &call, const std::optional<PromptTrial> &trial, absl::Time now);
    void endTrial(const PromptTrial &trial, absl::Time now);

    PromptReport report(absl::Time now);
    void merge(const PromptReport &report, absl::Time now);

private:
    template<class Function>
    auto withLock(Function &&function);
    void log(const std::vector<QuarantineChange> &changes, std::size_t quarantinedCount);

    EventLog &m_log;
    EntryMetrics &m_metrics;
    Mutex m_mutex;
    PromptQuarantine m_quarantine ABSL_GUARDED_BY(m_mutex);
};

}
