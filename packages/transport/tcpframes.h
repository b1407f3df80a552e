#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <optional>
#include <string>

namespace Apricot {

/// Maximum size of a frame, in bytes. A greater length in a header is rejected before memory is allocated.
inline constexpr std::size_t maxFrameBytes = 8 * 1024 * 1024;

/// Reads one length-prefixed frame. Returns std::nullopt on an error, at the end of the stream or after \a timeout.
std::optional<std::string> readFrame(int socket, absl::Duration timeout);

/// Writes one length-prefixed frame. Returns whether all of it was handed to the system within \a timeout.
bool writeFrame(int socket, const std::string &bytes, absl::Duration timeout);

/// Connects to \a address ("IP:port"), sends one frame and returns the frame that is received in reply. Returns std::nullopt on
/// an error or if this takes longer than \a timeout.
std::optional<std::string> exchangeFrame(const std::string &address, const std::string &bytes, absl::Duration timeout);

}
