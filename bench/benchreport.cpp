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

constexpr std::array<double, 8> loads{0.5, 0.8, 1.0, 1.5, 2.0, 2.5, 3.0, 4.0};

const std::array<std::string, 4> policies{"ladder", "fifo", "least-loaded", "prefix-affinity"};

/// One figure that is plotted over the load.
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
            WorkloadPlan each = plan;
            each.load = load;
            results[{name, load}] = runBench(each, policy);
        }
    }
    return results;
}

void drawPlot(const std::filesystem::path &picture, const Plot &plot, const Results &results)
{
    const std::string data = picture.string() + ".dat";
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
    std::string script = absl::StrCat("set terminal png size 640,400; set output '", picture.string(), "'; set xlabel 'load'; set ylabel '",
                                      plot.title, "'; set yrange [0:*]; set key outside; plot ");
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
        return absl::StrCat(file, ": cannot be written; name a file in a directory that exists");
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
        const std::filesystem::path picture = std::filesystem::path(file).replace_extension("").string() + "-" + plot.name + ".png";
        drawPlot(picture, plot, results);
        page << "\n![" << plot.title << "](" << picture.filename().string() << ")\n";
    }
    return {};
}

}
