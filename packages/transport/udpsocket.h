#pragma once

#include <absl/time/time.h>

#include <memory>
#include <netinet/in.h>
#include <optional>
#include <string>
#include <vector>

namespace Apricot {

/// One datagram and where it came from.
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
    /// Largest datagram that is sent or received, bytes.
    static constexpr std::size_t mostBytes = 60000;

    /// Binds to \a address ("IP:port"); isOpen() says whether that worked.
    explicit UdpSocket(const std::string &address);
    ~UdpSocket();

    UdpSocket(const UdpSocket &) = delete;
    UdpSocket &operator=(const UdpSocket &) = delete;

    bool isOpen() const
    {
        return m_socket >= 0;
    }

    /// For an EventLoop to watch.
    int descriptor() const
    {
        return m_socket;
    }

    /// Address after binding, with the port that the system chose for port 0.
    std::string localAddress() const;

    /// Sends one datagram; returns whether the system took it.
    bool send(const std::string &to, const std::string &bytes) const;

    /// Sends the same datagram to all of \a to in as few calls of the system as it takes; returns how many it took.
    std::size_t sendToAll(const std::vector<std::string> &to, const std::string &bytes) const;

    /// Waits at most \a limit for a datagram.
    std::optional<Datagram> receive(absl::Duration limit) const;

    /// Waits at most \a limit for datagrams on any of the sockets; returns those that are there, one per socket at most.
    static std::vector<Datagram> receiveAny(const std::vector<std::shared_ptr<UdpSocket>> &sockets, absl::Duration limit);

private:
    int m_socket = -1;
};

}
