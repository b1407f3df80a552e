#pragma once

#include "protocol/statearchive.h"
#include "state/error.h"

#include <cstdint>
#include <exception>
#include <string>
#include <string_view>

namespace Apricot {

/// First byte of every message between nodes. Increment it whenever the encoding changes.
inline constexpr std::uint8_t messageEncodingVersion = 8;

/// Encodes a message between nodes, preceded by the encoding version.
template<class Message>
std::string encodeMessage(const Message &message)
{
    BoundedOutputArchive archive;
    archive(messageEncodingVersion, message);
    return archive.bytes();
}

/// Decodes a message between nodes. \a what is the name of the message in error messages.
template<class Message>
Result<Message> decodeMessage(std::string_view bytes, const std::string &what)
{
    try {
        BoundedInputArchive archive(bytes);
        std::uint8_t version = 0;
        archive(version);
        if (version != messageEncodingVersion) {
            return fail(ErrorKind::BadRequest, what + ": unsupported encoding version; run the same release on all nodes");
        }
        Message message;
        archive(message);
        if (!archive.isAtEnd()) {
            return fail(ErrorKind::BadRequest, what + ": extra bytes after the end of the message");
        }
        return message;
    } catch (const std::exception &ec) {
        return fail(ErrorKind::BadRequest, what + ": " + ec.what());
    }
}

}
