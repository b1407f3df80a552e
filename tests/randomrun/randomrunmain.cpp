#include "randomrun/simworld.h"

#include <cxxopts.hpp>

#include <iostream>

using namespace Apricot::Sim;

int main(int argc, char **argv)
{
    cxxopts::Options options("random_run",
                             "Runs the real decisions of several nodes in virtual time, with random faults and checked promises.");
    auto add = options.add_options();
    add("seed", "Seed of everything that is random", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("steps", "Steps until faults and new calls end", cxxopts::value<std::uint64_t>()->default_value("5000"));
    add("nodes", "Nodes", cxxopts::value<std::size_t>()->default_value("6"));
    add("seeds", "Runs so many seeds from --seed on", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("verbose", "Print what happened");
    add("h,help", "Show this help");
    try {
        const cxxopts::ParseResult parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::cout << options.help() << "\n";
            return 0;
        }
        RunPlan plan{parsed["seed"].as<std::uint64_t>(), parsed["steps"].as<std::uint64_t>(), parsed["nodes"].as<std::size_t>()};
        if (plan.nodes < 2 || plan.nodes > 64) {
            throw std::invalid_argument("--nodes: choose 2 to 64");
        }
        const std::uint64_t last = plan.seed + parsed["seeds"].as<std::uint64_t>();
        bool failed = false;
        for (; plan.seed < last; ++plan.seed) {
            const RunReport report = SimWorld(plan).run();
            if (parsed.count("verbose") > 0 || report.violations > 0) {
                for (const std::string &line : report.trace) {
                    std::cout << line << "\n";
                }
            }
            std::cout << reportLine(plan, report) << "\n";
            failed = failed || report.violations > 0;
        }
        return failed ? 1 : 0;
    } catch (const std::exception &ec) {
        std::cerr << "random_run: " << ec.what() << "; see --help\n";
        return 2;
    }
}
