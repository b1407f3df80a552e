#include "coordination/generationtracker.h"

#include "coordination/seededbug.h"
#include "state/invariant.h"

#include <absl/strings/str_cat.h>

namespace Apricot {

bool GenerationTracker::isNewer(const Generation &generation) const
{
    if (hasSeededBug(SeededBug::GenerationGoesBack)) {
        return generation->number != m_current->number;
    }
    return generation->number > m_current->number;
}

bool GenerationTracker::tryAdvance(const Generation &generation)
{
    if (!isNewer(generation)) {
        return false;
    }
    APRICOT_INVARIANT(generation->number > m_current->number, "generation-only-rises",
                      absl::StrCat(m_current->number, " to ", generation->number));
    m_current = generation;
    return true;
}

std::optional<Generation> nextGeneration(const Generation &published, const std::string &hash, std::uint64_t chunks)
{
    if (published->number != 0 && published->hash == hash) {
        return std::nullopt;
    }
    return Generation(GenerationFields{published->number + 1, hash, chunks});
}

}
