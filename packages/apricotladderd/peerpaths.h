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
 * \class PeerPaths
 * \brief The sockets of a node for datagrams: the one of its settings, and others for nodes whose path over it went silent.
 *
 * What lies between two nodes can lose track of a flow for good while new ones work. A node that goes silent is moved to
 * a socket with a new port, and stays there.
 */
class PeerPaths
{
public:
    /// Binds the main socket to \a listenAddress; \a peerAddress is what other nodes are told of it.
    PeerPaths(const std::string &listenAddress, std::string peerAddress);

    bool isOpen() const;

    /// Sends \a bytes to a node over its present path.
    void send(const NodeId &node, const std::string &address, const std::string &bytes);

    /// Address that \a node is told to send datagrams to.
    std::string addressFor(const NodeId &node) const;

    /// Moves a silent node to a newer path, at most once in a while.
    void renew(const NodeId &node, absl::Time now);

    /// Waits for datagrams on all sockets.
    std::vector<Datagram> receive(absl::Duration wait) const;

private:
    /// A node's path over a socket other than the main one.
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
