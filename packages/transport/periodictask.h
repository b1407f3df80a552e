#pragma once

#include "transport/thread.h"

#include <absl/time/time.h>

#include <functional>
#include <pthread.h>

namespace Apricot {

/**
 * \class PeriodicTask
 * \brief Runs a function periodically on its own thread.
 */
class PeriodicTask
{
public:
    /// Starts the thread, called \a name. The function runs at once and then \a interval after the end of each run.
    PeriodicTask(const char *name, absl::Duration interval, std::function<void()> function);
    ~PeriodicTask();

    PeriodicTask(const PeriodicTask &) = delete;
    PeriodicTask &operator=(const PeriodicTask &) = delete;

    /// Runs the function as soon as possible instead of at the end of the interval.
    void wake();

    /// Ends the task after the current run, without waiting for it.
    void stop();

private:
    void run();

    absl::Duration m_interval;
    std::function<void()> m_function;
    pthread_mutex_t m_mutex = PTHREAD_MUTEX_INITIALIZER;
    pthread_cond_t m_condition = PTHREAD_COND_INITIALIZER;
    bool m_woken = false;
    bool m_stopped = false;
    Thread m_thread; ///< declared last, because the thread uses the other members
};

}
