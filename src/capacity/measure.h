// Measuring tools of the capacity program: processor time, allocated memory,
// and the list of figures that it prints.
#ifndef TARRAGONDALE_SRC_CAPACITY_MEASURE_H_
#define TARRAGONDALE_SRC_CAPACITY_MEASURE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace tarragondale::capacity {

/// @brief One measured value.
struct figure {
  std::string name;  ///< `<role>.<value>`, with `@<n>` for a size.
  double value = 0;
  std::string unit;
  std::string conditions;
};

class figure_list {
 public:
  void Add(std::string name,
           double value,
           std::string unit,
           std::string conditions);
  const std::vector<figure>& figures() const { return figures_; }
  std::string Table() const;
  std::string Json() const;

 private:
  std::vector<figure> figures_;
};

/// @brief Processor time of the calling thread since construction.
class cpu_timer {
 public:
  cpu_timer();
  double Microseconds() const;

 private:
  int64_t start_ns_;
};

/// @brief Bytes that operator new has handed out and not got back, over all
/// threads: usable size of each block and the allocator's header.
int64_t LiveBytes();

/// @brief Resident memory of the process in bytes.
int64_t ResidentBytes();

}  // namespace tarragondale::capacity

#endif  // TARRAGONDALE_SRC_CAPACITY_MEASURE_H_
