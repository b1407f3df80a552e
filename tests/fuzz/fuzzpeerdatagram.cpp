#include "protocol/peermessage.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>

using namespace Apricot;

/// Datagrams and frames between nodes: whatever decodes must encode to something that decodes again.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    const auto message = toVariant<PeerMessage>([&] { return decodePeerMessage(bytes); });
    if (const auto *it = std::get_if<PeerMessage>(&message)) {
        const auto again = toVariant<PeerMessage>([&] { return decodePeerMessage(encodePeerMessage(*it)); });
        if (!std::holds_alternative<PeerMessage>(again)) {
            std::abort();
        }
    }
    toVariant<PeerQuery>([&] { return decodePeerQuery(bytes); });
    toVariant<PeerReply>([&] { return decodePeerReply(bytes); });
    return 0;
}
