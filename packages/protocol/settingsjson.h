#pragma once

#include "state/error.h"
#include "state/nodesettings.h"

#include <map>
#include <string>
#include <vector>

namespace Apricot {

/// One documented key of a node's settings.
struct SettingSpec
{
    std::string key;
    std::string type; ///< "text", "whole number", "flag" or "list of texts"
    std::string unit;
    bool required = false;
    std::string standard; ///< default as text
    std::int64_t least = 0;
    std::int64_t most = 0; ///< least == most: no range
    std::string text;
};

/// All keys, in the order of the documents.
const std::vector<SettingSpec> &settingSpecs();

/// Reads settings from JSON. \a overrides are given on the command line, by key; lists are split at commas.
/// Every fault is named in one message: unknown key, missing key, wrong type, out of range.
Result<NodeSettings> decodeSettings(const std::string &json, const std::map<std::string, std::string> &overrides);

}
