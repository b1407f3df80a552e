#include "protocol/jsonsplitter.h"

#include <algorithm>
#include <cstddef>

namespace Apricot {

namespace {

constexpr std::string_view whitespace = " \t\r\n";

/// Returns the position after the string that starts at \a start, or the end of \a text if the string does not end.
std::size_t endOfString(std::string_view text, std::size_t start)
{
    std::size_t at = start + 1;
    while (at < text.size() && text[at] != '"') {
        at += text[at] == '\\' ? 2 : 1;
    }
    return std::min(at + 1, text.size());
}

/**
 * \class Cursor
 * \brief Reads the tokens of a JSON array or object one after the other.
 */
class Cursor
{
public:
    explicit Cursor(std::string_view text)
        : m_text(text)
    {
    }

    /// Skips whitespace, and then \a c if it follows; returns whether it did.
    bool skip(char c)
    {
        skipWhitespace();
        const bool isThere = m_at < m_text.size() && m_text[m_at] == c;
        m_at += isThere ? 1 : 0;
        return isThere;
    }

    bool isAtEnd()
    {
        skipWhitespace();
        return m_at == m_text.size();
    }

    /// Reads the text up to the comma or bracket that ends the value; empty if there is no value.
    std::string_view readValue()
    {
        skipWhitespace();
        const std::size_t start = m_at;
        std::size_t depth = 0;
        while (m_at < m_text.size()) {
            const char c = m_text[m_at];
            const bool closes = c == ']' || c == '}';
            if (depth == 0 && (closes || c == ',')) {
                break;
            }
            depth += c == '[' || c == '{' ? 1 : 0;
            depth -= closes ? 1 : 0;
            m_at = c == '"' ? endOfString(m_text, m_at) : m_at + 1;
        }
        const std::string_view value = m_text.substr(start, m_at - start);
        return value.substr(0, value.find_last_not_of(whitespace) + 1);
    }

    /// Reads a member's key without its quotes; std::nullopt if there is none.
    std::optional<std::string_view> readKey()
    {
        skipWhitespace();
        if (m_at == m_text.size() || m_text[m_at] != '"') {
            return std::nullopt;
        }
        const std::size_t start = m_at + 1;
        m_at = endOfString(m_text, m_at);
        return m_text.substr(start, m_at - start - 1);
    }

private:
    void skipWhitespace()
    {
        m_at = std::min(m_text.find_first_not_of(whitespace, m_at), m_text.size());
    }

    std::string_view m_text;
    std::size_t m_at = 0;
};

}

bool isNestedDeeperThan(std::string_view text, int depth)
{
    int level = 0;
    std::size_t at = 0;
    while (at < text.size()) {
        const char c = text[at];
        level += c == '[' || c == '{' ? 1 : 0;
        level -= c == ']' || c == '}' ? 1 : 0;
        if (level > depth) {
            return true;
        }
        at = c == '"' ? endOfString(text, at) : at + 1;
    }
    return false;
}

std::optional<std::vector<JsonMember>> splitJsonObject(std::string_view text)
{
    std::vector<JsonMember> members;
    Cursor cursor(text);
    if (!cursor.skip('{')) {
        return std::nullopt;
    }
    if (cursor.skip('}')) {
        return cursor.isAtEnd() ? std::optional(members) : std::nullopt;
    }
    do {
        const std::optional<std::string_view> key = cursor.readKey();
        if (!key || !cursor.skip(':')) {
            return std::nullopt;
        }
        const std::string_view value = cursor.readValue();
        if (value.empty()) {
            return std::nullopt;
        }
        members.push_back(JsonMember{*key, value});
    } while (cursor.skip(','));
    return cursor.skip('}') && cursor.isAtEnd() ? std::optional(members) : std::nullopt;
}

std::optional<std::vector<std::string_view>> splitJsonArray(std::string_view text)
{
    std::vector<std::string_view> elements;
    Cursor cursor(text);
    if (!cursor.skip('[')) {
        return std::nullopt;
    }
    if (cursor.skip(']')) {
        return cursor.isAtEnd() ? std::optional(elements) : std::nullopt;
    }
    do {
        elements.push_back(cursor.readValue());
        if (elements.back().empty()) {
            return std::nullopt;
        }
    } while (cursor.skip(','));
    return cursor.skip(']') && cursor.isAtEnd() ? std::optional(elements) : std::nullopt;
}

std::string_view findJsonMember(const std::vector<JsonMember> &members, std::string_view key)
{
    const auto it = std::find_if(members.begin(), members.end(), [&](const JsonMember &member) { return member.key == key; });
    return it == members.end() ? std::string_view() : it->value;
}

}
