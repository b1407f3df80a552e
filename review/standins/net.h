#pragma once

// Blocking sockets and a small HTTP/1.1 reader and writer for the stand-ins. One thread serves one connection.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using Clock = std::chrono::steady_clock;

/// Milliseconds since the start of the program.
inline std::int64_t nowMs()
{
    static const Clock::time_point start = Clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start).count();
}

inline void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// Returns the address 127.0.0.\a host.
inline sockaddr_in loopbackAddress(int port, int host = 1)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl((127U << 24) | static_cast<std::uint32_t>(host));
    return address;
}

/// Returns a port that no process uses now, on any address. It lies below the range from which the system draws the ports of outgoing
/// connections, so that a stand-in that was stopped can open it again.
inline int freePort()
{
    constexpr int firstPort = 20000;
    constexpr int portCount = 12000;
    static std::set<int> given;
    static std::mt19937 random(std::random_device{}());
    for (;;) {
        const int port = firstPort + static_cast<int>(random() % portCount);
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        const bool isFree = bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0;
        close(fd);
        if (isFree && given.insert(port).second) {
            return port;
        }
    }
}

/// A connected socket. Reading is buffered.
class Socket
{
public:
    explicit Socket(int fd)
        : m_fd(fd)
    {
        const int one = 1;
        setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    }

    ~Socket()
    {
        if (m_fd >= 0) {
            close(m_fd);
        }
    }

    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;

    static std::unique_ptr<Socket> connectTo(int port, std::int64_t timeoutMs, int host = 1)
    {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        const sockaddr_in address = loopbackAddress(port, host);
        if (connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
            pollfd waited{fd, POLLOUT, 0};
            int error = 0;
            socklen_t length = sizeof(error);
            if (errno != EINPROGRESS || poll(&waited, 1, static_cast<int>(timeoutMs)) <= 0
                || getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0) {
                close(fd);
                return nullptr;
            }
        }
        return std::make_unique<Socket>(fd);
    }

    /// Closes the connection with a reset, as a crashed process does.
    void reset()
    {
        const linger option{1, 0};
        setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
        close(m_fd);
        m_fd = -1;
    }

    /// Writes everything; returns false after an error or the deadline (on the scale of nowMs()).
    bool write(const std::string &bytes, std::int64_t deadlineMs)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t n = send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
            if (n > 0) {
                sent += static_cast<std::size_t>(n);
            } else if (n < 0 && errno != EAGAIN && errno != EINTR) {
                return false;
            } else if (!waitFor(POLLOUT, deadlineMs)) {
                return false;
            }
        }
        return true;
    }

    /// Appends what arrives to the buffer; returns false at the end of the connection, after an error or the deadline.
    bool readMore(std::int64_t deadlineMs)
    {
        char part[16384];
        if (!waitFor(POLLIN, deadlineMs)) {
            m_timedOut = true;
            return false;
        }
        const ssize_t n = recv(m_fd, part, sizeof(part), 0);
        if (n <= 0) {
            m_endedOrderly = n == 0;
            return false;
        }
        m_buffer.append(part, static_cast<std::size_t>(n));
        return true;
    }

    /// Whether the peer has closed or reset the connection.
    bool isClosedByPeer() const
    {
        char byte = 0;
        const ssize_t n = recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
    }

    std::string &buffer()
    {
        return m_buffer;
    }

    bool timedOut() const
    {
        return m_timedOut;
    }

    bool endedOrderly() const
    {
        return m_endedOrderly;
    }

private:
    bool waitFor(short events, std::int64_t deadlineMs) const
    {
        const std::int64_t left = deadlineMs - nowMs();
        pollfd waited{m_fd, events, 0};
        return left > 0 && poll(&waited, 1, static_cast<int>(left)) > 0;
    }

    int m_fd;
    std::string m_buffer;
    bool m_timedOut = false;
    bool m_endedOrderly = false;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string lowerCase(std::string text)
{
    for (char &c : text) {
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    return text;
}

/// A request or a response.
struct Message
{
    std::string startLine;
    Headers headers;
    std::string body;
    bool isComplete = false;

    std::string header(const std::string &name) const
    {
        for (const auto &[key, value] : headers) {
            if (lowerCase(key) == lowerCase(name)) {
                return value;
            }
        }
        return {};
    }

    std::string word(int index) const
    {
        std::size_t start = 0;
        for (int i = 0; i < index; ++i) {
            const std::size_t space = startLine.find(' ', start);
            start = space == std::string::npos ? startLine.size() : space + 1;
        }
        return startLine.substr(start, startLine.find(' ', start) - start);
    }

    int status() const
    {
        return std::atoi(word(1).c_str());
    }
};

/// Reads the head of a message; std::nullopt if the connection ends before.
inline std::optional<Message> readHead(Socket &socket, std::int64_t deadlineMs)
{
    std::string &buffer = socket.buffer();
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!socket.readMore(deadlineMs)) {
            return std::nullopt;
        }
    }
    Message message;
    std::size_t start = 0;
    while (start < end) {
        const std::size_t eol = std::min(buffer.find("\r\n", start), end);
        const std::string line = buffer.substr(start, eol - start);
        const std::size_t colon = line.find(':');
        if (message.startLine.empty()) {
            message.startLine = line;
        } else if (colon != std::string::npos) {
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            message.headers.emplace_back(line.substr(0, colon), value == std::string::npos ? std::string() : line.substr(value));
        }
        start = eol + 2;
    }
    buffer.erase(0, end + 4);
    return message;
}

/// Reads \a count bytes into the body; returns whether they arrived.
inline bool readBytes(Socket &socket, std::size_t count, std::string *to, std::int64_t deadlineMs)
{
    while (socket.buffer().size() < count) {
        if (!socket.readMore(deadlineMs)) {
            return false;
        }
    }
    to->append(socket.buffer(), 0, count);
    socket.buffer().erase(0, count);
    return true;
}

/// Reads a chunked body. \a onPart receives each part as it arrives.
inline bool readChunks(Socket &socket, std::string *to, std::int64_t deadlineMs, const std::function<void(const std::string &)> &onPart)
{
    for (;;) {
        std::size_t eol = 0;
        while ((eol = socket.buffer().find("\r\n")) == std::string::npos) {
            if (!socket.readMore(deadlineMs)) {
                return false;
            }
        }
        const std::size_t size = std::strtoul(socket.buffer().c_str(), nullptr, 16);
        socket.buffer().erase(0, eol + 2);
        std::string part;
        if (!readBytes(socket, size + 2, &part, deadlineMs)) {
            return false;
        }
        if (size == 0) {
            return true;
        }
        part.resize(size);
        to->append(part);
        if (onPart) {
            onPart(part);
        }
    }
}

inline bool readBody(Socket &socket, Message *message, std::int64_t deadlineMs, const std::function<void(const std::string &)> &onPart = {})
{
    if (lowerCase(message->header("Transfer-Encoding")) == "chunked") {
        message->isComplete = readChunks(socket, &message->body, deadlineMs, onPart);
    } else {
        const std::size_t length = std::strtoul(message->header("Content-Length").c_str(), nullptr, 10);
        message->isComplete = readBytes(socket, length, &message->body, deadlineMs);
    }
    return message->isComplete;
}

inline std::string encodeMessage(const std::string &startLine, const Headers &headers, const std::string &body)
{
    std::string text = startLine + "\r\n";
    for (const auto &[key, value] : headers) {
        text += key + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string encodeChunk(const std::string &part)
{
    char size[20];
    std::snprintf(size, sizeof(size), "%zx\r\n", part.size());
    return size + part + "\r\n";
}

/// Accepts connections on a loopback port and runs a handler for each, in its own thread, until it returns false.
class Server
{
public:
    /// Handles one request; returns whether the connection stays open.
    using Handler = std::function<bool(Socket &, const Message &)>;

    Server(int port, Handler handler)
        : m_port(port)
        , m_handler(std::move(handler))
    {
        start();
    }

    ~Server()
    {
        stop();
    }

    int port() const
    {
        return m_port;
    }

    /// Opens the port.
    void start()
    {
        m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int one = 1;
        setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
        const sockaddr_in address = loopbackAddress(m_port);
        if (bind(m_fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 || listen(m_fd, 512) != 0) {
            std::perror("bind");
            std::exit(2);
        }
        ++m_lifetime;
        std::thread([this, fd = m_fd, lifetime = m_lifetime.load()] { acceptLoop(fd, lifetime); }).detach();
    }

    /// Closes the port. Each connection of this lifetime ends with a reset.
    void stop()
    {
        if (m_fd >= 0) {
            ++m_lifetime;
            shutdown(m_fd, SHUT_RDWR);
            close(std::exchange(m_fd, -1));
        }
    }

    /// The lifetime in which the calling thread's connection was accepted has ended.
    bool isOver(int lifetime) const
    {
        return m_lifetime != lifetime;
    }

    int lifetime() const
    {
        return m_lifetime;
    }

private:
    void acceptLoop(int fd, int lifetime)
    {
        for (;;) {
            const int accepted = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                return;
            }
            std::thread([this, accepted, lifetime] { serve(accepted, lifetime); }).detach();
        }
    }

    void serve(int fd, int lifetime)
    {
        Socket socket(fd);
        constexpr std::int64_t pollMs = 100;
        while (!isOver(lifetime)) {
            const bool hasInput = !socket.buffer().empty() || socket.readMore(nowMs() + pollMs);
            if (!hasInput) {
                if (socket.isClosedByPeer()) {
                    return;
                }
                continue;
            }
            constexpr std::int64_t requestMs = 20000;
            std::optional<Message> request = readHead(socket, nowMs() + requestMs);
            if (!request || !readBody(socket, &*request, nowMs() + requestMs) || isOver(lifetime)) {
                break;
            }
            if (!m_handler(socket, *request)) {
                return;
            }
        }
        socket.reset();
    }

    int m_port;
    Handler m_handler;
    int m_fd = -1;
    std::atomic<int> m_lifetime{0};
};
