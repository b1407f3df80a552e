#pragma once

#include "transport/thread.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <pthread.h>
#include <vector>

namespace Apricot {

/**
 * \class WorkerPool
 * \brief Threads that run tasks which may block. A thread is added when a task finds none free.
 */
class WorkerPool
{
public:
    /// \a most threads at once; further tasks wait.
    explicit WorkerPool(std::size_t most);

    /// Runs what waits, then joins the threads.
    ~WorkerPool();

    WorkerPool(const WorkerPool &) = delete;
    WorkerPool &operator=(const WorkerPool &) = delete;

    void run(std::function<void()> task);

private:
    void work();

    std::size_t m_most;
    pthread_mutex_t m_mutex = PTHREAD_MUTEX_INITIALIZER;
    pthread_cond_t m_condition = PTHREAD_COND_INITIALIZER;
    std::deque<std::function<void()>> m_tasks; ///< under m_mutex, as the rest
    std::size_t m_idle = 0;
    bool m_stopped = false;
    std::vector<Thread> m_threads;
};

}
