#pragma once

#include "protocol/settingspec.h"
#include "state/error.h"
#include "state/nodesettings.h"

#include <map>
#include <string>
#include <vector>

namespace Apricot {

/// Returns the specification of all settings, in the order of the documentation.
const std::vector<SettingSpec> &settingSpecs();

/// Decodes settings from JSON. \a overrides are values from the command line, by key; lists are split at commas.
/// One error message lists all errors: unknown keys, missing keys, wrong types and values out of range.
Result<NodeSettings> decodeSettings(const std::string &json, const std::map<std::string, std::string> &overrides);

}
