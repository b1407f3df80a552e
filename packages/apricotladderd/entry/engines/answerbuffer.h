#pragma once

#include <atomic>
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace Apricot {

/**
 * \class AnswerBytes
 * \brief A part of the bytes of answers that a node holds. It leaves the total when it is destroyed.
 */
class AnswerBytes
{
public:
    /// \a totalBytes counts the bytes of all answers of the node and must outlive this.
    explicit AnswerBytes(std::atomic<std::size_t> &totalBytes)
        : m_totalBytes(totalBytes)
    {
    }

    ~AnswerBytes()
    {
        set(0);
    }

    AnswerBytes(const AnswerBytes &) = delete;
    AnswerBytes &operator=(const AnswerBytes &) = delete;

    /// Replaces the number of bytes; returns the total of the node.
    std::size_t set(std::size_t bytes)
    {
        const std::size_t change = bytes - std::exchange(m_bytes, bytes); // Wraps around if the number decreases, as does the sum.
        return m_totalBytes.fetch_add(change, std::memory_order_relaxed) + change;
    }

private:
    std::atomic<std::size_t> &m_totalBytes;
    std::size_t m_bytes = 0;
};

/**
 * \class AnswerBuffer
 * \brief The body of an answer that is read completely before it is relayed, with a bounded length.
 *
 * An engine in trouble may send without end. All buffers of a node count their bytes together: if many answers are long at the same
 * time, the allowed length is smaller, so that the node stays within its memory.
 */
class AnswerBuffer
{
public:
    /// Longest answer, bytes.
    static constexpr std::size_t maxBytes = 4U << 20;

    /// Longest answer while the answers of all calls exceed maxTotalBytes, bytes.
    static constexpr std::size_t maxBytesUnderPressure = 128U << 10;
    static constexpr std::size_t maxTotalBytes = 16U << 20;

    /// Constructs an empty buffer. \a totalBytes counts the bytes of all buffers of the node and must outlive this one.
    explicit AnswerBuffer(std::atomic<std::size_t> &totalBytes)
        : m_bytes(totalBytes)
    {
    }

    /// Appends \a part; returns false, and discards everything, if the answer is too long.
    [[nodiscard]] bool append(std::string_view part)
    {
        m_text.append(part);
        const std::size_t total = m_bytes.set(m_text.size());
        const std::size_t limit = total > maxTotalBytes ? maxBytesUnderPressure : maxBytes;
        if (m_text.size() > limit) {
            clear();
            return false;
        }
        return true;
    }

    void clear()
    {
        (void)take();
    }

    /// Returns the text and leaves the buffer empty.
    std::string take()
    {
        m_bytes.set(0);
        return std::exchange(m_text, std::string());
    }

private:
    AnswerBytes m_bytes;
    std::string m_text;
};

}
