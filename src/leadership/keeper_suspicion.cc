// Failure detection: whether a primary must be replaced.
#include <algorithm>

#include "src/leadership/keeper_implementation.h"

namespace tarragondale::leadership {

namespace {

// A silent VM counts as missing until it has been silent for this long. Longer
// than a network partition during which a failover may be needed.
constexpr duration kMissedFor = seconds(60);

}  // namespace

std::optional<std::string> keeper::implementation::ReasonToMove(
    const std::string& group,
    const primary_record& record,
    bool& planned) {
  const auto member = members_->find(record.member);
  if (member != members_->end() && member->second.draining) {
    planned = true;
    return "the primary is leaving";
  }
  if (const opinions told = OpinionsOf(group, record.member);
      IsSuspected(told) && !IsOutOfTouch(record.member)) {
    return fmt::format(
        "the primary is unreachable from {} VMs and reachable from {}",
        told.failing, told.reaching);
  }
  const auto unlisted = unlisted_since_.find(record.member);
  if (member == members_->end() && unlisted != unlisted_since_.end() &&
      now_ - unlisted->second > options_.gone_limit) {
    planned = !view_.health(record.member).failing_since.has_value();
    return "the primary is no longer in the directory";
  }
  return std::nullopt;
}

// A promotion that took effect late leaves a member as primary that the record
// does not name. Detected when the directory names another member as primary
// and the recorded member itself answers that it is not primary.
bool keeper::implementation::IsSuperseded(const std::string& group,
                                          const std::string& member) {
  const auto listed = members_->find(member);
  const auto members = MembersOf(group);
  const bool disputed =
      listed != members_->end() && !listed->second.claims_primary &&
      std::any_of(members.begin(), members.end(),
                  [](const auto* each) { return each->claims_primary; });
  if (!disputed) {
    disputes_.erase(group);
    return false;
  }
  dispute& known =
      disputes_.try_emplace(group, dispute{member, now_, now_, false})
          .first->second;
  if (known.member != member) {
    known = {member, now_, now_, false};
  }
  if (now_ - known.since < options_.dispute_limit) {
    return false;
  }
  if (now_ >= known.next_check) {
    known.next_check = now_ + options_.status_interval;
    actions_.push_back(check_member{member});
  }
  return known.confirmed;
}

// Counts the VMs that reach the member and those that fail to, from this VM's
// own connections and from the digests that it received.
keeper::implementation::opinions keeper::implementation::OpinionsOf(
    const std::string& group,
    const std::string& member) const {
  opinions told;
  const interactive::member_health own = view_.health(member);
  if (own.failing_since && own.failures >= options_.suspicion_failures &&
      now_ - *own.failing_since >= options_.suspicion) {
    ++told.failing;
  } else if (own.last_answer &&
             now_ - *own.last_answer < options_.report_lifetime) {
    ++told.reaching;
  }
  for (const auto& [name, each] : peers_) {
    if (now_ - each.heard > options_.report_lifetime) {
      continue;
    }
    for (const wire::primary_state& state : each.digest.primaries) {
      if (state.group != group || state.member != member) {
        continue;
      }
      told.failing += state.followers_failing;
      told.reaching += state.followers_reaching;
      if (state.failing_ms >= ToMs(options_.suspicion)) {
        ++told.failing;
      } else if (state.answer_age_ms >= 0 &&
                 state.answer_age_ms < ToMs(options_.report_lifetime)) {
        ++told.reaching;
      }
    }
  }
  return told;
}

// Whether this VM hears fewer than half of the relays in the member's region
// that it heard within `kRecentPeerWindow`. The others may reach a member that
// this VM can't.
bool keeper::implementation::IsOutOfTouch(const std::string& member) const {
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
    } else if (silence < kMissedFor) {
      ++missed;
    }
  }
  return heard < missed;
}

// Region of the VMs in the member's zone; empty: there are none.
std::optional<std::string_view> keeper::implementation::RegionOf(
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

// A primary that this VM suspects but hears too few other VMs to judge.
std::optional<std::string> keeper::implementation::UnjudgedPrimary() const {
  for (const auto& [group, record] : records_) {
    // Checked first, since counting the reports is more expensive.
    if (IsOutOfTouch(record.member) &&
        IsSuspected(OpinionsOf(group, record.member))) {
      return record.member;
    }
  }
  return std::nullopt;
}

// Resigns as failover controller if this VM can't decide whether a primary has
// failed, so that a VM that hears more of the member's region can replace it.
void keeper::implementation::LeaveDutyToOthers() {
  const std::optional<std::string> member =
      handovers_.empty() ? UnjudgedPrimary() : std::nullopt;
  if (!member) {
    unjudged_since_.reset();
    return;
  }
  unjudged_since_ = unjudged_since_.value_or(now_);
  if (now_ - *unjudged_since_ < options_.unjudged_limit) {
    return;
  }
  Note(log_level::kInfo,
       "resigning as failover controller: primary {} is unreachable, and so "
       "are most VMs of its region",
       *member);
  unjudged_since_.reset();
  EndDuty();
}

}  // namespace tarragondale::leadership
