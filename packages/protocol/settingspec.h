#pragma once

#include "protocol/jsonreader.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Apricot {

/// Specification of one setting of a node.
struct SettingSpec
{
    std::string key;
    std::string type; ///< "text", "whole number", "number", "flag" or "list of texts"
    std::string unit;
    bool required = false;
    std::string defaultValue; ///< as text
    std::int64_t min = 0;
    std::int64_t max = 0; ///< no range check if equal to min
    std::string description;
};

/// Parses settings and validates them against \a specs. \a overrides are values from the command line, by key; lists are split
/// at commas. One error message lists all errors: unknown keys, missing keys, wrong types and values out of range.
Result<Json> readSettings(const std::vector<SettingSpec> &specs, const std::string &json,
                          const std::map<std::string, std::string> &overrides);

}
