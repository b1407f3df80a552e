#pragma once

#include "state/member.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <vector>

namespace Apricot {

/// A node's own entry in the store, and the revision at which it may be removed.
struct StoredNode
{
    Member node;
    std::uint64_t revision = 0; ///< revision of the store when the node wrote the entry

    friend auto operator<=>(const StoredNode &, const StoredNode &) = default;
};

/**
 * \class StaleNodeTracker
 * \brief Decides which nodes' objects are removed from the store, where objects do not expire.
 *
 * A node's objects are removed when it has not been alive for a long time. Only the first of the nodes that are alive, in order
 * of name, removes them, so that not all nodes call the store at once. If two nodes consider themselves the first, only one
 * removal succeeds, because it is conditional on the revision.
 */
class StaleNodeTracker
{
public:
    /// A node's objects are removed when it has not been alive for this long. A node that was only disconnected or paused usually
    /// returns within it; one that returns later writes its objects again.
    static constexpr absl::Duration staleAfter = absl::Seconds(30);

    /// Updates the state from the entries \a stored in the store and the \a members of the cell. Returns the entries that \a self
    /// has to remove now.
    std::vector<StoredNode> update(const std::vector<StoredNode> &stored, const std::vector<Member> &members, const NodeId &self,
                                   absl::Time now);

private:
    std::map<NodeId, absl::Time> m_missingSince; ///< nodes that have an entry in the store and are not alive
};

}
