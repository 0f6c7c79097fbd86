// What VMs report of themselves and of each other, directly and through relays.
#include <algorithm>
#include <string_view>
#include <tuple>

#include "src/leadership/keeper_implementation.h"

namespace tarragondale::leadership {

namespace {

// Twice as long as the primary leases of a VM that left may have lasted.
constexpr duration kLeaveNoticeLifetime = seconds(30);
// Stop notices from other relays are forwarded while they are newer than this.
constexpr duration kNoticeLifetime = seconds(3);

}  // namespace

std::map<std::string, group_state, std::less<>> keeper::implementation::Groups()
    const {
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

vouched keeper::implementation::Vouched(time_point now) const {
  vouched told;
  if (const auto silence = DutySilence(now)) {
    told.duty_age_ms = ToMs(*silence) + 1;
  }
  for (const auto& [zone, cover] : CoversOfAllZones().value_or(zone_covers())) {
    told.coverage.push_back({zone,
                             cover.vms_hash,
                             ToMs(now - cover.since) + 1,
                             {cover.except.begin(), cover.except.end()}});
  }
  return told;
}

std::vector<wire::stop_notice> keeper::implementation::Stops(
    time_point now,
    bool relayed) const {
  std::vector<wire::stop_notice> stops;
  for (const auto& [name, each] : peers_) {
    if (each.digest.follows) {
      AddStops(name, each, stops);
    }
    if (relayed && now - each.heard < kNoticeLifetime) {
      stops.insert(stops.end(), each.digest.stops.begin(),
                   each.digest.stops.end());
    }
  }
  return stops;
}

// Adds notices only of groups whose primary is being replaced; others aren't
// needed.
void keeper::implementation::AddStops(
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

// Time since the failover controller sent a digest of which this VM knows,
// directly or through other VMs.
std::optional<duration> keeper::implementation::DutySilence(
    time_point now) const {
  if (!duty_) {
    return std::nullopt;
  }
  if (duty_->holder == self_.name) {
    return duration(0);
  }
  std::optional<duration> least;
  for (const auto& [name, each] : peers_) {
    duration silence = std::chrono::duration_cast<duration>(now - each.heard);
    if (name != duty_->holder) {
      if (each.digest.duty_age_ms < 0) {
        continue;
      }
      silence += milliseconds(each.digest.duty_age_ms);
    }
    least = std::min(least.value_or(silence), silence);
  }
  return least;
}

std::map<std::string, std::vector<std::string_view>, std::less<>>
keeper::implementation::VmsByZone() const {
  std::map<std::string, std::vector<std::string_view>, std::less<>> zones;
  for (const auto& [name, vm] : vms_) {
    zones[vm.availability_zone].push_back(name);
  }
  return zones;
}

// Empty if a VM was heard that is not registered as far as this VM knows, and
// that may know of a changed record: it can't be attributed to a zone.
std::optional<keeper::implementation::zone_covers>
keeper::implementation::CoversOfAllZones() const {
  std::set<std::string, std::less<>> unregistered;
  std::optional<time_point> oldest;
  for (const auto& [name, other] : peers_) {
    const bool counts = !vms_.contains(name) && !other.digest.leaving &&
                        now_ - other.heard < options_.registration_lifetime;
    if (!counts) {
      continue;
    }
    const auto since = AddDirect(name, unregistered);
    if (!since) {
      return std::nullopt;
    }
    oldest = std::min(oldest.value_or(*since), *since);
  }
  zone_covers covers;
  for (const auto& [zone, names] : VmsByZone()) {
    if (auto cover = CoverOfZone(zone, names)) {
      cover->since = std::min(cover->since, oldest.value_or(cover->since));
      cover->except.insert(unregistered.begin(), unregistered.end());
      covers[zone] = std::move(*cover);
    }
  }
  return covers;
}

std::optional<keeper::implementation::zone_cover>
keeper::implementation::CoverOfZone(
    const std::string& zone,
    const std::vector<std::string_view>& names) const {
  std::optional<zone_cover> best;
  const auto offer = [&](zone_cover cover) {
    // Fewer excluded groups first, since an exclusion may last longer than any
    // primary lease.
    if (!best || std::tuple(cover.except.size(), best->since) <
                     std::tuple(best->except.size(), cover.since)) {
      best = std::move(cover);
    }
  };
  const uint64_t hash = HashOfVms(names);
  zone_cover direct{now_, {}, hash};
  const bool all_heard =
      std::all_of(names.begin(), names.end(), [&](std::string_view name) {
        const auto since = AddDirect(std::string(name), direct.except);
        direct.since = std::min(direct.since, since.value_or(direct.since));
        return since.has_value();
      });
  if (all_heard) {
    offer(std::move(direct));
  }
  for (const auto& [name, each] : peers_) {
    const auto& coverage = each.digest.coverage;
    const auto told =
        std::find_if(coverage.begin(), coverage.end(), [&](const auto& one) {
          return one.availability_zone == zone && one.vms_hash == hash;
        });
    if (told == coverage.end() || !each.made_after) {
      continue;
    }
    zone_cover relayed{*each.made_after - milliseconds(told->age_ms),
                       {told->except.begin(), told->except.end()},
                       hash};
    relayed.except.insert(each.differs.begin(), each.differs.end());
    offer(std::move(relayed));
  }
  return best;
}

// Earliest time at which the VM can have made its newest digest; empty if that
// is unknown. Adds the groups for which its records differ from this VM's.
std::optional<time_point> keeper::implementation::AddDirect(
    const std::string& name,
    std::set<std::string, std::less<>>& except) const {
  if (name == self_.name) {
    // A handover by this VM ends its own primary lease first.
    return now_;
  }
  const auto found = peers_.find(name);
  if (found == peers_.end() || !found->second.made_after) {
    return std::nullopt;
  }
  except.insert(found->second.differs.begin(), found->second.differs.end());
  return found->second.made_after;
}

// Must be called before the differences are read: after each digest and each
// change of a record.
void keeper::implementation::RefreshDifferences() {
  for (auto& [name, each] : peers_) {
    if (each.differs_version == records_version_) {
      continue;
    }
    each.differs_version = records_version_;
    each.differs.clear();
    std::set<std::string_view> unchanged;
    for (const wire::primary_state& state : each.digest.primaries) {
      const auto record = records_.find(state.group);
      if (record != records_.end() && record->second.epoch == state.epoch &&
          !state.moving && !state.changing) {
        unchanged.insert(state.group);
      }
    }
    for (const auto& [group, record] : records_) {
      if (!unchanged.contains(group)) {
        each.differs.insert(group);
      }
    }
  }
}

// Until when the primary lease may be extended: `extension_lifetime` after the
// oldest report of any VM that its record was the same as this VM's and that it
// was not about to replace the primary. Empty if a VM did not report so.
std::optional<time_point> keeper::implementation::ExtensionOf(
    const std::string& group,
    const zone_covers& covers) const {
  std::optional<time_point> oldest;
  for (const auto& [name, vm] : vms_) {
    const auto cover = covers.find(vm.availability_zone);
    if (cover == covers.end() || cover->second.except.contains(group)) {
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
