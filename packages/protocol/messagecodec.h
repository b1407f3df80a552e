#pragma once

#include "protocol/statearchive.h"
#include "state/error.h"

#include <cstdint>
#include <exception>
#include <string>
#include <string_view>

namespace Apricot {

/// First byte of every message between nodes; raised when the encoding changes.
inline constexpr std::uint8_t messageEncodingVersion = 3;

/// Writes a message between nodes.
template<class Message>
std::string encodeMessage(const Message &message)
{
    BoundedOutputArchive archive;
    archive(messageEncodingVersion, message);
    return archive.bytes();
}

/// Reads a message between nodes; \a what names it in the error.
template<class Message>
Result<Message> decodeMessage(std::string_view bytes, const std::string &what)
{
    try {
        BoundedInputArchive archive(bytes);
        std::uint8_t version = 0;
        archive(version);
        if (version != messageEncodingVersion) {
            return fail(ErrorKind::BadRequest, what + ": another encoding version; run the same release on all nodes");
        }
        Message message;
        archive(message);
        if (!archive.isAtEnd()) {
            return fail(ErrorKind::BadRequest, what + ": bytes after the end");
        }
        return message;
    } catch (const std::exception &ec) {
        return fail(ErrorKind::BadRequest, what + ": " + ec.what());
    }
}

}
