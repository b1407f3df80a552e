#pragma once

#include <cereal/cereal.hpp>

#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>

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
 * \brief A cereal archive over bytes of unknown origin: a length that the bytes cannot hold is refused before anything
 * is allocated for it.
 */
class BoundedInputArchive : public cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision>
{
public:
    explicit BoundedInputArchive(std::string_view bytes)
        : cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision>(this)
        , m_rest(bytes)
    {
    }

    void readBytes(void *data, std::size_t count)
    {
        if (count > m_rest.size()) {
            throw cereal::Exception("the message ends too early");
        }
        if (count == 0) {
            return; // An empty text has no place to copy to.
        }
        std::memcpy(data, m_rest.data(), count);
        m_rest.remove_prefix(count);
    }

    /// Every element takes at least one byte, so a larger count cannot be honest.
    void checkCount(std::uint64_t count) const
    {
        if (count > m_rest.size()) {
            throw cereal::Exception("a length in the message is larger than the message");
        }
    }

    bool isAtEnd() const
    {
        return m_rest.empty();
    }

private:
    std::string_view m_rest;
};

template<class T>
std::enable_if_t<std::is_arithmetic_v<T>> CEREAL_SAVE_FUNCTION_NAME(BoundedOutputArchive &archive, const T &value)
{
    static_assert(__BYTE_ORDER__ == __ORDER_LITTLE_ENDIAN__, "add byte swapping before building for big-endian machines");
    archive.writeBytes(&value, sizeof(value));
}

template<class T>
std::enable_if_t<std::is_arithmetic_v<T>> CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, T &value)
{
    if constexpr (std::is_same_v<T, bool>) {
        std::uint8_t byte = 0;
        archive.readBytes(&byte, 1);
        value = byte != 0;
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
