#include "transport/tcpframes.h"

#include "transport/socketaddress.h"

#include <absl/time/clock.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdint>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Apricot {

namespace {

constexpr std::size_t headerBytes = 4;

/// Frames are read in steps of this many bytes, so that a peer cannot cause a large allocation by announcing a length without
/// sending the data.
constexpr std::size_t readStepBytes = 64 * 1024;

bool waitFor(int socket, short events, absl::Time deadline)
{
    const absl::Duration left = std::max(deadline - absl::Now(), absl::ZeroDuration());
    pollfd wait{socket, events, 0};
    return poll(&wait, 1, static_cast<int>(absl::ToInt64Milliseconds(left)) + 1) > 0 && absl::Now() < deadline;
}

bool readExactly(int socket, std::size_t count, std::string *bytes, absl::Time deadline)
{
    while (count > 0) {
        if (!waitFor(socket, POLLIN, deadline)) {
            return false;
        }
        const std::size_t before = bytes->size();
        const std::size_t step = std::min(count, readStepBytes);
        bytes->resize(before + step);
        const ssize_t n = recv(socket, bytes->data() + before, step, 0);
        if (n <= 0) {
            return false;
        }
        bytes->resize(before + static_cast<std::size_t>(n));
        count -= static_cast<std::size_t>(n);
    }
    return true;
}

bool writeAll(int socket, const char *data, std::size_t count, absl::Time deadline)
{
    while (count > 0) {
        if (!waitFor(socket, POLLOUT, deadline)) {
            return false;
        }
        const ssize_t n = send(socket, data, count, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        data += n;
        count -= static_cast<std::size_t>(n);
    }
    return true;
}

/// Closes a socket at the end of a scope.
class SocketCloser
{
public:
    explicit SocketCloser(int socket)
        : m_socket(socket)
    {
    }

    ~SocketCloser()
    {
        close(m_socket);
    }

    SocketCloser(const SocketCloser &) = delete;
    SocketCloser &operator=(const SocketCloser &) = delete;

private:
    int m_socket;
};

bool connectBefore(int socket, const sockaddr_in &address, absl::Time deadline)
{
    fcntl(socket, F_SETFL, fcntl(socket, F_GETFL) | O_NONBLOCK);
    if (connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0) {
        return true;
    }
    if (errno != EINPROGRESS || !waitFor(socket, POLLOUT, deadline)) {
        return false;
    }
    int ec = 0;
    socklen_t n = sizeof(ec);
    return getsockopt(socket, SOL_SOCKET, SO_ERROR, &ec, &n) == 0 && ec == 0;
}

}

std::optional<std::string> readFrame(int socket, absl::Duration timeout)
{
    const absl::Time deadline = absl::Now() + timeout;
    std::string header;
    if (!readExactly(socket, headerBytes, &header, deadline)) {
        return std::nullopt;
    }
    std::uint32_t length = 0;
    for (const char it : header) {
        length = length << 8 | static_cast<std::uint8_t>(it);
    }
    std::string body;
    if (length > maxFrameBytes || !readExactly(socket, length, &body, deadline)) {
        return std::nullopt;
    }
    return body;
}

bool writeFrame(int socket, const std::string &bytes, absl::Duration timeout)
{
    if (bytes.size() > maxFrameBytes) {
        return false;
    }
    const absl::Time deadline = absl::Now() + timeout;
    const auto length = static_cast<std::uint32_t>(bytes.size());
    const std::array<char, headerBytes> header{static_cast<char>(length >> 24), static_cast<char>(length >> 16),
                                               static_cast<char>(length >> 8), static_cast<char>(length)};
    return writeAll(socket, header.data(), header.size(), deadline) && writeAll(socket, bytes.data(), bytes.size(), deadline);
}

std::optional<std::string> exchangeFrame(const std::string &address, const std::string &bytes, absl::Duration timeout)
{
    const absl::Time deadline = absl::Now() + timeout;
    const std::optional<sockaddr_in> parsed = parseSocketAddress(address);
    const int socket = parsed ? ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0) : -1;
    if (socket < 0) {
        return std::nullopt;
    }
    const SocketCloser closer(socket);
    if (!connectBefore(socket, *parsed, deadline) || !writeFrame(socket, bytes, deadline - absl::Now())) {
        return std::nullopt;
    }
    return readFrame(socket, deadline - absl::Now());
}

}
