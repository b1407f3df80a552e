#include "coordination/streamassembler.h"

#include "coordination/seededbug.h"

#include <utility>

namespace Apricot {

bool StreamAssembler::accept(std::int64_t offset, std::string token)
{
    if (offset != next() && !hasSeededBug(SeededBug::SkipOffsetCheck)) {
        return false;
    }
    m_tokens.push_back(std::move(token));
    return true;
}

}
