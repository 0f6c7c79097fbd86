// Tests of the learned capacity of a member and of the expected work.
#include "src/interactive/capacity_estimate.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <random>

#include "src/interactive/work_baselines.h"

namespace tarragondale::interactive {
namespace {

constexpr int kSlots = 4;
constexpr double kCap = 5;

// Samples with the noise of lognormal work, one each `kPause`.
class sampler {
 public:
  static constexpr duration kPause = milliseconds(10);

  void Add(capacity_estimate& to, double ratio, int ahead, int count) {
    for (int i = 0; i < count; ++i) {
      now_ += kPause;
      to.OnDone(noise_(random_) * ratio, ahead, kSlots, kCap, now_, now_);
    }
  }
  time_point now() const { return now_; }
  void Advance(duration span) { now_ += span; }

 private:
  std::mt19937_64 random_{7};
  std::lognormal_distribution<double> noise_{0, 0.7};
  time_point now_ = TimeFromMs(10'000);
};

TEST(CapacityEstimateTest, UnknownMemberHasTheUsualSpeedAndNoLimitBelowTheCap) {
  const capacity_estimate estimate;
  EXPECT_EQ(estimate.Slowness(TimeFromMs(10'000)), 1);
  EXPECT_EQ(estimate.Limit(kCap, TimeFromMs(10'000)), kCap);
}

// Guards against a member that is avoided for ever after it was slow.
TEST(CapacityEstimateTest, SlownessIsLearnedAndForgottenWithinTwoSeconds) {
  capacity_estimate estimate;
  sampler samples;
  samples.Add(estimate, 1, 0, 200);
  samples.Add(estimate, 5, 0, 200);
  EXPECT_GT(estimate.Slowness(samples.now()), 3.5);
  EXPECT_LT(estimate.Slowness(samples.now()), 7);
  // No statement is answered meanwhile.
  EXPECT_LT(estimate.Slowness(samples.now() + seconds(2)), 2);
}

// Guards against a limit below 1, at which nothing could find out that the
// member has recovered.
TEST(CapacityEstimateTest, LimitIsAtLeastOne) {
  capacity_estimate estimate;
  sampler samples;
  for (int i = 1; i < 60; ++i) {
    const double limit = estimate.Limit(kCap, samples.now());
    samples.Add(estimate, 50, static_cast<int>(limit), 12);
    EXPECT_GE(estimate.Limit(kCap, samples.now()), 1);
  }
}

TEST(CapacityEstimateTest, IdleMemberHasNoLimit) {
  capacity_estimate estimate;
  sampler samples;
  samples.Add(estimate, 1, 0, 100);
  for (int i = 4; i > 0; --i) {
    samples.Add(estimate, 3 * i, i, 30);
  }
  ASSERT_LT(estimate.LearnedLimit(kCap, samples.now()), kCap);
  samples.Advance(milliseconds(1'100));
  EXPECT_EQ(estimate.Limit(kCap, samples.now()), kCap);
}

// Guards against a member that stays limited although only its speed changed:
// at the lowest limit, the response times are the same.
TEST(CapacityEstimateTest, SlowMemberIsNotLimitedForLong) {
  capacity_estimate estimate;
  sampler samples;
  samples.Add(estimate, 1, 4, 100);
  double lowest = kCap;
  for (int i = 0; i < 200; ++i) {
    const double limit = estimate.Limit(kCap, samples.now());
    lowest = std::min(lowest, limit);
    samples.Add(estimate, 5, static_cast<int>(std::ceil(limit)) - 1, 1);
  }
  EXPECT_LT(lowest, 3);
  EXPECT_GE(estimate.LearnedLimit(kCap, samples.now()), 4);
}

// Response times that double with the concurrency mean that the member serves
// the fewest as fast as more.
TEST(CapacityEstimateTest, LimitShrinksWhileConcurrencySlowsTheMemberDown) {
  capacity_estimate estimate;
  sampler samples;
  samples.Add(estimate, 1, 0, 100);
  double sum = 0;
  for (int i = 0; i < 1'000; ++i) {
    const int ahead =
        static_cast<int>(std::ceil(estimate.Limit(kCap, samples.now()))) - 1;
    samples.Add(estimate, std::pow(2.0, ahead), ahead, 1);
    sum += i >= 500 ? ahead + 1 : 0;
  }
  EXPECT_LT(sum / 500, 3);
}

TEST(CapacityEstimateTest, CapAllowsForStatementsOnTheWay) {
  EXPECT_EQ(CapacityCap(4, milliseconds(0), milliseconds(20)), 5);
  EXPECT_EQ(CapacityCap(4, milliseconds(20), milliseconds(20)), 9);
  EXPECT_EQ(CapacityCap(4, milliseconds(1), duration(0)), 9);
}

// Guards against a mix of cheap and costly routes that looks like a slow
// member.
TEST(WorkBaselinesTest, RoutesAndKindsAreLearnedSeparately) {
  work_baselines work;
  const work_key cheap{"cheap", statement_kind::kRead};
  const work_key costly{"costly", statement_kind::kRead};
  for (int i = 0; i < 300; ++i) {
    work.Add(cheap, milliseconds(5), 1);
    work.Add(costly, milliseconds(47), 1);
  }
  EXPECT_NEAR(static_cast<double>(work.Typical(cheap).count()), 5'000, 50);
  EXPECT_NEAR(static_cast<double>(work.Mean(costly).count()), 47'000, 470);
}

// Guards against a slow member that becomes the usual within seconds.
TEST(WorkBaselinesTest, SlowMemberHardlyChangesTheBaseline) {
  work_baselines work;
  const work_key key{"r", statement_kind::kRead};
  for (int i = 0; i < 300; ++i) {
    work.Add(key, milliseconds(10), 1);
  }
  for (int i = 0; i < 300; ++i) {
    work.Add(key, milliseconds(50), 5);
  }
  EXPECT_LT(work.Typical(key), milliseconds(13));
}

}  // namespace
}  // namespace tarragondale::interactive
