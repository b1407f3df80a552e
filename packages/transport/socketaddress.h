#pragma once

#include <cstdint>
#include <netinet/in.h>
#include <optional>
#include <string>

namespace Apricot {

/// Parses "IP:port"; std::nullopt if it is malformed. Only IPv4 addresses are supported, no host names, because nodes address
/// each other by IP.
std::optional<sockaddr_in> parseSocketAddress(const std::string &text);

/// Formats an address as "IP:port".
std::string socketAddressText(const sockaddr_in &address);

}
