#include "transport/thread.h"

#include <cstdio>
#include <cstdlib>
#include <utility>

namespace Apricot {

namespace {

constexpr std::size_t stackBytes = 256 * 1024;

extern "C" void *runThread(void *argument)
{
    const std::unique_ptr<std::function<void()>> function(static_cast<std::function<void()> *>(argument));
    (*function)();
    return nullptr;
}

}

Thread::Thread(const char *name, std::function<void()> function)
{
    auto heapFunction = std::make_unique<std::function<void()>>(std::move(function));
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, stackBytes);
    const int ec = pthread_create(&m_thread, &attributes, runThread, heapFunction.get());
    pthread_attr_destroy(&attributes);
    if (ec != 0) {
        std::fprintf(stderr, "thread %s: pthread_create() failed with error %d; raise the limit on threads\n", name, ec);
        std::abort();
    }
    (void)heapFunction.release();
    m_running = true;
    pthread_setname_np(m_thread, name);
}

Thread::~Thread()
{
    join();
}

Thread::Thread(Thread &&other) noexcept
    : m_thread(other.m_thread)
    , m_running(std::exchange(other.m_running, false))
{
}

Thread &Thread::operator=(Thread &&other) noexcept
{
    join();
    m_thread = other.m_thread;
    m_running = std::exchange(other.m_running, false);
    return *this;
}

void Thread::join()
{
    if (std::exchange(m_running, false)) {
        pthread_join(m_thread, nullptr);
    }
}

}
