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

/// Interval between the actions of a series, and between the starts of two series, which therefore overlap.
constexpr absl::Duration seriesInterval = absl::Milliseconds(300);
constexpr absl::Duration maxSeriesStartInterval = absl::Milliseconds(1600);

constexpr absl::Duration minBackOff = absl::Milliseconds(800);
constexpr absl::Duration maxBackOff = absl::Seconds(4);

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

    absl::Duration drawUpTo(absl::Duration max)
    {
        return absl::Milliseconds(drawUpTo(absl::ToInt64Milliseconds(max)));
    }

    /// Draws an action of SoakProfile::Faults.
    SoakAction drawAction()
    {
        constexpr std::int64_t kinds = 12;
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
            return ChangeDesiredState{AddRoute{}};
        }
    }

    /// Draws a series of actions of one kind, with their times since the start of the series.
    std::vector<SoakStep> drawSeries()
    {
        const std::int64_t kinds = m_size.profile == SoakProfile::Notices ? 9 : 7;
        switch (drawUpTo(kinds - 1)) {
        case 0:
        case 1:
            return drawRepeated(seriesInterval, [this] { return ChangeDesiredState{drawChange()}; });
        case 2:
            return drawRepeated(seriesInterval, [this] { return ReloadNode{drawNode(), drawUpTo(1) == 0}; });
        case 3:
            return rollingRestart();
        case 4:
            return drawRepeated(2 * seriesInterval, [this] { return ReplaceEngine{drawEngine()}; });
        case 5:
            return drawRepeated(seriesInterval, [this] { return SilenceEngine{drawEngine(), drawSilence()}; });
        case 7:
            return drawRepeated(2 * seriesInterval, [this] { return LeaveUnlisted{drawEngine()}; });
        case 8:
            return drawRepeated(2 * seriesInterval, [this] {
                return BackOffEngine{drawEngine(), minBackOff + drawUpTo(maxBackOff - minBackOff)};
            });
        default:
            return drawRepeated(2 * seriesInterval, [this] {
                return BreakAnswers{drawEngine(), static_cast<BreakOff>(drawUpTo(2)), absl::Milliseconds(300)};
            });
        }
    }

private:
    template<class Draw>
    std::vector<SoakStep> drawRepeated(absl::Duration interval, Draw draw)
    {
        std::vector<SoakStep> steps;
        const std::int64_t n = 4 + drawUpTo(8);
        for (std::int64_t i = 0; i < n; ++i) {
            steps.push_back(SoakStep{interval * i, draw()});
        }
        return steps;
    }

    std::vector<SoakStep> rollingRestart()
    {
        std::vector<SoakStep> steps;
        const absl::Duration interval = absl::Milliseconds(300 + drawUpTo(1500));
        for (std::size_t node = 0; node < m_size.nodes; ++node) {
            steps.push_back(SoakStep{interval * static_cast<double>(node), RestartNode{node}});
        }
        return steps;
    }

    DesiredChange drawChange()
    {
        static constexpr int idleTimeoutsMs[] = {1500, 2500, 4000, 20000};
        switch (drawUpTo(5)) {
        case 0:
            return AddRoute{};
        case 1:
            return ToggleRecurringRoute{};
        case 2:
            return ShiftRoutes{static_cast<int>(drawUpTo(totalRouteWeight))};
        case 3:
            return ChangeTimeouts{shortestRouteTimeout + absl::Seconds(drawUpTo(4))};
        case 4:
            return ChangeIdleTimeout{absl::Milliseconds(idleTimeoutsMs[drawUpTo(3)])};
        default:
            return drawUpTo(1) == 0 ? ChangeSizeLimits{16384, 100000} : ChangeSizeLimits{8192, smallestBodyLimit};
        }
    }

    absl::Duration drawSilence()
    {
        return absl::Milliseconds(1000 + drawUpTo(800));
    }

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

const char *breakOffName(BreakOff manner)
{
    static constexpr const char *names[] = {"reset", "closed", "ended inside an event"};
    return names[static_cast<std::size_t>(manner)];
}

std::string durationText(absl::Duration duration)
{
    return absl::StrCat(" for ", absl::ToInt64Milliseconds(duration), " ms");
}

std::vector<SoakStep> planSeries(StepGenerator &source, const SoakSize &size)
{
    std::vector<SoakStep> steps;
    for (absl::Duration at = firstStepDelay; at < size.duration; at += source.drawUpTo(maxSeriesStartInterval)) {
        for (const SoakStep &step : source.drawSeries()) {
            if (at + step.at < size.duration) {
                steps.push_back(SoakStep{at + step.at, step.action});
            }
        }
    }
    return steps;
}

}

std::vector<SoakStep> planSoak(std::uint64_t seed, const SoakSize &size)
{
    StepGenerator source(seed, size);
    if (size.profile != SoakProfile::Faults) {
        return planSeries(source, size);
    }
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
            [](const ReloadNode &it) {
                return absl::StrCat("node ", it.node, " receives SIGHUP", it.hasChangedSettings ? " after a change of its settings" : "");
            },
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
            [](const ChangeDesiredState &it) { return "the desired state changes: " + describeChange(it.change); },
            [](const SilenceEngine &it) { return absl::StrCat("engine ", it.engine, " is silent", durationText(it.duration)); },
            [](const LeaveUnlisted &it) { return absl::StrCat("engine ", it.engine, " leaves; only its answers say so"); },
            [](const BackOffEngine &it) {
                return absl::StrCat("engine ", it.engine, " refuses with Retry-After", durationText(it.duration));
            },
            [](const BreakAnswers &it) {
                return absl::StrCat("engine ", it.engine, " breaks off its answers (", breakOffName(it.manner), ")",
                                    durationText(it.duration));
            },
        },
        step.action);
    return absl::StrCat(absl::ToInt64Milliseconds(step.at), " ms: ", what);
}

bool isPlannedOperation(const SoakAction &action)
{
    return std::visit(Overloaded{
                          [](const RestartNode &) { return true; },
                          [](const ReloadNode &) { return true; },
                          [](const ReplaceEngine &) { return true; },
                          [](const ChangeDesiredState &) { return true; },
                          [](const SilenceEngine &) { return true; },
                          [](const BreakAnswers &) { return true; },
                          [](const LeaveUnlisted &) { return true; },
                          [](const BackOffEngine &) { return true; },
                          [](const auto &) { return false; },
                      },
                      action);
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
