#include "protocol/jsonreader.h"

#include "protocol/jsonsplitter.h"

#include <limits>

namespace Apricot {

Json parseJson(std::string_view text)
{
    if (isNestedDeeperThan(text, maxJsonDepth)) {
        return Json(Json::value_t::discarded);
    }
    return Json::parse(text, nullptr, false);
}

Result<Json> parseJsonObject(std::string_view text, const std::string &what)
{
    Json json = parseJson(text);
    if (!json.is_object()) {
        return fail(ErrorKind::BadRequest, what + ": not a JSON object, or nested too deeply; check its quotes, commas and braces");
    }
    return json;
}

std::int64_t jsonInteger(const Json &json, const char *key, std::int64_t fallback)
{
    const auto it = json.find(key);
    if (it == json.end() || !it->is_number_integer()) {
        return fallback;
    }
    const bool isTooLarge = it->is_number_unsigned() && it->get<std::uint64_t>() > std::numeric_limits<std::int64_t>::max();
    return isTooLarge ? fallback : it->get<std::int64_t>();
}

}
