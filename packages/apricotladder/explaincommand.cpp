#include "apricotladder/commands.h"
#include "protocol/logjson.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <vector>

namespace Apricot {

int runExplain(const CommandArguments &arguments)
{
    const std::string &request = arguments.names.front();
    std::vector<LogLine> lines;
    for (auto it = arguments.names.begin() + 1; it != arguments.names.end(); ++it) {
        std::ifstream file(*it);
        if (!file) {
            std::cout << *it << ": cannot be read; specify readable log files of the nodes\n";
            return ExitUsage;
        }
        std::vector<LogLine> found = readLogLines(file);
        std::move(found.begin(), found.end(), std::back_inserter(lines));
    }
    const std::vector<LogLine> history = requestHistory(request, std::move(lines));
    if (history.empty()) {
        std::cout << request
                  << ": no log line contains this request; the log of its node is missing, or the request never reached a node\n";
        return ExitFaults;
    }
    if (arguments.has("json")) {
        std::cout << requestHistoryJson(history) << "\n";
        return ExitOk;
    }
    for (const LogLine &line : history) {
        std::cout << lineText(line) << "\n";
    }
    std::cout << outcomeCause(history) << "\n";
    return ExitOk;
}

}
