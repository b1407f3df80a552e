#pragma once

#include <map>
#include <string>
#include <vector>

namespace Apricot {

/// Exit codes of the command line.
enum ExitCode : int { ExitOk = 0, ExitFaults = 1, ExitUsage = 2, ExitUnreachable = 3 };

/// Parsed arguments of one command.
struct CommandArguments
{
    std::vector<std::string> names; ///< positional arguments in order
    std::map<std::string, std::string> flags;

    std::string flag(const std::string &name, const std::string &fallback = {}) const
    {
        const auto it = flags.find(name);
        return it == flags.end() ? fallback : it->second;
    }

    bool has(const std::string &name) const
    {
        return flags.contains(name);
    }
};

int runCheck(const CommandArguments &arguments);
int runApply(const CommandArguments &arguments);
int runStatus(const CommandArguments &arguments);
int runAddress(const CommandArguments &arguments);
int runDrain(const CommandArguments &arguments);
int runTimeline(const CommandArguments &arguments);
int runExplain(const CommandArguments &arguments);

}
