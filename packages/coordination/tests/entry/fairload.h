#pragma once

#include "coordination/servicepool.h"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Apricot {

/// The calls of one workspace in a simulated load.
struct WorkspaceLoad
{
    std::string name; ///< empty: calls without a workspace
    std::int64_t rank = 0;
    std::int64_t promptTokens = 1000;
    std::int64_t outputTokens = 500;
    absl::Duration maxWait = absl::Milliseconds(520);
    std::function<double(absl::Duration)> callsPerSecond; ///< by the time since the start
};

/// Parameters of a simulated deployment.
struct SimulatedDeployment
{
    int nodes = 1;
    int decodeEngines = 16;
    absl::Duration reportDelay = absl::Milliseconds(10); ///< from the sending of a load report to its use
    absl::Duration reportInterval = absl::Milliseconds(20);
    absl::Duration length = absl::Seconds(20);
    bool namesWorkspaces = true; ///< false: the calls carry no workspace, so that the order is by rank and wait deadline alone
    bool usesFixedRetryAfter = false; ///< refused calls return after 2.5 s to 4.3 s, whatever the backlog is
    double minRefusalWaitSeconds = 1.5; ///< a call whose expected wait is longer than this and its maximum is refused at once
    std::uint32_t seed = 1;
};

/// What became of the calls of one workspace that first arrived in a period.
struct WorkspaceOutcome
{
    int asked = 0;
    int placed = 0; ///< at the first attempt or at the return after a refusal
    int placedAtOnce = 0; ///< at the first attempt
    absl::Duration timeToPlacement; ///< sum over the placed calls, from the first arrival

    double servedFraction() const
    {
        return asked > 0 ? static_cast<double>(placed) / asked : 1;
    }
};

/// Plays a load against ServicePools in virtual time. Engines hold a run from its prefill to its last token, and refuse a run that exceeds
/// their memory; it is then tried at another engine once. A refused caller returns once, after the Retry-After, if a third of its remaining
/// time allows it.
class FairLoad
{
public:
    FairLoad(SimulatedDeployment deployment, std::vector<WorkspaceLoad> loads);

    /// Plays the load to its end.
    void run();

    /// The outcome of the calls of \a workspace that first arrived in [\a from, \a until) since the start.
    WorkspaceOutcome outcome(const std::string &workspace, absl::Duration from, absl::Duration until) const;

    /// The outcome of all calls that first arrived in [\a from, \a until) since the start.
    WorkspaceOutcome total(absl::Duration from, absl::Duration until) const;

    /// The lowest served fraction of any workspace, divided by that of all calls.
    double lowestRelativeFraction(absl::Duration from, absl::Duration until) const;

    /// Runs that an engine has refused because its memory did not suffice.
    int refusedByEngines() const
    {
        return m_refusedByEngines;
    }

private:
    struct Call
    {
        std::size_t load = 0;
        absl::Time firstArrival;
        absl::Time arrival;
        bool isReturn = false;
        std::size_t node = 0;
        ModelDemand demand;
        absl::Time waitEnd = absl::InfiniteFuture();
        bool isPlaced = false;
        absl::Time placedAt;
    };

    struct Run
    {
        std::size_t node = 0;
        ModelPlacement placement;
        std::int64_t tokens = 0;
    };

    struct Report
    {
        std::size_t node = 0;
        std::vector<EngineLoad> loads;
        std::vector<WaitingCall> waiting;
    };

    double random();
    void arrive(std::size_t id, absl::Time now);
    void wait(std::size_t id, absl::Time now);
    void place(std::size_t id, const ModelPlacement &placement, absl::Time now);
    void refuse(std::size_t id, absl::Time now);
    void grant(std::size_t node, absl::Time now);
    void step(absl::Time now);
    void sendReports(absl::Time now);

    SimulatedDeployment m_deployment;
    std::vector<WorkspaceLoad> m_loads;
    std::mt19937 m_random;
    std::vector<ServicePool> m_pools;
    std::vector<Call> m_calls;
    std::multimap<absl::Time, std::size_t> m_arrivals;
    std::multimap<absl::Time, std::size_t> m_waitEnds; ///< of calls that wait; calls that were placed meanwhile are skipped
    std::multimap<absl::Time, Run> m_runEnds;
    std::multimap<absl::Time, Run> m_prefillEnds;
    std::multimap<absl::Time, Report> m_reports;
    std::map<EngineId, std::int64_t> m_usedTokens;
    absl::Time m_nextReport;
    int m_refusedByEngines = 0;
};

}
