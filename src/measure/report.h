// Figures for the reports.
#ifndef SRC_MEASURE_REPORT_H_
#define SRC_MEASURE_REPORT_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "src/measure/cluster.h"

namespace tarragondale::measure {

/// @brief What a run was asked to do.
struct run_options {
  const deployment* sizes = nullptr;
  int trials = 10;      ///< For each fault.
  double rate = 0;      ///< Requests/s over all daemons.
  int64_t seconds = 0;  ///< For each phase of `reads`.
  uint64_t seed = 1;
  std::string commit;
};

/// @brief Value at the quantile `q` (0 to 1, nearest rank); 0 without values.
double Quantile(std::vector<double> values, double q);

/// @brief `name count, name count`, or `none`.
std::string CountsText(const std::map<std::string, int64_t>& counts);

/// @brief Lines with the conditions of a run.
void PrintConditions(std::string_view title, const run_options& options);

/// @brief Measures the gap in acknowledged writes. False if a bound is broken.
bool MeasureFailover(const run_options& options);

/// @brief Measures where reads are served. False if a bound is broken.
bool MeasureReads(const run_options& options);

}  // namespace tarragondale::measure

#endif  // SRC_MEASURE_REPORT_H_
