#pragma once

#include "state/mutex.h"
#include "transport/httpserver.h"
#include "transport/thread.h"
#include "transport/udpsocket.h"

#include <atomic>
#include <map>
#include <memory>
#include <string>

namespace Apricot {

/**
 * \class RelayStandIn
 * \brief Stand-in for the network path between two nodes: forwards datagrams, and can drop all existing flows while new
 * flows still work, like a middlebox that has lost its flow table.
 */
class RelayStandIn
{
public:
    /// Forwards from \a listen to \a target, both "IP:port".
    RelayStandIn(const std::string &listen, std::string target);
    ~RelayStandIn();

    RelayStandIn(const RelayStandIn &) = delete;
    RelayStandIn &operator=(const RelayStandIn &) = delete;

    bool isOpen() const
    {
        return m_socket.isOpen();
    }

    /// POST /control {"silence": true} drops all datagrams of the existing flows from now on.
    HttpResponse handle(const HttpRequest &request);

private:
    void run();

    UdpSocket m_socket;
    std::string m_target;
    std::atomic<bool> m_stopping{false};
    Mutex m_mutex;
    std::map<std::string, bool> m_droppedFlows ABSL_GUARDED_BY(m_mutex); ///< whether a flow is dropped, by the sender's address
    Thread m_thread;
};

}
