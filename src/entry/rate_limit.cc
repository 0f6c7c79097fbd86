// Rate and burst of organisations.
#include "src/entry/rate_limit.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace tarragondale::entry {
namespace {

// Retry-After of an organisation that this VM admits nothing of.
constexpr duration kNoShareRetry = seconds(1);

// Buckets kept for removed organisations; bounds the memory.
constexpr size_t kMaxRemoved = 1'000;

// VMs that leave refuse new requests and need no part of the rate.
bool Serves(const wire::vm_record& vm) {
  return vm.state == wire::vm_state::kAlive ||
         vm.state == wire::vm_state::kSuspect;
}

uint64_t Weight(std::string_view organisation, std::string_view vm) {
  const uint64_t seed = XXH3_64bits(organisation.data(), organisation.size());
  return XXH3_64bits_withSeed(vm.data(), vm.size(), seed);
}

// Number of VMs that go before this one in the organisation's order.
size_t RankOfSelf(std::string_view organisation,
                  const fleet::fleet_view& view) {
  const auto self =
      std::pair(Weight(organisation, view.self), std::string_view(view.self));
  return static_cast<size_t>(std::count_if(
      view.vms.begin(), view.vms.end(), [&](const wire::vm_record& vm) {
        return Serves(vm) && std::pair(Weight(organisation, vm.name),
                                       std::string_view(vm.name)) > self;
      }));
}

}  // namespace

config::organisation_limit static_split::Share(
    std::string_view organisation,
    const config::organisation_limit& limit,
    const fleet::fleet_view& view) const {
  const auto live = static_cast<double>(
      std::count_if(view.vms.begin(), view.vms.end(), Serves));
  double parts = std::max(1.0, live);
  if (limit.burst < parts) {
    parts = std::max(1.0, std::floor(limit.burst));
    if (static_cast<double>(RankOfSelf(organisation, view)) >= parts) {
      return {.rate = 0, .burst = 0};
    }
  }
  return {.rate = limit.rate / parts, .burst = limit.burst / parts};
}

rate_limiter::rate_limiter(std::unique_ptr<rate_share> share)
    : share_(std::move(share)) {}

void rate_limiter::Update(time_point now,
                          const config::configuration& configuration,
                          const fleet::fleet_view& view) {
  std::map<std::string_view, config::organisation_limit> limits;
  for (const auto& [name, route] : configuration.routes) {
    for (const auto& [organisation, limit] : route.organisations) {
      limits.emplace(organisation, limit);
    }
  }
  for (const auto& [organisation, limit] : limits) {
    const config::organisation_limit part =
        share_->Share(organisation, limit, view);
    const auto bucket = buckets_.find(organisation);
    if (bucket != buckets_.end()) {
      bucket->second.SetLimit(part.rate, part.burst, now);
    } else {
      const double level = first_update_ ? 0 : part.burst;
      buckets_.emplace(organisation,
                       token_bucket(part.rate, part.burst, level, now));
    }
  }
  Remove(now,
         [&limits](std::string_view name) { return !limits.contains(name); });
  first_update_ = false;
}

void rate_limiter::Remove(time_point now,
                          const std::function<bool(std::string_view)>& gone) {
  size_t kept = 0;
  for (auto bucket = buckets_.begin(); bucket != buckets_.end();) {
    if (!gone(bucket->first)) {
      ++bucket;
    } else if (++kept > kMaxRemoved) {
      bucket = buckets_.erase(bucket);
    } else {
      bucket->second.SetLimit(0, 0, now);
      ++bucket;
    }
  }
}

bool rate_limiter::Admit(time_point now, std::string_view organisation) {
  const auto bucket = buckets_.find(organisation);
  return bucket != buckets_.end() && bucket->second.Take(now);
}

duration rate_limiter::RetryAfter(std::string_view organisation) const {
  const auto bucket = buckets_.find(organisation);
  if (bucket == buckets_.end()) {
    return kNoShareRetry;
  }
  const duration wait = bucket->second.UntilNext();
  return wait.count() < 0 ? kNoShareRetry : wait;
}

}  // namespace tarragondale::entry
