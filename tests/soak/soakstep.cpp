#include "soak/soakstep.h"

#include "state/overloaded.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iterator>
#include <random>

namespace Apricot {

namespace {

/// Time before the first step, so that the deployment is serving when the first fault occurs. Steps end with the run's duration, so
/// that the deployment can recover from the last one.
constexpr absl::Duration firstStepDelay = absl::Milliseconds(1500);
constexpr absl::Duration meanStepInterval = absl::Milliseconds(900);

constexpr absl::Duration minFaultDuration = absl::Milliseconds(200);
constexpr absl::Duration maxFaultDuration = absl::Milliseconds(3500);

/// How long the effects of a fault may last after its end: connections time out, lists are read again, a process starts.
constexpr absl::Duration recoveryTime = absl::Seconds(5);

/**
 * \class StepGenerator
 * \brief Generates random actions and intervals from a seed.
 */
class StepGenerator
{
public:
    StepGenerator(std::uint64_t seed, const SoakSize &size)
        : m_random(seed)
        , m_size(size)
    {
    }

    absl::Duration drawInterval()
    {
        // Half of the steps start together with the previous one, so that faults overlap.
        return drawUpTo(1) == 0 ? absl::ZeroDuration() : absl::Milliseconds(drawUpTo(absl::ToInt64Milliseconds(2 * meanStepInterval)));
    }

    SoakAction drawAction()
    {
        constexpr std::int64_t kinds = std::variant_size_v<SoakAction>;
        switch (drawUpTo(kinds - 1)) {
        case 0:
            return KillNode{drawNode()};
        case 1:
            return drawUpTo(3) == 0 ? SoakAction(KillAllNodes{}) : SoakAction(KillNode{drawNode()});
        case 2:
            return RestartNode{drawNode()};
        case 3:
            return PauseNode{drawNode(), drawDuration()};
        case 4:
            return ReloadNode{drawNode()};
        case 5:
            return DisturbStorePath{drawNode(), drawFault(), drawDuration()};
        case 6:
            return DisturbEnginePath{drawEngine(), drawFault(), drawDuration()};
        case 7:
            return TakeStoreDown{drawDuration()};
        case 8:
            return DropStoreHistory{};
        case 9:
            return ReplaceEngine{drawEngine()};
        case 10:
            return CrashEngine{drawEngine()};
        default:
            return ChangeDesiredState{};
        }
    }

private:
    std::int64_t drawUpTo(std::int64_t max)
    {
        return std::uniform_int_distribution<std::int64_t>(0, max)(m_random);
    }

    std::size_t drawNode()
    {
        return static_cast<std::size_t>(drawUpTo(static_cast<std::int64_t>(m_size.nodes) - 1));
    }

    std::size_t drawEngine()
    {
        return static_cast<std::size_t>(drawUpTo(static_cast<std::int64_t>(m_size.engines) - 1));
    }

    PathFault drawFault()
    {
        return static_cast<PathFault>(1 + drawUpTo(static_cast<std::int64_t>(PathFault::StallOpen) - 1));
    }

    absl::Duration drawDuration()
    {
        return minFaultDuration + absl::Milliseconds(drawUpTo(absl::ToInt64Milliseconds(maxFaultDuration - minFaultDuration)));
    }

    std::mt19937_64 m_random;
    SoakSize m_size;
};

const char *faultName(PathFault fault)
{
    static constexpr const char *names[] = {"healed", "delayed", "reset", "drops requests", "drops responses", "silent"};
    return names[static_cast<std::size_t>(fault)];
}

std::string durationText(absl::Duration duration)
{
    return absl::StrCat(" for ", absl::ToInt64Milliseconds(duration), " ms");
}

}

std::vector<SoakStep> planSoak(std::uint64_t seed, const SoakSize &size)
{
    StepGenerator source(seed, size);
    std::vector<SoakStep> steps;
    for (absl::Duration at = firstStepDelay; at < size.duration; at += source.drawInterval()) {
        steps.push_back(SoakStep{at, source.drawAction()});
    }
    return steps;
}

std::string describeStep(const SoakStep &step)
{
    const std::string what = std::visit(
        Overloaded{
            [](const KillNode &it) { return absl::StrCat("node ", it.node, " receives SIGKILL"); },
            [](const KillAllNodes &) { return std::string("all nodes receive SIGKILL"); },
            [](const RestartNode &it) { return absl::StrCat("node ", it.node, " receives SIGTERM and is restarted"); },
            [](const PauseNode &it) { return absl::StrCat("node ", it.node, " is paused", durationText(it.duration)); },
            [](const ReloadNode &it) { return absl::StrCat("node ", it.node, " receives SIGHUP and reloads its settings"); },
            [](const DisturbStorePath &it) {
                return absl::StrCat("path from node ", it.node, " to the store ", faultName(it.fault), durationText(it.duration));
            },
            [](const DisturbEnginePath &it) {
                return absl::StrCat("path to engine ", it.engine, " ", faultName(it.fault), durationText(it.duration));
            },
            [](const TakeStoreDown &it) { return absl::StrCat("the store is unavailable", durationText(it.duration)); },
            [](const DropStoreHistory &) { return std::string("the store drops its watch history"); },
            [](const ReplaceEngine &it) { return absl::StrCat("engine ", it.engine, " leaves and is replaced"); },
            [](const CrashEngine &it) { return absl::StrCat("engine ", it.engine, " crashes and restarts with the same id"); },
            [](const ChangeDesiredState &) { return std::string("the desired state changes"); },
        },
        step.action);
    return absl::StrCat(absl::ToInt64Milliseconds(step.at), " ms: ", what);
}

bool isPlannedOperation(const SoakAction &action)
{
    return std::holds_alternative<RestartNode>(action) || std::holds_alternative<ReloadNode>(action)
        || std::holds_alternative<ReplaceEngine>(action) || std::holds_alternative<ChangeDesiredState>(action);
}

absl::Duration disturbanceDuration(const SoakAction &action)
{
    return std::visit(Overloaded{
                          [](const PauseNode &it) { return it.duration + recoveryTime; },
                          [](const DisturbStorePath &it) { return it.duration + recoveryTime; },
                          [](const DisturbEnginePath &it) { return it.duration + recoveryTime; },
                          [](const TakeStoreDown &it) { return it.duration + recoveryTime; },
                          [](const auto &) { return recoveryTime; },
                      },
                      action);
}

}
