#include "transport/tcplistener.h"

#include "transport/socketaddress.h"

#include <cerrno>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace Apricot {

namespace {

constexpr int backlog = 512;

/// Time until the next attempt to accept after one that failed for lack of descriptors or memory.
constexpr absl::Duration acceptRetryInterval = absl::Milliseconds(50);

}

TcpListener::TcpListener(EventLoop &loop, const std::string &address, AddressSharing sharing, const TcpTimeouts &timeouts,
                         AcceptHandler onAccepted)
    : m_loop(loop)
    , m_timeouts(timeouts)
    , m_onAccepted(std::move(onAccepted))
{
    const std::optional<sockaddr_in> parsed = parseSocketAddress(address);
    if (!parsed) {
        return;
    }
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (sharing == AddressSharing::Shared) {
        setsockopt(descriptor, SOL_SOCKET, SO_REUSEPORT, &one, sizeof(one));
    }
    if (bind(descriptor, reinterpret_cast<const sockaddr *>(&*parsed), sizeof(*parsed)) != 0 || listen(descriptor, backlog) != 0) {
        ::close(descriptor);
        return;
    }
    m_descriptor = descriptor;
    m_loop.watch(descriptor, EPOLLIN, [this](std::uint32_t) { acceptPending(); });
}

TcpListener::~TcpListener()
{
    close();
}

int TcpListener::port() const
{
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    getsockname(m_descriptor, reinterpret_cast<sockaddr *>(&address), &length);
    return ntohs(address.sin_port);
}

void TcpListener::pauseAccepting()
{
    // The connection stays in the backlog, so epoll would report it again and again.
    m_loop.changeEvents(m_descriptor, 0);
    m_loop.cancel(m_retryTimer);
    m_retryTimer = m_loop.after(acceptRetryInterval, [this] {
        m_retryTimer = 0;
        m_loop.changeEvents(m_descriptor, EPOLLIN);
    });
}

void TcpListener::close()
{
    m_loop.cancel(std::exchange(m_retryTimer, 0));
    if (m_descriptor >= 0) {
        m_loop.unwatch(m_descriptor);
        ::close(std::exchange(m_descriptor, -1));
    }
}

void TcpListener::acceptPending()
{
    while (m_descriptor >= 0) {
        const int descriptor = accept4(m_descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor < 0 && (errno == EMFILE || errno == ENFILE || errno == ENOMEM || errno == ENOBUFS)) {
            pauseAccepting();
        }
        if (descriptor < 0) {
            return;
        }
        m_onAccepted(TcpConnection::adopt(m_loop, descriptor, m_timeouts));
    }
}

}
