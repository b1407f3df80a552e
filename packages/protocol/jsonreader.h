#pragma once

#include "state/error.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Apricot {

using Json = nlohmann::json;

/// Deepest nesting of arrays and objects that is parsed. Copies and comparisons of a value recurse, and the stacks of threads
/// are small.
constexpr int maxJsonDepth = 64;

/// Parses JSON from outside. The result is discarded (Json::is_discarded()) if \a text is no JSON or nested too deeply.
Json parseJson(std::string_view text);

/// Parses a JSON object. \a what is the name of the object in error messages.
Result<Json> parseJsonObject(std::string_view text, const std::string &what);

/// Returns member \a key, or \a fallback if it is absent or not a string.
inline std::string jsonText(const Json &json, const char *key, const std::string &fallback = {})
{
    const auto it = json.find(key);
    return it != json.end() && it->is_string() ? it->get<std::string>() : fallback;
}

/// Returns member \a key, or \a fallback if it is absent or not an integer of 64 bits with sign.
std::int64_t jsonInteger(const Json &json, const char *key, std::int64_t fallback = 0);

/// Returns member \a key, or \a fallback if it is absent or not a boolean.
inline bool jsonFlag(const Json &json, const char *key, bool fallback = false)
{
    const auto it = json.find(key);
    return it != json.end() && it->is_boolean() ? it->get<bool>() : fallback;
}

/// Returns the strings in the array \a key. Elements of other types are skipped; the result is empty if there is no array.
inline std::vector<std::string> jsonTexts(const Json &json, const char *key)
{
    std::vector<std::string> found;
    const auto it = json.find(key);
    if (it != json.end() && it->is_array()) {
        for (const Json &element : *it) {
            if (element.is_string()) {
                found.push_back(element.get<std::string>());
            }
        }
    }
    return found;
}

/// Serializes \a json. Bytes that are not valid UTF-8 are replaced, so that serialization does not fail on them.
inline std::string jsonDump(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}
