#pragma once

#include <absl/time/time.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace Apricot {

/**
 * \class RecentSpending
 * \brief Sums what was spent within the last fraction of a second.
 */
class RecentSpending
{
public:
    static constexpr absl::Duration slotLength = absl::Milliseconds(20);

    void add(double cost, absl::Time now)
    {
        Slot &slot = m_slots[static_cast<std::size_t>(slotIndex(now)) % m_slots.size()];
        if (slot.index != slotIndex(now)) {
            slot = Slot{slotIndex(now), 0};
        }
        slot.cost += cost;
    }

    /// Returns what was spent in the time \a length before \a now, rounded up to whole slots; at most 320 ms.
    double sum(absl::Duration length, absl::Time now) const
    {
        const std::int64_t first = slotIndex(now - length);
        double total = 0;
        for (const Slot &slot : m_slots) {
            total += slot.index >= first ? slot.cost : 0;
        }
        return total;
    }

private:
    struct Slot
    {
        std::int64_t index = -1;
        double cost = 0;
    };

    static std::int64_t slotIndex(absl::Time time)
    {
        return (time - absl::UnixEpoch()) / slotLength;
    }

    std::array<Slot, 16> m_slots;
};

}
