#pragma once

#include "transport/thread.h"

#include <atomic>
#include <functional>
#include <string>

namespace Apricot {

/**
 * \class TcpServer
 * \brief Blocking server that handles one request frame per connection, on two threads that both accept connections.
 */
class TcpServer
{
public:
    /// Maps a request frame to the reply frame; an empty reply closes the connection without a response.
    using Handler = std::function<std::string(const std::string &)>;

    /// Listens on \a address ("IP:port"); isOpen() returns whether this succeeded.
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
    Thread m_firstThread;
    Thread m_secondThread;
};

}
