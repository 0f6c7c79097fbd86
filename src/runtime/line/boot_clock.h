// Monotonic time that includes time for which the VM was suspended.
#ifndef TARRAGONDALE_SRC_RUNTIME_LINE_BOOT_CLOCK_H_
#define TARRAGONDALE_SRC_RUNTIME_LINE_BOOT_CLOCK_H_

#include <ctime>

#include "tarragondale/base.h"

namespace tarragondale::runtime {

/// @brief Now, by `CLOCK_BOOTTIME`. The steady clock stops while a VM is
/// suspended, and a right to use a primary would outlive its end.
inline time_point BootNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return time_point(std::chrono::seconds(now.tv_sec) +
                    std::chrono::nanoseconds(now.tv_nsec));
}

}  // namespace tarragondale::runtime

#endif  // TARRAGONDALE_SRC_RUNTIME_LINE_BOOT_CLOCK_H_
