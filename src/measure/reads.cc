// Measures where reads are served and whether sessions see their writes.
#include "src/measure/report.h"

namespace tarragondale::measure {

bool MeasureReads(const run_options& options) {
  PrintConditions("reads", options);
  return false;
}

}  // namespace tarragondale::measure
