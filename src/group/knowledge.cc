// What a coordinator knows of the members of its group.
#include "src/group/knowledge.h"

#include <algorithm>

#include "src/group/guards.h"

namespace tarragondale::group {

void group_knowledge::SetPool(const config::pool_row& pool) {
  std::vector<member_state> members;
  for (const config::member_row& row : pool.members) {
    member_state member;
    const member_state* const old = Find(row.name);
    // Another address is another database, of which nothing is known.
    if (old != nullptr && old->row.address == row.address) {
      member = *old;
    }
    member.row = row;
    members.push_back(std::move(member));
  }
  members_ = std::move(members);
}

void group_knowledge::Learn(time_point now,
                            const wire::member_report& report,
                            const std::string& coordinator) {
  member_state* const member = Find(report.member);
  if (member == nullptr ||
      (Fresh(*member, now) &&
       member->report.promised_term > report.promised_term)) {
    return;
  }
  if (report.role == wire::member_role::kPrimary) {
    if (silence_member_ != report.member) {
      silence_.Reset();
      silence_member_ = report.member;
    } else if (member->known) {
      silence_.Add(std::chrono::duration_cast<duration>(now - member->heard));
    }
    if (report.promised_term == report.term && !coordinator.empty()) {
      coordinator_term_ = report.term;
      coordinator_ = coordinator;
    }
  }
  UpdateProgress(*member, report, now);
  member->report = report;
  member->known = true;
  member->lost = false;
  member->heard = now;
}

void group_knowledge::UpdateProgress(member_state& member,
                                     const wire::member_report& report,
                                     time_point now) const {
  const bool progressed = !member.known ||
                          member.report.position != report.position ||
                          member.report.term != report.term ||
                          report.age_ms < ToMs(timing_.stall_age);
  if (progressed) {
    member.stalled_since = now;
  }
}

void group_knowledge::MarkLost(std::string_view name) {
  if (member_state* const member = Find(name)) {
    member->lost = true;
  }
}

void group_knowledge::ForgiveSilence(time_point now) {
  for (member_state& member : members_) {
    member.heard = now;
    member.stalled_since = now;
    member.lost = false;
  }
  silence_.Reset();
}

void group_knowledge::Forget() {
  for (member_state& member : members_) {
    const config::member_row row = member.row;
    member = member_state();
    member.row = row;
  }
  silence_.Reset();
}

const member_state* group_knowledge::Serving() const {
  const member_state* best = nullptr;
  for (const member_state& member : members_) {
    if (member.known && member.report.role == wire::member_role::kPrimary &&
        (best == nullptr || member.report.term > best->report.term)) {
      best = &member;
    }
  }
  if (best == nullptr || best->report.promised_term > best->report.term ||
      PromisedAbove(best->report.term) >= Majority(members_.size())) {
    return nullptr;
  }
  return best;
}

size_t group_knowledge::PromisedAbove(int64_t term) const {
  return static_cast<size_t>(std::count_if(
      members_.begin(), members_.end(), [&](const member_state& member) {
        return member.known && member.report.promised_term > term;
      }));
}

size_t group_knowledge::PromisedAboveAllTerms() const {
  int64_t served = 0;
  for (const member_state& member : members_) {
    served = std::max(served, member.report.term);
  }
  return PromisedAbove(served);
}

int64_t group_knowledge::HighestTerm() const {
  int64_t highest = 0;
  for (const member_state& member : members_) {
    highest =
        std::max({highest, member.report.promised_term, member.report.term});
  }
  return highest;
}

bool group_knowledge::Fresh(const member_state& member, time_point now) const {
  return member.known && now - member.heard <= timing_.status_age;
}

bool group_knowledge::Stalled(const member_state& member,
                              time_point now) const {
  return Fresh(member, now) &&
         member.report.role == wire::member_role::kReplica &&
         now - member.stalled_since >= timing_.stall_limit;
}

member_state* group_knowledge::Find(std::string_view name) {
  const auto found = std::find_if(
      members_.begin(), members_.end(),
      [&](const member_state& member) { return member.row.name == name; });
  return found == members_.end() ? nullptr : &*found;
}

}  // namespace tarragondale::group
