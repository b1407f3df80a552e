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

/// What a random run is asked for.
struct RunPlan
{
    std::uint64_t seed = 1;
    std::uint64_t steps = 5000;
    std::size_t nodes = 6;
};

/// What came of it.
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
    std::vector<std::string> story; ///< events that led to violations
};

/**
 * \class SimWorld
 * \brief Several nodes, the fakes around them, the faults and the checks of one random run.
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

    std::string seconds() const;
    std::vector<Vm> vms() const;
    SchedulerSettings schedulerSettings() const;
    SimEngine &engine(const EngineId &id);
    std::vector<SimEngine *> engines();
    std::vector<SimEngine *> decodeEngines();
    std::vector<EngineId> leavingEngines() const;

    std::string wantedConfig() const
    {
        return m_wantedConfig;
    }

    /// Sends a datagram through the fake network.
    void send(const SimNode &from, const NodeId &to, const std::string &bytes);

    /// Hands a part of an answer to a caller.
    void toCaller(const CallerSink &sink, const CallerPart &part);

    /// A node for a caller, as the address answers would say it.
    SimNode *addressFor();

    void askGeneration(SimNode &from, const NodeId &peer);
    void askWord(SimNode &from, const NodeId &peer, const RequestId &attempt, std::function<void(AttemptStatus)> done);
    void callService(const IdempotencyKey &key, std::function<void(ServiceEnd)> done);

    /// Keeps what a crashed node leaves behind until the end of the run.
    void bury(std::shared_ptr<void> remains);

private:
    using Repair = std::function<void()>;

    void scheduleCaller();
    CallerHabit drawHabit();
    void scheduleFault();
    void causeFault();
    std::pair<std::string, Repair> drawFault();
    Repair crashNode();
    Repair pauseNode();
    Repair partition();
    Repair drainNode();
    void replaceWhenIdle(SimNode *node, std::uint64_t epoch);
    Repair killEngine();
    Repair engineLeaves();
    void scheduleEdit();
    SimNode *someNode(bool alive);
    bool isCut(std::size_t a, std::size_t b) const;
    bool allEnded() const;
    void settle();
    RunReport judge();
    void judgeCalls(RunReport *report) const;
    void judgeRecords(RunReport *report);
    void tell(const std::string &text);

    RunPlan m_plan;
    SimClock m_clock;
    SimStore m_store;
    absl::Time m_started;
    std::vector<std::unique_ptr<SimEngine>> m_prefill;
    std::vector<std::unique_ptr<SimEngine>> m_decode;
    std::vector<std::unique_ptr<SimNode>> m_nodes;
    std::vector<std::shared_ptr<SimCaller>> m_callers;
    std::vector<std::shared_ptr<SimTapper>> m_tappers;
    std::vector<std::shared_ptr<void>> m_graveyard;
    std::map<IdempotencyKey, int> m_runs;
    std::map<std::string, int> m_faults;
    std::map<EngineId, absl::Time> m_leaving;
    std::set<std::pair<std::size_t, std::size_t>> m_cuts;
    std::vector<std::string> m_story;
    std::string m_wantedConfig = "config-1";
    int m_edits = 1;
    int m_faultsNow = 0;
    double m_loss = 0;
    double m_duplicates = 0;
    absl::Duration m_extraDelay;
    bool m_serviceLosesReplies = false;
    bool m_serviceDown = false;
    bool m_stopping = false;
    std::int64_t m_violations = 0;
};

/// The line that random_run prints.
std::string reportLine(const RunPlan &plan, const RunReport &report);

}
