#include "transport/socketaddress.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <arpa/inet.h>

namespace Apricot {

std::optional<sockaddr_in> parseSocketAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    int port = 0;
    sockaddr_in address{};
    address.sin_family = AF_INET;
    const std::string ip = text.substr(0, colon);
    const std::string portText = text.substr(colon + 1);
    // SimpleAtoi() also accepts signs and whitespace.
    const bool hasDigitsOnly = std::all_of(portText.begin(), portText.end(), absl::ascii_isdigit);
    if (!hasDigitsOnly || !absl::SimpleAtoi(portText, &port) || port > UINT16_MAX
        || inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1) {
        return std::nullopt;
    }
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

std::string socketAddressText(const sockaddr_in &address)
{
    char buf[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &address.sin_addr, buf, sizeof(buf));
    return absl::StrCat(buf, ":", ntohs(address.sin_port));
}

}
