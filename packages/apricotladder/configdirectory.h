#pragma once

#include "protocol/objectjson.h"
#include "state/rawobject.h"

#include <string>
#include <vector>

namespace Apricot {

/// The objects of a directory of JSON files, and the problems found while reading them.
struct ConfigDirectory
{
    std::vector<StoredObject> objects;
    std::vector<RawObject> rawObjects; ///< of the objects whose fields are readable
    std::vector<std::string> problems; ///< messages with file, place and remedy
};

/// Reads all *.json files below \a path; a file contains one object or a list of objects.
ConfigDirectory readConfigDirectory(const std::string &path);

/// Returns all faults of the set, one line each: first those of reading, then those of validation.
std::vector<std::string> findFaults(const ConfigDirectory &directory);

}
