#pragma once

#include "protocol/settingspec.h"
#include "state/error.h"
#include "state/nodesettings.h"

#include <map>
#include <string>
#include <vector>

namespace Apricot {

/// All keys, in the order of the documents.
const std::vector<SettingSpec> &settingSpecs();

/// Reads settings from JSON. \a overrides are given on the command line, by key; lists are split at commas.
/// Every fault is named in one message: unknown key, missing key, wrong type, out of range.
Result<NodeSettings> decodeSettings(const std::string &json, const std::map<std::string, std::string> &overrides);

}
