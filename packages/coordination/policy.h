#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Apricot {

/// Our policy. Each flag switches one mechanism off, so that its worth can be measured.
struct LadderPolicy
{
    bool urgentFirst = true; ///< ranks are served by urgency; off: by deadline over all ranks
    bool floors = true; ///< each rank keeps its floor share
    bool fairness = true; ///< workspaces of a rank share what is left in an overload
    bool earlyRefusal = true; ///< refuse what would miss its target
    bool queueLimit = true; ///< refuse at arrival what the queue ahead already makes late
    bool memoryReservation = true; ///< reserve pieces before the prefill
    bool slotForecast = true; ///< count on slots that will be free when the result is ready
    bool headroom = true; ///< keep memory in one engine for large urgent prompts
    bool prefixCache = true; ///< prefer prefill engines that hold the prefix
    bool rebind = true; ///< move the reservation to the engine whose slot is free first

    friend bool operator==(const LadderPolicy &, const LadderPolicy &) = default;
};

/// Baseline: one queue in order of arrival, no refusal, no reservation.
struct FifoPolicy
{
    friend bool operator==(const FifoPolicy &, const FifoPolicy &) = default;
};

/// Baseline: no queue; the engines with the fewest requests, by slot count, without reservation.
struct LeastLoadedPolicy
{
    friend bool operator==(const LeastLoadedPolicy &, const LeastLoadedPolicy &) = default;
};

/// Baseline: as least-loaded, but a prefix always goes to the same prefill engine.
struct PrefixAffinityPolicy
{
    friend bool operator==(const PrefixAffinityPolicy &, const PrefixAffinityPolicy &) = default;
};

/// How the owner of a slice decides.
using Policy = std::variant<LadderPolicy, FifoPolicy, LeastLoadedPolicy, PrefixAffinityPolicy>;

/// Returns the policy called \a name ("ladder", "fifo", "least-loaded", "prefix-affinity", or "ladder-no-FLAG"
/// with one mechanism off); the variant is empty-handed (false) if there is none.
bool policyFromName(std::string_view name, Policy *policy);

/// Names that policyFromName() knows, ours first, ablations last.
std::vector<std::string> policyNames();

}
