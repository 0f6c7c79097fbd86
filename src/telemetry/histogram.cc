// Latency histogram on Boost.Histogram with atomic bins.
#include <boost/histogram.hpp>
#include <limits>

#include "tarragondale/telemetry.h"

namespace tarragondale::telemetry {
namespace {

namespace bh = boost::histogram;

constexpr double kShortestS = 50e-6;
constexpr double kLongestS = 60;
// Edges are a factor of 1.32 apart, so a quantile read from the buckets is off
// by less than a third.
constexpr unsigned kBins = 50;
constexpr double kMicrosecondsPerSecond = 1e6;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using atomic_bins = bh::dense_storage<bh::accumulators::thread_safe<uint64_t>>;

}  // namespace

class latency_histogram::impl {
 public:
  bh::histogram<std::tuple<log_axis>, atomic_bins> bins{
      std::make_tuple(log_axis(kBins, kShortestS, kLongestS)), atomic_bins()};
  std::atomic<int64_t> sum_us{0};
};

latency_histogram::latency_histogram() : impl_(std::make_unique<impl>()) {}
latency_histogram::~latency_histogram() = default;

void latency_histogram::Record(duration span) {
  impl_->bins(static_cast<double>(span.count()) / kMicrosecondsPerSecond);
  impl_->sum_us.fetch_add(span.count(), std::memory_order_relaxed);
}

std::vector<latency_histogram::bucket> latency_histogram::Buckets() const {
  const auto& axis = impl_->bins.axis();
  std::vector<bucket> buckets;
  uint64_t count = 0;
  // From the bin below the axis to the one above it.
  for (int i = -1; i <= axis.size(); ++i) {
    count += static_cast<uint64_t>(impl_->bins.at(i));
    const double upper = i < axis.size()
                             ? axis.value(i + 1)
                             : std::numeric_limits<double>::infinity();
    buckets.push_back({upper, count});
  }
  return buckets;
}

double latency_histogram::SumSeconds() const {
  return static_cast<double>(impl_->sum_us.load(std::memory_order_relaxed)) /
         kMicrosecondsPerSecond;
}

}  // namespace tarragondale::telemetry
