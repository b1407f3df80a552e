#pragma once

#include "protocol/jsonreader.h"

#include <istream>
#include <optional>
#include <string>
#include <vector>

namespace Apricot {

/// One structured line of a node's log.
struct LogLine
{
    std::string time; ///< UTC, sorts as text
    std::string node;
    std::string event;
    std::string request; ///< empty: it is about what the node believes
    Json fields; ///< all of the line
};

/// Reads a line; what stands before its JSON object is left out. Nothing if it holds none of ours.
std::optional<LogLine> readLogLine(const std::string &text);

/// Reads all lines of ours from a log.
std::vector<LogLine> readLogLines(std::istream &log);

/// The lines about \a request in order of time, and before each of them the last change that its node made to what it
/// believes of the engine, the desired state or the store that the line rests on.
std::vector<LogLine> storyOf(const std::string &request, std::vector<LogLine> lines);

/// A line for a person to read.
std::string lineText(const LogLine &line);

/// The cause of the outcome in one sentence, from the last line of \a story.
std::string causeOf(const std::vector<LogLine> &story);

/// The story for programs.
std::string storyJson(const std::vector<LogLine> &story);

}
