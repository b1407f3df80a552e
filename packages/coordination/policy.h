#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Apricot {

/// The default policy. Each flag can disable one mechanism to measure its effect.
struct LadderPolicy
{
    bool urgentFirst = true; ///< ranks are served by urgency; off: by deadline over all ranks
    bool floors = true; ///< each rank is guaranteed its floor share
    bool fairness = true; ///< workspaces of a rank share the capacity fairly in an overload
    bool earlyRefusal = true; ///< refuse requests that would miss their target
    bool queueLimit = true; ///< refuse requests at arrival if the queue is too long to meet their target
    bool memoryReservation = true; ///< reserve decode memory before the prefill
    bool slotForecast = true; ///< count slots that will be free when the result is ready
    bool headroom = true; ///< keep memory on one engine free for large urgent prompts
    bool prefixCache = true; ///< prefer prefill engines that have the prefix cached
    bool rebind = true; ///< move the reservation to the engine whose slot becomes free first

    friend bool operator==(const LadderPolicy &, const LadderPolicy &) = default;
};

/// Baseline: one queue in order of arrival, without refusal and without reservations.
struct FifoPolicy
{
    friend bool operator==(const FifoPolicy &, const FifoPolicy &) = default;
};

/// Baseline: no queue and no reservations. Each request starts immediately on the engines with the fewest requests.
struct LeastLoadedPolicy
{
    friend bool operator==(const LeastLoadedPolicy &, const LeastLoadedPolicy &) = default;
};

/// Baseline: like LeastLoadedPolicy, but requests with the same prefix go to the same prefill engine unless it is overloaded.
struct PrefixAffinityPolicy
{
    friend bool operator==(const PrefixAffinityPolicy &, const PrefixAffinityPolicy &) = default;
};

/// Scheduling policy of a slice owner.
using Policy = std::variant<LadderPolicy, FifoPolicy, LeastLoadedPolicy, PrefixAffinityPolicy>;

/// Sets \a policy to the policy called \a name: "ladder", "fifo", "least-loaded", "prefix-affinity", or "ladder-no-FLAG"
/// with one mechanism disabled. Returns false and leaves \a policy unchanged if the name is unknown.
bool policyFromName(std::string_view name, Policy *policy);

/// Returns the names that policyFromName() accepts: the default policy first, then the baselines, then the ablations.
std::vector<std::string> policyNames();

}
