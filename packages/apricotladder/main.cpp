#include "apricotladder/commands.h"
#include "transport/httpclient.h"

#include <cxxopts.hpp>

#include <iostream>
#include <string>
#include <vector>

using namespace Apricot;

namespace {

/// One command of the command line.
struct Command
{
    std::string name;
    std::string parameters;
    std::string text;
    std::size_t minNames;
    std::vector<std::string> valueFlags; ///< "name:help"; a trailing "!" in the name marks a required one
    std::vector<std::string> switches; ///< "name:help"
    int (*run)(const CommandArguments &);
};

const std::string storeFlag = "store!:URL of the platform's object API";
const std::string nodeFlag = "node!:URL of any node, as http://IP:port";

const std::vector<Command> &commands()
{
    static const std::vector<Command> list{
        {"check", "DIR", "Validate a directory of objects as a complete set, offline", 1, {}, {}, runCheck},
        {"apply",
         "DIR",
         "Write the objects of a directory to the store by conditional updates",
         1,
         {storeFlag},
         {"force:Write even if the set has faults"},
         runApply},
        {"status",
         "",
         "Show the objects with their conditions, or one node",
         0,
         {"store:URL of the platform's object API", "node:URL of a node"},
         {"json:Print JSON for programs"},
         runStatus},
        {"address",
         "SERVICE",
         "Query a node for the addresses that a caller should use",
         1,
         {nodeFlag, "data-centre:Data centre of the caller"},
         {},
         runAddress},
        {"drain",
         "[ENDPOINT]",
         "Drain an endpoint or a node",
         0,
         {"store:URL of the platform's object API", "node:URL of the node to drain"},
         {"undo:Let the endpoint accept work again"},
         runDrain},
        {"timeline",
         "",
         "Show the events of all nodes as one timeline",
         0,
         {nodeFlag, "request:Only events of this request"},
         {"json:Print JSON for programs"},
         runTimeline},
        {"explain",
         "REQUEST FILE...",
         "Show from the logs of entry nodes what happened to a request, and why",
         2,
         {},
         {"json:Print JSON for programs"},
         runExplain},
    };
    return list;
}

int usage()
{
    std::cout << "apricotladder: the operators' command line\n\nUsage: apricotladder COMMAND [--help]\n\n";
    for (const Command &command : commands()) {
        std::cout << "  " << command.name << " " << command.parameters << "\n      " << command.text << "\n";
    }
    std::cout << "\nExit codes: 0 done, 1 faults or conflicts, 2 wrong usage, 3 store or node not reachable\n";
    return ExitOk;
}

std::string flagName(const std::string &flag)
{
    const std::string name = flag.substr(0, flag.find(':'));
    return name.back() == '!' ? name.substr(0, name.size() - 1) : name;
}

bool isRequired(const std::string &flag)
{
    return flag[flag.find(':') - 1] == '!';
}

std::string flagHelp(const std::string &flag)
{
    return flag.substr(flag.find(':') + 1);
}

int runCommand(const Command &command, int argc, char **argv)
{
    cxxopts::Options options("apricotladder " + command.name, command.text);
    options.positional_help(command.parameters);
    options.add_options()("h,help", "Show this help")("names", "", cxxopts::value<std::vector<std::string>>());
    for (const std::string &flag : command.valueFlags) {
        options.add_options()(flagName(flag), flagHelp(flag) + (isRequired(flag) ? " (required)" : ""), cxxopts::value<std::string>());
    }
    for (const std::string &flag : command.switches) {
        options.add_options()(flagName(flag), flagHelp(flag));
    }
    options.parse_positional({"names"});
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << options.help({""}) << "\n";
        return ExitOk;
    }
    CommandArguments arguments;
    if (parsed.count("names") > 0) {
        arguments.names = parsed["names"].as<std::vector<std::string>>();
    }
    for (const std::string &flag : command.valueFlags) {
        if (parsed.count(flagName(flag)) > 0) {
            arguments.flags[flagName(flag)] = parsed[flagName(flag)].as<std::string>();
        } else if (isRequired(flag)) {
            std::cerr << "apricotladder " << command.name << ": --" << flagName(flag) << " is missing: " << flagHelp(flag) << "\n";
            return ExitUsage;
        }
    }
    for (const std::string &flag : command.switches) {
        if (parsed.count(flagName(flag)) > 0) {
            arguments.flags[flagName(flag)] = "true";
        }
    }
    if (arguments.names.size() < command.minNames) {
        std::cerr << "apricotladder " << command.name << ": " << command.parameters << " is missing; see --help\n";
        return ExitUsage;
    }
    return command.run(arguments);
}

}

int main(int argc, char **argv)
{
    const std::string name = argc > 1 ? argv[1] : "--help";
    if (name == "--help" || name == "-h") {
        return usage();
    }
    HttpClient::initialize();
    for (const Command &command : commands()) {
        if (command.name != name) {
            continue;
        }
        try {
            return runCommand(command, argc - 1, argv + 1);
        } catch (const std::exception &e) {
            std::cerr << "apricotladder " << name << ": " << e.what() << "; see --help\n";
            return ExitUsage;
        }
    }
    std::cerr << "apricotladder: there is no command \"" << name << "\"; see --help\n";
    return ExitUsage;
}
