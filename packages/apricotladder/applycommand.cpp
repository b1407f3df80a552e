#include "apricotladder/commands.h"
#include "apricotladder/configdirectory.h"
#include "apricotladder/storeaccess.h"
#include "protocol/fleetjson.h"

#include <iostream>

namespace Apricot {

namespace {

/// Maximum number of writes of one object. After a lost reply, the object is read back before the next write.
constexpr int maxWriteAttempts = 5;

/// Writes one object and prints the result; returns an exit code.
int applyObject(const StoreAccess &store, const StoredObject &object)
{
    const std::string label = object.kind + "/" + object.name;
    for (int i = 0; i < maxWriteAttempts; ++i) {
        const auto read = toVariant<std::optional<StoredObject>>([&] { return store.get(object.kind, object.name); });
        if (const auto *error = std::get_if<Error>(&read)) {
            std::cout << label << ": " << error->message << "\n";
            return ExitUnreachable;
        }
        const auto &current = std::get<std::optional<StoredObject>>(read);
        if (current && jsonEquals(current->spec, object.spec)) {
            std::cout << label << (i == 0 ? ": unchanged\n" : ": written\n");
            return ExitOk;
        }
        const std::uint64_t storedVersion = current ? current->version : 0;
        // A version in the file is the version on which the edit is based. Another version in the store is never overwritten.
        if (object.version != 0 && object.version != storedVersion) {
            std::cout << label << ": conflict: the file is based on version " << object.version << ", the store has " << storedVersion
                      << "; merge the two edits\n";
            return ExitFaults;
        }
        switch (store.put(object.kind, object.name, storedVersion, object.spec)) {
        case StoreAccess::WriteResult::Written:
            std::cout << label << ": written\n";
            return ExitOk;
        case StoreAccess::WriteResult::Conflict:
            std::cout << label << ": conflict: the object was changed in the meantime; review the change and apply again\n";
            return ExitFaults;
        case StoreAccess::WriteResult::Unknown:
            break; // The write may have taken effect, so the object is read back.
        case StoreAccess::WriteResult::Failed:
            std::cout << label << ": not written: the store was not reachable or refused the write; try again later\n";
            return ExitUnreachable;
        }
    }
    std::cout << label << ": unknown whether the object was written; run apply again\n";
    return ExitUnreachable;
}

}

int runApply(const CommandArguments &arguments)
{
    const ConfigDirectory directory = readConfigDirectory(arguments.names.front());
    const std::vector<std::string> faults = findFaults(directory);
    if (!faults.empty() && !arguments.has("force")) {
        for (const std::string &line : faults) {
            std::cout << line << "\n";
        }
        std::cout << faults.size()
                  << " faults; nothing was written (--force writes the objects anyway; the nodes will not put them in force)\n";
        return ExitFaults;
    }
    const StoreAccess store(arguments.flag("store"));
    int exitCode = ExitOk;
    for (const StoredObject &object : directory.objects) {
        exitCode = std::max(exitCode, applyObject(store, object));
    }
    return exitCode;
}

}
