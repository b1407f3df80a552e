#include "apricotladder/configdirectory.h"

#include "coordination/configvalidator.h"
#include "protocol/jsonreader.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace Apricot {

namespace {

void readObject(const std::string &file, const Json &json, ConfigDirectory *directory)
{
    const auto decoded = toVariant<StoredObject>([&] { return decodeStoredObject(jsonDump(json)); });
    if (const auto *error = std::get_if<Error>(&decoded)) {
        directory->problems.push_back(absl::StrCat(file, ": ", error->message));
        return;
    }
    const auto &object = std::get<StoredObject>(decoded);
    directory->objects.push_back(object);
    const auto raw = toVariant<RawObject>([&] { return rawObjectOf(object); });
    if (const auto *error = std::get_if<Error>(&raw)) {
        directory->problems.push_back(absl::StrCat(file, ": ", error->message));
    } else {
        directory->rawObjects.push_back(std::get<RawObject>(raw));
    }
}

void readFile(const std::filesystem::path &path, ConfigDirectory *directory)
{
    std::ifstream stream(path);
    std::ostringstream text;
    text << stream.rdbuf();
    const Json json = parseJson(text.str());
    if (!stream || json.is_discarded()) {
        directory->problems.push_back(
            absl::StrCat(path.string(), ": cannot be read as JSON; check its permissions, quotes, commas and braces"));
    } else if (json.is_array()) {
        for (const Json &element : json) {
            readObject(path.string(), element, directory);
        }
    } else {
        readObject(path.string(), json, directory);
    }
}

}

ConfigDirectory readConfigDirectory(const std::string &path)
{
    ConfigDirectory directory;
    std::error_code ec;
    std::vector<std::filesystem::path> files;
    for (const auto &entry : std::filesystem::recursive_directory_iterator(path, ec)) {
        if (entry.path().extension() == ".json") {
            files.push_back(entry.path());
        }
    }
    if (ec) {
        directory.problems.push_back(
            absl::StrCat(path, ": cannot be read: ", ec.message(), "; specify a readable directory of JSON files"));
    } else if (files.empty()) {
        directory.problems.push_back(absl::StrCat(path, ": contains no .json file"));
    }
    std::sort(files.begin(), files.end());
    for (const std::filesystem::path &file : files) {
        readFile(file, &directory);
    }
    return directory;
}

std::vector<std::string> findFaults(const ConfigDirectory &directory)
{
    std::vector<std::string> lines = directory.problems;
    const auto checked = validateConfig(directory.rawObjects);
    if (const auto *faults = std::get_if<std::vector<ConfigFault>>(&checked)) {
        for (const ConfigFault &fault : *faults) {
            lines.push_back(
                absl::StrCat(fault.object, fault.field.empty() ? "" : ": ", fault.field, ": ", fault.problem, "; ", fault.remedy));
        }
    }
    return lines;
}

}
