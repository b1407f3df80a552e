#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

/// What the users' workloads look like, drawn from a seed alone: no policy has any influence on it.
namespace Apricot::Bench {

/// Which kinds of work come, and what fails.
enum class Scenario { Steady, FloodLow, FloodUrgent, EngineLoss, SlowTransfer, Mixed };

/// Engines of a deployment.
struct Deployment
{
    std::size_t prefillEngines = 4;
    std::size_t decodeEngines = 6;
};

/// Figures of an engine that the workload is scaled to.
struct EngineFigures
{
    static constexpr std::int64_t slots = 20;
    static constexpr std::int64_t pieces = 2000;
    static constexpr std::int64_t tokensPerPiece = 16;
    static constexpr double unloadedGapMs = 15;
    static constexpr double loadedGapMs = 22;

    /// An output token costs loadedGapMs / slots of engine time; 60 of them are 66 ms.
    static constexpr double prefillMsPerThousand = 66;
    static constexpr double transferMsPerThousand = 8;
    static constexpr double resultLifetimeMs = 800;
    static constexpr std::int64_t maxTokens = 400;
};

/// One request as it is offered.
struct OfferedRequest
{
    absl::Time arrival;
    bool urgent = false;
    std::size_t workspace = 0;
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0; ///< known to the engine only
    std::uint64_t prefixHash = 0;
    std::int64_t prefixTokens = 0;
};

/// What is drawn, and for how long.
struct WorkloadPlan
{
    Scenario scenario = Scenario::Steady;
    Deployment deployment;
    double load = 1;
    std::uint64_t seed = 1;
    absl::Duration length = absl::Seconds(60);
};

/// Requests a second that the engines could serve if every slot were always in use; worked out from engine time alone.
double capacityBound(const Deployment &deployment);

/// Whether the decode pool is the one that runs out first.
bool decodeIsBottleneck(const Deployment &deployment);

/// Least prefill time of a request, its shared prefix cached, ms.
double leastPrefillMs(const OfferedRequest &request);

/// Engine time of a request's output at full slots, ms.
double decodeMs(std::int64_t tokens);

/// All requests of a plan in order of arrival; the run starts at absl::UnixEpoch().
std::vector<OfferedRequest> drawWorkload(const WorkloadPlan &plan);

/// "steady", "flood-low" and so on; returns false if there is no such scenario.
bool scenarioFromName(const std::string &name, Scenario *scenario);
std::vector<std::string> scenarioNames();

}
