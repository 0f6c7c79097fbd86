// Bookkeeping of digests.
#include "src/runtime/line/fleet_exchange.h"

#include <algorithm>

namespace tarragondale::runtime {
namespace {

// Digests whose time of sending is kept for each VM.
constexpr size_t kKeptSends = 16;
// A VM that is not registered and was not heard for this long is forgotten.
constexpr duration kUnregisteredLifetime = seconds(10);
// Four intervals of a follower's digests.
constexpr duration kFollowerLifetime = seconds(2);
// Relays that are asked at once by a VM that follows none.
constexpr size_t kCandidates = 3;

wire::usage_scope ScopeFor(fleet_exchange::relation to) {
  switch (to) {
    case fleet_exchange::relation::kPeer:
      return wire::usage_scope::kFollowers;
    case fleet_exchange::relation::kFollower:
      return wire::usage_scope::kFleet;
    case fleet_exchange::relation::kHome:
    case fleet_exchange::relation::kCandidate:
      return wire::usage_scope::kOwn;
  }
  return wire::usage_scope::kOwn;
}

}  // namespace

std::vector<relay::vm> PlannedVms(
    const std::vector<leadership::vm_registration>& vms) {
  std::vector<relay::vm> planned;
  planned.reserve(vms.size());
  for (const leadership::vm_registration& vm : vms) {
    planned.push_back({vm.name, vm.availability_zone, vm.region, vm.capacity});
  }
  return planned;
}

void fleet_exchange::SetFleet(
    const std::vector<leadership::vm_registration>& vms) {
  for (auto& [name, each] : peers_) {
    each.registered = false;
  }
  for (const leadership::vm_registration& vm : vms) {
    if (vm.name == self_) {
      continue;
    }
    peer& known = peers_[vm.name];
    known.registered = true;
    known.address = vm.peer_address;
  }
  plan_.SetFleet(PlannedVms(vms));
  relay_zones_.clear();
  for (const relay::vm& each : plan_.Relays()) {
    relay_zones_[each.name] = each.availability_zone;
  }
  watch_plan_.SetRelays(plan_.Relays());
}

bool fleet_exchange::MustWatch(time_point now) const {
  const std::vector<std::string> watchers = watch_plan_.Watchers(now, sights_);
  // A VM that is not registered, as at its start, is in no plan.
  return watchers.size() < relay::watch_plan::kWatchers ||
         !relay_zones_.contains(self_) ||
         std::find(watchers.begin(), watchers.end(), self_) != watchers.end();
}

std::vector<std::string> fleet_exchange::FedRelays(time_point now) const {
  return watch_plan_.FedBySelf(watch_plan_.Watchers(now, sights_));
}

std::string fleet_exchange::NextOtherRelay() {
  const auto home = relay_zones_.find(home_);
  std::vector<std::string> others;
  for (const std::string& name : plan_.Preferred()) {
    const auto found = relay_zones_.find(name);
    if (home != relay_zones_.end() && found != relay_zones_.end() &&
        found->second != home->second) {
      others.push_back(name);
    }
  }
  return others.empty() ? std::string()
                        : others[other_relay_++ % others.size()];
}

bool fleet_exchange::ChooseHome(time_point now) {
  std::string chosen;
  if (!plan_.IsRelay()) {
    chosen = choice_.Choose(now, plan_.Preferred(), sights_).value_or("");
  }
  if (!chosen.empty() && chosen != last_home_) {
    // Another relay has told of the operations since this one was followed.
    totals_.Forget(chosen);
    last_home_ = chosen;
  }
  return std::exchange(home_, chosen) != home_;
}

fleet_exchange::target fleet_exchange::TargetOf(const std::string& vm,
                                                time_point now) const {
  const auto found = peers_.find(vm);
  target to{vm, AddressOf(vm), relation::kPeer};
  if (found != peers_.end() && IsFollower(found->second, now)) {
    to.to = relation::kFollower;
  } else if (!plan_.IsRelay()) {
    to.to = vm == home_ ? relation::kHome : relation::kCandidate;
  }
  return to;
}

std::vector<fleet_exchange::target> fleet_exchange::Targets(
    time_point now) const {
  std::vector<target> targets;
  if (peers_.empty()) {
    for (const std::string& seed : seeds_) {
      targets.push_back({"seed " + seed, seed, relation::kPeer});
    }
    return targets;
  }
  for (const auto& [name, each] : peers_) {
    // Relays, and VMs that are not registered yet but were heard, as in a
    // restart while the store is away.
    const bool exchanges =
        plan_.IsRelay() && (plan_.IsRelay(name) || !each.registered);
    if (exchanges || IsFollower(each, now) || name == home_) {
      targets.push_back(TargetOf(name, now));
    }
  }
  if (plan_.IsRelay()) {
    return targets;
  }
  // Each relay of a zone hears all VMs of the zone, so that it can vouch for
  // them, and a VM whose relay is lost has heard another one already.
  const auto sight = sights_.find(home_);
  const bool settled = sight != sights_.end() && sight->second.reaches_store;
  const size_t others =
      settled ? relay::relay_plan::kMinRelays - 1 : kCandidates;
  size_t asked = 0;
  for (const std::string& name : plan_.Preferred()) {
    if (asked >= others) {
      break;
    }
    if (name != home_) {
      targets.push_back(TargetOf(name, now));
      ++asked;
    }
  }
  return targets;
}

std::vector<std::string> fleet_exchange::Followers(time_point now) const {
  std::vector<std::string> names;
  for (const auto& [name, each] : peers_) {
    if (IsFollower(each, now)) {
      names.push_back(name);
    }
  }
  return names;
}

bool fleet_exchange::IsFollower(const peer& of, time_point now) const {
  return of.follows && now - of.heard < kFollowerLifetime;
}

void fleet_exchange::Stamp(const target& to,
                           time_point now,
                           wire::fleet_digest& digest) {
  const auto own = std::exchange(digest.usage, {});
  const auto found = peers_.find(to.vm);
  if (found == peers_.end()) {
    return;  // A seed, whose name is not known yet.
  }
  peer& receiver = found->second;
  digest.sequence = ++last_sequence_;
  digest.echo = receiver.last_received;
  digest.follows = to.to == relation::kHome;
  receiver.sent.emplace_back(digest.sequence, now);
  if (receiver.sent.size() > kKeptSends) {
    receiver.sent.pop_front();
  }
  if (to.to == relation::kCandidate) {
    return;  // The relay that is followed counts this VM's operations.
  }
  digest.scope = ScopeFor(to.to);
  if (to.to == relation::kHome) {
    digest.usage = reports_.Report(to.vm, digest.sequence, own);
    return;
  }
  if (to.to == relation::kPeer) {
    reports_.OnCounted(own);
  }
  totals_.Expire(now);
  digest.counted_vms = totals_.CountedVms(digest.scope, to.vm);
  digest.usage = totals_.Report(own, digest.scope, to.vm);
}

// Each operation is to be counted by one way only.
bool fleet_exchange::CountsUsage(const std::string& vm,
                                 const wire::fleet_digest& digest) const {
  switch (digest.scope) {
    case wire::usage_scope::kOwn:
      return digest.follows;
    case wire::usage_scope::kFollowers:
      return plan_.IsRelay();
    case wire::usage_scope::kFleet:
      return vm == home_;
  }
  return false;
}

std::optional<fleet_exchange::received> fleet_exchange::Take(
    const std::string& vm,
    const wire::fleet_digest& digest,
    time_point now) {
  if (vm == self_) {
    return std::nullopt;
  }
  std::erase_if(peers_, [&](const auto& each) {
    return !each.second.registered && each.first != vm &&
           now - each.second.heard > kUnregisteredLifetime;
  });
  std::erase_if(sights_,
                [&](const auto& each) { return !peers_.contains(each.first); });
  peer& from = peers_[vm];
  if (digest.incarnation < from.incarnation) {
    return std::nullopt;
  }
  if (digest.incarnation > from.incarnation) {
    // A new process has received nothing yet.
    from.incarnation = digest.incarnation;
    from.last_received = 0;
    reports_.OnRestart(vm);
  }
  if (digest.sequence != 0 && digest.sequence <= from.last_received) {
    return std::nullopt;
  }
  received result;
  result.new_follower = digest.follows && !IsFollower(from, now);
  from.heard = now;
  from.follows = digest.follows;
  from.last_received = digest.sequence;
  if (!from.registered) {
    from.address = digest.peer_address;
  }
  sights_[vm] = {digest.watching && !digest.leaving, digest.reaches_store, now};
  const auto echoed =
      std::find_if(from.sent.begin(), from.sent.end(),
                   [&](const auto& each) { return each.first == digest.echo; });
  if (digest.echo != 0 && echoed != from.sent.end()) {
    result.echo_sent = echoed->second;
  }
  reports_.OnReceived(vm, digest.echo);
  if (CountsUsage(vm, digest)) {
    result.counts_usage = true;
    result.baseline = !totals_.Knows(vm);
    result.operations = totals_.Take(vm, digest.incarnation, digest.scope,
                                     digest.counted_vms, digest.usage, now);
  }
  return result;
}

std::string fleet_exchange::AddressOf(const std::string& vm) const {
  const auto found = peers_.find(vm);
  return found == peers_.end() ? std::string() : found->second.address;
}

}  // namespace tarragondale::runtime
