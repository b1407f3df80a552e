#pragma once

#include "benchrun.h"

#include <string>

namespace Apricot::Bench {

/// Runs all policies under one scenario at loads from 0.5 to 4, and writes the tables and plots to a Markdown file. The
/// plots are PNG files in the same directory; gnuplot draws them. Returns an error message, empty on success.
std::string writeReport(const std::string &file, const WorkloadPlan &plan, const std::string &scenario);

}
