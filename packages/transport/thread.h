#pragma once

#include <functional>
#include <memory>
#include <pthread.h>

namespace Apricot {

/**
 * \class Thread
 * \brief A POSIX thread with a small stack. It is joined on destruction.
 */
class Thread
{
public:
    Thread() = default;

    /// Runs \a function on a new thread. \a name is shown in process lists and has at most 15 characters. Aborts the process if
    /// the thread cannot be created.
    Thread(const char *name, std::function<void()> function);
    ~Thread();

    Thread(Thread &&other) noexcept;
    Thread &operator=(Thread &&other) noexcept;
    Thread(const Thread &) = delete;
    Thread &operator=(const Thread &) = delete;

    /// Waits for the function to return. Does nothing if there is no thread.
    void join();

private:
    pthread_t m_thread{};
    bool m_running = false;
};

}
