#include "transport/workerpool.h"

#include <utility>

namespace Apricot {

WorkerPool::WorkerPool(std::size_t maxThreads)
    : m_maxThreads(maxThreads)
{
}

WorkerPool::~WorkerPool()
{
    pthread_mutex_lock(&m_mutex);
    m_stopped = true;
    pthread_cond_broadcast(&m_condition);
    pthread_mutex_unlock(&m_mutex);
    m_threads.clear();
    pthread_cond_destroy(&m_condition);
    pthread_mutex_destroy(&m_mutex);
}

void WorkerPool::run(std::function<void()> task)
{
    pthread_mutex_lock(&m_mutex);
    m_tasks.push_back(std::move(task));
    if (m_tasks.size() > m_idleThreads && m_threads.size() < m_maxThreads) {
        m_threads.emplace_back("worker", [this] { runTasks(); });
    }
    pthread_cond_signal(&m_condition);
    pthread_mutex_unlock(&m_mutex);
}

void WorkerPool::runTasks()
{
    pthread_mutex_lock(&m_mutex);
    for (;;) {
        while (m_tasks.empty() && !m_stopped) {
            ++m_idleThreads;
            pthread_cond_wait(&m_condition, &m_mutex);
            --m_idleThreads;
        }
        if (m_tasks.empty()) {
            break;
        }
        const std::function<void()> task = std::move(m_tasks.front());
        m_tasks.pop_front();
        pthread_mutex_unlock(&m_mutex);
        task();
        pthread_mutex_lock(&m_mutex);
    }
    pthread_mutex_unlock(&m_mutex);
}

}
