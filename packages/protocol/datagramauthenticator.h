#pragma once

#include "state/error.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Apricot {

/**
 * \class DatagramAuthenticator
 * \brief Prepends a keyed authentication tag to a message and verifies it on receipt. The message is not encrypted.
 *
 * The first key signs, and any key verifies. To rotate keys, add the new key as the second one on all nodes, then make it the
 * first one on all nodes, then remove the old key.
 */
class DatagramAuthenticator
{
public:
    /// Size of a key in bytes. The settings contain each byte as two hex digits.
    static constexpr std::size_t keyBytes = 32;

    /// Creates an instance from hex keys, the signing key first. Fails if a key is malformed or there is none.
    static Result<DatagramAuthenticator> fromHexKeys(const std::vector<std::string> &keys);

    /// Returns the authentication tag, made with the first key, followed by \a message.
    std::string sign(std::string_view message) const;

    /// Returns the message without its authentication tag if the tag matches one of the keys, an error otherwise.
    Result<std::string> verify(std::string_view signedMessage) const;

private:
    using Key = std::array<unsigned char, keyBytes>;

    std::vector<Key> m_keys;
};

}
