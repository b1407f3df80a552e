#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <list>
#include <vector>

namespace Apricot {

/**
 * \class PrefixIndex
 * \brief Which prompt prefixes an engine probably has in its cache.
 *
 * Fed by our own prefills at once and by the engine's cache events later. It is a hint: a wrong entry costs time only.
 */
class PrefixIndex
{
public:
    explicit PrefixIndex(std::size_t capacity = 64);

    /// Notes that \a prefix was used on the engine; the least recently used one is dropped at capacity.
    void touch(std::uint64_t prefix);

    /// Replaces the whole view by what the engine itself reports.
    void replace(const std::vector<std::uint64_t> &prefixes);

    bool contains(std::uint64_t prefix) const;

    void clear();

private:
    std::size_t m_capacity;
    std::list<std::uint64_t> m_recent;
    absl::flat_hash_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_places;
};

}
