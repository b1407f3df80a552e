#pragma once

#include "state/action.h"
#include "state/attemptstatus.h"
#include "state/configset.h"
#include "state/error.h"
#include "state/event.h"
#include "state/eventring.h"
#include "state/member.h"
#include "state/ranklimit.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Apricot {

// Datagrams.

/// Heartbeat of a node: its own state and what it claims about other nodes.
struct HeartbeatMessage
{
    Member sender;
    std::vector<MemberClaim> claims;
    HybridTimestamp timestamp;
};

/// Events that a coordinator sends to the owner of a slice.
struct OwnerEventsMessage
{
    ServiceName service;
    NodeId from;
    HybridTimestamp timestamp;
    std::vector<Event> events;
};

/// Actions that the owner of a slice sends to a coordinator.
struct OwnerActionsMessage
{
    ServiceName service;
    NodeId from;
    HybridTimestamp timestamp;
    std::vector<Action> actions;
    std::vector<RankLimit> limits;

    /// Actions older than this are not executed: after a pause of the receiver they may target engines that are leaving by now.
    static constexpr absl::Duration maxAge = absl::Seconds(1);

    /// Whether the message is too old to be executed.
    bool isStale(absl::Time now) const
    {
        return now - absl::FromUnixMicros(timestamp.micros) > maxAge;
    }
};

using PeerMessage = std::variant<HeartbeatMessage, OwnerEventsMessage, OwnerActionsMessage>;

// Queries over TCP.

/// Requests the active configuration if its generation is newer than \a newerThan.
struct SnapshotQuery
{
    std::uint64_t newerThan = 0;
};

/// Requests the events of one request, or all events if \a request is empty.
struct TimelineQuery
{
    std::string request;
};

/// Asks the node that created a run record for the status of its attempt at the non-idempotent call.
struct AttemptStatusQuery
{
    RequestId attempt;
};

using PeerQuery = std::variant<SnapshotQuery, TimelineQuery, AttemptStatusQuery>;

/// Reply to a SnapshotQuery.
struct SnapshotReply
{
    Generation generation; ///< number 0 if there is no newer generation
    std::string snapshot;
};

/// Reply to a TimelineQuery.
struct TimelineReply
{
    std::vector<TimelineEvent> events;
};

/// Reply to an AttemptStatusQuery.
struct AttemptStatusReply
{
    AttemptStatus status = AttemptStatus::Unknown;
};

using PeerReply = std::variant<SnapshotReply, TimelineReply, AttemptStatusReply>;

std::string encodePeerMessage(const PeerMessage &message);
Result<PeerMessage> decodePeerMessage(std::string_view bytes);

std::string encodePeerQuery(const PeerQuery &query);
Result<PeerQuery> decodePeerQuery(std::string_view bytes);

std::string encodePeerReply(const PeerReply &reply);
Result<PeerReply> decodePeerReply(std::string_view bytes);

}
