#include "transport/tcpserver.h"

#include "transport/socketaddress.h"
#include "transport/tcpframes.h"

#include <optional>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace Apricot {

namespace {

constexpr int backlog = 64;
constexpr int acceptWaitMs = 200;
constexpr absl::Duration frameTimeout = absl::Seconds(2);

}

TcpServer::TcpServer(const std::string &address, Handler handler)
    : m_handler(std::move(handler))
{
    const std::optional<sockaddr_in> parsed = parseSocketAddress(address);
    if (!parsed) {
        return;
    }
    m_socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int yes = 1;
    setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    if (bind(m_socket, reinterpret_cast<const sockaddr *>(&*parsed), sizeof(*parsed)) != 0 || listen(m_socket, backlog) != 0) {
        close(m_socket);
        m_socket = -1;
        return;
    }
    m_firstThread = Thread("peer-tcp-1", [this] { run(); });
    m_secondThread = Thread("peer-tcp-2", [this] { run(); });
}

TcpServer::~TcpServer()
{
    m_stopping = true;
    m_firstThread.join();
    m_secondThread.join();
    if (m_socket >= 0) {
        close(m_socket);
    }
}

void TcpServer::run()
{
    while (!m_stopping) {
        pollfd wait{m_socket, POLLIN, 0};
        if (poll(&wait, 1, acceptWaitMs) <= 0) {
            continue;
        }
        const int connection = accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0) {
            continue;
        }
        const std::optional<std::string> request = readFrame(connection, frameTimeout);
        if (request) {
            const std::string reply = m_handler(*request);
            if (!reply.empty()) {
                writeFrame(connection, reply, frameTimeout);
            }
        }
        close(connection);
    }
}

}
