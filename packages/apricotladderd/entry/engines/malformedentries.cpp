#include "apricotladderd/entry/engines/malformedentries.h"

namespace Apricot {

namespace {

constexpr std::size_t maxEntries = 1000;
constexpr std::size_t shortNameBytes = 100;

}

std::string MalformedEntries::shortName(const std::string &name)
{
    return name.substr(0, shortNameBytes);
}

bool MalformedEntries::add(const std::string &name, std::uint64_t revision)
{
    const std::string key = shortName(name);
    const auto it = m_revisions.find(key);
    if (it != m_revisions.end()) {
        const bool isNew = it->second != revision;
        it->second = revision;
        return isNew;
    }
    if (m_revisions.size() >= maxEntries) {
        return false;
    }
    m_revisions.emplace(key, revision);
    return true;
}

}
