#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Apricot {

/**
 * \class SseEventSplitter
 * \brief Splits a byte stream into complete server-sent events, so that a stream that is cut off ends at an event boundary.
 */
class SseEventSplitter
{
public:
    /// Starts the response of another engine. If there were events with ids, its first event must have the next id.
    void beginResponse();

    /// Appends \a bytes to the buffer; removes and returns the complete events in it, as one text. Empty if there are none, or if
    /// the response does not continue the stream.
    std::string feed(std::string_view bytes);

    /// Whether the events of the current response so far continue the stream.
    bool isContinuous() const
    {
        return m_isContinuous;
    }

    /// Whether the current response has yet to show, with its first event, that it continues the stream.
    bool awaitsContinuation() const
    {
        return m_awaitsContinuation;
    }

    /// Returns the id of the last complete event that had one; empty if none had.
    const std::string &lastId() const
    {
        return m_lastId;
    }

    /// Returns the number of complete events so far.
    std::int64_t count() const
    {
        return m_count;
    }

    /// Whether an event has begun and is not complete.
    bool isInsideEvent() const
    {
        return m_pending.find_first_not_of("\r\n") != std::string::npos;
    }

    /// Returns the number of buffered bytes of an incomplete event.
    std::size_t pendingBytes() const
    {
        return m_pending.size();
    }

    /// Discards the incomplete event after the connection to its engine has ended.
    void dropPending()
    {
        m_pending.clear();
    }

private:
    void checkContinuation(std::string_view events);
    bool isNextId(const std::string &id) const;
    void recordEvents(std::string_view events);

    bool m_isContinuous = true;
    bool m_awaitsContinuation = false;
    std::string m_pending;
    std::string m_lastId;
    std::int64_t m_count = 0;
};

}
