#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <pthread.h>
#include <utility>
#include <vector>

namespace Apricot {

/// Identifies a timer of an EventLoop; 0 is no timer.
using TimerId = std::uint64_t;

/**
 * \class EventLoop
 * \brief Dispatches socket events, timers and posted tasks on one thread, using epoll. The thread sleeps while there is
 * nothing to do.
 *
 * All functions except post() and stop() must be called on the loop's own thread.
 */
class EventLoop
{
public:
    using Task = std::function<void()>;
    using EventHandler = std::function<void(std::uint32_t events)>;

    EventLoop();
    ~EventLoop();

    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Dispatches events until stop() is called.
    void run();

    /// Waits until there is something to do, and dispatches the events, tasks and timers that are due.
    void runOnce();

    /// Makes run() return after the current iteration. Thread-safe.
    void stop();

    /// Runs \a task on the loop's thread. Thread-safe.
    void post(Task task);

    /// Calls \a handler whenever one of the epoll \a events occurs on \a descriptor. The loop owns \a handler until unwatch().
    void watch(int descriptor, std::uint32_t events, EventHandler handler);

    /// Replaces the events that \a descriptor is watched for.
    void changeEvents(int descriptor, std::uint32_t events);

    /// Stops watching \a descriptor. Its handler does not run again.
    void unwatch(int descriptor);

    /// Runs \a task once after \a delay, unless cancel() is called before.
    TimerId after(absl::Duration delay, Task task);

    /// Cancels a timer. Does nothing if it has already run.
    void cancel(TimerId timer);

    /// Returns the steady time of the current iteration. It is unrelated to wall clock time and never jumps; its values are near
    /// 1970.
    absl::Time now() const
    {
        return m_now;
    }

    /// Reads the steady clock that now() is based on.
    static absl::Time readSteadyClock();

    /// Updates now(). Needed if the thread has done other work since the last runOnce().
    void updateNow()
    {
        m_now = readSteadyClock();
    }

    /// Returns a buffer that handlers of this loop may use while they run.
    std::vector<char> &scratchBuffer()
    {
        return m_scratchBuffer;
    }

private:
    struct WatchedDescriptor
    {
        EventHandler handler;
        std::uint32_t serial = 0;
    };

    int waitTimeoutMs() const;
    void runTimers();
    void runPosted();
    void dispatch(std::uint64_t tag, std::uint32_t events);

    int m_epoll = -1;
    int m_wakeup = -1;
    std::uint32_t m_serial = 0;
    absl::Time m_now;
    absl::flat_hash_map<int, std::shared_ptr<WatchedDescriptor>> m_watched;
    std::map<std::pair<absl::Time, TimerId>, Task> m_timers;
    absl::flat_hash_map<TimerId, absl::Time> m_timerTimes;
    TimerId m_lastTimer = 0;
    std::vector<char> m_scratchBuffer;
    pthread_mutex_t m_mutex = PTHREAD_MUTEX_INITIALIZER;
    std::vector<Task> m_posted; ///< guarded by m_mutex
    bool m_stopped = false; ///< guarded by m_mutex
};

}
