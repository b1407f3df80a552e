#pragma once

#include "state/immutable.h"

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <variant>
#include <vector>

namespace Apricot {

/// Identifies the connection of a caller within a node.
using CallerConnectionId = std::uint64_t;

/// What the connection of a caller is doing.
enum class CallerPhase : std::uint8_t {
    Idle, ///< between requests
    Receiving, ///< a part of a request has been received
    Running, ///< an engine may be running the request
    Answering, ///< the answer is complete, and a part of it may not have reached the caller
};

struct CallerMemoryLimitsFields
{
    std::size_t totalBytes = 0; ///< of all connections and of the answers that are being read
    std::size_t addressBytes = 0; ///< of all connections of one address
    std::size_t connectionBytes = 0;
    std::size_t connections = 0; ///< maximum number of connections
    std::size_t systemBytes = std::numeric_limits<std::size_t>::max(); ///< of all answers, which the system holds for the callers

    friend bool operator==(const CallerMemoryLimitsFields &, const CallerMemoryLimitsFields &) = default;
};

/// Limits of the bytes that a node holds for its callers.
using CallerMemoryLimits = Immutable<CallerMemoryLimitsFields>;

struct CallerConnectionFields
{
    CallerConnectionId id = 0;
    std::uint32_t address = 0; ///< IPv4 address of the caller
    CallerPhase phase = CallerPhase::Idle;
    std::size_t bytes = 0;
    absl::Time lastProgress; ///< when the caller last sent or received a byte, or its connection was opened
    bool isHeldBack = false; ///< the node does not read what it has sent, so that it cannot make progress
    bool hasCompletedRequest = false;
    std::size_t systemBytes = 0; ///< of answers, which the system holds until the caller acknowledges them; not part of bytes

    friend bool operator==(const CallerConnectionFields &, const CallerConnectionFields &) = default;
};

/// What a node holds for one connection of a caller.
using CallerConnection = Immutable<CallerConnectionFields>;

struct CallerMemoryUseFields
{
    std::size_t totalBytes = 0;
    std::size_t addressBytes = 0; ///< of the connection's address
    bool isPreferred = false; ///< the connection may go on above the pause level; \see CallerRelief
    std::size_t systemBytes = 0; ///< of all connections

    friend bool operator==(const CallerMemoryUseFields &, const CallerMemoryUseFields &) = default;
};

/// The bytes in use that the decision about one connection depends on.
using CallerMemoryUse = Immutable<CallerMemoryUseFields>;

/// The limit that is the reason for a refusal.
enum class CallerLimit : std::uint8_t { Total, Address, Connection, System };

/// Go on reading.
struct ReadOn
{
    friend bool operator==(const ReadOn &, const ReadOn &) = default;
};

/// Stop reading until less memory is in use.
struct PauseReading
{
    friend bool operator==(const PauseReading &, const PauseReading &) = default;
};

/// Refuse the request that is being received; it has not run.
struct RefuseRequest
{
    CallerLimit limit = CallerLimit::Total;

    friend bool operator==(const RefuseRequest &, const RefuseRequest &) = default;
};

/// What a connection may do with the bytes that its peer sends.
using ReadDecision = std::variant<ReadOn, PauseReading, RefuseRequest>;

/// Decides whether to read on from \a connection, whose bytes are included in \a use. \a isNewRequest: the head of its request has just
/// been read, or its request is complete and about to be sent to an engine.
ReadDecision decideRead(const CallerMemoryLimits &limits, const CallerMemoryUse &use, const CallerConnection &connection,
                        bool isNewRequest);

struct CallerReliefFields
{
    std::vector<CallerConnectionId> closed; ///< connections to close
    std::optional<CallerConnectionId> preferred; ///< the one connection that may go on above the pause level

    friend bool operator==(const CallerReliefFields &, const CallerReliefFields &) = default;
};

/// What a node does to get below its limits.
using CallerRelief = Immutable<CallerReliefFields>;

/// Whether \a totalBytes in use and \a systemBytes held by the system need a CallerRelief, also if no connection is paused.
bool needsRelief(const CallerMemoryLimits &limits, std::size_t totalBytes, std::size_t systemBytes);

/// Whether connections may be closed although engines may be running their requests.
bool mayCloseRunning(const CallerMemoryLimits &limits, std::size_t totalBytes);

/// Chooses what to do about \a totalBytes in use by \a connections and by answers that are being read. Connections that hold bytes and make
/// no progress are closed first, those with most bytes for longest before others; then, above a limit, those that make progress; and those
/// whose request an engine may be running only if the others do not suffice and the limit of the total is exceeded by far. \a preferred is
/// the connection that has been preferred so far: it stays so while it receives a request and makes progress, and is closed after the
/// others that do. While the system holds more than its limit for the callers, those for whom it holds most for longest are closed too,
/// except those whose request an engine may be running.
CallerRelief chooseRelief(const CallerMemoryLimits &limits, std::size_t totalBytes, const std::vector<CallerConnection> &connections,
                          std::optional<CallerConnectionId> preferred, absl::Time now);

/// Chooses the connection to close for a new one when \a connections are as many as are admitted: first those that have never completed a
/// request and have been silent for a second, then idle ones, then those that receive a request, each by the time without progress. Those
/// that have never completed a request go before all others if they are more than half. Returns std::nullopt if engines may be running the
/// requests of all, or answers are on their way.
std::optional<CallerConnectionId> chooseForNewConnection(const std::vector<CallerConnection> &connections, absl::Time now);

/// Returns how many connections are admitted before a new one needs the place of another. The rest of \a limits is for connections that are
/// only told that their request is refused.
std::size_t admittedConnections(const CallerMemoryLimits &limits);

/// Returns the maximum number of connections of callers for a process that may open \a descriptors: half of what files leave, so that each
/// call can have a connection to an engine, peers and the store included.
std::size_t callerConnectionLimit(std::size_t descriptors);

}
