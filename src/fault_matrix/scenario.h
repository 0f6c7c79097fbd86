// A scenario is a family of cells over one path of the system. To add a path,
// write a file with its cells and list it in fault_matrix_main.cc.
#ifndef SRC_FAULT_MATRIX_SCENARIO_H_
#define SRC_FAULT_MATRIX_SCENARIO_H_

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "tarragondale/base.h"

namespace tarragondale::fault_matrix {

struct cell_result {
  std::set<std::string> violations;
  /// Time without an acknowledged write; none if the cell measures none.
  std::optional<duration> outage;
  size_t cleared_suspicions = 0;
};

struct cell {
  std::string row;   ///< Row of the report, for example the first fault.
  std::string name;  ///< Identifies the cell within the run.
  std::function<cell_result()> run;
};

struct scenario_options {
  uint64_t seed = 1;
  int pair_samples = 8;  ///< Cells for each pair of faults and trigger.
};

struct scenario {
  std::string name;
  std::vector<cell> (*cells)(const scenario_options& options);
};

std::vector<cell> FailoverCells(const scenario_options& options);

}  // namespace tarragondale::fault_matrix

#endif  // SRC_FAULT_MATRIX_SCENARIO_H_
