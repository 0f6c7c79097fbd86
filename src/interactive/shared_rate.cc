// Token bucket that all VMs of the fleet share.
#include "src/interactive/shared_rate.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tarragondale::interactive {
namespace {

// What users are promised: in any window, at most `kPromiseExcess` more than
// rate and burst allow, and `kPromiseSlack` operations. Both exist because VMs
// hear of each other's operations late.
constexpr double kPromiseWindowSeconds = 5;
constexpr double kPromiseExcess = 0.1;
constexpr double kPromiseSlack = 20;
// Part of that allowance that VMs may spend ahead of the reports. The rest is
// left for VMs that restart and for demand that moves between VMs.
constexpr double kOverdraftPart = 0.5;
// Average time until all VMs have debited an operation: up to three digests at
// random times in intervals of 500 ms.
constexpr double kReportLagSeconds = 0.75;
// While a report is later than this, own operations count as unknown to others.
constexpr duration kLateReport = milliseconds(600);
// A VM whose report is older than this is not heard: two digest intervals and
// the delay of one.
constexpr duration kReportLifetime = milliseconds(1'200);
constexpr double kUnheardSeconds = 1.2;
// Growth of an organisation's demand that is allowed for while VMs are silent.
constexpr double kPresumedGrowth = 1.5;
// An outdated reporter is forgotten after this; VMs change their relays.
constexpr duration kReporterLifetime = seconds(60);
// Time constant of the average of recent demand.
constexpr double kDemandSpanSeconds = 1.0;
// Demand, as a fraction of the rate, below which shares do not grow further:
// VMs that all turn busy at once do not know of each other yet.
constexpr double kShareBase = 1.0;
// Demand that a VM may show before the other VMs know of it, per second.
// The factor covers random fluctuation.
constexpr double kUnknownDemand = 1.0;
constexpr double kUnknownDemandFactor = 1.2;
// Added to both sides when the growth of demand is estimated.
constexpr double kGrowthNoise = 3.0;
// Initial fill of the bucket, as a fraction of the burst. Other VMs may have
// spent the rest.
constexpr double kInitialFillFraction = 0.25;
// For this long after the start, VMs without a report are not taken for absent
// once any VM was heard, and a VM has `kStartupShareFactor` times an equal
// share, at most `kMaxStartupShare`.
constexpr duration kStartupPeriod = milliseconds(2'000);
constexpr double kStartupShareFactor = 2.0;
constexpr double kMaxStartupShare = 0.5;
// Longest step in which the set of VMs that are heard is taken for constant.
constexpr duration kLongestStep = milliseconds(200);
constexpr duration kLongestAdvance = seconds(60);
// Bounds of the time after which a refused caller retries. Callers give up
// operations that take longer.
constexpr duration kShortestRetry = milliseconds(100);
constexpr duration kLongestRetry = milliseconds(2'000);
constexpr double kOneToken = 1 - 1e-9;

double Elapsed(time_point from, time_point to) {
  return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

}  // namespace

shared_rate_limiter::shared_rate_limiter(double rate,
                                         double burst,
                                         int vms,
                                         time_point now,
                                         uint64_t seed)
    : rate_(rate),
      burst_(burst),
      vms_(vms),
      balance_(vms <= 1 ? burst : burst * kInitialFillFraction),
      started_(now),
      updated_(now),
      demand_updated_(now),
      promised_until_(now),
      threshold_drawn_(now),
      random_(static_cast<std::minstd_rand::result_type>(seed)) {
  threshold_ = std::uniform_real_distribution<double>(0, 1)(random_);
}

void shared_rate_limiter::SetLimit(double rate, double burst, time_point now) {
  Advance(now);
  rate_ = rate;
  burst_ = burst;
  balance_ = std::min(balance_, burst_);
  withheld_ = std::min(withheld_, burst_);
}

bool shared_rate_limiter::TryAcquire(time_point now) {
  CountDemand(now);
  return TryAgain(now);
}

bool shared_rate_limiter::TryAgain(time_point now) {
  Advance(now);
  if (Elapsed(threshold_drawn_, now) >= kReportLagSeconds) {
    threshold_ = std::uniform_real_distribution<double>(0, 1)(random_);
    threshold_drawn_ = now;
  }
  const double overdraft = Overdraft();
  const double limit = Share(now) * (balance_ + unconfirmed_ + overdraft);
  if (balance_ + overdraft < kOneToken || unconfirmed_ + threshold_ > limit) {
    return false;
  }
  balance_ -= 1;
  unconfirmed_ += 1;
  ++admitted_;
  return true;
}

duration shared_rate_limiter::ExpectedWait(time_point now, size_t ahead) const {
  const double rate = rate_ * (1 - absent_);
  if (rate <= 0) {
    return kLongestRetry;
  }
  const double debt = std::max(0.0, -balance_ - Overdraft());
  const double tokens = static_cast<double>(ahead) + 1;
  return duration(static_cast<int64_t>(
      std::min((debt / rate + tokens / (rate * Share(now))),
               std::chrono::duration<double>(kLongestRetry).count()) *
      1e6));
}

duration shared_rate_limiter::RetryAfter(time_point now, size_t ahead) {
  const duration earliest =
      std::max<duration>(kShortestRetry, ExpectedWait(now, ahead));
  const duration one = ExpectedWait(now, 1) - ExpectedWait(now, 0);
  promised_until_ = std::max<time_point>(promised_until_ + one, now + earliest);
  if (promised_until_ > now + kLongestRetry) {
    // More callers than tokens; they share them by chance.
    promised_until_ = now + kLongestRetry;
    return std::uniform_int_distribution<int64_t>(
               kShortestRetry.count(), kLongestRetry.count())(random_) *
           duration(1);
  }
  return std::chrono::duration_cast<duration>(promised_until_ - now);
}

void shared_rate_limiter::OnReport(std::string_view vm,
                                   double operations,
                                   double demand_per_s,
                                   int counted_vms,
                                   time_point now) {
  Advance(now);
  const auto known = peers_.find(vm);
  if (known != peers_.end() && (now - known->second.heard > kReportLifetime ||
                                counted_vms > known->second.counted_vms)) {
    // When they ran is not known: they may have used tokens of the burst.
    for (double* const tokens : {&withheld_, &credit_}) {
      const double used = std::min(operations, *tokens);
      *tokens -= used;
      operations -= used;
    }
  }
  // Older operations lie outside every window of the promise.
  const double least = -burst_ - rate_ * kPromiseWindowSeconds;
  balance_ = std::max(balance_ - operations, std::min(balance_, least));
  OnHeard(vm, counted_vms, now);
  peers_.find(vm)->second.demand_per_s = demand_per_s;
  if (Starting(now) && DemandPerSecond(now) + OthersDemand(now) >= rate_) {
    balance_ = std::min(balance_, 0.0);  // The bucket must be empty.
  }
}

void shared_rate_limiter::OnHeard(std::string_view vm,
                                  int counted_vms,
                                  time_point now) {
  Advance(now);
  const auto [found, added] = peers_.try_emplace(std::string(vm));
  const bool first = std::exchange(found->second.restarted, false) || added;
  if (first && !Starting(now)) {
    // The first report of a VM lacks what it counted before: what the others
    // may have admitted since the last report of a former relay.
    withheld_ = 0;
    duration gap = kReporterLifetime;
    double demand = 0;
    for (const auto& [name, each] : peers_) {
      if (name != vm) {
        gap = std::min<duration>(
            gap, std::chrono::duration_cast<duration>(now - each.heard));
        demand += each.demand_per_s;
      }
    }
    if (peers_.size() > 1 && gap > kLateReport) {
      balance_ -= std::min(rate_, demand) *
                  std::min(Elapsed(now, now + gap), kPromiseWindowSeconds);
    }
  }
  peer& reporter = found->second;
  reporter.counted_vms = counted_vms;
  reporter.heard = now;
  reporter.own_demand_per_s = DemandPerSecond(now);
  UpdateAbsent(now);
  std::erase_if(peers_, [&](const auto& each) {
    const auto age = now - each.second.heard;
    return age > kReporterLifetime || (age > kReportLifetime && absent_ <= 0);
  });
}

void shared_rate_limiter::OnRestartedReports(std::string_view vm) {
  const auto found = peers_.find(vm);
  if (found != peers_.end()) {
    found->second.restarted = true;
  }
}

double shared_rate_limiter::DemandPerSecond(time_point now) const {
  return demand_ *
         std::exp(-Elapsed(demand_updated_, now) / kDemandSpanSeconds);
}

// Two averages in a row with the same time constant: the second one lags behind
// the first as the other VMs do.
void shared_rate_limiter::CountDemand(time_point now) {
  const double spans = Elapsed(demand_updated_, now) / kDemandSpanSeconds;
  const double kept = std::exp(-spans);
  known_demand_ = (known_demand_ + demand_ * spans) * kept;
  demand_ = demand_ * kept + 1 / kDemandSpanSeconds;
  demand_updated_ = std::max(demand_updated_, now);
}

void shared_rate_limiter::Advance(time_point now) {
  updated_ = std::max(updated_, now - kLongestAdvance);
  while (updated_ < now) {
    AdvanceStep(std::min<time_point>(now, updated_ + kLongestStep));
  }
}

void shared_rate_limiter::AdvanceStep(time_point now) {
  const double elapsed = Elapsed(updated_, now);
  updated_ = now;
  UpdateAbsent(now);
  const double tokens = elapsed * rate_;
  balance_ = std::min(std::max(balance_, burst_ * (1 - absent_)),
                      balance_ + tokens * (1 - absent_));
  const double kept =
      std::min(tokens * absent_, std::max(0.0, burst_ * absent_ - withheld_));
  withheld_ += kept;
  credit_ = std::min(credit_ + tokens * absent_ - kept,
                     rate_ * Elapsed(now, now + kLongestAdvance));
  const bool late =
      std::any_of(peers_.begin(), peers_.end(), [&](const auto& each) {
        const auto age = now - each.second.heard;
        return age > kLateReport && age <= kReportLifetime;
      });
  if (!late) {
    unconfirmed_ *= std::exp(-elapsed / kReportLagSeconds);
  }
}

// Withholds tokens for VMs that are no longer heard, and releases those of VMs
// that are heard again.
void shared_rate_limiter::UpdateAbsent(time_point now) {
  int heard = 1;
  for (const auto& [name, each] : peers_) {
    heard += now - each.heard <= kReportLifetime ? each.counted_vms : 0;
  }
  const int unheard = std::max(0, vms_ - heard);
  double absent = static_cast<double>(unheard) / std::max(1, vms_);
  if (Starting(now)) {
    // Restarted while it is cut off, or about to be heard.
    absent = peers_.empty() && vms_ > 1
                 ? 1 - std::min(kMaxStartupShare, kStartupShareFactor / vms_)
                 : 0;
  }
  if (absent > absent_) {
    const double part = (absent - absent_) / (1 - absent_);
    const double moved =
        part * std::max(0.0, balance_) + (Starting(now) ? 0 : Presumed(part));
    balance_ -= moved;
    withheld_ += moved;
  } else if (absent < absent_) {
    const double released = withheld_ * (absent_ - absent) / absent_;
    withheld_ -= released;
    balance_ = std::min(std::max(balance_, burst_ * (1 - absent)),
                        balance_ + released);
  }
  absent_ = absent;
  if (absent_ <= 0) {
    credit_ = 0;
  }
}

// Tokens that VMs that were just found absent, `part` of those that were heard,
// may have taken from the bucket since they were last heard. Demand below the
// rate leaves the bucket as it is, since it is refilled meanwhile.
double shared_rate_limiter::Presumed(double part) const {
  double demand = demand_;
  for (const auto& [name, each] : peers_) {
    demand += each.demand_per_s;
  }
  const double beyond_rate =
      std::max(0.0, demand * kPresumedGrowth - rate_) * kUnheardSeconds;
  return std::min(part * (Overdraft() + rate_ * kUnheardSeconds), beyond_rate);
}

bool shared_rate_limiter::Starting(time_point now) const {
  return now - started_ < kStartupPeriod;
}

// Operations that all VMs together may admit beyond the bucket before they hear
// of each other; the part of those that are heard.
double shared_rate_limiter::Overdraft() const {
  if (vms_ <= 1 || Elapsed(started_, updated_) < kPromiseWindowSeconds) {
    return 0;
  }
  const double allowance =
      kPromiseExcess * (rate_ * kPromiseWindowSeconds + burst_) + kPromiseSlack;
  return kOverdraftPart * allowance * (1 - absent_);
}

double shared_rate_limiter::OthersDemand(time_point now) const {
  const double own = DemandPerSecond(now);
  double sum = 0;
  for (const auto& [name, each] : peers_) {
    const auto age = now - each.heard;
    if (age > kReportLifetime) {
      continue;
    }
    // A late reporter may see the same surge as this VM.
    const double growth =
        age > kLateReport
            ? std::max(1.0, (own + kGrowthNoise) /
                                (each.own_demand_per_s + kGrowthNoise))
            : 1.0;
    sum += each.demand_per_s * growth;
  }
  return sum;
}

// This VM's part of what the VMs that are heard may spend.
double shared_rate_limiter::Share(time_point now) const {
  if (vms_ <= 1) {
    return 1;
  }
  const double base = std::max(1.0, kShareBase * rate_);
  const double present = std::max(1.0, vms_ * (1 - absent_));
  const double least =
      base / present * (Starting(now) ? kStartupShareFactor : 1);
  const double own = std::max(
      std::min(demand_, known_demand_ * kUnknownDemandFactor + kUnknownDemand),
      least);
  return std::min(1.0, own / std::max(own + OthersDemand(now), base));
}

}  // namespace tarragondale::interactive
