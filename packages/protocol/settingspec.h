#pragma once

#include "protocol/jsonreader.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Apricot {

/// One documented key of a node's settings.
struct SettingSpec
{
    std::string key;
    std::string type; ///< "text", "whole number", "number", "flag" or "list of texts"
    std::string unit;
    bool required = false;
    std::string standard; ///< default as text
    std::int64_t least = 0;
    std::int64_t most = 0; ///< least == most: no range
    std::string text;
};

/// Parses settings and checks them against \a specs. \a overrides are given on the command line, by key; lists are split at commas.
/// Every fault is named in one message: unknown key, missing key, wrong type, out of range.
Result<Json> readSettings(const std::vector<SettingSpec> &specs, const std::string &json,
                          const std::map<std::string, std::string> &overrides);

}
