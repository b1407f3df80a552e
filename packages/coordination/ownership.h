#pragma once

#include "state/name.h"

#include <string_view>
#include <vector>

namespace Apricot {

/// Returns the owner of \a slice among \a nodes by rendezvous hashing; an empty name if there are none.
/// When a node joins or leaves, only the slices that it owns change their owner.
NodeId ownerOf(std::string_view slice, const std::vector<NodeId> &nodes);

/// Returns \a nodes in descending order of their rendezvous weight for \a slice; the owner comes first.
std::vector<NodeId> nodesByPreference(std::string_view slice, std::vector<NodeId> nodes);

}
