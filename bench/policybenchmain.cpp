#include "benchreport.h"
#include "benchrun.h"

#include <absl/strings/str_join.h>
#include <cxxopts.hpp>

#include <iostream>

using namespace Apricot;
using namespace Apricot::Bench;

namespace {

constexpr int exitUsage = 2;

int fail(const std::string &message)
{
    std::cerr << "policy_bench: " << message << "\n";
    return exitUsage;
}

cxxopts::Options makeOptions()
{
    cxxopts::Options options(
        "policy_bench",
        "Runs the scheduler of a slice owner against fake engines in virtual time and prints the figures as one JSON line.");
    auto add = options.add_options();
    add("scenario", absl::StrJoin(scenarioNames(), ", "), cxxopts::value<std::string>()->default_value("steady"));
    add("policy", absl::StrJoin(policyNames(), ", "), cxxopts::value<std::string>()->default_value("ladder"));
    add("load", "Offered load as a multiple of the engines' capacity bound", cxxopts::value<double>()->default_value("0.8"));
    add("seed", "Seed of the workload", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("seconds", "Length of the run in virtual seconds", cxxopts::value<int>()->default_value("60"));
    add("deployment", "tablones or huallaga", cxxopts::value<std::string>()->default_value("tablones"));
    add("report", "Write a Markdown report with tables and plots over the load to this file", cxxopts::value<std::string>());
    add("h,help", "Show this help");
    return options;
}

int run(const cxxopts::ParseResult &parsed)
{
    WorkloadPlan plan;
    Policy policy;
    const auto scenario = parsed["scenario"].as<std::string>();
    if (!scenarioFromName(scenario, &plan.scenario)) {
        return fail("--scenario: unknown scenario \"" + scenario + "\"; use one of " + absl::StrJoin(scenarioNames(), ", "));
    }
    if (!policyFromName(parsed["policy"].as<std::string>(), &policy)) {
        return fail("--policy: unknown policy \"" + parsed["policy"].as<std::string>() + "\"; use one of "
                    + absl::StrJoin(policyNames(), ", "));
    }
    const auto deployment = parsed["deployment"].as<std::string>();
    if (deployment != "tablones" && deployment != "huallaga") {
        return fail("--deployment: use tablones or huallaga");
    }
    plan.deployment = deployment == "tablones" ? Deployment{4, 6} : Deployment{5, 7};
    plan.load = parsed["load"].as<double>();
    plan.seed = parsed["seed"].as<std::uint64_t>();
    plan.length = absl::Seconds(parsed["seconds"].as<int>());
    if (!(plan.load > 0 && plan.load <= 20) || plan.length < absl::Seconds(10) || plan.length > absl::Hours(1)) {
        return fail("--load must be above 0 and at most 20; --seconds must be from 10 to 3600");
    }
    if (parsed.count("report") > 0) {
        const std::string problem = writeReport(parsed["report"].as<std::string>(), plan, scenario);
        return problem.empty() ? 0 : fail(problem);
    }
    std::cout << figuresLine(runBench(plan, policy)) << "\n";
    return 0;
}

}

int main(int argc, char **argv)
{
    try {
        cxxopts::Options options = makeOptions();
        const cxxopts::ParseResult parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::cout << options.help() << "\n";
            return 0;
        }
        return run(parsed);
    } catch (const std::exception &ec) {
        return fail(std::string(ec.what()) + "; see --help");
    }
}
