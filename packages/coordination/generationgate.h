#pragma once

#include "state/configset.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Apricot {

/**
 * \class GenerationGate
 * \brief Holds the active generation and only accepts higher ones.
 */
class GenerationGate
{
public:
    /// Whether \a generation is newer than the active one.
    bool wants(const Generation &generation) const;

    /// Activates \a generation if it is newer. Otherwise returns false and changes nothing.
    bool accept(const Generation &generation);

    const Generation &inForce() const
    {
        return m_inForce;
    }

private:
    Generation m_inForce;
};

/// Returns the next generation to publish for a valid configuration with content \a hash, or nullopt if \a published
/// already has this content.
std::optional<Generation> nextGeneration(const Generation &published, const std::string &hash, std::uint64_t chunks);

}
