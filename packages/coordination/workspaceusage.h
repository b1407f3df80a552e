#pragma once

#include "coordination/decayingrate.h"
#include "state/engineentry.h"
#include "state/name.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <vector>

namespace Apricot {

/// Returns the tag of \a workspace in messages between nodes: a 32 bit hash; 0 for calls without a workspace. Two workspaces with the
/// same tag, of 4,000 a pair in one deployment of five hundred, have one share together.
WorkspaceTag workspaceTag(const WorkspaceName &workspace);

/// Returns the capacity that \a call will use: its mean KV memory times its duration, in thousand tokens times output tokens. All
/// streams of a service generate tokens at about the same rate, so the number of tokens stands for the time.
double capacityUse(const WaitingCall &call);

/**
 * \class WorkspaceUsage
 * \brief How much of a service's capacity each workspace has recently got on all nodes, and which workspaces are starved on this one.
 *
 * Usage decays, also that of peers, which report the usage of the workspaces that wait there.
 */
class WorkspaceUsage
{
public:
    /// Records that this node has placed \a call.
    void recordPlaced(const WaitingCall &call, absl::Time now);

    /// Records that this node has refused a call of \a workspace because there was no capacity.
    void recordRefused(WorkspaceTag workspace, absl::Time now);

    /// Replaces the usage that \a node has reported with its \a waiting calls.
    void setPeerUsage(const NodeId &node, const std::vector<WaitingCall> &waiting, absl::Time now);

    /// Returns the recent usage of \a workspace on this node.
    double own(WorkspaceTag workspace, absl::Time now) const;

    /// Returns the recent usage of \a workspace on all nodes, as far as it is known.
    double total(WorkspaceTag workspace, absl::Time now) const;

    /// Whether the served fraction of the calls of \a workspace is far below that of all calls.
    bool isStarved(WorkspaceTag workspace, absl::Time now) const;

    /// Whether \a workspace has recently used more than the average of all workspaces on this node.
    bool isAboveAverage(WorkspaceTag workspace, absl::Time now) const;

private:
    struct Workspace
    {
        DecayingRate usage;
        DecayingRate placed;
        DecayingRate refused;
        std::map<NodeId, DecayingRate> atPeers;

        Workspace();
    };

    Workspace &workspace(WorkspaceTag tag, absl::Time now);

    std::map<WorkspaceTag, Workspace> m_workspaces;
    Workspace m_all; ///< of all workspaces together on this node
    absl::Time m_lastCleanup = absl::InfinitePast();
};

}
