#pragma once

#include "transport/thread.h"

#include <atomic>
#include <functional>
#include <string>

namespace Apricot {

/**
 * \class TcpServer
 * \brief Answers one frame per connection, on a few threads that all wait in accept.
 */
class TcpServer
{
public:
    /// Maps a request frame to the reply frame; an empty reply closes the connection without an answer.
    using Handler = std::function<std::string(const std::string &)>;

    /// Listens on \a address; isOpen() says whether that worked.
    TcpServer(const std::string &address, Handler handler);
    ~TcpServer();

    TcpServer(const TcpServer &) = delete;
    TcpServer &operator=(const TcpServer &) = delete;

    bool isOpen() const
    {
        return m_socket >= 0;
    }

private:
    void run();

    int m_socket = -1;
    Handler m_handler;
    std::atomic<bool> m_stopping{false};
    Thread m_first;
    Thread m_second;
};

}
