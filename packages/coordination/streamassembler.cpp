#include "coordination/streamassembler.h"

#include "coordination/seededbug.h"

#include <utility>

namespace Apricot {

bool StreamAssembler::tryAppend(std::int64_t offset, std::string token)
{
    if (offset != nextOffset() && !hasSeededBug(SeededBug::SkipOffsetCheck)) {
        return false;
    }
    m_tokens.push_back(std::move(token));
    return true;
}

}
