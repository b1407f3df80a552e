#include "protocol/peermessage.h"

#include "protocol/statearchive.h"

#include <exception>

namespace Apricot {

namespace {

/// First byte of every message; raised when the encoding changes.
constexpr std::uint8_t encodingVersion = 1;

template<class Message>
std::string encode(const Message &message)
{
    BoundedOutputArchive archive;
    archive(encodingVersion, message);
    return archive.bytes();
}

template<class Message>
Result<Message> decode(std::string_view bytes)
{
    try {
        BoundedInputArchive archive(bytes);
        std::uint8_t version = 0;
        archive(version);
        if (version != encodingVersion) {
            return fail(ErrorKind::BadRequest, "peer message: another encoding version; run the same release on all nodes");
        }
        Message message;
        archive(message);
        if (!archive.isAtEnd()) {
            return fail(ErrorKind::BadRequest, "peer message: bytes after the end");
        }
        return message;
    } catch (const std::exception &ec) {
        return fail(ErrorKind::BadRequest, std::string("peer message: ") + ec.what());
    }
}

}

std::string encodePeerMessage(const PeerMessage &message)
{
    return encode(message);
}

Result<PeerMessage> decodePeerMessage(std::string_view bytes)
{
    return decode<PeerMessage>(bytes);
}

std::string encodePeerQuery(const PeerQuery &query)
{
    return encode(query);
}

Result<PeerQuery> decodePeerQuery(std::string_view bytes)
{
    return decode<PeerQuery>(bytes);
}

std::string encodePeerReply(const PeerReply &reply)
{
    return encode(reply);
}

Result<PeerReply> decodePeerReply(std::string_view bytes)
{
    return decode<PeerReply>(bytes);
}

}
