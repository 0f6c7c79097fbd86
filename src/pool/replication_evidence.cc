// Judges replication polls. The rule is that of docs/design.md, section 5.
#include "src/pool/replication_evidence.h"

#include <algorithm>

namespace tarragondale::pool {
namespace {

// Critical check: number of members that must hold a position.
size_t RequiredHolders(size_t members) {
#if defined(TARRAGONDALE_MUTANT_MAJORITY)
  return members > 0 ? 1 : 0;
#else
  return members / 2 + 1;
#endif
}

// Critical check: the member is at the term and promised no higher one.
bool AtTerm(const database::replication_row& row, int64_t term) {
#if defined(TARRAGONDALE_MUTANT_EVIDENCE_TERM)
  (void)row;
  (void)term;
  return true;
#else
  return row.term == term && row.promised_term <= term;
#endif
}

}  // namespace

evidence_state Judge(const std::vector<database::replication_row>& rows,
                     const std::vector<std::string>& members,
                     const std::string& primary,
                     const awaited_position& awaited) {
  size_t holders = 0;
  size_t beyond = 0;
  bool primary_holds = false;
  bool primary_beyond = false;
  for (const std::string& member : members) {
    const auto row = std::find_if(
        rows.begin(), rows.end(),
        [&member](const auto& entry) { return entry.member == member; });
    if (row == rows.end()) {
      continue;
    }
    const bool is_primary = member == primary;
    if (AtTerm(*row, awaited.term) && row->position >= awaited.position) {
      ++holders;
      primary_holds = primary_holds || is_primary;
    } else if (row->promised_term > awaited.term || row->term > awaited.term) {
      ++beyond;
      primary_beyond = primary_beyond || is_primary;
    }
  }
  const size_t required = RequiredHolders(members.size());
  if (primary_holds && holders >= required) {
    return evidence_state::kHeld;
  }
  if (primary_beyond || members.size() - beyond < required) {
    return evidence_state::kRefuted;
  }
  return evidence_state::kMissing;
}

void replication_evidence::Add(time_point now,
                               pending_ptr pending,
                               conclusion result) {
  waiters_.push_back({std::move(pending), std::move(result), now});
  next_poll_ = now;
}

std::optional<time_point> replication_evidence::NextPoll() const {
  if (in_flight_ || waiters_.empty()) {
    return std::nullopt;
  }
  return next_poll_;
}

// The interval grows with the longest wait, so that a stalled replica does not
// cause a flood of polls.
void replication_evidence::Schedule(time_point now) {
  constexpr int kWaitShare = 8;
  if (!waiters_.empty()) {
    const auto waited =
        std::chrono::duration_cast<duration>(now - waiters_.front().since);
    next_poll_ = now + std::clamp(waited / kWaitShare, floor_, ceiling_);
  }
}

void replication_evidence::PollLost(time_point now) {
  in_flight_ = false;
  Schedule(now);
}

std::vector<replication_evidence::verdict> replication_evidence::PollAnswered(
    time_point now,
    const std::vector<database::replication_row>& rows,
    const std::vector<std::string>& members,
    const std::string& primary) {
  in_flight_ = false;
  std::vector<verdict> verdicts;
  std::vector<evidence_waiter> rest;
  for (evidence_waiter& waiter : waiters_) {
    const evidence_state state =
        Judge(rows, members, primary, *waiter.result.awaited);
    if (state == evidence_state::kMissing) {
      rest.push_back(std::move(waiter));
    } else {
      verdicts.push_back({std::move(waiter), state});
    }
  }
  waiters_ = std::move(rest);
  Schedule(now);
  return verdicts;
}

void replication_evidence::Remove(const pending_ptr& pending) {
  std::erase_if(waiters_, [&pending](const evidence_waiter& waiter) {
    return waiter.pending == pending;
  });
}

}  // namespace tarragondale::pool
