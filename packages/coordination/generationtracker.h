#pragma once

#include "state/configset.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Apricot {

/**
 * \class GenerationTracker
 * \brief Holds the active generation and only accepts higher ones.
 */
class GenerationTracker
{
public:
    /// Whether \a generation is newer than the active one.
    bool isNewer(const Generation &generation) const;

    /// Activates \a generation if it is newer. Otherwise returns false and changes nothing.
    bool tryAdvance(const Generation &generation);

    const Generation &current() const
    {
        return m_current;
    }

private:
    Generation m_current;
};

/// Returns the next generation to publish for a valid configuration with content \a hash, or nullopt if \a published
/// already has this content.
std::optional<Generation> nextGeneration(const Generation &published, const std::string &hash, std::uint64_t chunks);

}
