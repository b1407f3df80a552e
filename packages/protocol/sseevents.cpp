#include "protocol/sseevents.h"
#include "state/abslview.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_split.h>

#include <algorithm>

namespace Apricot {

namespace {

constexpr std::string_view blankLine = "\n\n";
constexpr std::string_view crlfBlankLine = "\r\n\r\n";

/// Returns the position after the last complete event in \a text; 0 if there is none.
std::size_t endOfCompleteEvents(std::string_view text)
{
    const std::size_t plain = text.rfind(blankLine);
    const std::size_t withReturns = text.rfind(crlfBlankLine);
    const std::size_t plainEnd = plain == std::string_view::npos ? 0 : plain + blankLine.size();
    const std::size_t withReturnsEnd = withReturns == std::string_view::npos ? 0 : withReturns + crlfBlankLine.size();
    return std::max(plainEnd, withReturnsEnd);
}

}

std::string SseEvents::feed(std::string_view bytes)
{
    m_pending.append(bytes);
    const std::size_t end = endOfCompleteEvents(m_pending);
    std::string whole = m_pending.substr(0, end);
    m_pending.erase(0, end);
    noteEvents(whole);
    return whole;
}

void SseEvents::noteEvents(std::string_view events)
{
    bool hasLines = false;
    for (const absl::string_view line : absl::StrSplit(abslView(events), '\n')) {
        const bool isBlank = line.empty() || line == "\r";
        m_count += isBlank && hasLines ? 1 : 0;
        hasLines = !isBlank;
        if (absl::StartsWith(line, "id:")) {
            m_lastId = std::string(absl::StripAsciiWhitespace(line.substr(3)));
        }
    }
}

}
