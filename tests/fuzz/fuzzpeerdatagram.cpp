#include "protocol/peermessage.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>

using namespace Apricot;

/// Decodes datagrams and frames between nodes. A message that can be decoded must be decodable again after it has been encoded.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    const auto message = toVariant<PeerMessage>([&] { return decodePeerMessage(bytes); });
    if (const auto *it = std::get_if<PeerMessage>(&message)) {
        const auto roundTrip = toVariant<PeerMessage>([&] { return decodePeerMessage(encodePeerMessage(*it)); });
        if (!std::holds_alternative<PeerMessage>(roundTrip)) {
            std::abort();
        }
    }
    toVariant<PeerQuery>([&] { return decodePeerQuery(bytes); });
    toVariant<PeerReply>([&] { return decodePeerReply(bytes); });
    return 0;
}
