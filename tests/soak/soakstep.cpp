#include "soak/soakstep.h"

#include "state/overloaded.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iterator>
#include <random>

namespace Apricot {

namespace {

/// The first fault comes when the deployment serves, the last one early enough to heal.
constexpr absl::Duration firstStep = absl::Milliseconds(1500);
constexpr absl::Duration meanGap = absl::Milliseconds(900);

constexpr absl::Duration shortest = absl::Milliseconds(200);
constexpr absl::Duration longest = absl::Milliseconds(3500);

/// What a fault leaves behind for this long: connections that time out, lists that are read again, a process that starts.
constexpr absl::Duration aftermath = absl::Seconds(5);

/**
 * \class StepSource
 * \brief Draws actions.
 */
class StepSource
{
public:
    StepSource(std::uint64_t seed, const SoakSize &size)
        : m_random(seed)
        , m_size(size)
    {
    }

    absl::Duration gap()
    {
        // Half of the steps follow the one before at once: faults overlap.
        return upTo(1) == 0 ? absl::ZeroDuration() : absl::Milliseconds(upTo(absl::ToInt64Milliseconds(2 * meanGap)));
    }

    SoakAction action()
    {
        constexpr std::int64_t kinds = std::variant_size_v<SoakAction>;
        switch (upTo(kinds - 1)) {
        case 0:
            return KillNode{node()};
        case 1:
            return upTo(3) == 0 ? SoakAction(KillAllNodes{}) : SoakAction(KillNode{node()});
        case 2:
            return RestartNode{node()};
        case 3:
            return PauseNode{node(), length()};
        case 4:
            return ReloadNode{node()};
        case 5:
            return HarmStorePath{node(), harm(), length()};
        case 6:
            return HarmEnginePath{engine(), harm(), length()};
        case 7:
            return StoreIsDown{length()};
        case 8:
            return StoreForgets{};
        case 9:
            return ReplaceEngine{engine()};
        case 10:
            return CrashEngine{engine()};
        default:
            return ChangeDesiredState{};
        }
    }

private:
    std::int64_t upTo(std::int64_t most)
    {
        return std::uniform_int_distribution<std::int64_t>(0, most)(m_random);
    }

    std::size_t node()
    {
        return static_cast<std::size_t>(upTo(static_cast<std::int64_t>(m_size.nodes) - 1));
    }

    std::size_t engine()
    {
        return static_cast<std::size_t>(upTo(static_cast<std::int64_t>(m_size.engines) - 1));
    }

    PathHarm harm()
    {
        return static_cast<PathHarm>(1 + upTo(static_cast<std::int64_t>(PathHarm::Silence) - 1));
    }

    absl::Duration length()
    {
        return shortest + absl::Milliseconds(upTo(absl::ToInt64Milliseconds(longest - shortest)));
    }

    std::mt19937_64 m_random;
    SoakSize m_size;
};

const char *harmName(PathHarm harm)
{
    static constexpr const char *names[] = {"healed", "delayed", "reset", "cut forth", "cut back", "silent"};
    return names[static_cast<std::size_t>(harm)];
}

std::string lasting(absl::Duration length)
{
    return absl::StrCat(" for ", absl::ToInt64Milliseconds(length), " ms");
}

}

std::vector<SoakStep> planSoak(std::uint64_t seed, const SoakSize &size)
{
    StepSource source(seed, size);
    std::vector<SoakStep> steps;
    for (absl::Duration at = firstStep; at < size.length; at += source.gap()) {
        steps.push_back(SoakStep{at, source.action()});
    }
    return steps;
}

std::string describeStep(const SoakStep &step)
{
    const std::string what = std::visit(
        Overloaded{
            [](const KillNode &it) { return absl::StrCat("node ", it.node, " is killed"); },
            [](const KillAllNodes &) { return std::string("all nodes are killed"); },
            [](const RestartNode &it) { return absl::StrCat("node ", it.node, " is told to stop, and started again"); },
            [](const PauseNode &it) { return absl::StrCat("node ", it.node, " is paused", lasting(it.length)); },
            [](const ReloadNode &it) { return absl::StrCat("node ", it.node, " is told to read its settings"); },
            [](const HarmStorePath &it) {
                return absl::StrCat("path from node ", it.node, " to the store ", harmName(it.harm), lasting(it.length));
            },
            [](const HarmEnginePath &it) { return absl::StrCat("path to engine ", it.engine, " ", harmName(it.harm), lasting(it.length)); },
            [](const StoreIsDown &it) { return absl::StrCat("the store is down", lasting(it.length)); },
            [](const StoreForgets &) { return std::string("the store forgets its history"); },
            [](const ReplaceEngine &it) { return absl::StrCat("engine ", it.engine, " leaves, another comes"); },
            [](const CrashEngine &it) { return absl::StrCat("engine ", it.engine, " dies and comes back under its id"); },
            [](const ChangeDesiredState &) { return std::string("the desired state changes"); },
        },
        step.action);
    return absl::StrCat(absl::ToInt64Milliseconds(step.at), " ms: ", what);
}

bool isPlannedWork(const SoakAction &action)
{
    return std::holds_alternative<RestartNode>(action) || std::holds_alternative<ReloadNode>(action)
        || std::holds_alternative<ReplaceEngine>(action) || std::holds_alternative<ChangeDesiredState>(action);
}

absl::Duration effectOf(const SoakAction &action)
{
    return std::visit(Overloaded{
                          [](const PauseNode &it) { return it.length + aftermath; },
                          [](const HarmStorePath &it) { return it.length + aftermath; },
                          [](const HarmEnginePath &it) { return it.length + aftermath; },
                          [](const StoreIsDown &it) { return it.length + aftermath; },
                          [](const auto &) { return aftermath; },
                      },
                      action);
}

}
