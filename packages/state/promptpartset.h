#pragma once

#include "state/name.h"

#include <algorithm>
#include <compare>
#include <string>
#include <utility>
#include <vector>

namespace Apricot {

/**
 * \class PromptPartSet
 * \brief Parts that occur together in prompts, in any order.
 */
class PromptPartSet
{
public:
    PromptPartSet() = default;

    explicit PromptPartSet(std::vector<PromptPartId> parts)
        : m_parts(std::move(parts))
    {
        std::sort(m_parts.begin(), m_parts.end());
        m_parts.erase(std::unique(m_parts.begin(), m_parts.end()), m_parts.end());
    }

    /// The parts in ascending order.
    const std::vector<PromptPartId> &parts() const
    {
        return m_parts;
    }

    bool isEmpty() const
    {
        return m_parts.empty();
    }

    bool contains(const PromptPartId &part) const
    {
        return std::binary_search(m_parts.begin(), m_parts.end(), part);
    }

    bool contains(const PromptPartSet &other) const
    {
        return std::includes(m_parts.begin(), m_parts.end(), other.m_parts.begin(), other.m_parts.end());
    }

    /// Whether each part is among the parts of \a prompt.
    bool isIn(const std::vector<PromptPartId> &prompt) const
    {
        return std::all_of(m_parts.begin(), m_parts.end(),
                           [&](const PromptPartId &it) { return std::find(prompt.begin(), prompt.end(), it) != prompt.end(); });
    }

    PromptPartSet without(const PromptPartId &part) const
    {
        PromptPartSet result = *this;
        std::erase(result.m_parts, part);
        return result;
    }

    /// Returns the parts for a log line.
    std::string text() const
    {
        std::string result;
        for (const PromptPartId &it : m_parts) {
            result += (result.empty() ? "" : "+") + it.text();
        }
        return result;
    }

    friend bool operator==(const PromptPartSet &, const PromptPartSet &) = default;
    friend auto operator<=>(const PromptPartSet &, const PromptPartSet &) = default;

private:
    std::vector<PromptPartId> m_parts;
};

}
