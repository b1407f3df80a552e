#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Apricot {

/// What a proxy does to the connections that go through it.
enum class PathHarm : std::uint8_t {
    None,
    Delay, ///< bytes come late, both ways
    Reset, ///< connections are reset as they come
    CutForth, ///< what the opener of a connection sends is lost
    CutBack, ///< what the opener of a connection would get is lost
    Silence, ///< open connections are silent for good, new ones work
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

/// Planned end of a node, and its next start.
struct RestartNode
{
    std::size_t node = 0;
    friend bool operator==(const RestartNode &, const RestartNode &) = default;
};

struct PauseNode
{
    std::size_t node = 0;
    absl::Duration length;
    friend bool operator==(const PauseNode &, const PauseNode &) = default;
};

struct ReloadNode
{
    std::size_t node = 0;
    friend bool operator==(const ReloadNode &, const ReloadNode &) = default;
};

struct HarmStorePath
{
    std::size_t node = 0;
    PathHarm harm = PathHarm::None;
    absl::Duration length;
    friend bool operator==(const HarmStorePath &, const HarmStorePath &) = default;
};

struct HarmEnginePath
{
    std::size_t engine = 0;
    PathHarm harm = PathHarm::None;
    absl::Duration length;
    friend bool operator==(const HarmEnginePath &, const HarmEnginePath &) = default;
};

struct StoreIsDown
{
    absl::Duration length;
    friend bool operator==(const StoreIsDown &, const StoreIsDown &) = default;
};

struct StoreForgets
{
    friend bool operator==(const StoreForgets &, const StoreForgets &) = default;
};

/// Planned end of an engine; another one takes its place.
struct ReplaceEngine
{
    std::size_t engine = 0;
    friend bool operator==(const ReplaceEngine &, const ReplaceEngine &) = default;
};

/// The engine dies and starts again under the id that it had.
struct CrashEngine
{
    std::size_t engine = 0;
    friend bool operator==(const CrashEngine &, const CrashEngine &) = default;
};

struct ChangeDesiredState
{
    friend bool operator==(const ChangeDesiredState &, const ChangeDesiredState &) = default;
};

using SoakAction = std::variant<KillNode, KillAllNodes, RestartNode, PauseNode, ReloadNode, HarmStorePath, HarmEnginePath, StoreIsDown,
                                StoreForgets, ReplaceEngine, CrashEngine, ChangeDesiredState>;

/// One thing that is done to the deployment.
struct SoakStep
{
    absl::Duration at; ///< since the start of the run
    SoakAction action;

    friend bool operator==(const SoakStep &, const SoakStep &) = default;
};

/// The size of a run.
struct SoakSize
{
    std::size_t nodes = 3;
    std::size_t engines = 7;
    absl::Duration length = absl::Seconds(20);

    friend bool operator==(const SoakSize &, const SoakSize &) = default;
};

/// Draws the steps of a run; the same \a seed gives the same steps. They come in series and overlap.
std::vector<SoakStep> planSoak(std::uint64_t seed, const SoakSize &size);

/// Says in words what a step does.
std::string describeStep(const SoakStep &step);

/// Whether callers must see nothing of it.
bool isPlannedWork(const SoakAction &action);

/// How long the deployment may suffer from it, from its beginning on.
absl::Duration effectOf(const SoakAction &action);

}
