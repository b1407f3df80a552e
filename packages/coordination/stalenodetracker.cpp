#include "coordination/stalenodetracker.h"

#include <set>
#include <utility>

namespace Apricot {

std::vector<StoredNode> StaleNodeTracker::update(const std::vector<StoredNode> &stored, const std::vector<Member> &members,
                                                 const NodeId &self, absl::Time now)
{
    std::set<NodeId> alive;
    for (const Member &member : members) {
        if (member->state == MemberState::Alive) {
            alive.insert(member->id);
        }
    }
    const bool isFirst = !alive.empty() && *alive.begin() == self;
    std::map<NodeId, absl::Time> missing;
    std::vector<StoredNode> stale;
    for (const StoredNode &it : stored) {
        if (alive.contains(it.node->id) || it.node->id == self) {
            continue;
        }
        const auto known = m_missingSince.find(it.node->id);
        const absl::Time since = known == m_missingSince.end() ? now : known->second;
        missing.emplace(it.node->id, since);
        if (isFirst && now - since >= staleAfter) {
            stale.push_back(it);
        }
    }
    m_missingSince = std::move(missing);
    return stale;
}

}
