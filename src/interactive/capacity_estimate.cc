// Learned capacity of a database member.
#include "src/interactive/capacity_estimate.h"

#include <algorithm>
#include <cmath>

namespace tarragondale::interactive {
namespace {

// Samples lose weight with this time constant. Long enough to average over tens
// of statements at usual rates, short enough to follow a change within 2 s.
constexpr duration kMemory = milliseconds(400);
// Weight of the assumption that a member has the usual speed, in samples.
constexpr double kPriorWeight = 1;
// A member without an answer for this long is idle; its limit and its own speed
// are forgotten.
constexpr duration kIdleTime = milliseconds(1'000);
// Most samples between two adjustments of the limit. The standard error of
// their average logarithm is about 0.15.
constexpr int kWindow = 24;
// A slow member is judged by fewer samples after this time.
constexpr int kShortWindow = 6;
constexpr duration kWindowTime = milliseconds(1'000);
// Fewest samples of a window that ends early enough. The first answers after a
// change are those of short statements, which small windows would overrate.
constexpr int kLeastWindow = 12;
// Difference of logarithms that counts as slowed down by concurrency if half
// the cap is in use: 1.4 times as slow. With more in use, less is tolerated,
// and the reverse, which drives VMs that judge a member differently towards
// each other.
constexpr double kTolerance = 0.3;
constexpr double kFairness = 0.35;
// Samples between two adjustments, and the reciprocal of the growth in one, are
// this many times the limit, so that all VMs grow by the same step in a given
// time. Large limits, which serve distant members, grow faster.
constexpr double kGrowth = 6;
// The limit is first reduced if the excess is above this.
constexpr double kStartMargin = 0.35;
// The limit grows by a full step if the logarithm is this much below what is
// tolerated, and by less near it, but at least by a part of `kLeastGrowth`.
constexpr double kFullGrowth = 0.4;
constexpr double kLeastGrowth = 0.1;
// Lowest factor of one reduction of the limit.
constexpr double kLowestFactor = 0.25;
// The limit is reduced only if at least this part of it was used.
constexpr double kUsedPart = 0.6;
// Response times whose logarithms differ by less than this count as unchanged
// after the limit was raised from 1 to 2. Queueing alone makes a difference of
// 0.7.
constexpr double kUnchanged = 0.45;
// After a reduction, response times that fell by less than this power of the
// concurrency count as unchanged. Queueing alone makes a power of 1. A member
// that is slow by itself must not stay limited, so doubt counts in its favour.
constexpr double kUnchangedPower = 0.8;
// Comparisons of a reduced and of a raised limit need concurrencies that differ
// by these factors.
constexpr double kReducedFactor = 2.5;
constexpr double kRaisedFactor = 1.8;
// The limit up to which it is judged whether the reduction made a difference.
constexpr double kJudgedLimit = 2;
// Slow windows at the lowest limit before a limit of 2 is tried.
constexpr int kWindowsAtOne = 2;
// The own speed follows lower ratios within about this many samples.
constexpr int kOwnSpeedSamples = 8;
// A speed below the usual is forgotten with this time constant.
constexpr duration kOwnSpeedMemory = seconds(10);
// The same for a speed above the usual, which is measured regularly.
constexpr duration kFastMemory = seconds(20);
// Samples and longest time of a measurement at low concurrency, and the time
// between two: at least `kMeasurementInterval`, and `kMeasurementShare` times
// as long as the last one took, which bounds the lost work.
constexpr int kMeasuredSamples = 8;
constexpr double kMeasuredDivisor = 4;
constexpr double kMeasuredPart = 0.7;
constexpr duration kMeasurementLimit = milliseconds(400);
constexpr duration kMeasurementInterval = milliseconds(3'000);
constexpr int kMeasurementShare = 30;

double Ratio(duration part, duration whole) {
  return static_cast<double>(part.count()) / static_cast<double>(whole.count());
}

duration Between(time_point from, time_point to) {
  return std::chrono::duration_cast<duration>(to - from);
}

}  // namespace

double CapacityCap(int slots, duration round_trip, duration service) {
  constexpr duration kShortestService = milliseconds(1);
  return std::max(1, slots) *
             (1 + Ratio(round_trip, std::max(service, kShortestService))) +
         1;
}

int LowConcurrency(int slots) {
  return std::max(1, slots / 3);
}

void capacity_estimate::OnDone(double ratio,
                               int ahead,
                               int slots,
                               double cap,
                               time_point sent,
                               time_point now) {
  if (Idle(now)) {
    limit_ = kNoLimit;
    own_speed_ = 0;
    reference_ = {};
    measuring_ = false;
    measured_at_ = now;
    window_samples_ = 0;
  }
  limit_ = std::min(limit_, std::max(1.0, cap));
  const double log_ratio = std::log(ratio);
  const time_point updated = updated_;
  AddRecent(log_ratio, ahead, now);
  // A wrong judgement is forgotten, and a right one is made again.
  own_speed_ *= std::exp(-Ratio(
      Between(updated, now), own_speed_ > 0 ? kOwnSpeedMemory : kFastMemory));
  const double recent = std::max(0.0, std::log(Slowness(now)));
  if (recent < own_speed_) {
    own_speed_ += (recent - own_speed_) / kOwnSpeedSamples;
  }
  if (measuring_) {
    return Measure(log_ratio, ahead, now);
  }
  if (sent < changed_at_) {
    return;
  }
  if (window_samples_ == 0) {
    window_started_ = now;
    window_sum_ = 0;
    window_ahead_sum_ = 0;
  }
  window_sum_ += log_ratio;
  window_ahead_sum_ += ahead;
  ++window_samples_;
  const int wanted = static_cast<int>(
      std::clamp(kGrowth * limit_, double{kLeastWindow}, double{kWindow}));
  if (window_samples_ >= wanted ||
      (window_samples_ >= kShortWindow &&
       Between(window_started_, now) >= kWindowTime)) {
    AdjustLimit(slots, cap, now);
    window_samples_ = 0;
  }
}

void capacity_estimate::OnUnanswered(double ratio, int ahead, time_point now) {
  if (ratio > Slowness(now)) {
    AddRecent(std::log(ratio), ahead, now);
  }
}

double capacity_estimate::Slowness(time_point now) const {
  const double decay = Decay(now);
  return std::exp(log_sum_ * decay / (kPriorWeight + weight_ * decay));
}

double capacity_estimate::Expected(int in_flight,
                                   int slots,
                                   time_point now) const {
  const double decay = Decay(now);
  const double usual = ahead_sum_ * decay / (kPriorWeight + weight_ * decay);
  const double places = std::max(1, slots);
  return Slowness(now) * (places + in_flight) / (places + usual);
}

double capacity_estimate::Limit(double cap, time_point now) const {
  const double learned = LearnedLimit(cap, now);
  const bool measures = measuring_ && !Idle(now) &&
                        Between(measuring_since_, now) < kMeasurementLimit;
  return measures ? std::min<double>(learned, measuring_limit_) : learned;
}

double capacity_estimate::LearnedLimit(double cap, time_point now) const {
  return Idle(now) ? cap : std::clamp(limit_, 1.0, std::max(1.0, cap));
}

void capacity_estimate::AddRecent(double log_ratio, int ahead, time_point now) {
  const double decay = Decay(now);
  log_sum_ = log_sum_ * decay + log_ratio;
  ahead_sum_ = ahead_sum_ * decay + ahead;
  weight_ = weight_ * decay + 1;
  updated_ = now;
}

// Lowers the member's own speed if it is faster at low concurrency. The
// opposite proves nothing, since other VMs may load the member meanwhile.
void capacity_estimate::Measure(double log_ratio, int ahead, time_point now) {
  if (ahead < measuring_limit_) {
    measured_sum_ += log_ratio;
    ++measured_samples_;
  }
  if (measured_samples_ < kMeasuredSamples &&
      Between(measuring_since_, now) < kMeasurementLimit) {
    return;
  }
  if (measured_samples_ == kMeasuredSamples) {
    const double measured = measured_sum_ / measured_samples_;
    own_speed_ += kMeasuredPart *
                  (std::min(measured, std::max(0.0, own_speed_)) - own_speed_);
  }
  measuring_ = false;
  measurement_took_ = Between(measuring_since_, now);
  measured_at_ = now;
  changed_at_ = now;
}

void capacity_estimate::AdjustLimit(int slots, double cap, time_point now) {
  const double used = window_ahead_sum_ / window_samples_ + 1;
  const level present = {used, window_sum_ / window_samples_};
  const bool in_use = used >= limit_ * kUsedPart;
  const double tolerated =
      kTolerance +
      kFairness * std::max(0.0, std::log(std::max(1.0, cap / 2) / used));
  const double excess = present.log_ratio - own_speed_ - tolerated;
  const bool limited = limit_ < cap;
  if (excess > (limited ? 0 : kStartMargin)) {
    if (in_use) {
      AdjustSlow(present, excess, now);
    }
    return;
  }
  windows_at_one_ = 0;
  reference_ = {};
  const double step =
      std::min(1.0, std::max(kGrowth / limit_, limit_ / kGrowth / kGrowth));
  limit_ += step * std::clamp(-excess / kFullGrowth, kLeastGrowth, 1.0);
  if (in_use && used > LowConcurrency(slots) + 1 &&
      Between(measured_at_, now) >
          std::max(kMeasurementInterval,
                   kMeasurementShare * measurement_took_)) {
    measuring_ = true;
    // Fewer would leave the way to a distant member empty.
    measuring_limit_ = std::max(LowConcurrency(slots),
                                static_cast<int>(used / kMeasuredDivisor));
    measuring_since_ = now;
    measured_sum_ = 0;
    measured_samples_ = 0;
  }
}

// Handles a window of slow answers while the limit is in use. Whether
// concurrency is the cause is judged only at the lowest limit, since the other
// VMs that see slow answers have reduced theirs by then, too.
void capacity_estimate::AdjustSlow(const level& present,
                                   double excess,
                                   time_point now) {
  if (reference_.concurrency == 0) {
    reference_ = present;
  }
  const double slower = present.log_ratio - reference_.log_ratio;
  if (limit_ <= kJudgedLimit &&
      present.concurrency * kReducedFactor <= reference_.concurrency) {
    const double change =
        std::log(reference_.concurrency / present.concurrency);
    if (slower > -kUnchangedPower * change) {
      return SetOwnSpeed(present.log_ratio, reference_.concurrency, now);
    }
    reference_ = present;
  }
  if (present.concurrency >= reference_.concurrency * kRaisedFactor) {
    if (slower < kUnchanged) {
      return SetOwnSpeed(reference_.log_ratio, present.concurrency, now);
    }
    reference_ = present;
    return SetLimit(1, now);
  }
  if (limit_ > 1) {
    windows_at_one_ = 0;
    return SetLimit(std::min(limit_, present.concurrency) *
                        std::max(kLowestFactor, std::exp(-excess)),
                    now);
  }
  if (++windows_at_one_ >= kWindowsAtOne) {
    windows_at_one_ = 0;
    reference_ = present;
    SetLimit(2, now);
  }
}

void capacity_estimate::SetOwnSpeed(double log_ratio,
                                    double limit,
                                    time_point now) {
  own_speed_ = log_ratio;
  reference_ = {};
  windows_at_one_ = 0;
  SetLimit(limit + 1, now);
}

void capacity_estimate::SetLimit(double limit, time_point now) {
  limit_ = std::max(1.0, limit);
  changed_at_ = now;
}

bool capacity_estimate::Idle(time_point now) const {
  return Between(updated_, now) > kIdleTime;
}

double capacity_estimate::Decay(time_point now) const {
  return std::exp(
      -Ratio(std::max(duration(0), Between(updated_, now)), kMemory));
}

}  // namespace tarragondale::interactive
