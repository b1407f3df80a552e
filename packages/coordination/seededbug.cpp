#include "coordination/seededbug.h"

#include <atomic>

namespace Apricot {

namespace {

std::atomic<SeededBug> activeBug{SeededBug::None};

}

SeededBug seededBug()
{
    return activeBug.load(std::memory_order_relaxed);
}

void setSeededBug(SeededBug bug)
{
    activeBug.store(bug, std::memory_order_relaxed);
}

}
