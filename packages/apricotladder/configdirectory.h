#pragma once

#include "protocol/objectjson.h"
#include "state/rawobject.h"

#include <string>
#include <vector>

namespace Apricot {

/// The objects of a directory of JSON files, and what could not be read of it.
struct ConfigDirectory
{
    std::vector<StoredObject> objects;
    std::vector<RawObject> raws; ///< of the objects whose fields could be read
    std::vector<std::string> problems; ///< file, place and remedy in words
};

/// Reads all *.json files below \a path; a file holds one object or a list of them.
ConfigDirectory readConfigDirectory(const std::string &path);

/// All faults of the set, one line each: those of reading, then those of validation.
std::vector<std::string> faultsOf(const ConfigDirectory &directory);

}
