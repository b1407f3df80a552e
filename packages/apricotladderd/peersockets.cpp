#include "apricotladderd/peersockets.h"

#include <algorithm>
#include <utility>

namespace Apricot {

namespace {

/// Minimum age of a path, or of the newest socket, before it is replaced for a silent node.
constexpr absl::Duration minPathAge = absl::Seconds(2);

}

PeerSockets::PeerSockets(const std::string &listenAddress, std::string peerAddress)
    : m_peerAddress(std::move(peerAddress))
    , m_main(std::make_shared<UdpSocket>(listenAddress))
{
}

bool PeerSockets::isOpen() const
{
    return m_main->isOpen();
}

void PeerSockets::send(const NodeId &node, const std::string &address, const std::string &bytes)
{
    std::shared_ptr<UdpSocket> socket = m_main;
    {
        const MutexLock lock(m_mutex);
        const auto it = m_paths.find(node);
        if (it != m_paths.end()) {
            socket = it->second.socket;
        }
    }
    socket->send(address, bytes);
}

std::string PeerSockets::addressFor(const NodeId &node) const
{
    const MutexLock lock(m_mutex);
    const auto it = m_paths.find(node);
    return it == m_paths.end() ? m_peerAddress : it->second.socket->localAddress();
}

void PeerSockets::replacePath(const NodeId &node, absl::Time now)
{
    const MutexLock lock(m_mutex);
    const auto it = m_paths.find(node);
    if (it != m_paths.end() && now - it->second.since < minPathAge) {
        return;
    }
    if (const std::shared_ptr<UdpSocket> socket = newestSocket(now)) {
        m_paths[node] = Path{socket, now};
    }
}

std::vector<Datagram> PeerSockets::receive(absl::Duration timeout) const
{
    std::vector<std::shared_ptr<UdpSocket>> sockets{m_main};
    {
        const MutexLock lock(m_mutex);
        for (const auto &[node, path] : m_paths) {
            if (std::find(sockets.begin(), sockets.end(), path.socket) == sockets.end()) {
                sockets.push_back(path.socket);
            }
        }
    }
    return UdpSocket::receiveAny(sockets, timeout);
}

std::shared_ptr<UdpSocket> PeerSockets::newestSocket(absl::Time now)
{
    // Nodes that go silent at about the same time share one new socket.
    if (!m_newest || now - m_newestSince >= minPathAge) {
        auto socket = std::make_shared<UdpSocket>(m_peerAddress.substr(0, m_peerAddress.rfind(':')) + ":0");
        if (!socket->isOpen()) {
            return nullptr;
        }
        m_newest = std::move(socket);
        m_newestSince = now;
    }
    return m_newest;
}

}
