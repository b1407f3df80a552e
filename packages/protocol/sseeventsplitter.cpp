#include "protocol/sseeventsplitter.h"
#include "state/abslview.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <algorithm>

namespace Apricot {

namespace {

constexpr std::string_view blankLine = "\n\n";
constexpr std::string_view crlfBlankLine = "\r\n\r\n";
constexpr absl::string_view idField = "id:";

/// Returns the position after the last complete event in \a text; 0 if there is none. The part before \a searchedTo contains none.
std::size_t endOfCompleteEvents(std::string_view text, std::size_t searchedTo)
{
    const std::size_t start = searchedTo - std::min(searchedTo, crlfBlankLine.size() - 1);
    const std::string_view added = text.substr(start);
    const std::size_t lf = added.rfind(blankLine);
    const std::size_t crlf = added.rfind(crlfBlankLine);
    const std::size_t lfEnd = lf == std::string_view::npos ? 0 : start + lf + blankLine.size();
    const std::size_t crlfEnd = crlf == std::string_view::npos ? 0 : start + crlf + crlfBlankLine.size();
    return std::max(lfEnd, crlfEnd);
}

}

void SseEventSplitter::beginResponse()
{
    m_pending.clear();
    m_isContinuous = true;
    m_awaitsContinuation = !m_lastId.empty();
}

std::string SseEventSplitter::feed(std::string_view bytes)
{
    const std::size_t searchedTo = m_pending.size();
    m_pending.append(bytes);
    const std::size_t end = endOfCompleteEvents(m_pending, searchedTo);
    std::string complete = m_pending.substr(0, end);
    m_pending.erase(0, end);
    if (m_awaitsContinuation) {
        checkContinuation(complete);
    }
    if (!m_isContinuous) {
        return {};
    }
    recordEvents(complete);
    return complete;
}

void SseEventSplitter::checkContinuation(std::string_view events)
{
    bool hasFields = false;
    for (const absl::string_view line : absl::StrSplit(abslView(events), '\n')) {
        const bool isBlank = line.empty() || line == "\r";
        if (absl::StartsWith(line, idField) || (isBlank && hasFields)) {
            m_isContinuous = !isBlank && isNextId(std::string(absl::StripAsciiWhitespace(line.substr(idField.size()))));
            m_awaitsContinuation = false;
            return;
        }
        // A block of comments is no event.
        hasFields = hasFields || (!isBlank && !absl::StartsWith(line, ":"));
    }
}

bool SseEventSplitter::isNextId(const std::string &id) const
{
    std::int64_t last = 0;
    std::int64_t next = 0;
    const bool areNumbers = absl::SimpleAtoi(m_lastId, &last) && absl::SimpleAtoi(id, &next);
    return areNumbers && next == last + 1;
}

void SseEventSplitter::recordEvents(std::string_view events)
{
    bool hasLines = false;
    for (const absl::string_view line : absl::StrSplit(abslView(events), '\n')) {
        const bool isBlank = line.empty() || line == "\r";
        m_count += isBlank && hasLines ? 1 : 0;
        hasLines = !isBlank;
        if (absl::StartsWith(line, idField)) {
            m_lastId = std::string(absl::StripAsciiWhitespace(line.substr(idField.size())));
        }
    }
}

}
