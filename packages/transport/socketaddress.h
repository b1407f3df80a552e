#pragma once

#include <cstdint>
#include <netinet/in.h>
#include <optional>
#include <string>

namespace Apricot {

/// Parses "IP:port" (IPv4 numbers only, as nodes talk by IP number); nothing if it is malformed.
std::optional<sockaddr_in> parseSocketAddress(const std::string &text);

/// The address as "IP:port".
std::string socketAddressText(const sockaddr_in &address);

}
