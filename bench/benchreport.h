#pragma once

#include "benchrun.h"

#include <string>

namespace Apricot::Bench {

/// Writes a Markdown page with tables and plots over load 0.5 to 4 for all policies of one scenario. Returns what is
/// wrong, empty if nothing is. The plots lie beside the page as PNG files (gnuplot is needed).
std::string writeReport(const std::string &file, const WorkloadPlan &plan, const std::string &scenario);

}
