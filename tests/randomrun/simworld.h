#pragma once

#include "randomrun/simcaller.h"
#include "randomrun/simclock.h"
#include "randomrun/simengine.h"
#include "randomrun/simnode.h"
#include "randomrun/simstore.h"

#include "coordination/schedulersettings.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Apricot::Sim {

/// Parameters of a random run.
struct RunPlan
{
    std::uint64_t seed = 1;
    std::uint64_t steps = 5000;
    std::size_t nodes = 6;
};

/// Results of a random run.
struct RunReport
{
    std::uint64_t steps = 0;
    std::int64_t requests = 0;
    std::int64_t answered = 0;
    std::int64_t notRun = 0;
    std::int64_t mayHaveRun = 0;
    std::int64_t resumed = 0;
    std::int64_t violations = 0;
    std::int64_t duplicateRuns = 0;
    std::int64_t falseNotRun = 0;
    std::int64_t orphanPieces = 0;
    std::map<std::string, int> faults;
    std::vector<std::string> trace; ///< chronological events of the run; with violations, also those of the callers
};

/**
 * \class SimWorld
 * \brief Environment of one random run: the nodes, the fakes around them, fault injection and the final checks.
 */
class SimWorld
{
public:
    explicit SimWorld(const RunPlan &plan);
    ~SimWorld();

    SimWorld(const SimWorld &) = delete;
    SimWorld &operator=(const SimWorld &) = delete;

    RunReport run();

    SimClock &clock()
    {
        return m_clock;
    }

    SimStore &store()
    {
        return m_store;
    }

    /// Virtual time since the start of the run, in seconds with three decimals.
    std::string elapsedSeconds() const;
    std::vector<Vm> vms() const;
    SchedulerSettings schedulerSettings() const;
    SimEngine &engine(const EngineId &id);
    std::vector<SimEngine *> engines();
    std::vector<SimEngine *> decodeEngines();
    std::vector<EngineId> leavingEngines() const;

    std::string desiredConfig() const
    {
        return m_desiredConfig;
    }

    /// Sends a datagram over the fake network, which may drop, delay or duplicate it.
    void send(const SimNode &from, const NodeId &to, const std::string &bytes);

    /// Delivers a part of a response to a caller.
    void sendToCaller(const ResponseHandler &sink, const ResponsePart &part);

    /// Picks a random node for a caller, as the discovery service would.
    SimNode *pickNodeForCaller();

    void requestGeneration(SimNode &from, const NodeId &peer);
    void requestAttemptStatus(SimNode &from, const NodeId &peer, const RequestId &attempt, std::function<void(AttemptStatus)> done);
    void callService(const IdempotencyKey &key, std::function<void(ServiceCallOutcome)> done);

    /// Retains the \a state of a crashed node until the end of the run, because pending callbacks still point to it.
    void retainUntilEnd(std::shared_ptr<void> state);

private:
    using Repair = std::function<void()>;

    void scheduleCaller();
    CallerBehaviour drawBehaviour();
    void scheduleFault();
    void injectFault();
    std::pair<std::string, Repair> drawFault();
    Repair crashNode();
    Repair pauseNode();
    Repair partition();
    Repair drainNode();
    void replaceWhenIdle(SimNode *node, std::uint64_t epoch);
    Repair killEngine();
    Repair startEngineLeaving();
    void scheduleConfigChange();
    SimNode *pickNode(bool alive);
    bool isCut(std::size_t a, std::size_t b) const;
    bool haveAllCallsEnded() const;
    void finishRun();
    RunReport checkResults();
    void checkCalls(RunReport *report) const;
    void checkRunRecords(RunReport *report);
    void appendTrace(const std::string &text);

    RunPlan m_plan;
    SimClock m_clock;
    SimStore m_store;
    absl::Time m_startTime;
    std::vector<std::unique_ptr<SimEngine>> m_prefill;
    std::vector<std::unique_ptr<SimEngine>> m_decode;
    std::vector<std::unique_ptr<SimNode>> m_nodes;
    std::vector<std::shared_ptr<SimCaller>> m_callers;
    std::vector<std::shared_ptr<SimRunCaller>> m_runCallers;
    std::vector<std::shared_ptr<void>> m_crashedStates;
    std::map<IdempotencyKey, int> m_runs;
    std::map<std::string, int> m_faultCounts;
    std::map<EngineId, absl::Time> m_leaving;
    std::set<std::pair<std::size_t, std::size_t>> m_cutLinks;
    std::vector<std::string> m_trace;
    std::string m_desiredConfig = "config-1";
    int m_configNumber = 1;
    int m_activeFaults = 0;
    double m_lossProbability = 0;
    double m_duplicateProbability = 0;
    absl::Duration m_maxExtraDelay;
    bool m_serviceLosesReplies = false;
    bool m_serviceDown = false;
    bool m_stopping = false;
    std::int64_t m_violations = 0;
};

/// Formats the JSON line that random_run prints for a run.
std::string reportLine(const RunPlan &plan, const RunReport &report);

}
