#include "benchreport.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <utility>

namespace Apricot::Bench {

namespace {

/// Offered loads as multiples of the capacity bound.
constexpr std::array<double, 8> loads{0.5, 0.8, 1.0, 1.5, 2.0, 2.5, 3.0, 4.0};

const std::array<std::string, 4> policies{"ladder", "fifo", "least-loaded", "prefix-affinity"};

/// A figure plotted against the offered load.
struct Plot
{
    std::string name;
    std::string title;
    double BenchFigures::*figure;
};

const std::array<Plot, 4> plots{{{"goodput", "goodput of the bound", &BenchFigures::goodputOfBound},
                                 {"urgent", "urgent goodput share", &BenchFigures::urgentGoodputShare},
                                 {"wasted", "wasted prefill share", &BenchFigures::wastedPrefillShare},
                                 {"ttft", "first token, 95th percentile, ms", &BenchFigures::ttftP95Ms}}};

using Results = std::map<std::pair<std::string, double>, BenchFigures>;

Results runAll(const WorkloadPlan &plan)
{
    Results results;
    for (const std::string &name : policies) {
        Policy policy;
        policyFromName(name, &policy);
        for (const double load : loads) {
            WorkloadPlan loadPlan = plan;
            loadPlan.load = load;
            results[{name, load}] = runBench(loadPlan, policy);
        }
    }
    return results;
}

void drawPlot(const std::filesystem::path &imagePath, const Plot &plot, const Results &results)
{
    const std::string data = imagePath.string() + ".dat";
    {
        std::ofstream stream(data);
        for (const double load : loads) {
            stream << load;
            for (const std::string &name : policies) {
                stream << " " << results.at({name, load}).*(plot.figure);
            }
            stream << "\n";
        }
    }
    std::string script = absl::StrCat("set terminal png size 640,400; set output '", imagePath.string(),
                                      "'; set xlabel 'load'; set ylabel '", plot.title, "'; set yrange [0:*]; set key outside; plot ");
    for (std::size_t i = 0; i < policies.size(); ++i) {
        script += absl::StrCat(i == 0 ? "" : ", ", "'", data, "' using 1:", i + 2, " with linespoints title '", policies[i], "'");
    }
    if (FILE *gnuplot = popen("gnuplot", "w")) {
        std::fputs(script.c_str(), gnuplot);
        pclose(gnuplot);
    }
    std::filesystem::remove(data);
}

}

std::string writeReport(const std::string &file, const WorkloadPlan &plan, const std::string &scenario)
{
    std::ofstream page(file);
    if (!page) {
        return absl::StrCat(file, ": cannot open the report file for writing; use a path in an existing, writable directory");
    }
    const Results results = runAll(plan);
    page << "# Policies under scenario " << scenario << ", seed " << plan.seed << "\n";
    for (const Plot &plot : plots) {
        page << "\n## " << plot.title << "\n\n| load |";
        for (const std::string &name : policies) {
            page << " " << name << " |";
        }
        page << "\n|---|---|---|---|---|\n";
        for (const double load : loads) {
            page << "| " << load << " |";
            for (const std::string &name : policies) {
                page << absl::StrFormat(" %.4g |", results.at({name, load}).*(plot.figure));
            }
            page << "\n";
        }
        const std::filesystem::path imagePath = std::filesystem::path(file).replace_extension("").string() + "-" + plot.name + ".png";
        drawPlot(imagePath, plot, results);
        page << "\n![" << plot.title << "](" << imagePath.filename().string() << ")\n";
    }
    return {};
}

}
