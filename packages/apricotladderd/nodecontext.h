#pragma once

#include "apricotladderd/callthreads.h"
#include "apricotladderd/cellservice.h"
#include "apricotladderd/currentconfig.h"
#include "apricotladderd/journal.h"
#include "apricotladderd/nodemetrics.h"
#include "apricotladderd/ownerclient.h"
#include "apricotladderd/runstore.h"
#include "apricotladderd/slicehost.h"
#include "apricotladderd/storeclient.h"
#include "coordination/outlierdetector.h"
#include "coordination/retrybudget.h"
#include "state/nodesettings.h"

#include <atomic>

namespace Apricot {

/**
 * \class SharedRetryState
 * \brief Retry budget and outlier detector of a node, under one lock for all calls in progress.
 */
class SharedRetryState
{
public:
    bool trySpend(absl::Time now)
    {
        const MutexLock lock(m_mutex);
        return m_budget.trySpend(now);
    }

    void recordSuccess(const EngineId &engine)
    {
        const MutexLock lock(m_mutex);
        m_budget.recordSuccess();
        m_outliers.recordSuccess(engine);
    }

    FailureAction recordConnectFailure(const EngineId &engine, absl::Time now)
    {
        const MutexLock lock(m_mutex);
        return m_outliers.recordConnectFailure(engine, now);
    }

    FailureAction recordStalledConnection(const EngineId &engine)
    {
        const MutexLock lock(m_mutex);
        return m_outliers.recordStalledConnection(engine);
    }

    std::vector<EngineId> usable(const std::vector<EngineId> &pool, absl::Time now)
    {
        const MutexLock lock(m_mutex);
        return m_outliers.usable(pool, now);
    }

private:
    Mutex m_mutex;
    RetryBudget m_budget ABSL_GUARDED_BY(m_mutex);
    OutlierDetector m_outliers ABSL_GUARDED_BY(m_mutex);
};

/// References to the parts of a node that the calls in progress use.
struct NodeContext
{
    const NodeSettings &settings;
    Journal &journal;
    NodeMetrics &metrics;
    CurrentConfig &config;
    CellService &cell;
    OwnerClient &ownerClient;
    RunStore &runStore;
    SharedRetryState &retries;
};

}
