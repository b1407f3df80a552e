#include "coordination/generationgate.h"

#include "coordination/seededbug.h"
#include "state/invariant.h"

#include <absl/strings/str_cat.h>

namespace Apricot {

bool GenerationGate::wants(const Generation &generation) const
{
    if (hasSeededBug(SeededBug::GenerationGoesBack)) {
        return generation->number != m_inForce->number;
    }
    return generation->number > m_inForce->number;
}

bool GenerationGate::accept(const Generation &generation)
{
    if (!wants(generation)) {
        return false;
    }
    APRICOT_INVARIANT(generation->number > m_inForce->number, "generation-only-rises",
                      absl::StrCat(m_inForce->number, " to ", generation->number));
    m_inForce = generation;
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
