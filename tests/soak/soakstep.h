#pragma once

#include "soak/soakdesiredstate.h"

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Apricot {

/// Fault that a proxy injects into the connections through it.
enum class PathFault : std::uint8_t {
    None,
    Delay, ///< data is delayed in both directions
    Reset, ///< open and new connections are reset
    DropRequests, ///< data from the side that opened the connection is dropped
    DropResponses, ///< data to the side that opened the connection is dropped
    StallOpen, ///< open connections stay stalled for good; new ones work
};

/// How an engine breaks off an answer.
enum class BreakOff : std::uint8_t {
    Reset, ///< the connection is reset
    Close, ///< the connection is closed in order
    LastChunk, ///< a stream ends as complete inside an event; other answers are closed
};

struct KillNode
{
    std::size_t node = 0;
    friend bool operator==(const KillNode &, const KillNode &) = default;
};

struct KillAllNodes
{
    friend bool operator==(const KillAllNodes &, const KillAllNodes &) = default;
};

/// Planned stop of a node, followed by a restart.
struct RestartNode
{
    std::size_t node = 0;
    friend bool operator==(const RestartNode &, const RestartNode &) = default;
};

struct PauseNode
{
    std::size_t node = 0;
    absl::Duration duration;
    friend bool operator==(const PauseNode &, const PauseNode &) = default;
};

/// SIGHUP, with the settings file unchanged or changed.
struct ReloadNode
{
    std::size_t node = 0;
    bool hasChangedSettings = false;
    friend bool operator==(const ReloadNode &, const ReloadNode &) = default;
};

struct DisturbStorePath
{
    std::size_t node = 0;
    PathFault fault = PathFault::None;
    absl::Duration duration;
    friend bool operator==(const DisturbStorePath &, const DisturbStorePath &) = default;
};

struct DisturbEnginePath
{
    std::size_t engine = 0;
    PathFault fault = PathFault::None;
    absl::Duration duration;
    friend bool operator==(const DisturbEnginePath &, const DisturbEnginePath &) = default;
};

struct TakeStoreDown
{
    absl::Duration duration;
    friend bool operator==(const TakeStoreDown &, const TakeStoreDown &) = default;
};

struct DropStoreHistory
{
    friend bool operator==(const DropStoreHistory &, const DropStoreHistory &) = default;
};

/// Planned removal of an engine, which is replaced by a new one.
struct ReplaceEngine
{
    std::size_t engine = 0;
    friend bool operator==(const ReplaceEngine &, const ReplaceEngine &) = default;
};

/// The engine crashes and restarts with the same id.
struct CrashEngine
{
    std::size_t engine = 0;
    friend bool operator==(const CrashEngine &, const CrashEngine &) = default;
};

/// A sound engine sends nothing for a while and then goes on.
struct SilenceEngine
{
    std::size_t engine = 0;
    absl::Duration duration;
    friend bool operator==(const SilenceEngine &, const SilenceEngine &) = default;
};

/// The engine breaks off the answers that it begins meanwhile. Only the calls concerned are disturbed.
struct BreakAnswers
{
    std::size_t engine = 0;
    BreakOff manner = BreakOff::Reset;
    absl::Duration duration;
    friend bool operator==(const BreakAnswers &, const BreakAnswers &) = default;
};

/// An engine leaves and is replaced. Only its answers say so; its entry in the store stays ready for long.
struct LeaveUnlisted
{
    std::size_t engine = 0;
    friend bool operator==(const LeaveUnlisted &, const LeaveUnlisted &) = default;
};

/// An engine refuses all requests for a while, and says for how long.
struct BackOffEngine
{
    std::size_t engine = 0;
    absl::Duration duration;
    friend bool operator==(const BackOffEngine &, const BackOffEngine &) = default;
};

struct ChangeDesiredState
{
    DesiredChange change;
    friend bool operator==(const ChangeDesiredState &, const ChangeDesiredState &) = default;
};

using SoakAction = std::variant<KillNode, KillAllNodes, RestartNode, PauseNode, ReloadNode, DisturbStorePath, DisturbEnginePath,
                                TakeStoreDown, DropStoreHistory, ReplaceEngine, CrashEngine, ChangeDesiredState, SilenceEngine,
                                BreakAnswers, LeaveUnlisted, BackOffEngine>;

/// One planned operation or injected fault.
struct SoakStep
{
    absl::Duration at; ///< time since the start of the run
    SoakAction action;

    friend bool operator==(const SoakStep &, const SoakStep &) = default;
};

/// Which steps a run consists of.
enum class SoakProfile : std::uint8_t {
    Faults, ///< all kinds of faults beside planned operations
    Planned, ///< series of planned operations that overlap, silent engines, and engines that break off single answers
    Notices, ///< as Planned, and engines that say in their answers that they are leaving or for how long they refuse
};

/// Size of the deployment, duration and steps of a run.
struct SoakSize
{
    std::size_t nodes = 3;
    std::size_t engines = 7;
    absl::Duration duration = absl::Seconds(20);
    SoakProfile profile = SoakProfile::Faults;

    friend bool operator==(const SoakSize &, const SoakSize &) = default;
};

/// Generates the steps of a run. The same \a seed and \a size give the same steps. Steps may overlap.
std::vector<SoakStep> planSoak(std::uint64_t seed, const SoakSize &size);

/// Returns a description of a step for the run's steps file.
std::string describeStep(const SoakStep &step);

/// Whether an action is a planned operation, which callers must not notice.
bool isPlannedOperation(const SoakAction &action);

/// How long after its start an action may affect the deployment.
absl::Duration disturbanceDuration(const SoakAction &action);

}
