#include "coordination/seededbug.h"

#include <atomic>

namespace Apricot {

namespace {

std::atomic<SeededBug> bugInForce{SeededBug::None};

}

SeededBug seededBug()
{
    return bugInForce.load(std::memory_order_relaxed);
}

void setSeededBug(SeededBug bug)
{
    bugInForce.store(bug, std::memory_order_relaxed);
}

}
