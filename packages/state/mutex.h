#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/time/time.h>

#ifdef APRICOTLADDER_TSAN
#include <absl/time/clock.h>
#include <pthread.h>
#else
#include <absl/synchronization/mutex.h>
#endif

namespace Apricot {

/**
 * \class Mutex
 * \brief A mutex with thread-safety annotations: absl::Mutex, or a pthread mutex in the ThreadSanitizer build.
 *
 * Debian's Abseil is built without ThreadSanitizer annotations, so absl::Mutex causes false race reports in that build.
 */
class ABSL_LOCKABLE Mutex
{
public:
    Mutex() = default;
    Mutex(const Mutex &) = delete;
    Mutex &operator=(const Mutex &) = delete;

#ifdef APRICOTLADDER_TSAN
    ~Mutex()
    {
        pthread_mutex_destroy(&m_mutex);
    }

    void lock() ABSL_EXCLUSIVE_LOCK_FUNCTION()
    {
        pthread_mutex_lock(&m_mutex);
    }

    void unlock() ABSL_UNLOCK_FUNCTION()
    {
        pthread_mutex_unlock(&m_mutex);
    }

private:
    friend class CondVar;
    pthread_mutex_t m_mutex = PTHREAD_MUTEX_INITIALIZER;
#else
    ~Mutex() = default;

    void lock() ABSL_EXCLUSIVE_LOCK_FUNCTION()
    {
        m_mutex.Lock();
    }

    void unlock() ABSL_UNLOCK_FUNCTION()
    {
        m_mutex.Unlock();
    }

private:
    friend class CondVar;
    absl::Mutex m_mutex;
#endif
};

/**
 * \class MutexLock
 * \brief Holds a Mutex until the end of the scope.
 */
class ABSL_SCOPED_LOCKABLE MutexLock
{
public:
    explicit MutexLock(Mutex &mutex) ABSL_EXCLUSIVE_LOCK_FUNCTION(mutex)
        : m_mutex(mutex)
    {
        m_mutex.lock();
    }

    ~MutexLock() ABSL_UNLOCK_FUNCTION()
    {
        m_mutex.unlock();
    }

    MutexLock(const MutexLock &) = delete;
    MutexLock &operator=(const MutexLock &) = delete;

private:
    Mutex &m_mutex;
};

/**
 * \class CondVar
 * \brief A condition variable for Mutex. Waiting threads block and never spin.
 */
class CondVar
{
public:
    CondVar() = default;
    CondVar(const CondVar &) = delete;
    CondVar &operator=(const CondVar &) = delete;

#ifdef APRICOTLADDER_TSAN
    ~CondVar()
    {
        pthread_cond_destroy(&m_condition);
    }

    /// Waits for a signal for at most \a timeout. Returns whether the wait timed out.
    bool waitFor(Mutex &mutex, absl::Duration timeout) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    {
        const timespec deadline = absl::ToTimespec(absl::Now() + timeout);
        return pthread_cond_timedwait(&m_condition, &mutex.m_mutex, &deadline) != 0;
    }

    void signalAll()
    {
        pthread_cond_broadcast(&m_condition);
    }

private:
    pthread_cond_t m_condition = PTHREAD_COND_INITIALIZER;
#else
    ~CondVar() = default;

    /// Waits for a signal for at most \a timeout. Returns whether the wait timed out.
    bool waitFor(Mutex &mutex, absl::Duration timeout) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    {
        return m_condition.WaitWithTimeout(&mutex.m_mutex, timeout);
    }

    void signalAll()
    {
        m_condition.SignalAll();
    }

private:
    absl::CondVar m_condition;
#endif
};

}
