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
 * \brief A small stand-in for what lies between two nodes: it forwards datagrams, and can lose track of all flows that
 * are open, while new ones work.
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

    /// POST /control {"silence": true} makes all flows that are known silent for good.
    HttpResponse handle(const HttpRequest &request);

private:
    void run();

    UdpSocket m_socket;
    std::string m_target;
    std::atomic<bool> m_stopping{false};
    Mutex m_mutex;
    std::map<std::string, bool> m_silent ABSL_GUARDED_BY(m_mutex); ///< by the sender's address
    Thread m_thread;
};

}
