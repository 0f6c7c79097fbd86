// Quantiles and the heads of reports.
#include "src/measure/report.h"

#include <fmt/format.h>
#include <stdlib.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <thread>

namespace tarragondale::measure {

double Quantile(std::vector<double> values, double q) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const double rank = std::ceil(q * static_cast<double>(values.size()));
  const auto index = static_cast<size_t>(std::max(rank, 1.0)) - 1;
  return values[std::min(index, values.size() - 1)];
}

std::string CountsText(const std::map<std::string, int64_t>& counts) {
  std::string text;
  for (const auto& [name, count] : counts) {
    text += fmt::format("{}{} {}", text.empty() ? "" : ", ", name, count);
  }
  return text.empty() ? "none" : text;
}

void PrintConditions(std::string_view title, const run_options& options) {
  std::array<double, 1> load{};
  getloadavg(load.data(), 1);
  fmt::print(
      "\n### {}: {}\n\n"
      "Conditions: {} daemons in one process with the stand-ins; {} slots and "
      "{} connections for each member; rate {}/s, seed {}, commit {}, build "
      "{}; load average of the machine at the start {:.1f} on {} cores.\n\n",
      title, options.sizes->name, cluster::kDaemons, options.sizes->slots,
      options.sizes->connections, options.rate, options.seed, options.commit,
      TARRAGONDALE_BUILD_TYPE, load[0], std::thread::hardware_concurrency());
  std::fflush(stdout);
}

}  // namespace tarragondale::measure
