// Time types. Decision libraries receive the time as an argument and never
// read a clock.
#ifndef TARRAGONDALE_BASE_TIME_H_
#define TARRAGONDALE_BASE_TIME_H_

#include <chrono>
#include <cstdint>

namespace tarragondale {

/// @brief Monotonic time. In tests it is virtual and starts at zero.
using time_point = std::chrono::steady_clock::time_point;

/// @brief Time span in microseconds.
using duration = std::chrono::microseconds;

using std::chrono::milliseconds;
using std::chrono::seconds;

/// @brief Monotonic time `ms` milliseconds after the clock's origin.
constexpr time_point TimeFromMs(int64_t ms) {
  return time_point(milliseconds(ms));
}

/// @brief Whole milliseconds of a time span, rounded down.
template <typename Duration>
constexpr int64_t ToMs(Duration span) {
  return std::chrono::duration_cast<milliseconds>(span).count();
}

}  // namespace tarragondale

#endif  // TARRAGONDALE_BASE_TIME_H_
