#include "soak/soakrun.h"

#include <cxxopts.hpp>

#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

using namespace Apricot;

namespace {

/// Creates a folder for the files of a run. Returns its path, or an empty string if that fails.
std::string createRunFolder(const std::string &parent)
{
    std::string path = parent + "/soak-XXXXXX";
    return mkdtemp(path.data()) == nullptr ? std::string() : path;
}

/// Seed and size of one run.
struct RunCase
{
    std::uint64_t seed = 0;
    SoakSize size;
};

/// Returns the profile that \a word selects; SoakProfile::Faults for every other word.
SoakProfile profileFromWord(const std::string &word)
{
    if (word == "planned") {
        return SoakProfile::Planned;
    }
    return word == "notices" ? SoakProfile::Notices : SoakProfile::Faults;
}

/// Reads the cases of a file. Each line holds the seed, the number of nodes and engines, the duration in seconds, the profile unless
/// it is "faults", and a description of the fault that the case once found.
std::vector<RunCase> readCases(const std::string &path)
{
    std::vector<RunCase> cases;
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
        std::istringstream text(line);
        RunCase it;
        double seconds = 0;
        if (text >> it.seed >> it.size.nodes >> it.size.engines >> seconds) {
            it.size.duration = absl::Seconds(seconds);
            std::string word;
            text >> word;
            it.size.profile = profileFromWord(word);
            cases.push_back(it);
        }
    }
    return cases;
}

std::vector<RunCase> runCasesFromOptions(const cxxopts::ParseResult &options)
{
    if (options.count("cases") > 0) {
        return readCases(options["cases"].as<std::string>());
    }
    std::vector<RunCase> cases;
    const auto first = options["seed"].as<std::uint64_t>();
    for (std::uint64_t seed = first; seed < first + options["seeds"].as<std::uint64_t>(); ++seed) {
        cases.push_back(RunCase{seed,
                                {options["nodes"].as<std::size_t>(), options["engines"].as<std::size_t>(),
                                 absl::Seconds(options["seconds"].as<double>()), profileFromWord(options["profile"].as<std::string>())}});
    }
    return cases;
}

/// Executes one case. Returns whether the run showed no violation.
bool runCase(const RunCase &it, const cxxopts::ParseResult &options)
{
    const std::string folder = createRunFolder(options["folder"].as<std::string>());
    if (folder.empty()) {
        std::cerr << "soak: cannot create a folder in " << options["folder"].as<std::string>()
                  << "; choose another parent folder with --folder\n";
        return false;
    }
    SoakRun run(options["program"].as<std::string>(), folder, it.seed, it.size);
    const std::vector<std::string> violations = run.run();
    std::cout << "seed " << it.seed << ": " << violations.size() << " violations; " << run.summary() << "\n";
    for (const std::string &line : violations) {
        std::cout << "  " << line << "\n";
    }
    if (violations.empty()) {
        std::filesystem::remove_all(folder);
    } else {
        std::cout << "  settings, steps and logs are in " << folder << "\n";
    }
    std::cout.flush();
    return violations.empty();
}

int runAll(const cxxopts::ParseResult &options)
{
    const std::vector<RunCase> cases = runCasesFromOptions(options);
    std::size_t passed = 0;
    for (const RunCase &it : cases) {
        passed += runCase(it, options) ? 1 : 0;
    }
    std::cout << passed << " of " << cases.size() << " runs without violations\n";
    return passed == cases.size() && !cases.empty() ? EXIT_SUCCESS : EXIT_FAILURE;
}

}

int main(int argc, char **argv)
{
    cxxopts::Options options("soak",
                             "Runs entry nodes as processes, injects faults from outside, and checks what callers and engines observe.");
    options.add_options()("program", "Path of the node program", cxxopts::value<std::string>()->default_value("build/bin/apricotladderd"))(
        "seed", "First seed", cxxopts::value<std::uint64_t>()->default_value("1"))("seeds", "Number of consecutive seeds to run",
                                                                                   cxxopts::value<std::uint64_t>()->default_value("1"))(
        "seconds", "Duration of the fault phase of each run, in seconds",
        cxxopts::value<double>()->default_value("20"))("nodes", "Number of entry nodes", cxxopts::value<std::size_t>()->default_value("3"))(
        "engines", "Number of engines of all kinds", cxxopts::value<std::size_t>()->default_value("7"))(
        "profile",
        "Kind of steps: faults, planned (planned operations, engines that are silent or break off answers) or notices (also engines that "
        "announce in their answers that they leave or for how long they refuse)",
        cxxopts::value<std::string>()->default_value("faults"))("cases", "File with cases to run instead of the given seeds and sizes",
                                                                cxxopts::value<std::string>())(
        "folder", "Parent folder for settings and logs", cxxopts::value<std::string>()->default_value("/tmp"))("h,help", "Show this help");
    try {
        const cxxopts::ParseResult parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::cout << options.help() << "\n";
            return EXIT_SUCCESS;
        }
        return runAll(parsed);
    } catch (const std::exception &ec) {
        std::cerr << "soak: " << ec.what() << "; see --help\n";
        return EXIT_FAILURE;
    }
}
