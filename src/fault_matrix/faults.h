// The faults that cells inject, as a table.
#ifndef SRC_FAULT_MATRIX_FAULTS_H_
#define SRC_FAULT_MATRIX_FAULTS_H_

#include <span>
#include <string_view>

#include "src/fault_matrix/world.h"

namespace tarragondale::fault_matrix {

struct fault {
  std::string_view name;
  /// Applies the fault and returns what ends it; empty if it lasts.
  std::function<void()> (*apply)(world& in);
  duration lasts;
  /// A working primary that only has this fault around it must stay.
  bool harmless;
};

std::span<const fault> Faults();

/// @brief Ways in which a cell begins; one of them is no event at all.
std::span<const fault> Triggers();

}  // namespace tarragondale::fault_matrix

#endif  // SRC_FAULT_MATRIX_FAULTS_H_
