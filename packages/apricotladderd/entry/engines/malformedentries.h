#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>

namespace Apricot {

/**
 * \class MalformedEntries
 * \brief Remembers which malformed entries of the store were reported, so that each revision of an entry is reported once.
 */
class MalformedEntries
{
public:
    /// Records the malformed entry \a name; returns whether this revision of it is to be reported. Beyond a maximum number of
    /// entries none is reported, because other programs may write as many as they like.
    bool add(const std::string &name, std::uint64_t revision);

    /// Forgets an entry that is valid again or was removed.
    void remove(const std::string &name)
    {
        m_revisions.erase(shortName(name));
    }

    /// Returns the start of a name, for the log: names of malformed entries can be very long.
    static std::string shortName(const std::string &name);

private:
    absl::flat_hash_map<std::string, std::uint64_t> m_revisions;
};

}
