// Public header of the telemetry library: counters, gauges and latency
// histograms, and their text in the Prometheus exposition format.
#ifndef TARRAGONDALE_TELEMETRY_H_
#define TARRAGONDALE_TELEMETRY_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "tarragondale/base.h"

namespace tarragondale::telemetry {

/// @brief Names and values of labels, in the order of the output. Names are
/// fixed in code; values may be any text.
using labels = std::vector<std::pair<std::string, std::string>>;

/// @brief Count that only rises. Thread-safe.
class counter {
 public:
  void Add(uint64_t count = 1) {
    value_.fetch_add(count, std::memory_order_relaxed);
  }
  uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<uint64_t> value_{0};
};

/// @brief Value that rises and falls. Thread-safe.
class gauge {
 public:
  void Set(int64_t value) { value_.store(value, std::memory_order_relaxed); }
  void Add(int64_t change) {
    value_.fetch_add(change, std::memory_order_relaxed);
  }
  int64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<int64_t> value_{0};
};

/// @brief Distribution of time spans in log-spaced bins from 50 µs to 60 s.
/// Shorter and longer spans are counted in the first bucket and in `+Inf`.
/// Thread-safe.
class latency_histogram {
 public:
  latency_histogram();
  ~latency_histogram();
  latency_histogram(const latency_histogram&) = delete;
  latency_histogram& operator=(const latency_histogram&) = delete;

  void Record(duration span);

  struct bucket {
    double upper_s = 0;  ///< Upper edge in seconds; infinite for the last.
    uint64_t count = 0;  ///< Spans up to the edge.
  };
  /// @brief Cumulative buckets, rising.
  std::vector<bucket> Buckets() const;
  /// @brief Sum of all spans in seconds.
  double SumSeconds() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

/// @brief Owns all metrics of a program. Thread-safe; keep the references,
/// since looking a metric up takes a lock. References live as long as the
/// registry. Metrics of one name share kind and help; a second kind under one
/// name, or more than `kMaxSeries` label sets, is logged once and gives a
/// metric that counts but is not in the text.
class registry {
 public:
  /// Bounds memory and the size of the text if a label takes many values.
  static constexpr size_t kMaxSeries = 10000;

  registry();
  ~registry();
  registry(const registry&) = delete;
  registry& operator=(const registry&) = delete;

  counter& Counter(std::string_view name,
                   std::string_view help,
                   const labels& of = {});
  gauge& Gauge(std::string_view name,
               std::string_view help,
               const labels& of = {});
  latency_histogram& Histogram(std::string_view name,
                               std::string_view help,
                               const labels& of = {});

  /// @brief All metrics, ordered by name and labels.
  std::string PrometheusText() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace tarragondale::telemetry

#endif  // TARRAGONDALE_TELEMETRY_H_
