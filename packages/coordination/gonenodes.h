#pragma once

#include "state/member.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <vector>

namespace Apricot {

/// What a node wrote of itself into the store, and the revision that a removal is bound to.
struct StoredNode
{
    Member node;
    std::uint64_t revision = 0; ///< of the store, when the node wrote it

    friend auto operator<=>(const StoredNode &, const StoredNode &) = default;
};

/**
 * \class GoneNodes
 * \brief Decides which nodes' objects are removed from the store, where nothing expires by itself.
 *
 * A node that nobody heard for a long time is taken as gone. Only the first of the nodes that are alive removes, so that the
 * store is not called by all at once; if two hold themselves the first, the revision lets one removal through.
 */
class GoneNodes
{
public:
    /// A node that is cut off or frozen comes back within this time, or writes itself again later.
    static constexpr absl::Duration goneAfter = absl::Seconds(30);

    /// Takes in what the store lists and who \a members of the cell are; returns what \a self is to remove now.
    std::vector<StoredNode> update(const std::vector<StoredNode> &stored, const std::vector<Member> &members, const NodeId &self,
                                   absl::Time now);

private:
    std::map<NodeId, absl::Time> m_missingSince; ///< nodes that stand in the store and are not alive
};

}
