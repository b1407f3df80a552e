#include "transport/sendpath.h"

#include <algorithm>
#include <cstddef>
#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace Apricot {

namespace {

/// A probe may have been sent just before an update, so that its acknowledgement is on the way.
constexpr absl::Duration minProbeWait = absl::Seconds(1);

std::size_t readOutstandingBytes(int descriptor)
{
    int bytes = 0;
    return ioctl(descriptor, SIOCOUTQ, &bytes) == 0 && bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
}

}

std::optional<SendState> readSendState(int descriptor)
{
    tcp_info info{};
    socklen_t length = sizeof(info);
    constexpr std::size_t neededLength = offsetof(tcp_info, tcpi_notsent_bytes) + sizeof(info.tcpi_notsent_bytes);
    if (getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &length) != 0 || length < neededLength) {
        return std::nullopt;
    }
    SendState state;
    state.hasOutstandingData = info.tcpi_unacked > 0 || info.tcpi_notsent_bytes > 0;
    state.awaitsAcknowledgement = info.tcpi_unacked > 0 || info.tcpi_probes > 0;
    state.sinceLastAcknowledgement = absl::Milliseconds(info.tcpi_last_ack_recv);
    state.acknowledgedBytes = info.tcpi_bytes_acked;
    state.outstandingBytes = state.hasOutstandingData ? readOutstandingBytes(descriptor) : 0;
    return state;
}

bool SendPathMonitor::update(const SendState &state, absl::Time now)
{
    if (state.acknowledgedBytes != m_acknowledgedBytes) {
        m_acknowledgedBytes = state.acknowledgedBytes;
        m_lastProgress = now;
    }
    const bool isAnswered = now - state.sinceLastAcknowledgement > m_waitingSince;
    if (!state.awaitsAcknowledgement || isAnswered) {
        m_waitingSince = state.awaitsAcknowledgement ? now : absl::InfiniteFuture();
        return false;
    }
    m_waitingSince = std::min(m_waitingSince, now);
    return now - m_waitingSince >= minProbeWait && state.sinceLastAcknowledgement >= m_timeout;
}

}
