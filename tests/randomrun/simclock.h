#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <utility>
#include <vector>

namespace Apricot::Sim {

/**
 * \class SimClock
 * \brief Virtual clock of a run: the queue of scheduled functions and the random number generator.
 */
class SimClock
{
public:
    explicit SimClock(std::uint64_t seed)
        : m_random(seed)
    {
    }

    absl::Time now() const
    {
        return m_now;
    }

    /// Schedules \a function to run after \a delay of virtual time.
    void after(absl::Duration delay, std::function<void()> function)
    {
        m_queue.push(Entry{m_now + delay, m_number++, std::move(function)});
    }

    /// Advances the clock to the next scheduled function and runs it. Returns false if none is scheduled.
    bool step()
    {
        if (m_queue.empty()) {
            return false;
        }
        Entry next = std::move(const_cast<Entry &>(m_queue.top()));
        m_queue.pop();
        m_now = next.at;
        ++m_steps;
        next.function();
        return true;
    }

    std::uint64_t steps() const
    {
        return m_steps;
    }

    /// Returns a random number in [0, 1).
    double uniform()
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    }

    /// Returns true with the given \a probability.
    bool chance(double probability)
    {
        return uniform() < probability;
    }

    /// Returns a random index in [0, n).
    std::size_t drawIndex(std::size_t n)
    {
        return std::uniform_int_distribution<std::size_t>(0, n - 1)(m_random);
    }

    absl::Duration drawDuration(absl::Duration min, absl::Duration max)
    {
        return min + uniform() * (max - min);
    }

private:
    struct Entry
    {
        absl::Time at;
        std::uint64_t number = 0;
        std::function<void()> function;

        friend bool operator<(const Entry &a, const Entry &b)
        {
            return std::pair(b.at, b.number) < std::pair(a.at, a.number);
        }
    };

    absl::Time m_now = absl::FromUnixSeconds(1'700'000'000);
    std::uint64_t m_number = 0;
    std::uint64_t m_steps = 0;
    std::priority_queue<Entry> m_queue;
    std::mt19937_64 m_random;
};

}
