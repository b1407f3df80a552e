#include "coordination/ownership.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace Apricot {

namespace {

std::uint64_t rendezvousWeight(std::string_view slice, const NodeId &node)
{
    return XXH3_64bits_withSeed(slice.data(), slice.size(), XXH3_64bits(node.text().data(), node.text().size()));
}

}

NodeId ownerOf(std::string_view slice, const std::vector<NodeId> &nodes)
{
    NodeId owner;
    std::uint64_t highest = 0;
    for (const NodeId &node : nodes) {
        const std::uint64_t it = rendezvousWeight(slice, node);
        if (owner.isEmpty() || it > highest || (it == highest && node < owner)) {
            owner = node;
            highest = it;
        }
    }
    return owner;
}

std::vector<NodeId> nodesByPreference(std::string_view slice, std::vector<NodeId> nodes)
{
    std::sort(nodes.begin(), nodes.end(), [&](const NodeId &a, const NodeId &b) {
        return std::pair(rendezvousWeight(slice, b), a) < std::pair(rendezvousWeight(slice, a), b);
    });
    return nodes;
}

}
