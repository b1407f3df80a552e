#pragma once

#include "state/configset.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Apricot {

/**
 * \class GenerationGate
 * \brief Lets only higher generations in.
 */
class GenerationGate
{
public:
    /// Whether \a generation is newer than the one in force.
    bool wants(const Generation &generation) const;

    /// Puts \a generation in force; returns false and changes nothing unless it is newer.
    bool accept(const Generation &generation);

    const Generation &inForce() const
    {
        return m_inForce;
    }

private:
    Generation m_inForce;
};

/// Decides what to publish: the next generation for a valid set with content \a hash, nothing if it is in force already.
std::optional<Generation> nextGeneration(const Generation &published, const std::string &hash, std::uint64_t chunks);

}
