#include "transport/sendpath.h"
#include "transport/socketaddress.h"
#include "transport/tcplistener.h"

#include <absl/time/clock.h>

#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <functional>
#include <memory>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

using namespace Apricot;

namespace {

/// Receive buffer of the readers, bytes; about the least that the system allows.
constexpr int readerBufferBytes = 4096;

/// More than the reader's window takes, and less than the system buffers for the writer.
const std::string message(24'000, 'm');

void setReceiveBuffer(int descriptor)
{
    BOOST_REQUIRE(setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &readerBufferBytes, sizeof(readerBufferBytes)) == 0);
}

/// Returns a listening socket at a free port of this host, or a socket connected to \a port.
int readerSocket(int port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    setReceiveBuffer(descriptor);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const auto *raw = reinterpret_cast<const sockaddr *>(&address);
    const int rc = port == 0 ? bind(descriptor, raw, sizeof(address)) + listen(descriptor, 1) : connect(descriptor, raw, sizeof(address));
    BOOST_REQUIRE(rc == 0);
    return descriptor;
}

int portOf(int descriptor)
{
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &length);
    return ntohs(address.sin_port);
}

/// Fixture: a writer with a user timeout of a second, and a reader that reads slowly with a small buffer.
struct SlowReader
{
    SlowReader()
    {
        timeouts.userTimeout = absl::Seconds(1);
    }

    ~SlowReader()
    {
        if (writer) {
            writer->abort();
        }
        ::close(reader);
    }

    /// Makes a connection that the reader has opened; callers do.
    void acceptReader()
    {
        TcpListener listener(loop, "127.0.0.1:0", AddressSharing::Exclusive, timeouts,
                             [this](const std::shared_ptr<TcpConnection> &it) { writer = it; });
        reader = readerSocket(listener.port());
        while (!writer) {
            loop.runOnce();
        }
        writer->setCallbacks(callbacks());
    }

    /// Makes a connection to the reader; engines are readers of long requests.
    void connectToReader()
    {
        const int listener = readerSocket(0);
        writer = TcpConnection::connect(loop, *parseSocketAddress("127.0.0.1:" + std::to_string(portOf(listener))), timeouts, callbacks());
        reader = accept(listener, nullptr, nullptr);
        ::close(listener);
    }

    TcpConnection::Callbacks callbacks()
    {
        TcpConnection::Callbacks callbacks;
        callbacks.onClosed = [this](TcpCloseReason) {
            isClosed = true;
        };
        return callbacks;
    }

    void runFor(absl::Duration duration)
    {
        bool isOver = false;
        loop.after(duration, [&] { isOver = true; });
        while (!isOver) {
            loop.runOnce();
        }
    }

    /// Reads 200 bytes at a time, 5,000 bytes a second, until the message or the connection ends; returns what was read.
    std::string readSlowly()
    {
        std::string text;
        char buf[200];
        ssize_t n = 1;
        while (n > 0 && text.size() < message.size()) {
            runFor(absl::Milliseconds(40));
            n = recv(reader, buf, sizeof(buf), MSG_DONTWAIT);
            text.append(buf, n > 0 ? static_cast<std::size_t>(n) : 0);
            n = n < 0 && errno == EAGAIN ? 1 : n;
        }
        return text;
    }

    EventLoop loop;
    TcpTimeouts timeouts;
    std::shared_ptr<TcpConnection> writer;
    bool isClosed = false;
    int reader = -1;
};

/// What the system tells of a connection with outstanding data.
SendState outstanding(bool awaitsAcknowledgement, absl::Duration sinceLastAcknowledgement, std::uint64_t acknowledgedBytes = 0)
{
    return SendState{true, awaitsAcknowledgement, sinceLastAcknowledgement, acknowledgedBytes};
}

}

BOOST_FIXTURE_TEST_SUITE(SlowReaders, SlowReader)

/// Callers that read steadily, but slower than their answer came, were reset when their window had been closed for the user timeout.
BOOST_AUTO_TEST_CASE(aSlowCallerGetsAll)
{
    acceptReader();
    writer->write(message);
    BOOST_TEST(readSlowly().size() == message.size());
    BOOST_TEST(!isClosed);
}

/// The same for a request to an engine that reads it slowly.
BOOST_AUTO_TEST_CASE(aSlowServerGetsAll)
{
    connectToReader();
    writer->write(message);
    BOOST_TEST(readSlowly().size() == message.size());
    BOOST_TEST(!isClosed);
}

/// The same for a reader that does not read at all for a while.
BOOST_AUTO_TEST_CASE(aReaderThatPausesGetsAll)
{
    acceptReader();
    writer->write(message);
    runFor(timeouts.userTimeout * 4);
    BOOST_TEST(!isClosed);
    BOOST_TEST(readSlowly().size() == message.size());
}

/// The same for what the system still holds when the connection is closed in order.
BOOST_AUTO_TEST_CASE(whatWasWrittenBeforeTheCloseArrives)
{
    acceptReader();
    writer->write(message);
    writer->close();
    BOOST_TEST(readSlowly().size() == message.size());
    runFor(absl::Milliseconds(40));
    char byte = 0;
    BOOST_TEST(recv(reader, &byte, 1, MSG_DONTWAIT) == 0); // Closed in order.
}

/// Guards against a dead path that is not noticed because the system's own timeout does not apply.
BOOST_AUTO_TEST_CASE(unansweredDataMeansADeadPath)
{
    SendPathMonitor monitor(absl::Seconds(3));
    const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
    BOOST_TEST(!monitor.update(outstanding(true, absl::Milliseconds(500)), start));
    BOOST_TEST(!monitor.update(outstanding(true, absl::Milliseconds(2500)), start + absl::Seconds(2)));
    BOOST_TEST(monitor.update(outstanding(true, absl::Seconds(3)), start + absl::Milliseconds(2500)));
}

/// Guards against a reader with a closed window that counts as dead while one of the rare probes is on its way.
BOOST_AUTO_TEST_CASE(aProbeOnItsWayIsNoDeadPath)
{
    SendPathMonitor monitor(absl::Seconds(3));
    const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
    for (int probe = 0; probe < 10; ++probe) {
        const absl::Time at = start + absl::Seconds(30) * probe;
        BOOST_TEST(!monitor.update(outstanding(true, absl::Seconds(30)), at)); // Just sent.
        BOOST_TEST(!monitor.update(outstanding(false, absl::Milliseconds(490)), at + absl::Milliseconds(500)));
        BOOST_TEST(!monitor.update(outstanding(false, absl::Seconds(20)), at + absl::Seconds(20)));
    }
    const absl::Time last = start + absl::Minutes(10);
    BOOST_TEST(!monitor.update(outstanding(true, absl::Seconds(30)), last));
    BOOST_TEST(monitor.update(outstanding(true, absl::Seconds(31)), last + absl::Seconds(1)));
}

/// Guards against a slow path whose data is always partly unacknowledged.
BOOST_AUTO_TEST_CASE(dataThatIsAcknowledgedInPartsIsProgress)
{
    SendPathMonitor monitor(absl::Seconds(3));
    const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
    for (int i = 1; i <= 100; ++i) {
        const absl::Time now = start + absl::Milliseconds(500) * i;
        BOOST_TEST(!monitor.update(outstanding(true, absl::Milliseconds(100), static_cast<std::uint64_t>(i)), now));
        BOOST_TEST((monitor.lastProgress() == now));
    }
}

BOOST_AUTO_TEST_SUITE_END()
