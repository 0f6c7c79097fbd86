// Tracks whether the configuration of this VM is known to be recent.
#include <algorithm>

#include "tarragondale/fleet.h"

namespace tarragondale::fleet {

freshness_tracker::freshness_tracker(duration limit, std::string store_region)
    : limit_(limit), store_region_(std::move(store_region)) {}

void freshness_tracker::OnStoreAnswer(time_point now, int64_t version) {
  AddObservation({now, version});
}

void freshness_tracker::OnVmHeard(time_point now, const vm_heard& heard) {
  last_heard_[heard.vm] = now;
  if (heard.freshness.age_ms >= 0) {
    AddObservation(
        {now - milliseconds(heard.freshness.age_ms), heard.freshness.version});
  }
}

void freshness_tracker::OnApplied(int64_t version) {
  applied_ = std::max(applied_, version);
  UpdateCurrentTime();
}

bool freshness_tracker::IsCurrent(time_point now) const {
  if (current_at_ && now - *current_at_ <= limit_) {
    return true;
  }
  return newest_ && applied_ >= newest_->version &&
         ReachesStoreRegionMajority(now);
}

wire::configuration_freshness freshness_tracker::Freshness(
    time_point now) const {
  if (!newest_) {
    return {};
  }
  return {newest_->version, std::max<int64_t>(0, ToMs(now - newest_->at))};
}

void freshness_tracker::AddObservation(const observation& observation) {
  // Observations that are not later than the newest one are ignored: versions
  // only increase, so they normally hold nothing new. An age reported by
  // another VM does not include the time in transit, so the time computed from
  // it may be too late, and an observation that seems later may have a lower
  // version. The higher version is therefore kept.
  if (!newest_ || observation.at > newest_->at) {
    const int64_t version =
        newest_ ? std::max(newest_->version, observation.version)
                : observation.version;
    newest_ = {observation.at, version};
  }
  UpdateCurrentTime();
}

void freshness_tracker::UpdateCurrentTime() {
  if (newest_ && applied_ >= newest_->version) {
    current_at_ =
        current_at_ ? std::max(*current_at_, newest_->at) : newest_->at;
  }
}

bool freshness_tracker::ReachesStoreRegionMajority(time_point now) const {
  if (!view_) {
    return false;
  }
  size_t known = 0;
  size_t reached = 0;
  for (const wire::vm_record& vm : view_->vms) {
    if (vm.region != store_region_) {
      continue;
    }
    ++known;
    const auto found = last_heard_.find(vm.name);
    const bool heard =
        found != last_heard_.end() && now - found->second <= limit_;
    reached += heard || vm.name == view_->self ? 1 : 0;
  }
  return known > 0 && 2 * reached > known;
}

}  // namespace tarragondale::fleet
