// Token bucket that all VMs of the fleet share.
#include "src/interactive/shared_rate.h"

#include <algorithm>
#include <cmath>

namespace tarragondale::interactive {
namespace {

// Equals the interval of usage reports between VMs.
constexpr duration kWindow = milliseconds(500);
// A VM without a report for this long is assumed to use an equal share.
constexpr duration kReportLifetime = milliseconds(2'500);
constexpr double kDemandSpanSeconds = 1.0;
// Recent demand is compared with the average over this time to detect a surge.
constexpr double kUsualSpanSeconds = 10.0;
// Keeps a few operations that happen to arrive together from counting as a
// surge.
constexpr double kChanceOperations = 3.0;
// Delay until operations that another VM admits are known here: two report
// intervals, since reports may pass through a relay.
constexpr double kReportLagSeconds = 1.0;
// Minimum share of a VM as a fraction of an equal share, so that a VM without
// demand so far can admit its first operations.
constexpr double kLeastPartOfEvenShare = 0.5;
// Initial fill of the bucket as a fraction of the burst, since other VMs may
// have spent the rest.
constexpr double kStartLevel = 0.5;
// Until the first report arrives, and for at most this long after the start, a
// VM may use a multiple of its equal share.
constexpr duration kStartSpan = milliseconds(2'000);
constexpr double kStartFactor = 2.0;
constexpr double kWhole = 1 - 1e-9;

double Seconds(duration span) {
  return std::chrono::duration<double>(span).count();
}

double Elapsed(time_point from, time_point to) {
  return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

}  // namespace

shared_rate::shared_rate(double rate,
                         double burst,
                         int vms,
                         time_point now,
                         uint64_t seed)
    : rate_(rate),
      burst_(burst),
      vms_(vms),
      balance_(burst * kStartLevel),
      started_(now),
      updated_(now),
      window_start_(now),
      demand_updated_(now),
      random_(static_cast<std::minstd_rand::result_type>(seed)) {
  StartWindow(now);
}

void shared_rate::SetLimit(double rate, double burst, time_point now) {
  Refill(now);
  rate_ = rate;
  burst_ = burst;
  balance_ = std::min(balance_, burst_);
  StartWindow(now);
}

bool shared_rate::Take(time_point now) {
  demand_sum_ = demand_sum_ * std::exp(-Elapsed(demand_updated_, now) /
                                       kDemandSpanSeconds) +
                1;
  usual_sum_ = usual_sum_ * std::exp(-Elapsed(demand_updated_, now) /
                                     kUsualSpanSeconds) +
               1;
  demand_updated_ = now;
  Refill(now);
  if (now - window_start_ >= kWindow) {
    StartWindow(now);
  }
  const bool within_share = window_allowance_ >= kWhole;
  if (balance_ < kWhole || (!within_share && balance_ < Reserve(now) + 1)) {
    return false;
  }
  balance_ -= 1;
  window_allowance_ = std::max(0.0, window_allowance_ - 1);
  ++admitted_;
  return true;
}

void shared_rate::OnReport(std::string_view vm,
                           double operations,
                           double demand_per_s,
                           int counted_vms,
                           time_point now) {
  Refill(now);
  balance_ -= operations;
  peer& reporter = peers_[std::string(vm)];
  reporter.demand_per_s = demand_per_s;
  reporter.counted_vms = counted_vms;
  reporter.heard = now;
  std::erase_if(peers_, [&](const auto& each) {
    return now - each.second.heard > kReportLifetime;
  });
}

duration shared_rate::UntilNext() const {
  if (rate_ <= 0) {
    return kWindow;
  }
  const double missing = std::max(1.0 - balance_, 0.0) / rate_;
  return std::max(duration(static_cast<int64_t>(missing * 1e6)), kWindow);
}

double shared_rate::DemandPerSecond(time_point now) const {
  return demand_sum_ *
         std::exp(-Elapsed(demand_updated_, now) / kDemandSpanSeconds) /
         kDemandSpanSeconds;
}

void shared_rate::Refill(time_point now) {
  const double known = 1.0 - PartUnheard(now);
  balance_ =
      std::min(burst_, balance_ + Elapsed(updated_, now) * rate_ * known);
  updated_ = std::max(updated_, now);
}

// A fractional token is rounded up at random with matching probability: with
// many VMs and few tokens, every VM's share is less than one token.
void shared_rate::StartWindow(time_point now) {
  window_start_ = now;
  const double tokens = std::max(0.0, balance_ + rate_ * Seconds(kWindow));
  const double allowance = Share(now) * tokens;
  const double whole = std::floor(allowance);
  std::bernoulli_distribution rounds_up(allowance - whole);
  window_allowance_ = whole + (rounds_up(random_) ? 1 : 0);
}

// Fraction of the VMs without a recent report; each may spend an equal share
// unnoticed. Zero just after the start, when no VM has reported yet and
// disconnected callers return all at once.
double shared_rate::PartUnheard(time_point now) const {
  if (now - started_ < kStartSpan) {
    return 0;
  }
  int heard = 1;
  for (const auto& [name, each] : peers_) {
    heard += each.counted_vms;
  }
  const int unheard = std::max(0, vms_ - heard);
  return static_cast<double>(unheard) / std::max(1, vms_);
}

// Upper estimate of the operations that other VMs have admitted and not yet
// reported. A surge of demand here is assumed to affect the other VMs as well.
double shared_rate::Reserve(time_point now) const {
  const double own = DemandPerSecond(now);
  const double usual =
      usual_sum_ *
      std::exp(-Elapsed(demand_updated_, now) / kUsualSpanSeconds) /
      kUsualSpanSeconds;
  const double surge =
      std::max(1.0, (own + kChanceOperations) / (usual + kChanceOperations));
  double others = 0;
  for (const auto& [name, each] : peers_) {
    others += each.demand_per_s;
  }
  const double unheard = PartUnheard(now) * burst_;
  return others * surge * kReportLagSeconds + unheard;
}

double shared_rate::Share(time_point now) const {
  const double even = 1.0 / std::max(1, vms_);
  if (vms_ <= 1) {
    return 1;
  }
  if (peers_.empty()) {
    return now - started_ < kStartSpan ? std::min(1.0, even * kStartFactor)
                                       : even;
  }
  const double own = DemandPerSecond(now);
  double total = own;
  for (const auto& [name, each] : peers_) {
    total += each.demand_per_s;
  }
  const double by_demand = total > 0 ? own / total : even;
  return std::max(by_demand, even * kLeastPartOfEvenShare);
}

}  // namespace tarragondale::interactive
