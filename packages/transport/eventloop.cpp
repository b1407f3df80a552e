#include "transport/eventloop.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <ctime>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <utility>

namespace Apricot {

namespace {

constexpr int maxEventsPerWait = 64;
constexpr std::size_t scratchBufferBytes = 32 * 1024;

/// Returns the epoll tag of a descriptor. Descriptor numbers are reused after close(); the serial distinguishes pending events
/// of the closed descriptor from those of its successor.
std::uint64_t tagOf(int descriptor, std::uint32_t serial)
{
    return (static_cast<std::uint64_t>(serial) << 32) | static_cast<std::uint32_t>(descriptor);
}

}

EventLoop::EventLoop()
    : m_epoll(epoll_create1(EPOLL_CLOEXEC))
    , m_wakeup(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
    , m_now(readSteadyClock())
    , m_scratchBuffer(scratchBufferBytes)
{
    watch(m_wakeup, EPOLLIN, [this](std::uint32_t) {
        std::uint64_t count = 0;
        [[maybe_unused]] const ssize_t n = read(m_wakeup, &count, sizeof(count));
    });
}

EventLoop::~EventLoop()
{
    // What the handlers and tasks own may unwatch descriptors and cancel timers when it is destroyed.
    const auto watched = std::exchange(m_watched, {});
    const auto timers = std::exchange(m_timers, {});
    close(m_wakeup);
    close(m_epoll);
    pthread_mutex_destroy(&m_mutex);
}

absl::Time EventLoop::readSteadyClock()
{
    timespec time{};
    clock_gettime(CLOCK_MONOTONIC, &time);
    return absl::TimeFromTimespec(time);
}

void EventLoop::run()
{
    for (;;) {
        pthread_mutex_lock(&m_mutex);
        const bool stopped = m_stopped;
        pthread_mutex_unlock(&m_mutex);
        if (stopped) {
            return;
        }
        runOnce();
    }
}

void EventLoop::runOnce()
{
    std::array<epoll_event, maxEventsPerWait> events{};
    pthread_mutex_lock(&m_mutex);
    const bool hasPosted = !m_posted.empty();
    pthread_mutex_unlock(&m_mutex);
    m_now = readSteadyClock();
    const int n = epoll_wait(m_epoll, events.data(), maxEventsPerWait, hasPosted ? 0 : waitTimeoutMs());
    m_now = readSteadyClock();
    for (int i = 0; i < n; ++i) {
        dispatch(events[i].data.u64, events[i].events);
    }
    runPosted();
    runTimers();
}

void EventLoop::stop()
{
    pthread_mutex_lock(&m_mutex);
    m_stopped = true;
    pthread_mutex_unlock(&m_mutex);
    post([] {});
}

void EventLoop::post(Task task)
{
    pthread_mutex_lock(&m_mutex);
    const bool first = m_posted.empty();
    m_posted.push_back(std::move(task));
    pthread_mutex_unlock(&m_mutex);
    if (first) {
        const std::uint64_t one = 1;
        [[maybe_unused]] const ssize_t n = write(m_wakeup, &one, sizeof(one));
    }
}

void EventLoop::watch(int descriptor, std::uint32_t events, EventHandler handler)
{
    auto watched = std::make_shared<WatchedDescriptor>();
    watched->handler = std::move(handler);
    watched->serial = ++m_serial;
    epoll_event event{};
    event.events = events;
    event.data.u64 = tagOf(descriptor, watched->serial);
    m_watched[descriptor] = std::move(watched);
    epoll_ctl(m_epoll, EPOLL_CTL_ADD, descriptor, &event);
}

void EventLoop::changeEvents(int descriptor, std::uint32_t events)
{
    const auto it = m_watched.find(descriptor);
    if (it == m_watched.end()) {
        return;
    }
    epoll_event event{};
    event.events = events;
    event.data.u64 = tagOf(descriptor, it->second->serial);
    epoll_ctl(m_epoll, EPOLL_CTL_MOD, descriptor, &event);
}

void EventLoop::unwatch(int descriptor)
{
    if (m_watched.erase(descriptor) != 0) {
        epoll_ctl(m_epoll, EPOLL_CTL_DEL, descriptor, nullptr);
    }
}

TimerId EventLoop::after(absl::Duration delay, Task task)
{
    const TimerId id = ++m_lastTimer;
    const absl::Time due = m_now + std::max(delay, absl::ZeroDuration());
    m_timers.emplace(std::pair(due, id), std::move(task));
    m_timerTimes.emplace(id, due);
    return id;
}

void EventLoop::cancel(TimerId timer)
{
    const auto it = m_timerTimes.find(timer);
    if (it == m_timerTimes.end()) {
        return;
    }
    m_timers.erase(std::pair(it->second, timer));
    m_timerTimes.erase(it);
}

int EventLoop::waitTimeoutMs() const
{
    if (m_timers.empty()) {
        return -1;
    }
    const absl::Duration left = m_timers.begin()->first.first - m_now;
    // Rounded up: a wait that ends just before the timer is due would cause another, very short wait.
    return static_cast<int>(std::max<std::int64_t>(0, absl::ToInt64Milliseconds(left + absl::Microseconds(999))));
}

void EventLoop::runTimers()
{
    while (!m_timers.empty() && m_timers.begin()->first.first <= m_now) {
        const auto it = m_timers.begin();
        const Task task = std::move(it->second);
        m_timerTimes.erase(it->first.second);
        m_timers.erase(it);
        task();
    }
}

void EventLoop::runPosted()
{
    std::vector<Task> tasks;
    pthread_mutex_lock(&m_mutex);
    tasks.swap(m_posted);
    pthread_mutex_unlock(&m_mutex);
    for (const Task &task : tasks) {
        task();
    }
}

void EventLoop::dispatch(std::uint64_t tag, std::uint32_t events)
{
    const auto it = m_watched.find(static_cast<int>(tag & 0xffffffffU));
    if (it == m_watched.end() || it->second->serial != static_cast<std::uint32_t>(tag >> 32)) {
        return;
    }
    const std::shared_ptr<WatchedDescriptor> watched = it->second;
    watched->handler(events);
}

}
