// What this VM reports to other VMs, and what it derives from their reports,
// received directly or through relays: which zones have the same records, how
// long the failover controller has been silent, and how long primary leases may
// be extended.
#include <algorithm>
#include <string_view>
#include <tuple>

#include "src/leadership/primary_manager_implementation.h"

namespace tarragondale::leadership {

namespace {

// The stop notice for a VM that is leaving is sent for this time after its last
// digest: twice `registration_lifetime`, the longest time that a primary lease
// lasts.
constexpr duration kLeaveNoticeLifetime = seconds(30);
// Stop notices received from another relay are forwarded until its last digest
// is this old.
constexpr duration kRelayedNoticeLifetime = seconds(3);

}  // namespace

std::map<std::string, group_state, std::less<>>
primary_manager::implementation::Groups() const {
  std::map<std::string, group_state, std::less<>> groups;
  for (const auto& [group, record] : records_) {
    const auto stopped = stopped_.find(group);
    groups[group] = {record, stopped == stopped_.end() ? 0 : stopped->second,
                     handovers_.contains(group)};
  }
  for (const auto& [name, each] : peers_) {
    if (!each.digest.follows || now_ - each.heard > options_.report_lifetime) {
      continue;
    }
    for (const wire::primary_state& state : each.digest.primaries) {
      const auto found = groups.find(state.group);
      if (found == groups.end() ||
          found->second.record.member != state.member) {
        continue;
      }
      if (state.failing_ms >= ToMs(options_.suspicion)) {
        ++found->second.followers_failing;
      } else if (state.answer_age_ms >= 0 &&
                 state.answer_age_ms < ToMs(options_.report_lifetime)) {
        ++found->second.followers_reaching;
      }
    }
  }
  return groups;
}

peer_summary primary_manager::implementation::PeerSummary(
    time_point now) const {
  peer_summary reported;
  if (const auto silence = ControllerSilence(now)) {
    reported.controller_digest_age_ms = ToMs(*silence) + 1;
  }
  for (const auto& [zone, cover] :
       CoverageByZone().value_or(coverage_by_zone())) {
    reported.coverage.push_back(
        {zone,
         cover.vms_hash,
         ToMs(now - cover.since) + 1,
         {cover.excluded_groups.begin(), cover.excluded_groups.end()}});
  }
  return reported;
}

std::vector<wire::stop_notice> primary_manager::implementation::StopNotices(
    time_point now,
    bool relayed) const {
  std::vector<wire::stop_notice> stop_notices;
  for (const auto& [name, each] : peers_) {
    if (each.digest.follows) {
      AddStopNotices(name, each, stop_notices);
    }
    if (relayed && now - each.heard < kRelayedNoticeLifetime) {
      stop_notices.insert(stop_notices.end(), each.digest.stop_notices.begin(),
                          each.digest.stop_notices.end());
    }
  }
  return stop_notices;
}

// Adds the stop notices for one VM: a single one for all groups if it is
// leaving, else one for each group whose primary is being replaced and for
// which the VM has given up its primary lease.
void primary_manager::implementation::AddStopNotices(
    const std::string& name,
    const peer& of,
    std::vector<wire::stop_notice>& to) const {
  const int64_t incarnation = of.digest.incarnation;
  if (of.digest.leaving) {
    if (now_ - of.heard < kLeaveNoticeLifetime) {
      to.push_back({name, incarnation, "", 0});
    }
    return;
  }
  for (const wire::primary_state& state : of.digest.primaries) {
    const auto record = records_.find(state.group);
    if (record != records_.end() && record->second.moving &&
        state.stopped_epoch >= record->second.epoch) {
      to.push_back({name, incarnation, state.group, state.stopped_epoch});
    }
  }
}

// Time since the newest known digest of the failover controller arrived, either
// at this VM or at another VM that reported it. 0 if this VM holds the role;
// empty if no such digest is known or nobody holds the role.
std::optional<duration> primary_manager::implementation::ControllerSilence(
    time_point now) const {
  if (!controller_) {
    return std::nullopt;
  }
  if (controller_->holder == self_.name) {
    return duration(0);
  }
  std::optional<duration> least;
  for (const auto& [name, each] : peers_) {
    duration silence = std::chrono::duration_cast<duration>(now - each.heard);
    if (name != controller_->holder) {
      if (each.digest.controller_digest_age_ms < 0) {
        continue;
      }
      silence += milliseconds(each.digest.controller_digest_age_ms);
    }
    least = std::min(least.value_or(silence), silence);
  }
  return least;
}

std::map<std::string, std::vector<std::string_view>, std::less<>>
primary_manager::implementation::VmsByZone() const {
  std::map<std::string, std::vector<std::string_view>, std::less<>> zones;
  for (const auto& [name, vm] : vms_) {
    zones[vm.availability_zone].push_back(name);
  }
  return zones;
}

// What this VM knows about each zone. A VM may send digests before this VM
// knows of its registration. Its zone is then unknown, and it may know of a
// changed record. Unless it is leaving, its newest digest therefore limits the
// coverage of every zone for `registration_lifetime` after its arrival. Returns
// empty if it is unknown when such a digest was made.
std::optional<primary_manager::implementation::coverage_by_zone>
primary_manager::implementation::CoverageByZone() const {
  std::set<std::string, std::less<>> unregistered;
  std::optional<time_point> oldest;
  for (const auto& [name, other] : peers_) {
    const bool counts = !vms_.contains(name) && !other.digest.leaving &&
                        now_ - other.heard < options_.registration_lifetime;
    if (!counts) {
      continue;
    }
    const auto since = AddPeerDifferences(name, unregistered);
    if (!since) {
      return std::nullopt;
    }
    oldest = std::min(oldest.value_or(*since), *since);
  }
  coverage_by_zone covers;
  for (const auto& [zone, names] : VmsByZone()) {
    if (auto cover = CoverageOfZone(zone, names)) {
      cover->since = std::min(cover->since, oldest.value_or(cover->since));
      cover->excluded_groups.insert(unregistered.begin(), unregistered.end());
      covers[zone] = std::move(*cover);
    }
  }
  return covers;
}

std::optional<primary_manager::implementation::known_coverage>
primary_manager::implementation::CoverageOfZone(
    const std::string& zone,
    const std::vector<std::string_view>& names) const {
  std::optional<known_coverage> best;
  const auto offer = [&](known_coverage cover) {
    // Prefers fewer excluded groups to a later `since`, because an exclusion
    // may last longer than any primary lease.
    if (!best || std::tuple(cover.excluded_groups.size(), best->since) <
                     std::tuple(best->excluded_groups.size(), cover.since)) {
      best = std::move(cover);
    }
  };
  const uint64_t hash = HashOfVms(names);
  known_coverage direct{now_, {}, hash};
  const bool all_heard =
      std::all_of(names.begin(), names.end(), [&](std::string_view name) {
        const auto since =
            AddPeerDifferences(std::string(name), direct.excluded_groups);
        direct.since = std::min(direct.since, since.value_or(direct.since));
        return since.has_value();
      });
  if (all_heard) {
    offer(std::move(direct));
  }
  for (const auto& [name, each] : peers_) {
    const auto& coverage = each.digest.coverage;
    const auto reported =
        std::find_if(coverage.begin(), coverage.end(), [&](const auto& one) {
          return one.availability_zone == zone && one.vms_hash == hash;
        });
    if (reported == coverage.end() || !each.made_after) {
      continue;
    }
    known_coverage relayed{
        *each.made_after - milliseconds(reported->age_ms),
        {reported->excluded_groups.begin(), reported->excluded_groups.end()},
        hash};
    relayed.excluded_groups.insert(each.differing_groups.begin(),
                                   each.differing_groups.end());
    offer(std::move(relayed));
  }
  return best;
}

// Returns the earliest time at which the VM can have made its newest digest;
// empty if that is unknown. Adds the VM's `differing_groups` to
// `excluded_groups`. For this VM itself, returns the current time and adds
// nothing.
std::optional<time_point> primary_manager::implementation::AddPeerDifferences(
    const std::string& name,
    std::set<std::string, std::less<>>& excluded_groups) const {
  if (name == self_.name) {
    // This VM's records can't differ from themselves. Groups whose primary this
    // VM has begun to replace need not be excluded: it gives up its own primary
    // lease before it promotes a member, and other VMs exclude them because of
    // `replacing` in its digests.
    return now_;
  }
  const auto found = peers_.find(name);
  if (found == peers_.end() || !found->second.made_after) {
    return std::nullopt;
  }
  excluded_groups.insert(found->second.differing_groups.begin(),
                         found->second.differing_groups.end());
  return found->second.made_after;
}

// Updates each peer's `differing_groups`. Must be called after each digest and
// each change of a record, before the groups are read.
void primary_manager::implementation::RefreshDifferences() {
  for (auto& [name, each] : peers_) {
    if (each.differing_version == records_version_) {
      continue;
    }
    each.differing_version = records_version_;
    each.differing_groups.clear();
    std::set<std::string_view> unchanged;
    for (const wire::primary_state& state : each.digest.primaries) {
      const auto record = records_.find(state.group);
      if (record != records_.end() && record->second.epoch == state.epoch &&
          !state.moving && !state.replacing) {
        unchanged.insert(state.group);
      }
    }
    for (const auto& [group, record] : records_) {
      if (!unchanged.contains(group)) {
        each.differing_groups.insert(group);
      }
    }
  }
}

// Returns until when the group's primary lease may be extended. Each registered
// VM must have reported that it had the same record of the group as this VM and
// had not begun to replace the primary. The extension ends `extension_lifetime`
// after the oldest of these reports. Empty if any VM has not reported this or
// no VM is known.
std::optional<time_point> primary_manager::implementation::ExtensionOf(
    const std::string& group,
    const coverage_by_zone& covers) const {
  std::optional<time_point> oldest;
  for (const auto& [name, vm] : vms_) {
    const auto cover = covers.find(vm.availability_zone);
    if (cover == covers.end() ||
        cover->second.excluded_groups.contains(group)) {
      return std::nullopt;
    }
    oldest =
        std::min(oldest.value_or(cover->second.since), cover->second.since);
  }
  if (!oldest) {
    return std::nullopt;
  }
  return *oldest + options_.extension_lifetime;
}

}  // namespace tarragondale::leadership
