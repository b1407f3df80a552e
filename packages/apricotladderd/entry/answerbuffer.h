#pragma once

#include <atomic>
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace Apricot {

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
        : m_totalBytes(totalBytes)
    {
    }

    ~AnswerBuffer()
    {
        clear();
    }

    AnswerBuffer(const AnswerBuffer &) = delete;
    AnswerBuffer &operator=(const AnswerBuffer &) = delete;

    /// Appends \a part; returns false, and discards everything, if the answer is too long.
    [[nodiscard]] bool append(std::string_view part)
    {
        const std::size_t total = m_totalBytes.fetch_add(part.size(), std::memory_order_relaxed) + part.size();
        m_text.append(part);
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
        m_totalBytes.fetch_sub(m_text.size(), std::memory_order_relaxed);
        return std::exchange(m_text, std::string());
    }

private:
    std::atomic<std::size_t> &m_totalBytes;
    std::string m_text;
};

}
