#pragma once

#include "state/mutex.h"
#include "state/name.h"
#include "transport/periodictask.h"

#include <absl/time/time.h>

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace Apricot {

/// How much a line matters: what is written, and what is dropped first when there is too much.
enum class LogLevel { Info, Warning, Error };

/// Value of one field of a line.
using LogValue = std::variant<std::string, std::int64_t, double, bool>;

/// One field of a line.
struct LogField
{
    const char *name;
    LogValue value;
};

/**
 * \class EventLog
 * \brief Structured lines on standard output, one JSON object each, written by a thread of its own.
 *
 * Nobody waits for it. When more lines wait than it holds, lines of Info are dropped and counted; those that say why a
 * request failed are Warning or Error and have room of their own.
 */
class EventLog
{
public:
    EventLog(NodeId node, LogLevel least);
    ~EventLog();

    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    /// Adds a line for \a event, about \a request if that is not empty.
    void add(LogLevel level, const char *event, const RequestId &request, std::initializer_list<LogField> fields);

    /// Lines that were dropped since the start.
    std::uint64_t dropped() const;

    /// Writes what waits.
    void flush();

private:
    struct Line
    {
        absl::Time time; ///< of day: it may jump, and differ between VMs
        absl::Time steady;
        LogLevel level;
        const char *event;
        std::string request;
        std::vector<LogField> fields;
    };

    std::string format(const Line &line) const;
    static void write(const std::string &text);

    NodeId m_node;
    LogLevel m_least;
    absl::Time m_start; ///< on the steady clock
    mutable Mutex m_mutex;
    std::vector<Line> m_waiting ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_dropped ABSL_GUARDED_BY(m_mutex) = 0;
    std::unique_ptr<PeriodicTask> m_writer; ///< last, as it uses the others
};

/// Reads "info", "warning" or "error"; anything else is Info.
LogLevel logLevelFromName(const std::string &name);

}
