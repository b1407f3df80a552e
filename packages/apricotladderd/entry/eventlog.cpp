#include "apricotladderd/entry/eventlog.h"

#include "protocol/jsonreader.h"
#include "state/overloaded.h"
#include "transport/eventloop.h"

#include <absl/time/clock.h>

#include <glog/logging.h>

#include <cstdio>

namespace Apricot {

namespace {

/// Queue length from which Info lines are dropped, and from which all lines are dropped.
constexpr std::size_t maxQueuedInfoLines = 2000;
constexpr std::size_t maxQueuedLines = 4000;

/// Writes up to this size (PIPE_BUF) to a pipe are atomic; a longer one may be interleaved with the output of another process.
constexpr std::size_t maxBytesPerWrite = 4096;

constexpr absl::Duration writeInterval = absl::Milliseconds(500);

const char *levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "info";
}

}

LogLevel logLevelFromName(const std::string &name)
{
    if (name == "error") {
        return LogLevel::Error;
    }
    return name == "warning" ? LogLevel::Warning : LogLevel::Info;
}

EventLog::EventLog(NodeId node, LogLevel minLevel)
    : m_node(std::move(node))
    , m_minLevel(minLevel)
    , m_start(EventLoop::readSteadyClock())
    , m_writer(std::make_unique<PeriodicTask>("log", writeInterval, [this] { flush(); }))
{
}

EventLog::~EventLog()
{
    m_writer->stop();
    flush();
}

void EventLog::add(LogLevel level, const char *event, const RequestId &request, std::initializer_list<LogField> fields)
{
    if (level < m_minLevel) {
        return;
    }
    Line line{absl::Now(), EventLoop::readSteadyClock(), level, event, request.text(), fields};
    const MutexLock lock(m_mutex);
    if (m_queue.size() >= (level == LogLevel::Info ? maxQueuedInfoLines : maxQueuedLines)) {
        ++m_dropped;
        return;
    }
    m_queue.push_back(std::move(line));
}

std::uint64_t EventLog::dropped() const
{
    const MutexLock lock(m_mutex);
    return m_dropped;
}

std::string EventLog::format(const Line &line) const
{
    nlohmann::ordered_json json;
    json["time"] = absl::FormatTime("%Y-%m-%d%ET%H:%M:%E3SZ", line.time, absl::UTCTimeZone());
    json["upMs"] = absl::ToDoubleMilliseconds(line.steady - m_start);
    json["level"] = levelName(line.level);
    json["node"] = m_node.text();
    json["event"] = line.event;
    if (!line.request.empty()) {
        json["request"] = line.request;
    }
    for (const LogField &field : line.fields) {
        std::visit([&](const auto &value) { json[field.name] = value; }, field.value);
    }
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void EventLog::write(const std::string &text)
{
    LOG(INFO) << text;
    // The logging library does not flush the stream, so buffered text would be delayed, and lost when the process is killed.
    std::fflush(stdout);
}

void EventLog::flush()
{
    std::vector<Line> lines;
    {
        const MutexLock lock(m_mutex);
        lines.swap(m_queue);
    }
    if (lines.empty()) {
        return;
    }
    // Lines are joined into few writes, because every write also flushes.
    std::string text;
    for (const Line &line : lines) {
        const std::string formatted = format(line);
        if (!text.empty() && text.size() + formatted.size() + 1 >= maxBytesPerWrite) {
            write(text);
            text.clear();
        }
        text.append(text.empty() ? "" : "\n").append(formatted);
    }
    write(text);
}

}
