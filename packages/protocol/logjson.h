#pragma once

#include "protocol/jsonreader.h"

#include <istream>
#include <optional>
#include <string>
#include <vector>

namespace Apricot {

/// One structured line from the log of a node.
struct LogLine
{
    std::string time; ///< UTC, in a format that sorts as text
    std::string node;
    std::string event;
    std::string request; ///< empty if the line describes the node's view of an engine, the desired state or the store
    Json fields; ///< all fields of the line, including those above
};

/// Parses a line, ignoring any prefix before its JSON object. Returns std::nullopt if it is not a structured log line.
std::optional<LogLine> readLogLine(const std::string &text);

/// Reads all structured lines from a log and skips all others.
std::vector<LogLine> readLogLines(std::istream &log);

/// Returns the lines of \a request in order of time. Each of them is preceded by the latest changes in its node's view of
/// the engine, the desired state and the store that the line depends on.
std::vector<LogLine> requestHistory(const std::string &request, std::vector<LogLine> lines);

/// Returns a line as human-readable text.
std::string lineText(const LogLine &line);

/// Returns the cause of the request's outcome as one sentence, derived from the last line of \a history.
std::string outcomeCause(const std::vector<LogLine> &history);

/// Returns the lines and the cause of the outcome as JSON.
std::string requestHistoryJson(const std::vector<LogLine> &history);

}
