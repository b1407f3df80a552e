#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <optional>
#include <string>

namespace Apricot {

/// Largest frame between processes, bytes. A longer length in a header is refused before anything is allocated.
inline constexpr std::size_t mostFrameBytes = 8 * 1024 * 1024;

/// Reads one length-prefixed frame; nothing on error, end of stream or after \a limit.
std::optional<std::string> readFrame(int socket, absl::Duration limit);

/// Writes one length-prefixed frame; returns whether all of it was handed over within \a limit.
bool writeFrame(int socket, const std::string &bytes, absl::Duration limit);

/// Connects to \a address ("IP:port"), sends one frame and waits for one frame in reply, all within \a limit.
std::optional<std::string> exchangeFrame(const std::string &address, const std::string &bytes, absl::Duration limit);

}
