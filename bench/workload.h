#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

/// Synthetic workloads that are drawn from a seed alone, so that they are the same for every policy.
namespace Apricot::Bench {

/// Kind of offered load and of injected faults.
enum class Scenario { Steady, FloodLow, FloodUrgent, EngineLoss, SlowTransfer, Mixed };

/// Number of engines of a deployment.
struct Deployment
{
    std::size_t prefillEngines = 4;
    std::size_t decodeEngines = 6;
};

/// Properties of the fake engines; the capacity bound is derived from them.
struct EngineFigures
{
    static constexpr std::int64_t slots = 20;
    static constexpr std::int64_t pieces = 2000;
    static constexpr std::int64_t tokensPerPiece = 16;
    static constexpr double unloadedGapMs = 15;
    static constexpr double loadedGapMs = 22;

    /// Prefill time per 1,000 prompt tokens. 60 output tokens at loadedGapMs / slots each also take 66 ms.
    static constexpr double prefillMsPerThousand = 66;
    static constexpr double transferMsPerThousand = 8;
    static constexpr double resultLifetimeMs = 800;
    static constexpr std::int64_t maxTokens = 400;
};

/// One request of the workload.
struct OfferedRequest
{
    absl::Time arrival;
    bool urgent = false;
    std::size_t workspace = 0;
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0; ///< known only to the engine, not to the scheduler
    std::uint64_t prefixHash = 0;
    std::int64_t prefixTokens = 0;
};

/// Parameters of a generated workload.
struct WorkloadPlan
{
    Scenario scenario = Scenario::Steady;
    Deployment deployment;
    double load = 1; ///< offered load as a multiple of capacityBound()
    std::uint64_t seed = 1;
    absl::Duration length = absl::Seconds(60);
};

/// Returns the upper bound of requests per second, computed from engine time with every slot always in use.
double capacityBound(const Deployment &deployment);

/// Whether the decode pool limits the throughput.
bool decodeIsBottleneck(const Deployment &deployment);

/// Returns the prefill time of a request in milliseconds if its shared prefix is cached.
double minPrefillMs(const OfferedRequest &request);

/// Returns the engine time in milliseconds to decode \a tokens with all slots in use.
double decodeMs(std::int64_t tokens);

/// Returns all requests of a plan in order of arrival. The run starts at absl::UnixEpoch().
std::vector<OfferedRequest> drawWorkload(const WorkloadPlan &plan);

/// Sets \a scenario to the one called \a name, such as "steady" or "flood-low". Returns false if there is none.
bool scenarioFromName(const std::string &name, Scenario *scenario);
std::vector<std::string> scenarioNames();

}
