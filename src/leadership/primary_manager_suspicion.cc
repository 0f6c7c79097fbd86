// Failure detection: whether a primary must be replaced.
#include <algorithm>

#include "src/leadership/primary_manager_implementation.h"

namespace tarragondale::leadership {

namespace {

// In `LacksRegionMajority`, a relay counts as missed from `report_lifetime`
// after its last digest until it has been silent for this long; after that it
// is ignored. Must be longer than any network partition during which a failover
// may be needed; otherwise a VM cut off from most relays would stop counting
// them.
constexpr duration kRecentPeerWindow = seconds(60);

}  // namespace

std::optional<std::string> primary_manager::implementation::ReasonToReplace(
    const std::string& group,
    const primary_record& record,
    bool& planned) {
  const auto member = members_->find(record.member);
  if (member != members_->end() && member->second.draining) {
    planned = true;
    return "the primary is leaving";
  }
  if (const reachability counts = ReachabilityOf(group, record.member);
      IsSuspected(counts) && !LacksRegionMajority(record.member)) {
    return fmt::format(
        "the primary is unreachable from {} VMs and reachable from {}",
        counts.failing, counts.reaching);
  }
  if (auto reason = EvacuationToReplace(group, record)) {
    planned = true;
    return reason;
  }
  const auto unlisted = unlisted_since_.find(record.member);
  if (member == members_->end() && unlisted != unlisted_since_.end() &&
      now_ - unlisted->second > options_.unlisted_timeout) {
    planned = !view_.health(record.member).failing_since.has_value();
    return "the primary is no longer in the directory";
  }
  return std::nullopt;
}

// Whether `member`, the primary according to the record, has been superseded by
// another member. This happens if a promotion takes effect late. The condition
// is that, for `primary_conflict_timeout`, the directory lists another member
// as primary and not `member`, and that `member` itself then answers that it is
// not primary.
bool primary_manager::implementation::IsSuperseded(const std::string& group,
                                                   const std::string& member) {
  const auto listed = members_->find(member);
  const auto members = MembersOf(group);
  const bool conflicting =
      listed != members_->end() && !listed->second.claims_primary &&
      std::any_of(members.begin(), members.end(),
                  [](const auto* each) { return each->claims_primary; });
  if (!conflicting) {
    primary_conflicts_.erase(group);
    return false;
  }
  primary_conflict& known =
      primary_conflicts_
          .try_emplace(group, primary_conflict{member, now_, now_, false})
          .first->second;
  if (known.member != member) {
    known = {member, now_, now_, false};
  }
  if (now_ - known.since < options_.primary_conflict_timeout) {
    return false;
  }
  if (now_ >= known.next_check) {
    known.next_check = now_ + options_.status_interval;
    actions_.push_back(check_member{member});
  }
  return known.confirmed;
}

// Counts the VMs that reach the member and those that can't, from this VM's own
// connections and from recent digests, which also count the senders' followers.
primary_manager::implementation::reachability
primary_manager::implementation::ReachabilityOf(
    const std::string& group,
    const std::string& member) const {
  reachability counts;
  const interactive::member_health own = view_.health(member);
  if (own.failing_since && own.failures >= options_.suspicion_failures &&
      now_ - *own.failing_since >= options_.suspicion) {
    ++counts.failing;
  } else if (own.last_answer &&
             now_ - *own.last_answer < options_.report_lifetime) {
    ++counts.reaching;
  }
  for (const auto& [name, each] : peers_) {
    if (now_ - each.heard > options_.report_lifetime) {
      continue;
    }
    for (const wire::primary_state& state : each.digest.primaries) {
      if (state.group != group || state.member != member) {
        continue;
      }
      counts.failing += state.followers_failing;
      counts.reaching += state.followers_reaching;
      if (state.failing_ms >= ToMs(options_.suspicion)) {
        ++counts.failing;
      } else if (state.answer_age_ms >= 0 &&
                 state.answer_age_ms < ToMs(options_.report_lifetime)) {
        ++counts.reaching;
      }
    }
  }
  return counts;
}

// Returns true if this VM has lost contact with more than half of the relays in
// the member's region; the lost relays may reach a member that this VM can't.
// Counts this VM, if it is in the region, and the registered relays whose last
// digest is newer than `kRecentPeerWindow`, except those that are leaving or do
// not watch the store. A relay is lost if its last digest is older than
// `report_lifetime`. If the member's region is unknown, counts the relays of
// all regions and this VM.
bool primary_manager::implementation::LacksRegionMajority(
    const std::string& member) const {
  const std::optional<std::string_view> region = RegionOf(member);
  int heard = !region || *region == self_.region ? 1 : 0;
  int missed = 0;
  for (const auto& [name, each] : peers_) {
    const auto vm = vms_.find(name);
    if (vm == vms_.end() || !each.digest.watching || each.digest.leaving ||
        (region && vm->second.region != *region)) {
      continue;
    }
    const duration silence =
        std::chrono::duration_cast<duration>(now_ - each.heard);
    if (silence <= options_.report_lifetime) {
      ++heard;
    } else if (silence < kRecentPeerWindow) {
      ++missed;
    }
  }
  return heard < missed;
}

// The region of the VMs in the member's zone; empty if there are none or the
// member is not in the directory.
std::optional<std::string_view> primary_manager::implementation::RegionOf(
    const std::string& member) const {
  if (!members_) {
    return std::nullopt;
  }
  const auto known = members_->find(member);
  if (known == members_->end()) {
    return std::nullopt;
  }
  for (const auto& [name, vm] : vms_) {
    if (vm.availability_zone == known->second.availability_zone) {
      return vm.region;
    }
  }
  return std::nullopt;
}

// A primary that this VM suspects, but can't judge because it hears too few of
// the relays in the primary's region; empty: none.
std::optional<std::string> primary_manager::implementation::UndecidedPrimary()
    const {
  for (const auto& [group, record] : records_) {
    // Checked first, since counting the reports is more expensive.
    if (LacksRegionMajority(record.member) &&
        IsSuspected(ReachabilityOf(group, record.member))) {
      return record.member;
    }
  }
  return std::nullopt;
}

// Resigns as failover controller if this VM can't decide whether a primary has
// failed, so that a VM that hears more of the member's region can replace it.
void primary_manager::implementation::ResignIfUndecided() {
  const std::optional<std::string> member =
      handovers_.empty() && MayResign() ? UndecidedPrimary() : std::nullopt;
  if (!member) {
    undecided_since_.reset();
    return;
  }
  undecided_since_ = undecided_since_.value_or(now_);
  if (now_ - *undecided_since_ < options_.undecided_timeout) {
    return;
  }
  Log(log_level::kInfo,
      "resigning as failover controller: primary {} is unreachable, and so "
      "are most VMs of its region",
      *member);
  undecided_since_.reset();
  ResignAsController();
}

}  // namespace tarragondale::leadership
