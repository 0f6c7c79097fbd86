// Registry of members and links.
#include "src/interactive/member_pool.h"

#include <algorithm>

namespace tarragondale::interactive {
namespace {

// Connections to each member that all VMs together keep free for status checks.
constexpr int kReservedConnections = 1;
// All VMs together plan to use only the member's connection cap divided by this
// (less `kReservedConnections`; `kMinConnectionsPerVm` may raise it). The rest
// is kept for replacements: when VMs lose power, their connections stay open
// for seconds, while the processes that replace them open as many again. Does
// not apply if `vms_per_member` is set.
constexpr int kPlannedDivisor = 2;
// If the planned connections are fewer than this many per VM on average, more
// are used, up to the full cap less `kReservedConnections`: a VM with fewer
// must often reconnect, since a link serves only one organisation. Does not
// apply if `vms_per_member` is set.
constexpr int kMinConnectionsPerVm = 2;
// The link quota of a VM in the member's zone is this many times that of a VM
// in another zone. Does not apply to the primary, to a member in a zone without
// VMs, or if `vms_per_member` is set.
constexpr int kSameZoneWeight = 3;

const std::vector<std::string>& NoMembers() {
  static const std::vector<std::string> none;
  return none;
}

}  // namespace

std::vector<link_id> member_pool::SetDirectory(
    const member_directory& directory,
    time_point now) {
  std::vector<link_id> outdated;
  for (const auto& [id, record] : directory) {
    member& known = members_[id];
    const bool replaced =
        known.listed && (known.record.started_ms != record.started_ms ||
                         known.record.address != record.address);
    if (replaced) {
      outdated.insert(outdated.end(), known.links.begin(), known.links.end());
      known.health = {};
      known.limit = {};
      known.capacity = {};
      known.shortest_response = {};
      known.applied.reset();
      known.retry_at = now;
    }
    known.record = record;
    known.listed = true;
    if (!record.draining) {
      known.unavailable_since.reset();
    } else if (!known.unavailable_since) {
      known.unavailable_since = now;
    }
  }
  for (auto next = members_.begin(); next != members_.end();) {
    member& known = next->second;
    if (!directory.contains(next->first)) {
      if (known.links.empty() && known.unavailable_since &&
          now - *known.unavailable_since > options_.position_retention) {
        next = members_.erase(next);
        continue;
      }
      known.listed = false;
      if (!known.unavailable_since) {
        known.unavailable_since = now;
      }
    }
    ++next;
  }
  groups_.clear();
  for (const auto& [id, known] : members_) {
    groups_[known.record.group].push_back(id);
  }
  return outdated;
}

void member_pool::SetFleet(int vms,
                           std::map<std::string, int, std::less<>> by_zone,
                           int vms_per_member) {
  vms_ = std::max(1, vms);
  vms_per_member_ = vms_per_member;
  vms_by_zone_ = std::move(by_zone);
}

member* member_pool::Find(std::string_view id) {
  const auto found = members_.find(id);
  return found == members_.end() ? nullptr : &found->second;
}

const member* member_pool::Find(std::string_view id) const {
  const auto found = members_.find(id);
  return found == members_.end() ? nullptr : &found->second;
}

link* member_pool::FindLink(link_id id) {
  const auto found = links_.find(id);
  if (found == links_.end()) {
    return nullptr;
  }
  Touch(found->second);
  return &found->second;
}

const link* member_pool::PeekLink(link_id id) const {
  const auto found = links_.find(id);
  return found == links_.end() ? nullptr : &found->second;
}

void member_pool::Touch(const link& changed) {
  if (const member* const of = Find(changed.member)) {
    of->load.reset();
  }
}

const std::vector<std::string>& member_pool::OfGroup(
    std::string_view group) const {
  const auto found = groups_.find(group);
  return found == groups_.end() ? NoMembers() : found->second;
}

link& member_pool::AddLink(member& of,
                           std::string organisation,
                           time_point now) {
  link& added = links_[++last_link_];
  added.id = last_link_;
  added.member = of.record.id;
  added.organisation = std::move(organisation);
  added.opened_at = now;
  added.last_used = now;
  of.links.insert(added.id);
  of.load.reset();
  return added;
}

void member_pool::RemoveLink(link_id id) {
  const link* const removed = PeekLink(id);
  if (removed == nullptr) {
    return;
  }
  if (member* const of = Find(removed->member)) {
    of->links.erase(id);
    of->load.reset();
  }
  links_.erase(id);
}

link* member_pool::FindIdle(const member& of,
                            std::string_view organisation,
                            const session& wanted) {
  if (!LoadOf(of).HasIdle(organisation)) {
    return nullptr;
  }
  of.load.reset();  // The caller may change the link.
  link* best = nullptr;
  for (const link_id id : of.links) {
    link& each = links_.at(id);
    if (!each.idle() || each.organisation != organisation) {
      continue;
    }
    if (each.values == wanted.values) {
      return &each;
    }
    if (best == nullptr || each.last_used < best->last_used) {
      best = &each;
    }
  }
  return best;
}

const member_load& member_pool::LoadOf(const member& of) const {
  if (of.load) {
    return *of.load;
  }
  member_load counted;
  for (const link_id id : of.links) {
    const link& each = links_.at(id);
    if (!each.open) {
      counted.opening_since = std::min(
          counted.opening_since.value_or(each.opened_at), each.opened_at);
    }
    if (!each.awaited.empty()) {
      ++counted.awaiting;
      const time_point sent = each.awaited.front().sent;
      counted.sent = std::min(counted.sent.value_or(sent), sent);
    }
    if (!each.open || !each.awaited.empty()) {
      ++counted.running;
    }
    if (each.idle() && !counted.HasIdle(each.organisation)) {
      counted.idle.push_back(each.organisation);
    }
  }
  of.load = std::move(counted);
  return *of.load;
}

bool member_load::HasIdle(std::string_view organisation) const {
  return std::find(idle.begin(), idle.end(), organisation) != idle.end();
}

bool member_pool::Admits(const member& of, time_point now) const {
  const int running = Running(of);
  return of.limit.Allows(running) &&
         (options_.capacity == member_capacity::kReported ||
          running < of.capacity.Limit(CapacityCapOf(of), now));
}

double member_pool::CapacityCapOf(const member& of) const {
  // The real round trip may be longer than the configured one. The shortest
  // response time is an upper bound.
  const duration round_trip =
      std::max(RoundTrip(of), of.shortest_response.value());
  return CapacityCap(of.record.slots, round_trip,
                     of.average_response - round_trip);
}

link* member_pool::FindReplaceable(const member& of,
                                   std::string_view organisation) {
  const std::vector<std::string>& idle = LoadOf(of).idle;
  if (std::all_of(idle.begin(), idle.end(),
                  [&](const auto& each) { return each == organisation; })) {
    return nullptr;
  }
  of.load.reset();  // The caller may change the link.
  link* oldest = nullptr;
  for (const link_id id : of.links) {
    link& each = links_.at(id);
    if (each.idle() && each.organisation != organisation &&
        (oldest == nullptr || each.last_used < oldest->last_used)) {
      oldest = &each;
    }
  }
  return oldest;
}

size_t member_pool::LinkQuota(const member& of,
                              int connection_cap,
                              bool primary) const {
  if (vms_per_member_ > 0) {
    // The quota of one VM is kept free, since the connections of a lost VM stay
    // open for seconds while another VM replaces it.
    return static_cast<size_t>(std::max(
        1, (connection_cap - kReservedConnections) / (vms_per_member_ + 1)));
  }
  const int available = std::max(
      1,
      std::min(connection_cap - kReservedConnections,
               std::max(connection_cap / kPlannedDivisor - kReservedConnections,
                        kMinConnectionsPerVm * vms_)));
  const auto found = vms_by_zone_.find(of.record.availability_zone);
  const int local = found == vms_by_zone_.end() ? 0 : found->second;
  if (primary || local == 0) {
    return static_cast<size_t>(std::max(1, available / vms_));
  }
  const int parts = local * kSameZoneWeight + std::max(0, vms_ - local);
  const bool here = of.record.availability_zone == options_.availability_zone;
  return static_cast<size_t>(std::max(
      1, available * (here ? kSameZoneWeight : 1) / std::max(1, parts)));
}

duration member_pool::RoundTrip(const member& of) const {
  const std::string& zone = of.record.availability_zone;
  if (zone == options_.availability_zone) {
    return options_.zone_latency;
  }
  return SameRegion(zone) ? options_.region_latency
                          : options_.other_region_latency;
}

duration member_pool::TransferPenalty(const member& of) const {
  const std::string& zone = of.record.availability_zone;
  if (zone == options_.availability_zone) {
    return duration(0);
  }
  return SameRegion(zone) ? options_.zone_penalty : options_.region_penalty;
}

void member_pool::OnAnswer(member& of, time_point now) {
  of.health.last_answer = now;
  of.health.failing_since.reset();
  of.health.failures = 0;
  of.retry_at = now;
}

void member_pool::OnFailure(member& of, time_point now) {
  if (!of.health.failing_since) {
    of.health.failing_since = now;
  }
  ++of.health.failures;
  of.retry_at = now + options_.member_backoff;
}

bool member_pool::SameRegion(std::string_view zone) const {
  const auto found = options_.region_of_zone.find(zone);
  return found != options_.region_of_zone.end() &&
         found->second == options_.region;
}

}  // namespace tarragondale::interactive
