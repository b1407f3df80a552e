#include "apricotladder/commands.h"
#include "apricotladder/configdirectory.h"

#include <iostream>

namespace Apricot {

int runCheck(const CommandArguments &arguments)
{
    const ConfigDirectory directory = readConfigDirectory(arguments.names.front());
    const std::vector<std::string> faults = findFaults(directory);
    for (const std::string &line : faults) {
        std::cout << line << "\n";
    }
    if (!faults.empty()) {
        std::cout << faults.size() << " faults; this set cannot be published\n";
        return ExitFaults;
    }
    std::cout << directory.objects.size() << " objects, no fault\n";
    return ExitOk;
}

}
