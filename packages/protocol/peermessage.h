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

/// "I am alive, and this is what I hold of others."
struct HeartbeatMessage
{
    Member sender;
    std::vector<MemberClaim> claims;
    HybridTimestamp stamp;
};

/// Events for the owner of a slice.
struct OwnerEventsMessage
{
    ServiceName service;
    NodeId from;
    HybridTimestamp stamp;
    std::vector<Event> events;
};

/// Orders of the owner of a slice to a coordinator.
struct OwnerActionsMessage
{
    ServiceName service;
    NodeId from;
    HybridTimestamp stamp;
    std::vector<Action> actions;
    std::vector<RankLimit> limits;

    /// Orders older than this are not carried out: a receiver that was paused finds engines that are leaving by now.
    static constexpr absl::Duration validity = absl::Seconds(1);

    bool isStale(absl::Time now) const
    {
        return now - absl::FromUnixMicros(stamp.micros) > validity;
    }
};

using PeerMessage = std::variant<HeartbeatMessage, OwnerEventsMessage, OwnerActionsMessage>;

// Queries over TCP.

/// Asks for the configuration in force if it is newer than \a newerThan.
struct SnapshotQuery
{
    std::uint64_t newerThan = 0;
};

/// Asks for the events of one request, or for all.
struct TimelineQuery
{
    std::string request;
};

/// Asks what became of an attempt at a non-idempotent call.
struct CreatorQuery
{
    RequestId attempt;
};

using PeerQuery = std::variant<SnapshotQuery, TimelineQuery, CreatorQuery>;

struct SnapshotReply
{
    Generation generation; ///< number 0: nothing newer here
    std::string snapshot;
};

struct TimelineReply
{
    std::vector<TimelineEvent> events;
};

struct CreatorReply
{
    AttemptStatus word = AttemptStatus::Unknown;
};

using PeerReply = std::variant<SnapshotReply, TimelineReply, CreatorReply>;

std::string encodePeerMessage(const PeerMessage &message);
Result<PeerMessage> decodePeerMessage(std::string_view bytes);

std::string encodePeerQuery(const PeerQuery &query);
Result<PeerQuery> decodePeerQuery(std::string_view bytes);

std::string encodePeerReply(const PeerReply &reply);
Result<PeerReply> decodePeerReply(std::string_view bytes);

}
