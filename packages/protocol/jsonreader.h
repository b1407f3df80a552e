#pragma once

#include "state/error.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace Apricot {

using Json = nlohmann::json;

/// Parses a JSON object; \a what names it in the error.
inline Result<Json> parseJsonObject(const std::string &text, const std::string &what)
{
    Json json = Json::parse(text, nullptr, false);
    if (json.is_discarded() || !json.is_object()) {
        return fail(ErrorKind::BadRequest, what + ": not a JSON object; check quotes, commas and braces");
    }
    return json;
}

/// Text of member \a key, or \a fallback if it is absent or no text.
inline std::string jsonText(const Json &json, const char *key, const std::string &fallback = {})
{
    const auto it = json.find(key);
    return it != json.end() && it->is_string() ? it->get<std::string>() : fallback;
}

/// Whole number of member \a key, or \a fallback if it is absent or no number.
inline std::int64_t jsonInteger(const Json &json, const char *key, std::int64_t fallback = 0)
{
    const auto it = json.find(key);
    return it != json.end() && it->is_number_integer() ? it->get<std::int64_t>() : fallback;
}

/// Flag of member \a key, or \a fallback if it is absent or no flag.
inline bool jsonFlag(const Json &json, const char *key, bool fallback = false)
{
    const auto it = json.find(key);
    return it != json.end() && it->is_boolean() ? it->get<bool>() : fallback;
}

/// List of texts of member \a key; other elements are left out.
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

/// JSON text that never fails on bytes that are no UTF-8.
inline std::string jsonDump(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}
