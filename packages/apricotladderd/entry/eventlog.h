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

/// Severity of a log line. It decides what is written, and what is dropped first on overload.
enum class LogLevel { Info, Warning, Error };

/// Value of a field of a log line.
using LogValue = std::variant<std::string, std::int64_t, double, bool>;

/// A field of a log line.
struct LogField
{
    const char *name;
    LogValue value;
};

/**
 * \class EventLog
 * \brief Structured log on standard output, one JSON object per line, written by its own thread.
 *
 * add() never waits for output. When the queue is full, Info lines are dropped and counted first; lines that say why a
 * request failed are Warning or Error and have reserved space in the queue.
 */
class EventLog
{
public:
    EventLog(NodeId node, LogLevel minLevel);
    ~EventLog();

    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    /// Queues a line for \a event; \a request is left out if it is empty.
    void add(LogLevel level, const char *event, const RequestId &request, std::initializer_list<LogField> fields);

    /// Number of lines dropped since the start.
    std::uint64_t dropped() const;

    /// Writes all queued lines.
    void flush();

private:
    struct Line
    {
        absl::Time time; ///< wall clock time: it may jump, and differs between VMs
        absl::Time steady;
        LogLevel level;
        const char *event;
        std::string request;
        std::vector<LogField> fields;
    };

    std::string format(const Line &line) const;
    static void write(const std::string &text);

    NodeId m_node;
    LogLevel m_minLevel;
    absl::Time m_start; ///< start of the process on the steady clock
    mutable Mutex m_mutex;
    std::vector<Line> m_queue ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_dropped ABSL_GUARDED_BY(m_mutex) = 0;
    std::unique_ptr<PeriodicTask> m_writer; ///< declared last: its thread uses the other members
};

/// Parses "info", "warning" or "error"; any other text is Info.
LogLevel logLevelFromName(const std::string &name);

}
