#pragma once

#include "state/error.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Apricot {

/**
 * \class DatagramSeal
 * \brief Puts a keyed authenticator before a message and checks it on receipt.
 *
 * Several keys are valid at once, so that a key can be replaced: add the new one everywhere as second, then make it the
 * first one everywhere, then remove the old one.
 */
class DatagramSeal
{
public:
    /// Bytes of a key; settings hold them as twice as many hex digits.
    static constexpr std::size_t keyBytes = 32;

    /// Makes a seal of hex keys, the signing one first.
    static Result<DatagramSeal> fromHexKeys(const std::vector<std::string> &keys);

    std::string seal(std::string_view message) const;

    /// Returns the message if one of the keys made its authenticator.
    Result<std::string> open(std::string_view sealed) const;

private:
    using Key = std::array<unsigned char, keyBytes>;

    std::vector<Key> m_keys;
};

}
