#include "soak/soakrun.h"

#include <cxxopts.hpp>

#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>
#include <sys/stat.h>

using namespace Apricot;

namespace {

/// Makes a folder for the files of a run; returns its path.
std::string makeFolder(const std::string &parent)
{
    std::string path = parent + "/soak-XXXXXX";
    return mkdtemp(path.data()) == nullptr ? std::string() : path;
}

int runSeeds(const cxxopts::ParseResult &options)
{
    SoakSize size;
    size.nodes = options["nodes"].as<std::size_t>();
    size.engines = options["engines"].as<std::size_t>();
    size.length = absl::Seconds(options["seconds"].as<double>());
    const auto first = options["seed"].as<std::uint64_t>();
    const auto count = options["seeds"].as<std::uint64_t>();
    std::uint64_t failed = 0;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        const std::string folder = makeFolder(options["folder"].as<std::string>());
        if (folder.empty()) {
            std::cerr << "soak: cannot make a folder in " << options["folder"].as<std::string>() << "; name another with --folder\n";
            return EXIT_FAILURE;
        }
        SoakRun run(options["program"].as<std::string>(), folder, seed, size);
        const std::vector<std::string> broken = run.run();
        std::cout << "seed " << seed << ": " << broken.size() << " promises broken; " << run.summary() << "\n";
        for (const std::string &it : broken) {
            std::cout << "  " << it << "\n";
        }
        if (!broken.empty()) {
            ++failed;
            std::cout << "  settings, steps and logs: " << folder << "\n";
        }
        std::cout.flush();
    }
    std::cout << count - failed << " of " << count << " seeds good\n";
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

}

int main(int argc, char **argv)
{
    cxxopts::Options options("soak", "Runs entry nodes as processes, harms them from outside, and checks what callers and engines see.");
    options.add_options()("program", "The node's program", cxxopts::value<std::string>()->default_value("build/bin/apricotladderd"))(
        "seed", "First seed", cxxopts::value<std::uint64_t>()->default_value("1"))("seeds", "How many seeds, one after the other",
                                                                                   cxxopts::value<std::uint64_t>()->default_value("1"))(
        "seconds", "Length of each run under faults", cxxopts::value<double>()->default_value("20"))(
        "nodes", "Entry nodes", cxxopts::value<std::size_t>()->default_value("3"))("engines", "Engines of all stages",
                                                                                   cxxopts::value<std::size_t>()->default_value("7"))(
        "folder", "Where settings and logs go", cxxopts::value<std::string>()->default_value("/tmp"))("h,help", "Show this help");
    try {
        const cxxopts::ParseResult parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::cout << options.help() << "\n";
            return EXIT_SUCCESS;
        }
        return runSeeds(parsed);
    } catch (const std::exception &ec) {
        std::cerr << "soak: " << ec.what() << "; see --help\n";
        return EXIT_FAILURE;
    }
}
