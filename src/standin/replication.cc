// Replication between the members of a group. Replicas pull entries from the
// primary that they follow; a pull also reports what the replica holds.
#include <algorithm>

#include "src/standin/member.h"

namespace tarragondale::standin {
namespace {

// Interval of reports when there is no new entry.
constexpr milliseconds kIdleInterval{10};

time_point Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

task<void> member::Replicate() {
  while (true) {
    member* const from = group_.FindByAddress(primary_address_);
    if (primary_ || from == nullptr || from == this || !from->primary_ ||
        from->term_ != term_ || !group_.LinkUp(*this, *from)) {
      co_await log_changed_.WaitUntil(Now() + kIdleInterval);
      continue;
    }
    co_await ReplicateOnce(*from);
  }
}

task<void> member::ReplicateOnce(member& from) {
  const int64_t common = CommonPosition(from);
  replica_report& report = from.reports_[name_];
  // A tail that diverges must not count as held (section 5 of the design).
  report = {term_, promised_term_, common};
  term_start_ = from.term_start_;
  if (promised_term_ > term_) {
    co_await log_changed_.WaitUntil(Now() + kIdleInterval);
    co_return;
  }
  if (from.position() == common && position() == common) {
    caught_up_ = Now();
    co_await from.log_changed_.WaitUntil(Now() + kIdleInterval);
    co_return;
  }
  const int64_t term = term_;
  const time_point sent = Now();
  const std::vector<log_entry> entries(from.log_.begin() + common,
                                       from.log_.end());
  co_await loop_.Sleep(limits_.replication_delay);
  // The answer is lost if the link was cut meanwhile, and refused if the
  // member has promised a higher term.
  if (!group_.LinkUp(*this, from) || term_ != term || primary_ ||
      promised_term_ > term_ || CommonPosition(from) < common) {
    co_return;
  }
  if (position() > common) {
    TruncateAfter(common);
  }
  for (const log_entry& entry : entries) {
    Append(entry);
  }
  caught_up_ = sent;
}

int64_t member::CommonPosition(const member& other) const {
  int64_t common = std::min(position(), other.position());
  while (common > 0 && log_[static_cast<size_t>(common - 1)].term !=
                           other.log_[static_cast<size_t>(common - 1)].term) {
    --common;
  }
  return common;
}

void member::TruncateAfter(int64_t position) {
  Log(log_level::kInfo, log_part::kStandin,
      "member {} truncates its log from position {} to {}", name_,
      this->position(), position);
  ++counters_["truncations"];
  log_.resize(static_cast<size_t>(position));
  // Replaced as a whole: statements can't be undone one by one.
  committed_ = std::make_unique<database>();
  for (const log_entry& entry : log_) {
    ApplyToCommitted(entry);
  }
}

database_group::database_group(reactor& loop,
                               const std::string& host,
                               const group_options& options)
    : name_(options.name) {
  for (const member_options& item : options.members) {
    members_.push_back(std::make_unique<member>(loop, *this, item.name, host));
    members_.back()->limits() = options.limits;
  }
}

void database_group::Open(const group_options& options) {
  for (size_t i = 0; i < members_.size(); ++i) {
    members_[i]->Open(options.members[i].port);
  }
  for (const auto& item : members_) {
    item->Initialise(*members_.front(), options.initial_sql);
  }
}

member* database_group::Find(std::string_view name) {
  for (const auto& item : members_) {
    if (item->name() == name) {
      return item.get();
    }
  }
  return nullptr;
}

member* database_group::FindByAddress(std::string_view address) {
  for (const auto& item : members_) {
    if (item->address() == address) {
      return item.get();
    }
  }
  return nullptr;
}

void database_group::SetLink(const std::string& a,
                             const std::string& b,
                             bool up) {
  const std::pair<std::string, std::string> link = std::minmax(a, b);
  if (up) {
    cut_links_.erase(link);
  } else {
    cut_links_.insert(link);
  }
}

bool database_group::LinkUp(const member& a, const member& b) const {
  const std::pair<std::string, std::string> link =
      std::minmax(a.name(), b.name());
  const auto isolated = [](const member& item) {
    return item.replication_cut() || item.listener().faults().stopped;
  };
  return !isolated(a) && !isolated(b) && !cut_links_.contains(link);
}

}  // namespace tarragondale::standin
