#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Apricot {

/**
 * \class SseEvents
 * \brief Cuts a byte stream into whole server-sent events, so that a stream which breaks off ends between two of them.
 */
class SseEvents
{
public:
    /// Takes bytes in and returns the whole events among all that has come, as one text; empty if there is none.
    std::string feed(std::string_view bytes);

    /// Id of the last whole event that had one; empty if none had.
    const std::string &lastId() const
    {
        return m_lastId;
    }

    /// Whole events so far.
    std::int64_t count() const
    {
        return m_count;
    }

    /// Bytes of an event that is not whole.
    std::size_t pendingBytes() const
    {
        return m_pending.size();
    }

    /// Drops the event that is not whole: its engine is gone.
    void dropPending()
    {
        m_pending.clear();
    }

private:
    void noteEvents(std::string_view events);

    std::string m_pending;
    std::string m_lastId;
    std::int64_t m_count = 0;
};

}
