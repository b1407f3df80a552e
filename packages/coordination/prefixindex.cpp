#include "coordination/prefixindex.h"

namespace Apricot {

PrefixIndex::PrefixIndex(std::size_t capacity)
    : m_capacity(capacity)
{
}

void PrefixIndex::touch(std::uint64_t prefix)
{
    if (prefix == 0) {
        return;
    }
    const auto it = m_positions.find(prefix);
    if (it != m_positions.end()) {
        m_lruList.splice(m_lruList.begin(), m_lruList, it->second);
        return;
    }
    if (m_lruList.size() == m_capacity) {
        m_positions.erase(m_lruList.back());
        m_lruList.pop_back();
    }
    m_lruList.push_front(prefix);
    m_positions[prefix] = m_lruList.begin();
}

void PrefixIndex::replace(const std::vector<std::uint64_t> &prefixes)
{
    clear();
    for (const std::uint64_t prefix : prefixes) {
        touch(prefix);
    }
}

bool PrefixIndex::contains(std::uint64_t prefix) const
{
    return prefix != 0 && m_positions.contains(prefix);
}

void PrefixIndex::clear()
{
    m_lruList.clear();
    m_positions.clear();
}

}
