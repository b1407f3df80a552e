#include "standins/relaystandin.h"

#include "protocol/jsonreader.h"

#include <utility>

namespace Apricot {

RelayStandIn::RelayStandIn(const std::string &listen, std::string target)
    : m_socket(listen)
    , m_target(std::move(target))
    , m_thread("relay", [this] { run(); })
{
}

RelayStandIn::~RelayStandIn()
{
    m_stopping = true;
    m_thread.join();
}

HttpResponse RelayStandIn::handle(const HttpRequest &request)
{
    const Json json = Json::parse(request.body, nullptr, false);
    HttpResponse response;
    if (json.is_discarded()) {
        response.status = 400;
        return response;
    }
    if (jsonFlag(json, "silence")) {
        const MutexLock lock(m_mutex);
        for (auto &[sender, dropped] : m_droppedFlows) {
            dropped = true;
        }
    }
    return response;
}

void RelayStandIn::run()
{
    while (!m_stopping) {
        const std::optional<Datagram> datagram = m_socket.receive(absl::Milliseconds(200));
        if (!datagram) {
            continue;
        }
        bool dropped = false;
        {
            const MutexLock lock(m_mutex);
            dropped = m_droppedFlows.try_emplace(datagram->from, false).first->second;
        }
        if (!dropped) {
            m_socket.send(m_target, datagram->bytes);
        }
    }
}

}
