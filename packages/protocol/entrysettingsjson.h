#pragma once

#include "protocol/settingspec.h"
#include "state/entrysettings.h"

#include <map>
#include <string>
#include <vector>

namespace Apricot {

/// All keys of an entry node's settings, in the order of the documents.
const std::vector<SettingSpec> &entrySettingSpecs();

/// Reads an entry node's settings from JSON, as readSettings() does.
Result<EntrySettings> decodeEntrySettings(const std::string &json, const std::map<std::string, std::string> &overrides);

}
