#include "transport/periodictask.h"

#include <absl/time/clock.h>

#include <utility>

namespace Apricot {

PeriodicTask::PeriodicTask(const char *name, absl::Duration interval, std::function<void()> function)
    : m_interval(interval)
    , m_function(std::move(function))
    , m_thread(name, [this] { run(); })
{
}

PeriodicTask::~PeriodicTask()
{
    stop();
    m_thread.join();
}

void PeriodicTask::wake()
{
    pthread_mutex_lock(&m_mutex);
    m_woken = true;
    pthread_cond_signal(&m_condition);
    pthread_mutex_unlock(&m_mutex);
}

void PeriodicTask::stop()
{
    pthread_mutex_lock(&m_mutex);
    m_stopped = true;
    pthread_cond_signal(&m_condition);
    pthread_mutex_unlock(&m_mutex);
}

void PeriodicTask::run()
{
    pthread_mutex_lock(&m_mutex);
    while (!m_stopped) {
        pthread_mutex_unlock(&m_mutex);
        m_function();
        pthread_mutex_lock(&m_mutex);
        const timespec deadline = absl::ToTimespec(absl::Now() + m_interval);
        int ec = 0;
        while (!m_stopped && !m_woken && ec == 0) {
            ec = pthread_cond_timedwait(&m_condition, &m_mutex, &deadline);
        }
        m_woken = false;
    }
    pthread_mutex_unlock(&m_mutex);
}

}
