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
    /// Number of calls in progress from which run() starts no further call.
    static constexpr std::size_t maxActive = 2000;

    /// Starts \a function on a new thread; returns false if maxActive calls are in progress or no thread can be created.
    bool run(std::function<void()> function);

    /**
     * \class ActiveScope
     * \brief Counts a call that already runs on its own thread, for the lifetime of this object.
     */
    class ActiveScope
    {
    public:
        explicit ActiveScope(CallThreads &callThreads)
            : m_callThreads(callThreads)
        {
            const MutexLock lock(m_callThreads.m_mutex);
            ++m_callThreads.m_active;
        }

        ~ActiveScope()
        {
            m_callThreads.decrementActive();
        }

        ActiveScope(const ActiveScope &) = delete;
        ActiveScope &operator=(const ActiveScope &) = delete;

    private:
        CallThreads &m_callThreads;
    };

    /// Returns the number of calls in progress.
    std::size_t active() const;

    /// Waits at most \a timeout until no call is in progress; returns whether none is.
    bool waitUntilIdle(absl::Duration timeout);

private:
    void decrementActive();

    mutable Mutex m_mutex;
    CondVar m_idle;
    std::size_t m_active ABSL_GUARDED_BY(m_mutex) = 0;
};

}
