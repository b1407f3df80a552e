#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Apricot {

/**
 * \class StreamAssembler
 * \brief Assembles the tokens of one output in order, even if they arrive late, out of order or more than once.
 */
class StreamAssembler
{
public:
    /// Appends the token if \a offset is the next one; returns whether it was appended. If \a offset is larger, the stream has a
    /// gap and must be resumed at nextOffset().
    bool tryAppend(std::int64_t offset, std::string token);

    /// Returns the offset of the next expected token.
    std::int64_t nextOffset() const
    {
        return static_cast<std::int64_t>(m_tokens.size());
    }

    const std::vector<std::string> &tokens() const
    {
        return m_tokens;
    }

private:
    std::vector<std::string> m_tokens;
};

}
