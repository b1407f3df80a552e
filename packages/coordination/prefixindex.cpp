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
    const auto it = m_places.find(prefix);
    if (it != m_places.end()) {
        m_recent.splice(m_recent.begin(), m_recent, it->second);
        return;
    }
    if (m_recent.size() == m_capacity) {
        m_places.erase(m_recent.back());
        m_recent.pop_back();
    }
    m_recent.push_front(prefix);
    m_places[prefix] = m_recent.begin();
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
    return prefix != 0 && m_places.contains(prefix);
}

void PrefixIndex::clear()
{
    m_recent.clear();
    m_places.clear();
}

}
