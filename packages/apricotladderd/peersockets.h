#pragma once

#include "state/mutex.h"
#include "state/name.h"
#include "transport/udpsocket.h"

#include <absl/time/time.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Apricot {

/**
 * \class PeerSockets
 * \brief The UDP sockets of a node: the main one from its settings, and additional ones for peers that went silent.
 *
 * A network device between two nodes can lose its state for a UDP flow permanently while new flows work. A peer that goes silent
 * is therefore moved to a socket with a new port, and is never moved back to the main socket.
 */
class PeerSockets
{
public:
    /// Binds the main socket to \a listenAddress; other nodes receive \a peerAddress as its address.
    PeerSockets(const std::string &listenAddress, std::string peerAddress);

    /// Whether the main socket is bound.
    bool isOpen() const;

    /// Sends \a bytes to a node over its current path.
    void send(const NodeId &node, const std::string &address, const std::string &bytes);

    /// Returns the address to which \a node has to send datagrams.
    std::string addressFor(const NodeId &node) const;

    /// Moves a silent node to a new path, unless its current path is younger than the minimum age of a path.
    void replacePath(const NodeId &node, absl::Time now);

    /// Waits at most \a timeout for datagrams on all sockets.
    std::vector<Datagram> receive(absl::Duration timeout) const;

private:
    /// Path of a node over a socket other than the main one.
    struct Path
    {
        std::shared_ptr<UdpSocket> socket;
        absl::Time since;
    };

    std::shared_ptr<UdpSocket> newestSocket(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    std::string m_peerAddress;
    std::shared_ptr<UdpSocket> m_main;
    mutable Mutex m_mutex;
    std::map<NodeId, Path> m_paths ABSL_GUARDED_BY(m_mutex);
    std::shared_ptr<UdpSocket> m_newest ABSL_GUARDED_BY(m_mutex);
    absl::Time m_newestSince ABSL_GUARDED_BY(m_mutex) = absl::InfinitePast();
};

}
