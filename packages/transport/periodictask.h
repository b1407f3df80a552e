#pragma once

#include "transport/thread.h"

#include <absl/time/time.h>

#include <functional>
#include <pthread.h>

namespace Apricot {

/**
 * \class PeriodicTask
 * \brief Runs a function again and again on a thread of its own, sleeping in between.
 */
class PeriodicTask
{
public:
    PeriodicTask(const char *name, absl::Duration interval, std::function<void()> function);
    ~PeriodicTask();

    PeriodicTask(const PeriodicTask &) = delete;
    PeriodicTask &operator=(const PeriodicTask &) = delete;

    /// Runs the function soon instead of after the rest of the interval.
    void wake();

    /// Ends after the present run.
    void stop();

private:
    void run();

    absl::Duration m_interval;
    std::function<void()> m_function;
    pthread_mutex_t m_mutex = PTHREAD_MUTEX_INITIALIZER;
    pthread_cond_t m_condition = PTHREAD_COND_INITIALIZER;
    bool m_woken = false;
    bool m_stopped = false;
    Thread m_thread; ///< last, as it uses the others
};

}
