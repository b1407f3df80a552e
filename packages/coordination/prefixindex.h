#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <list>
#include <vector>

namespace Apricot {

/**
 * \class PrefixIndex
 * \brief Tracks the prompt prefixes that an engine probably has cached.
 *
 * It is updated by finished prefills and replaced by the engine's own reports. It is a hint: a wrong entry only costs time.
 */
class PrefixIndex
{
public:
    explicit PrefixIndex(std::size_t capacity = 64);

    /// Records that the engine used \a prefix. At capacity, the least recently used prefix is removed. 0 is ignored.
    void touch(std::uint64_t prefix);

    /// Replaces all prefixes by those that the engine reports.
    void replace(const std::vector<std::uint64_t> &prefixes);

    bool contains(std::uint64_t prefix) const;

    void clear();

private:
    std::size_t m_capacity;
    std::list<std::uint64_t> m_lruList;
    absl::flat_hash_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_positions;
};

}
