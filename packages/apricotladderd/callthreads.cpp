#include "apricotladderd/callthreads.h"

#include <absl/time/clock.h>

#include <memory>
#include <pthread.h>
#include <utility>

namespace Apricot {

namespace {

constexpr std::size_t stackBytes = 512 * 1024;

extern "C" void *runCallThread(void *argument)
{
    const std::unique_ptr<std::function<void()>> function(static_cast<std::function<void()> *>(argument));
    (*function)();
    return nullptr;
}

}

bool CallThreads::run(std::function<void()> function)
{
    {
        const MutexLock lock(m_mutex);
        if (m_active >= maxActive) {
            return false;
        }
        ++m_active;
    }
    auto body = std::make_unique<std::function<void()>>([this, function = std::move(function)] {
        function();
        decrementActive();
    });
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
    pthread_attr_setstacksize(&attributes, stackBytes);
    pthread_t thread{};
    const int ec = pthread_create(&thread, &attributes, runCallThread, body.get());
    pthread_attr_destroy(&attributes);
    if (ec != 0) {
        decrementActive();
        return false;
    }
    (void)body.release();
    return true;
}

std::size_t CallThreads::active() const
{
    const MutexLock lock(m_mutex);
    return m_active;
}

bool CallThreads::waitUntilIdle(absl::Duration timeout)
{
    const absl::Time deadline = absl::Now() + timeout;
    const MutexLock lock(m_mutex);
    while (m_active > 0 && absl::Now() < deadline) {
        m_idle.waitFor(m_mutex, deadline - absl::Now());
    }
    return m_active == 0;
}

void CallThreads::decrementActive()
{
    const MutexLock lock(m_mutex);
    --m_active;
    m_idle.signalAll();
}

}
