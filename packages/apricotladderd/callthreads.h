#pragma once

#include "state/mutex.h"

#include <absl/time/time.h>

#include <cstddef>
#include <functional>

namespace Apricot {

/**
 * \class CallThreads
 * \brief Runs each call in progress on its own thread and counts them.
 */
class CallThreads
{
public:
    /// Maximum number of calls in progress.
    static constexpr std::size_t most = 2000;

    /// Starts \a function on a new thread; returns false if the maximum is reached or no thread can be created.
    bool run(std::function<void()> function);

    /**
     * \class Visit
     * \brief Counts a call that already runs on its own thread, for the lifetime of this object.
     */
    class Visit
    {
    public:
        explicit Visit(CallThreads &flows)
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
        CallThreads &m_flows;
    };

    /// Returns the number of calls in progress.
    std::size_t active() const;

    /// Waits at most \a limit until no call is in progress; returns whether none is.
    bool waitUntilIdle(absl::Duration limit);

private:
    void ended();

    mutable Mutex m_mutex;
    CondVar m_idle;
    std::size_t m_active ABSL_GUARDED_BY(m_mutex) = 0;
};

}
