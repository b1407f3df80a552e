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

/// Names a timer of an EventLoop; 0 names none.
using TimerId = std::uint64_t;

/**
 * \class EventLoop
 * \brief One thread's sockets and timers over epoll. The thread sleeps while nothing is due.
 *
 * All functions but post() and stop() are for the loop's own thread.
 */
class EventLoop
{
public:
    using Task = std::function<void()>;
    using Ready = std::function<void(std::uint32_t events)>;

    EventLoop();
    ~EventLoop();

    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Handles events until stop().
    void run();

    /// Waits for events once and handles them.
    void runOnce();

    /// Ends run() soon; any thread may call it.
    void stop();

    /// Runs \a task on the loop's thread; any thread may call it.
    void post(Task task);

    /// Watches \a descriptor for epoll \a events; \a ready is kept alive until unwatch().
    void watch(int descriptor, std::uint32_t events, Ready ready);
    void changeEvents(int descriptor, std::uint32_t events);
    void unwatch(int descriptor);

    TimerId after(absl::Duration delay, Task task);
    void cancel(TimerId timer);

    /// Steady time, on an axis of its own: it starts near 1970 and never jumps.
    absl::Time now() const
    {
        return m_now;
    }

    /// Reads the steady clock of now().
    static absl::Time readClock();

    /// Brings now() up to date, for a thread that did other things between two runOnce().
    void refreshNow()
    {
        m_now = readClock();
    }

    /// A buffer that handlers of this loop may use while they run.
    std::vector<char> &scratch()
    {
        return m_scratch;
    }

private:
    struct Watched
    {
        Ready ready;
        std::uint32_t serial = 0;
    };

    int waitMillis() const;
    void runTimers();
    void runPosted();
    void dispatch(std::uint64_t tag, std::uint32_t events);

    int m_epoll = -1;
    int m_wakeup = -1;
    std::uint32_t m_serial = 0;
    absl::Time m_now;
    absl::flat_hash_map<int, std::shared_ptr<Watched>> m_watched;
    std::map<std::pair<absl::Time, TimerId>, Task> m_timers;
    absl::flat_hash_map<TimerId, absl::Time> m_timerTimes;
    TimerId m_lastTimer = 0;
    std::vector<char> m_scratch;
    pthread_mutex_t m_mutex = PTHREAD_MUTEX_INITIALIZER;
    std::vector<Task> m_posted; ///< under m_mutex
    bool m_stopped = false; ///< under m_mutex
};

}
