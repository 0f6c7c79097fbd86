// Bookkeeping of digests.
#include "src/runtime/line/fleet_exchange.h"

#include <algorithm>

namespace tarragondale::runtime {
namespace {

// Digests whose time of sending is kept for each VM.
constexpr size_t kKeptSends = 16;
// A VM that is not registered and was not heard for this long is forgotten.
constexpr duration kUnregisteredLifetime = seconds(10);

}  // namespace

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
}

std::vector<fleet_exchange::target> fleet_exchange::Targets() {
  std::vector<target> all;
  for (const auto& [name, each] : peers_) {
    all.push_back({name, each.address});
  }
  if (all.empty()) {
    for (const std::string& seed : seeds_) {
      all.push_back({"seed " + seed, seed});
    }
  }
  if (all.size() <= kFanOut) {
    return all;
  }
  std::vector<target> some;
  for (size_t i = 0; i < kFanOut; ++i) {
    some.push_back(all[(next_target_ + i) % all.size()]);
  }
  next_target_ = (next_target_ + kFanOut) % all.size();
  return some;
}

void fleet_exchange::Stamp(const std::string& vm,
                           time_point now,
                           wire::fleet_digest& digest) {
  const auto found = peers_.find(vm);
  if (found == peers_.end()) {
    return;  // A seed, whose name is not known yet.
  }
  peer& to = found->second;
  digest.sequence = ++to.last_sent;
  digest.echo = to.last_received;
  to.sent.emplace_back(digest.sequence, now);
  if (to.sent.size() > kKeptSends) {
    to.sent.pop_front();
  }
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
  const bool first_heard =
      !peers_.contains(vm) || peers_.at(vm).incarnation == 0;
  peer& from = peers_[vm];
  if (digest.incarnation < from.incarnation) {
    return std::nullopt;
  }
  if (digest.incarnation > from.incarnation) {
    // A new process counts anew, and has received nothing yet.
    from.incarnation = digest.incarnation;
    from.last_received = 0;
    from.admitted.clear();
  }
  if (digest.sequence != 0 && digest.sequence <= from.last_received) {
    return std::nullopt;
  }
  from.heard = now;
  from.last_received = digest.sequence;
  if (!from.registered) {
    from.address = digest.peer_address;
  }
  received result;
  const auto echoed =
      std::find_if(from.sent.begin(), from.sent.end(),
                   [&](const auto& each) { return each.first == digest.echo; });
  if (digest.echo != 0 && echoed != from.sent.end()) {
    result.echo_sent = echoed->second;
  }
  for (const wire::organisation_usage& each : digest.usage) {
    uint64_t& known = from.admitted[each.organisation];
    if (first_heard) {
      // What it admitted before this VM listened is long spent.
      known = each.admitted;
    }
    if (each.admitted > known) {
      result.operations.emplace_back(
          each.organisation, static_cast<double>(each.admitted - known));
      known = each.admitted;
    } else {
      result.operations.emplace_back(each.organisation, 0.0);
    }
  }
  return result;
}

std::string fleet_exchange::AddressOf(const std::string& vm) const {
  const auto found = peers_.find(vm);
  return found == peers_.end() ? std::string() : found->second.address;
}

}  // namespace tarragondale::runtime
