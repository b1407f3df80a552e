#include "coordination/policy.h"

#include <array>
#include <utility>

namespace Apricot {

namespace {

constexpr std::array<std::pair<std::string_view, bool LadderPolicy::*>, 10> ablations{{
    {"ladder-no-urgent-first", &LadderPolicy::urgentFirst},
    {"ladder-no-floors", &LadderPolicy::floors},
    {"ladder-no-fairness", &LadderPolicy::fairness},
    {"ladder-no-early-refusal", &LadderPolicy::earlyRefusal},
    {"ladder-no-queue-limit", &LadderPolicy::queueLimit},
    {"ladder-no-memory-reservation", &LadderPolicy::memoryReservation},
    {"ladder-no-slot-forecast", &LadderPolicy::slotForecast},
    {"ladder-no-headroom", &LadderPolicy::headroom},
    {"ladder-no-prefix-cache", &LadderPolicy::prefixCache},
    {"ladder-no-rebind", &LadderPolicy::rebind},
}};

}

bool policyFromName(std::string_view name, Policy *policy)
{
    if (name == "ladder") {
        *policy = LadderPolicy{};
        return true;
    }
    if (name == "fifo") {
        *policy = FifoPolicy{};
        return true;
    }
    if (name == "least-loaded") {
        *policy = LeastLoadedPolicy{};
        return true;
    }
    if (name == "prefix-affinity") {
        *policy = PrefixAffinityPolicy{};
        return true;
    }
    for (const auto &[ablation, flag] : ablations) {
        if (name == ablation) {
            LadderPolicy ladder;
            ladder.*flag = false;
            *policy = ladder;
            return true;
        }
    }
    return false;
}

std::vector<std::string> policyNames()
{
    std::vector<std::string> names{"ladder", "fifo", "least-loaded", "prefix-affinity"};
    for (const auto &it : ablations) {
        names.emplace_back(it.first);
    }
    return names;
}

}
