#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace Apricot {

/// What the system knows of the data that it has to send on a TCP connection.
struct SendState
{
    bool hasOutstandingData = false; ///< it was not sent yet, or not acknowledged
    bool awaitsAcknowledgement = false; ///< a segment, or a probe of a closed window, has not been acknowledged
    absl::Duration sinceLastAcknowledgement;
    std::uint64_t acknowledgedBytes = 0; ///< since the connection was opened
    std::size_t outstandingBytes = 0; ///< that the system holds until they are acknowledged; 0 if it does not tell

    friend bool operator==(const SendState &, const SendState &) = default;
};

/// Reads the state of a connected socket; std::nullopt if the system does not tell it.
std::optional<SendState> readSendState(int descriptor);

/**
 * \class SendPathMonitor
 * \brief Tells a dead path from a peer that reads slowly, or has stopped reading.
 *
 * While the window of a peer is closed, the system counts the time of its probes against TCP_USER_TIMEOUT although the peer answers them.
 * The path is dead only if nothing is acknowledged.
 */
class SendPathMonitor
{
public:
    /// \a timeout is the maximum time that data or a probe may stay unacknowledged.
    explicit SendPathMonitor(absl::Duration timeout)
        : m_timeout(timeout)
    {
    }

    /// Records the state of the connection at \a now; returns whether its path is dead.
    bool update(const SendState &state, absl::Time now);

    /// When the peer last acknowledged data, as of the last update.
    absl::Time lastProgress() const
    {
        return m_lastProgress;
    }

private:
    absl::Duration m_timeout;
    absl::Time m_waitingSince = absl::InfiniteFuture(); ///< since which update an acknowledgement has been awaited
    std::uint64_t m_acknowledgedBytes = 0;
    absl::Time m_lastProgress = absl::InfinitePast();
};

}
