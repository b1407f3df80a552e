#pragma once

#include "state/name.h"

#include <string_view>
#include <vector>

namespace Apricot {

/// Returns the owner of \a slice among \a nodes by rendezvous hashing; an empty name if there are none.
/// When a node comes or goes, only the slices that it owns change hands.
NodeId ownerOf(std::string_view slice, const std::vector<NodeId> &nodes);

/// Returns \a nodes in order of their claim to \a slice; the owner comes first.
std::vector<NodeId> ownersInOrder(std::string_view slice, std::vector<NodeId> nodes);

}
