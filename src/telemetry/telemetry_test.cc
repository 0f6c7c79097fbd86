// Tests of the telemetry library.
#include "tarragondale/telemetry.h"

#include <gtest/gtest.h>

#include <thread>

namespace tarragondale::telemetry {
namespace {

TEST(RegistryTest, TextFollowsTheExpositionFormat) {
  registry all;
  all.Counter("requests_total", "Requests.", {{"route", "a\"b\\c\nd"}}).Add(3);
  all.Counter("requests_total", "Requests.", {{"route", "a\"b\\c\nd"}}).Add();
  all.Gauge("open", "Open\nconnections \\ \"all\".").Set(-2);
  EXPECT_EQ(all.PrometheusText(),
            "# HELP open Open\\nconnections \\\\ \"all\".\n# TYPE open gauge\n"
            "open -2\n# HELP requests_total Requests.\n"
            "# TYPE requests_total counter\n"
            "requests_total{route=\"a\\\"b\\\\c\\nd\"} 4\n");
}

// Guards against buckets that are not cumulative, or that lose spans outside
// the bins.
TEST(HistogramTest, EverySpanIsInExactlyOneBucket) {
  registry all;
  latency_histogram& spans = all.Histogram("t_seconds", "Time.", {{"k", "v"}});
  for (const int64_t us : {0, 10, 1000, 1000, 2000000, 100000000}) {
    spans.Record(duration(us));
  }
  const auto buckets = spans.Buckets();
  EXPECT_NEAR(buckets.front().upper_s, 50e-6, 1e-12);
  EXPECT_EQ(buckets.front().count, 2U);
  EXPECT_NEAR(buckets[buckets.size() - 2].upper_s, 60, 1e-9);
  EXPECT_EQ(buckets[buckets.size() - 2].count, 5U);
  EXPECT_EQ(buckets.back().count, 6U);
  for (size_t i = 1; i < buckets.size(); ++i) {
    EXPECT_GT(buckets[i].upper_s, buckets[i - 1].upper_s);
    EXPECT_GE(buckets[i].count, buckets[i - 1].count);
  }
  const std::string text = all.PrometheusText();
  EXPECT_NE(text.find("t_seconds_bucket{k=\"v\",le=\"5e-05\"} 2\n"),
            std::string::npos);
  EXPECT_NE(text.find("t_seconds_bucket{k=\"v\",le=\"+Inf\"} 6\n"
                      "t_seconds_sum{k=\"v\"} 102.00201\n"
                      "t_seconds_count{k=\"v\"} 6\n"),
            std::string::npos)
      << text;
}

// Guards against updates that threads lose to each other.
TEST(HistogramTest, ThreadsLoseNoUpdates) {
  constexpr int kRounds = 10000;
  registry all;
  const auto work = [&] {
    counter& count = all.Counter("c", "C.");
    latency_histogram& spans = all.Histogram("h", "H.");
    for (int i = 0; i < kRounds; ++i) {
      count.Add();
      spans.Record(duration(i));
    }
  };
  std::thread one(work);
  std::thread two(work);
  all.PrometheusText();
  one.join();
  two.join();
  EXPECT_EQ(all.Counter("c", "C.").value(), 2U * kRounds);
  EXPECT_EQ(all.Histogram("h", "H.").Buckets().back().count, 2U * kRounds);
}

// Guards against a label that grows the text and the memory without bound.
TEST(RegistryTest, SeriesAreBoundedAndKindsFixed) {
  registry all;
  for (size_t i = 0; i < registry::kMaxSeries + 5; ++i) {
    all.Counter("c", "C.", {{"i", fmt::to_string(i)}}).Add();
  }
  all.Gauge("c", "C.").Set(1);
  const std::string text = all.PrometheusText();
  EXPECT_EQ(std::count(text.begin(), text.end(), '\n'),
            static_cast<std::ptrdiff_t>(registry::kMaxSeries) + 2);
}

}  // namespace
}  // namespace tarragondale::telemetry
