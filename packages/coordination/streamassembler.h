#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Apricot {

/**
 * \class StreamAssembler
 * \brief Puts the tokens of one answer together in order, though they arrive late, crossed or twice.
 */
class StreamAssembler
{
public:
    /// Takes in the token at \a offset; returns whether it was new and in place. A token beyond the next one is not taken:
    /// the stream has a gap and has to be resumed at next().
    bool accept(std::int64_t offset, std::string token);

    /// Offset of the next token that is wanted.
    std::int64_t next() const
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
