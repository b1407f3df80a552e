#pragma once

#include <optional>
#include <string_view>
#include <vector>

namespace Apricot {

/// A member of a JSON object, as text that has not been parsed.
struct JsonMember
{
    std::string_view key; ///< without quotes; escape sequences are kept
    std::string_view value;

    friend bool operator==(const JsonMember &, const JsonMember &) = default;
};

/// Whether arrays and objects in \a text are nested more than \a depth levels deep.
bool isNestedDeeperThan(std::string_view text, int depth);

/// Returns the members of a JSON object, std::nullopt if \a text is none. Values may be arbitrary text with matching brackets and
/// quotes, so that a value that cannot be parsed does not affect the others.
std::optional<std::vector<JsonMember>> splitJsonObject(std::string_view text);

/// Returns the elements of a JSON array in the same way.
std::optional<std::vector<std::string_view>> splitJsonArray(std::string_view text);

/// Returns the value of member \a key; empty if there is none.
std::string_view findJsonMember(const std::vector<JsonMember> &members, std::string_view key);

}
