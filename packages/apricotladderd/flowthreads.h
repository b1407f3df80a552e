#pragma once

#include "state/mutex.h"

#include <absl/time/time.h>

#include <cstddef>
#include <functional>

namespace Apricot {

/**
 * \class FlowThreads
 * \brief Runs each call in progress on a thread of its own and knows how many there are.
 */
class FlowThreads
{
public:
    /// Most calls in progress at once.
    static constexpr std::size_t most = 2000;

    /// Starts \a function on a thread; returns false if there are too many already.
    bool run(std::function<void()> function);

    /**
     * \class Visit
     * \brief Counts a call that runs on a thread of its own already, for the length of a scope.
     */
    class Visit
    {
    public:
        explicit Visit(FlowThreads &flows)
            : m_flows(flows)
        {
            const MutexLock lock(m_flows.m_mutex);
            ++m_flows.m_active;
        }

        ~Visit()
        {
            m_flows.ended();
        }

        Visit(const Visit &) = delete;
        Visit &operator=(const Visit &) = delete;

    private:
        FlowThreads &m_flows;
    };

    std::size_t active() const;

    /// Waits until no call is in progress, at most for \a limit; returns whether none is left.
    bool waitUntilIdle(absl::Duration limit);

private:
    void ended();

    mutable Mutex m_mutex;
    CondVar m_idle;
    std::size_t m_active ABSL_GUARDED_BY(m_mutex) = 0;
};

}
