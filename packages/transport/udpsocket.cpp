#include "transport/udpsocket.h"

#include "transport/socketaddress.h"

#include <array>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace Apricot {

UdpSocket::UdpSocket(const std::string &address)
{
    const std::optional<sockaddr_in> parsed = parseSocketAddress(address);
    if (!parsed) {
        return;
    }
    m_socket = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    if (m_socket >= 0 && bind(m_socket, reinterpret_cast<const sockaddr *>(&*parsed), sizeof(*parsed)) != 0) {
        close(m_socket);
        m_socket = -1;
    }
}

UdpSocket::~UdpSocket()
{
    if (m_socket >= 0) {
        close(m_socket);
    }
}

std::string UdpSocket::localAddress() const
{
    sockaddr_in address{};
    socklen_t n = sizeof(address);
    getsockname(m_socket, reinterpret_cast<sockaddr *>(&address), &n);
    return socketAddressText(address);
}

bool UdpSocket::send(const std::string &to, const std::string &bytes) const
{
    const std::optional<sockaddr_in> address = parseSocketAddress(to);
    if (!address || bytes.size() > maxDatagramBytes) {
        return false;
    }
    const ssize_t n
        = sendto(m_socket, bytes.data(), bytes.size(), MSG_DONTWAIT, reinterpret_cast<const sockaddr *>(&*address), sizeof(*address));
    return n == static_cast<ssize_t>(bytes.size());
}

std::size_t UdpSocket::sendToAll(const std::vector<std::string> &to, const std::string &bytes) const
{
    if (bytes.size() > maxDatagramBytes) {
        return 0;
    }
    std::vector<sockaddr_in> addresses;
    for (const std::string &text : to) {
        if (const std::optional<sockaddr_in> address = parseSocketAddress(text)) {
            addresses.push_back(*address);
        }
    }
    // sendmmsg() does not modify the data, although iovec has a pointer to non-const.
    iovec text{const_cast<char *>(bytes.data()), bytes.size()};
    std::vector<mmsghdr> messages(addresses.size());
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        messages[i].msg_hdr.msg_name = &addresses[i];
        messages[i].msg_hdr.msg_namelen = sizeof(sockaddr_in);
        messages[i].msg_hdr.msg_iov = &text;
        messages[i].msg_hdr.msg_iovlen = 1;
    }
    std::size_t next = 0;
    std::size_t accepted = 0;
    while (next < messages.size()) {
        const int n = sendmmsg(m_socket, &messages[next], static_cast<unsigned>(messages.size() - next), MSG_DONTWAIT);
        // An address that fails is skipped, so that the datagram still reaches the others.
        accepted += n > 0 ? static_cast<std::size_t>(n) : 0;
        next += n > 0 ? static_cast<std::size_t>(n) : 1;
    }
    return accepted;
}

std::optional<Datagram> UdpSocket::receive(absl::Duration timeout) const
{
    pollfd wait{m_socket, POLLIN, 0};
    if (timeout > absl::ZeroDuration() && poll(&wait, 1, static_cast<int>(absl::ToInt64Milliseconds(timeout))) <= 0) {
        return std::nullopt;
    }
    thread_local std::array<char, maxDatagramBytes> buf;
    sockaddr_in from{};
    socklen_t length = sizeof(from);
    const ssize_t n = recvfrom(m_socket, buf.data(), buf.size(), MSG_DONTWAIT, reinterpret_cast<sockaddr *>(&from), &length);
    if (n < 0) {
        return std::nullopt;
    }
    return Datagram{std::string(buf.data(), static_cast<std::size_t>(n)), socketAddressText(from)};
}

std::vector<Datagram> UdpSocket::receiveAny(const std::vector<std::shared_ptr<UdpSocket>> &sockets, absl::Duration timeout)
{
    std::vector<pollfd> waits;
    waits.reserve(sockets.size());
    for (const std::shared_ptr<UdpSocket> &socket : sockets) {
        waits.push_back(pollfd{socket->m_socket, POLLIN, 0});
    }
    std::vector<Datagram> found;
    if (poll(waits.data(), waits.size(), static_cast<int>(absl::ToInt64Milliseconds(timeout))) <= 0) {
        return found;
    }
    for (std::size_t i = 0; i < waits.size(); ++i) {
        if ((waits[i].revents & POLLIN) == 0) {
            continue;
        }
        if (std::optional<Datagram> datagram = sockets[i]->receive(absl::ZeroDuration())) {
            found.push_back(std::move(*datagram));
        }
    }
    return found;
}

}
