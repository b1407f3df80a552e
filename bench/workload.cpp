#include "workload.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>
#include <utility>

namespace Apricot::Bench {

namespace {

constexpr std::int64_t minPromptTokens = 50;
constexpr std::int64_t maxPromptTokens = 20000;
constexpr double medianPromptTokens = 800;
constexpr double promptSigma = 1.0;
constexpr std::int64_t minOutputTokens = 20;
constexpr std::int64_t maxOutputTokens = 400;
constexpr double medianOutputTokens = 120;
constexpr double outputSigma = 0.6;
constexpr double sharedPrefixFraction = 0.2;
constexpr std::uint64_t prefixCount = 16;
constexpr std::int64_t maxSharedPrefixTokens = 512;

/// Each workspace alternates independently between sending and pausing: it sends a third of the time, at three times its
/// mean rate.
constexpr std::size_t workspaceCount = 40;
constexpr double burstFactor = 3;
constexpr double meanOnSeconds = 1;

/// Highest load offered by the non-flooding rank, as a fraction of the capacity bound.
constexpr double maxCalmLoad = 0.4;

constexpr std::uint64_t calibrationSeed = 20261204;
constexpr int calibrationDraws = 200000;

using Random = std::mt19937_64;

std::int64_t drawBounded(Random &random, double median, double sigma, std::int64_t minimum, std::int64_t maximum)
{
    std::lognormal_distribution<double> distribution(std::log(median), sigma);
    return std::clamp(static_cast<std::int64_t>(distribution(random)), minimum, maximum);
}

OfferedRequest drawRequest(Random &random)
{
    OfferedRequest request;
    request.promptTokens = drawBounded(random, medianPromptTokens, promptSigma, minPromptTokens, maxPromptTokens);
    request.outputTokens = drawBounded(random, medianOutputTokens, outputSigma, minOutputTokens, maxOutputTokens);
    const double shared = std::uniform_real_distribution<double>(0, 1)(random);
    const std::uint64_t prefix = std::uniform_int_distribution<std::uint64_t>(1, prefixCount)(random);
    if (shared < sharedPrefixFraction) {
        request.prefixHash = prefix;
        request.prefixTokens = std::min(maxSharedPrefixTokens, request.promptTokens / 2);
    }
    return request;
}

/// Mean engine time of a request in each pool, in milliseconds.
struct MeanCosts
{
    double prefillMs = 0;
    double decodeMs = 0;
};

const MeanCosts &meanCosts()
{
    static const MeanCosts costs = [] {
        Random random(calibrationSeed);
        MeanCosts sum;
        for (int i = 0; i < calibrationDraws; ++i) {
            const OfferedRequest request = drawRequest(random);
            sum.prefillMs += minPrefillMs(request) / calibrationDraws;
            sum.decodeMs += decodeMs(request.outputTokens) / calibrationDraws;
        }
        return sum;
    }();
    return costs;
}

double prefillPerSecond(const Deployment &deployment)
{
    return static_cast<double>(deployment.prefillEngines) * 1000.0 / meanCosts().prefillMs;
}

double decodePerSecond(const Deployment &deployment)
{
    return static_cast<double>(deployment.decodeEngines) * 1000.0 / meanCosts().decodeMs;
}

/// Returns the load offered by a rank at a point of the run (\a runFraction from 0 to 1), as a multiple of the capacity bound.
double rankLoad(const WorkloadPlan &plan, bool urgent, double runFraction)
{
    Scenario scenario = plan.scenario;
    if (scenario == Scenario::Mixed) {
        constexpr std::array<Scenario, 3> phases{Scenario::Steady, Scenario::FloodLow, Scenario::FloodUrgent};
        scenario = phases[std::min<std::size_t>(static_cast<std::size_t>(runFraction * phases.size()), phases.size() - 1)];
    }
    const double calmLoad = std::min(maxCalmLoad, plan.load / 2);
    switch (scenario) {
    case Scenario::FloodLow:
        return urgent ? calmLoad : plan.load - calmLoad;
    case Scenario::FloodUrgent:
        return urgent ? plan.load - calmLoad : calmLoad;
    case Scenario::Steady:
    case Scenario::EngineLoss:
    case Scenario::SlowTransfer:
    case Scenario::Mixed:
        break;
    }
    return plan.load / 2;
}

/// Appends the arrivals of one workspace and rank: a Poisson process at three times the mean rate during on-phases.
void drawArrivals(const WorkloadPlan &plan, bool urgent, std::size_t workspace, Random &random, std::vector<OfferedRequest> *requests)
{
    const double length = absl::ToDoubleSeconds(plan.length);
    const double bound = capacityBound(plan.deployment);
    std::exponential_distribution<double> onTime(1.0 / meanOnSeconds);
    std::exponential_distribution<double> offTime(1.0 / (meanOnSeconds * (burstFactor - 1)));
    // Starts at a random phase of the cycle: either within an on-phase or after an off-phase of random length.
    double at = std::uniform_real_distribution<double>(0, 1)(random) < 1 / burstFactor ? 0 : offTime(random);
    while (at < length) {
        const double end = std::min(at + onTime(random), length);
        while (at < end) {
            const double perSecond = rankLoad(plan, urgent, at / length) * bound / workspaceCount * burstFactor;
            at += std::exponential_distribution<double>(std::max(perSecond, 1e-9))(random);
            if (at < end) {
                OfferedRequest request = drawRequest(random);
                request.arrival = absl::UnixEpoch() + absl::Seconds(at);
                request.urgent = urgent;
                request.workspace = workspace;
                requests->push_back(request);
            }
        }
        at = end + offTime(random);
    }
}

const std::array<std::pair<const char *, Scenario>, 6> scenarios{{{"steady", Scenario::Steady},
                                                                  {"flood-low", Scenario::FloodLow},
                                                                  {"flood-urgent", Scenario::FloodUrgent},
                                                                  {"engine-loss", Scenario::EngineLoss},
                                                                  {"slow-transfer", Scenario::SlowTransfer},
                                                                  {"mixed", Scenario::Mixed}}};

}

double capacityBound(const Deployment &deployment)
{
    return std::min(prefillPerSecond(deployment), decodePerSecond(deployment));
}

bool decodeIsBottleneck(const Deployment &deployment)
{
    return decodePerSecond(deployment) <= prefillPerSecond(deployment);
}

double minPrefillMs(const OfferedRequest &request)
{
    return static_cast<double>(request.promptTokens - request.prefixTokens) / 1000.0 * EngineFigures::prefillMsPerThousand;
}

double decodeMs(std::int64_t tokens)
{
    return static_cast<double>(tokens) * EngineFigures::loadedGapMs / static_cast<double>(EngineFigures::slots);
}

std::vector<OfferedRequest> drawWorkload(const WorkloadPlan &plan)
{
    std::vector<OfferedRequest> requests;
    for (const bool urgent : {true, false}) {
        for (std::size_t i = 0; i < workspaceCount; ++i) {
            std::seed_seq seeds{plan.seed, static_cast<std::uint64_t>(urgent), static_cast<std::uint64_t>(i)};
            Random random(seeds);
            drawArrivals(plan, urgent, i, random, &requests);
        }
    }
    std::stable_sort(requests.begin(), requests.end(),
                     [](const OfferedRequest &a, const OfferedRequest &b) { return a.arrival < b.arrival; });
    return requests;
}

bool scenarioFromName(const std::string &name, Scenario *scenario)
{
    for (const auto &[known, value] : scenarios) {
        if (name == known) {
            *scenario = value;
            return true;
        }
    }
    return false;
}

std::vector<std::string> scenarioNames()
{
    std::vector<std::string> names;
    names.reserve(scenarios.size());
    for (const auto &it : scenarios) {
        names.emplace_back(it.first);
    }
    return names;
}

}
