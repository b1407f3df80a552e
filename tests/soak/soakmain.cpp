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

/// Makes a folder for the files of a run; returns its path.
std::string makeFolder(const std::string &parent)
{
    std::string path = parent + "/soak-XXXXXX";
    return mkdtemp(path.data()) == nullptr ? std::string() : path;
}

/// One run: its seed and its size.
struct Case
{
    std::uint64_t seed = 0;
    SoakSize size;
};

/// Cases of a file: a line for each, with seed, nodes, engines and seconds, and then the cause of what was seen in words.
std::vector<Case> readCases(const std::string &path)
{
    std::vector<Case> cases;
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
        std::istringstream text(line);
        Case it;
        double seconds = 0;
        if (text >> it.seed >> it.size.nodes >> it.size.engines >> seconds) {
            it.size.length = absl::Seconds(seconds);
            cases.push_back(it);
        }
    }
    return cases;
}

std::vector<Case> casesOf(const cxxopts::ParseResult &options)
{
    if (options.count("cases") > 0) {
        return readCases(options["cases"].as<std::string>());
    }
    std::vector<Case> cases;
    const auto first = options["seed"].as<std::uint64_t>();
    for (std::uint64_t seed = first; seed < first + options["seeds"].as<std::uint64_t>(); ++seed) {
        cases.push_back(Case{
            seed,
            {options["nodes"].as<std::size_t>(), options["engines"].as<std::size_t>(), absl::Seconds(options["seconds"].as<double>())}});
    }
    return cases;
}

/// Carries one case out; returns whether all promises were kept.
bool runCase(const Case &it, const cxxopts::ParseResult &options)
{
    const std::string folder = makeFolder(options["folder"].as<std::string>());
    if (folder.empty()) {
        std::cerr << "soak: cannot make a folder in " << options["folder"].as<std::string>() << "; name another with --folder\n";
        return false;
    }
    SoakRun run(options["program"].as<std::string>(), folder, it.seed, it.size);
    const std::vector<std::string> broken = run.run();
    std::cout << "seed " << it.seed << ": " << broken.size() << " promises broken; " << run.summary() << "\n";
    for (const std::string &line : broken) {
        std::cout << "  " << line << "\n";
    }
    if (broken.empty()) {
        std::filesystem::remove_all(folder);
    } else {
        std::cout << "  settings, steps and logs: " << folder << "\n";
    }
    std::cout.flush();
    return broken.empty();
}

int runAll(const cxxopts::ParseResult &options)
{
    const std::vector<Case> cases = casesOf(options);
    std::size_t good = 0;
    for (const Case &it : cases) {
        good += runCase(it, options) ? 1 : 0;
    }
    std::cout << good << " of " << cases.size() << " seeds good\n";
    return good == cases.size() && !cases.empty() ? EXIT_SUCCESS : EXIT_FAILURE;
}

}

int main(int argc, char **argv)
{
    cxxopts::Options options("soak", "Runs entry nodes as processes, harms them from outside, and checks what callers and engines see.");
    options.add_options()("program", "The node's program", cxxopts::value<std::string>()->default_value("build/bin/apricotladderd"))(
        "seed", "First seed", cxxopts::value<std::uint64_t>()->default_value("1"))("seeds", "How many seeds, one after the other",
                                                                                   cxxopts::value<std::uint64_t>()->default_value("1"))(
        "seconds", "Length of each run under faults",
        cxxopts::value<double>()->default_value("20"))("nodes", "Entry nodes", cxxopts::value<std::size_t>()->default_value("3"))(
        "engines", "Engines of all stages",
        cxxopts::value<std::size_t>()->default_value("7"))("cases", "File with the cases to run instead", cxxopts::value<std::string>())(
        "folder", "Where settings and logs go", cxxopts::value<std::string>()->default_value("/tmp"))("h,help", "Show this help");
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
