#pragma once

#include <cereal/cereal.hpp>

#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>

namespace Apricot {

/**
 * \class BoundedOutputArchive
 * \brief A cereal archive that writes little-endian bytes into a string.
 */
class BoundedOutputArchive : public cereal::OutputArchive<BoundedOutputArchive, cereal::AllowEmptyClassElision>
{
public:
    BoundedOutputArchive()
        : cereal::OutputArchive<BoundedOutputArchive, cereal::AllowEmptyClassElision>(this)
    {
    }

    void writeBytes(const void *data, std::size_t count)
    {
        m_bytes.append(static_cast<const char *>(data), count);
    }

    const std::string &bytes() const
    {
        return m_bytes;
    }

private:
    std::string m_bytes;
};

/**
 * \class BoundedInputArchive
 * \brief A cereal input archive for untrusted bytes.
 *
 * A length prefix that exceeds the remaining bytes is rejected before memory is allocated for it. All errors are thrown as
 * cereal::Exception.
 */
class BoundedInputArchive : public cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision>
{
public:
    explicit BoundedInputArchive(std::string_view bytes)
        : cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision>(this)
        , m_remaining(bytes)
    {
    }

    void readBytes(void *data, std::size_t count)
    {
        if (count > m_remaining.size()) {
            throw cereal::Exception("the message is truncated");
        }
        if (count == 0) {
            return; // The destination of an empty string may be null.
        }
        std::memcpy(data, m_remaining.data(), count);
        m_remaining.remove_prefix(count);
    }

    /// Throws if \a count elements cannot fit into the remaining bytes; each element takes at least one byte.
    void checkCount(std::uint64_t count) const
    {
        if (count > m_remaining.size()) {
            throw cereal::Exception("a length in the message exceeds the rest of the message");
        }
    }

    /// Whether all bytes have been read.
    bool isAtEnd() const
    {
        return m_remaining.empty();
    }

private:
    std::string_view m_remaining;
};

/// Whether \a T is encoded as a varint: all integers larger than one byte. Nodes exchange many messages, and most of the
/// integers in them are small.
template<class T>
inline constexpr bool isVarint = std::is_integral_v<T> && sizeof(T) > 1;

/// A varint byte has seven payload bits; its highest bit is set if another byte follows.
inline constexpr int varintPayloadBits = 7;
inline constexpr std::uint8_t varintContinuationBit = 0x80;
inline constexpr int maxVarintBytes = 10;

template<class T>
std::enable_if_t<std::is_arithmetic_v<T>> CEREAL_SAVE_FUNCTION_NAME(BoundedOutputArchive &archive, const T &value)
{
    static_assert(__BYTE_ORDER__ == __ORDER_LITTLE_ENDIAN__, "big-endian machines need byte swapping here");
    if constexpr (isVarint<T>) {
        // Zigzag encoding: the sign is moved to the lowest bit, so that small negative numbers stay short.
        auto rest = static_cast<std::uint64_t>(value);
        if constexpr (std::is_signed_v<T>) {
            rest = (rest << 1) ^ (value < 0 ? ~std::uint64_t{0} : 0);
        }
        for (; rest >= varintContinuationBit; rest >>= varintPayloadBits) {
            const auto byte = static_cast<std::uint8_t>(rest | varintContinuationBit);
            archive.writeBytes(&byte, 1);
        }
        const auto last = static_cast<std::uint8_t>(rest);
        archive.writeBytes(&last, 1);
    } else {
        archive.writeBytes(&value, sizeof(value));
    }
}

/// Reads a varint; throws if it is longer than any 64-bit number.
inline std::uint64_t readVarint(BoundedInputArchive &archive)
{
    std::uint64_t value = 0;
    for (int i = 0; i < maxVarintBytes; ++i) {
        std::uint8_t byte = 0;
        archive.readBytes(&byte, 1);
        value |= static_cast<std::uint64_t>(byte & ~varintContinuationBit) << (i * varintPayloadBits);
        if ((byte & varintContinuationBit) == 0) {
            return value;
        }
    }
    throw cereal::Exception("a varint in the message is too long");
}

template<class T>
std::enable_if_t<std::is_arithmetic_v<T>> CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, T &value)
{
    if constexpr (std::is_same_v<T, bool>) {
        std::uint8_t byte = 0;
        archive.readBytes(&byte, 1);
        value = byte != 0;
    } else if constexpr (isVarint<T>) {
        const std::uint64_t encoded = readVarint(archive);
        const std::uint64_t decoded = std::is_signed_v<T> ? (encoded >> 1) ^ (~(encoded & 1) + 1) : encoded;
        value = static_cast<T>(decoded);
        if (static_cast<std::uint64_t>(value) != decoded) {
            throw cereal::Exception("a varint in the message is out of range for its field");
        }
    } else {
        archive.readBytes(&value, sizeof(value));
    }
}

template<class T>
void CEREAL_SAVE_FUNCTION_NAME(BoundedOutputArchive &archive, const cereal::BinaryData<T> &data)
{
    archive.writeBytes(data.data, static_cast<std::size_t>(data.size));
}

template<class T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, cereal::BinaryData<T> &data)
{
    archive.readBytes(data.data, static_cast<std::size_t>(data.size));
}

template<class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(BoundedOutputArchive &archive, cereal::NameValuePair<T> &pair)
{
    archive(pair.value);
}

template<class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(BoundedInputArchive &archive, cereal::NameValuePair<T> &pair)
{
    archive(pair.value);
}

template<class T>
void CEREAL_SAVE_FUNCTION_NAME(BoundedOutputArchive &archive, const cereal::SizeTag<T> &tag)
{
    archive(static_cast<std::uint32_t>(tag.size));
}

template<class T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, cereal::SizeTag<T> &tag)
{
    std::uint32_t count = 0;
    archive(count);
    archive.checkCount(count);
    tag.size = count;
}

}

CEREAL_REGISTER_ARCHIVE(Apricot::BoundedOutputArchive)
CEREAL_REGISTER_ARCHIVE(Apricot::BoundedInputArchive)
CEREAL_SETUP_ARCHIVE_TRAITS(Apricot::BoundedInputArchive, Apricot::BoundedOutputArchive)
