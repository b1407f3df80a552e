#include "protocol/settingspec.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

#include <algorithm>

namespace Apricot {

namespace {

const SettingSpec *findSpec(const std::vector<SettingSpec> &specs, const std::string &key)
{
    for (const SettingSpec &spec : specs) {
        if (spec.key == key) {
            return &spec;
        }
    }
    return nullptr;
}

/// Converts a value from the command line to the JSON type that the setting expects. A value that does not fit stays a string,
/// which checkValue() rejects.
Json overrideValue(const SettingSpec &spec, const std::string &text)
{
    std::int64_t number = 0;
    if (spec.type == "whole number" && absl::SimpleAtoi(text, &number)) {
        return number;
    }
    double real = 0;
    if (spec.type == "number" && absl::SimpleAtod(text, &real)) {
        return real;
    }
    if (spec.type == "flag" && (text == "true" || text == "false")) {
        return text == "true";
    }
    if (spec.type == "list of texts") {
        const std::vector<std::string> parts = absl::StrSplit(text, ',');
        return parts;
    }
    return text;
}

std::string checkValue(const SettingSpec &spec, const Json &value)
{
    const bool isTextList = value.is_array() && std::all_of(value.begin(), value.end(), [](const Json &it) { return it.is_string(); });
    const bool fits = (spec.type == "text" && value.is_string()) || (spec.type == "whole number" && value.is_number_integer())
        || (spec.type == "number" && value.is_number()) || (spec.type == "flag" && value.is_boolean())
        || (spec.type == "list of texts" && isTextList);
    if (!fits) {
        return absl::StrCat(spec.key, ": must be a ", spec.type);
    }
    if (spec.min != spec.max) {
        const auto number = value.get<double>();
        if (number < static_cast<double>(spec.min) || number > static_cast<double>(spec.max)) {
            return absl::StrCat(spec.key, ": ", number, " is out of range; choose ", spec.min, " to ", spec.max);
        }
    }
    if (spec.required && spec.type == "text" && value.get<std::string>().empty()) {
        return absl::StrCat(spec.key, ": is empty; ", spec.description);
    }
    return {};
}

std::vector<std::string> findErrors(const std::vector<SettingSpec> &specs, const Json &json)
{
    std::vector<std::string> errors;
    for (const auto &[key, value] : json.items()) {
        const SettingSpec *spec = findSpec(specs, key);
        const std::string error
            = spec == nullptr ? absl::StrCat(key, ": unknown setting; see docs/OPERATIONS.md") : checkValue(*spec, value);
        if (!error.empty()) {
            errors.push_back(error);
        }
    }
    for (const SettingSpec &spec : specs) {
        if (spec.required && !json.contains(spec.key)) {
            errors.push_back(absl::StrCat(spec.key, ": is missing; ", spec.description));
        }
    }
    return errors;
}

}

Result<Json> readSettings(const std::vector<SettingSpec> &specs, const std::string &json,
                          const std::map<std::string, std::string> &overrides)
{
    BOOST_LEAF_AUTO(parsed, parseJsonObject(json, "settings"));
    for (const auto &[key, text] : overrides) {
        const SettingSpec *spec = findSpec(specs, key);
        parsed[key] = spec == nullptr ? Json(text) : overrideValue(*spec, text);
    }
    const std::vector<std::string> errors = findErrors(specs, parsed);
    if (!errors.empty()) {
        return fail(ErrorKind::BadRequest, absl::StrCat("settings: ", absl::StrJoin(errors, "; ")));
    }
    return parsed;
}

}
