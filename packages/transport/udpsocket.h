#pragma once

#include <absl/time/time.h>

#include <memory>
#include <netinet/in.h>
#include <optional>
#include <string>
#include <vector>

namespace Apricot {

/// One datagram and the address of its sender.
struct Datagram
{
    std::string bytes;
    std::string from; ///< "IP:port"
};

/**
 * \class UdpSocket
 * \brief A bound UDP socket.
 */
class UdpSocket
{
public:
    /// Maximum size of a datagram that is sent or received, in bytes.
    static constexpr std::size_t maxDatagramBytes = 60000;

    /// Binds to \a address ("IP:port"); isOpen() returns whether this succeeded.
    explicit UdpSocket(const std::string &address);
    ~UdpSocket();

    UdpSocket(const UdpSocket &) = delete;
    UdpSocket &operator=(const UdpSocket &) = delete;

    bool isOpen() const
    {
        return m_socket >= 0;
    }

    /// Returns the file descriptor, for EventLoop::watch().
    int descriptor() const
    {
        return m_socket;
    }

    /// Returns the local address, with the port that the system chose if the socket was bound to port 0.
    std::string localAddress() const;

    /// Sends one datagram without blocking; returns whether the system accepted it.
    bool send(const std::string &to, const std::string &bytes) const;

    /// Sends one datagram to each address in \a to without blocking, with as few system calls as possible. Returns how many of
    /// them the system accepted.
    std::size_t sendToAll(const std::vector<std::string> &to, const std::string &bytes) const;

    /// Waits at most \a timeout for a datagram; std::nullopt if there is none.
    std::optional<Datagram> receive(absl::Duration timeout) const;

    /// Waits at most \a timeout for datagrams on any of \a sockets. Returns at most one datagram for each socket.
    static std::vector<Datagram> receiveAny(const std::vector<std::shared_ptr<UdpSocket>> &sockets, absl::Duration timeout);

private:
    int m_socket = -1;
};

}
