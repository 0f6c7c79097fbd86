// Timers and output of the capacity program.
#include "src/capacity/measure.h"

#include <fmt/format.h>
#include <unistd.h>

#include <ctime>
#include <fstream>
#include <nlohmann/json.hpp>

namespace tarragondale::capacity {
namespace {

constexpr int64_t kNanosecondsPerSecond = 1'000'000'000;
constexpr double kNanosecondsPerMicrosecond = 1'000;

int64_t ThreadCpu() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return now.tv_sec * kNanosecondsPerSecond + now.tv_nsec;
}

}  // namespace

void figure_list::Add(std::string name,
                      double value,
                      std::string unit,
                      std::string conditions) {
  figures_.push_back(
      {std::move(name), value, std::move(unit), std::move(conditions)});
}

std::string figure_list::Table() const {
  std::string text;
  for (const figure& one : figures_) {
    text += fmt::format("{:<44} {:>14.2f} {:<12} {}\n", one.name, one.value,
                        one.unit, one.conditions);
  }
  return text;
}

std::string figure_list::Json() const {
  nlohmann::ordered_json rows = nlohmann::ordered_json::array();
  for (const figure& one : figures_) {
    rows.push_back({{"name", one.name},
                    {"value", one.value},
                    {"unit", one.unit},
                    {"conditions", one.conditions}});
  }
  return rows.dump(1) + "\n";
}

cpu_timer::cpu_timer() : start_ns_(ThreadCpu()) {}

double cpu_timer::Microseconds() const {
  return static_cast<double>(ThreadCpu() - start_ns_) /
         kNanosecondsPerMicrosecond;
}

int64_t ResidentBytes() {
  std::ifstream file("/proc/self/statm");
  int64_t size = 0;
  int64_t resident = 0;
  file >> size >> resident;
  return resident * sysconf(_SC_PAGESIZE);
}

}  // namespace tarragondale::capacity
