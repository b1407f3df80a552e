#pragma once

#include "protocol/settingspec.h"
#include "state/entrysettings.h"

#include <map>
#include <string>
#include <vector>

namespace Apricot {

/// Returns the specification of all settings of an entry node, in the order of the documentation.
const std::vector<SettingSpec> &entrySettingSpecs();

/// Decodes the settings of an entry node from JSON. \a overrides and errors are as in readSettings().
Result<EntrySettings> decodeEntrySettings(const std::string &json, const std::map<std::string, std::string> &overrides);

}
