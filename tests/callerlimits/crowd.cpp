#include "callerlimits/crowd.h"

#include "transport/socketaddress.h"

#include <absl/time/clock.h>

#include <algorithm>
#include <cerrno>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace Apricot {

namespace {

/// A small receive buffer leaves unread answers with the node instead of with the system.
constexpr int receiveBufferBytes = 4096;

constexpr int pollMs = 20;

}

Crowd::Crowd(const std::string &address, std::size_t count, CrowdScript script)
    : m_script(std::move(script))
{
    const sockaddr_in parsed = parseSocketAddress(address).value();
    for (std::size_t i = 0; i < count; ++i) {
        Client client;
        client.descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        setsockopt(client.descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof(receiveBufferBytes));
        connect(client.descriptor, reinterpret_cast<const sockaddr *>(&parsed), sizeof(parsed));
        m_clients.push_back(client);
    }
}

Crowd::~Crowd()
{
    for (const Client &it : m_clients) {
        close(it.descriptor);
    }
}

std::size_t Crowd::scriptBytes() const
{
    return m_script.start.size() + m_script.block.size() * m_script.blockCount;
}

bool Crowd::sendSome(Client &client) const
{
    const bool isStart = client.sent < m_script.start.size();
    const std::string &text = isStart ? m_script.start : m_script.block;
    const std::size_t offset = isStart ? client.sent : (client.sent - m_script.start.size()) % m_script.block.size();
    const ssize_t n = ::send(client.descriptor, text.data() + offset, text.size() - offset, MSG_NOSIGNAL);
    if (n < 0 && errno != EAGAIN && errno != EINTR) {
        client.sent = scriptBytes(); // The node has closed the connection.
    }
    client.sent += n > 0 ? static_cast<std::size_t>(n) : 0;
    return n > 0;
}

void Crowd::send(absl::Duration silence)
{
    absl::Time lastSent = absl::Now();
    while (absl::Now() - lastSent < silence) {
        std::vector<pollfd> waited;
        for (const Client &it : m_clients) {
            waited.push_back(pollfd{it.sent < scriptBytes() ? it.descriptor : -1, POLLOUT, 0});
        }
        if (std::all_of(waited.begin(), waited.end(), [](const pollfd &it) { return it.fd < 0; })) {
            return;
        }
        poll(waited.data(), waited.size(), pollMs);
        for (std::size_t i = 0; i < waited.size(); ++i) {
            if (waited[i].fd >= 0 && waited[i].revents != 0 && sendSome(m_clients[i])) {
                lastSent = absl::Now();
            }
        }
    }
}

}
