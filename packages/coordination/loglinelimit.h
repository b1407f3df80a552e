#pragma once

#include <absl/time/time.h>

namespace Apricot {

/**
 * \class LogLineLimit
 * \brief Limits the log lines about events that callers can cause at any rate, which would displace other lines.
 */
class LogLineLimit
{
public:
    static constexpr int maxLines = 20; ///< in each interval
    static constexpr absl::Duration interval = absl::Seconds(1);

    /// Whether another line may be written at \a now; counts it if so.
    bool tryAdd(absl::Time now)
    {
        if (now - m_start >= interval) {
            m_start = now;
            m_lines = 0;
        }
        if (m_lines == maxLines) {
            return false;
        }
        ++m_lines;
        return true;
    }

private:
    absl::Time m_start = absl::InfinitePast();
    int m_lines = 0;
};

}
