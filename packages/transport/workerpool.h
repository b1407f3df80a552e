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
 * \brief Thread pool for tasks that may block. A thread is added when there are more waiting tasks than idle threads.
 */
class WorkerPool
{
public:
    /// The pool has at most \a maxThreads threads; further tasks wait.
    explicit WorkerPool(std::size_t maxThreads);

    /// Runs the waiting tasks, then joins the threads.
    ~WorkerPool();

    WorkerPool(const WorkerPool &) = delete;
    WorkerPool &operator=(const WorkerPool &) = delete;

    /// Runs \a task on one of the threads. Thread-safe.
    void run(std::function<void()> task);

private:
    void runTasks();

    std::size_t m_maxThreads;
    pthread_mutex_t m_mutex = PTHREAD_MUTEX_INITIALIZER;
    pthread_cond_t m_condition = PTHREAD_COND_INITIALIZER;
    std::deque<std::function<void()>> m_tasks; ///< guarded by m_mutex, like the members below
    std::size_t m_idleThreads = 0;
    bool m_stopped = false;
    std::vector<Thread> m_threads;
};

}
