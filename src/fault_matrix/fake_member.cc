// A fake database member.
#include "src/fault_matrix/fake_member.h"

#include <algorithm>

namespace tarragondale::fault_matrix {

void fake_member::Start(const std::map<std::string, fake_member*>* peers) {
  peers_ = peers;
  PullLater();
}

void fake_member::PullLater() {
  constexpr int64_t kShortestUs = 4000;
  constexpr int64_t kSpreadUs = 26000;
  sim_.After(duration(kShortestUs + sim_.Random(kSpreadUs)), [this] {
    if (alive_) {
      Pull();
    }
    PullLater();
  });
}

void fake_member::Pull() {
  const auto primary = peers_->find(following_);
  if (primary_ || primary == peers_->end() || promised_ > term_) {
    return;
  }
  fake_member* const from = primary->second;
  net_.Send(name_, from->name_,
            [this, from, term = term_, length = pulled_length_,
             last = TermAt(pulled_length_), promised = promised_] {
              if (from->alive_) {
                from->ServePull(*this, term, length, last, promised);
              }
            });
}

void fake_member::ServePull(fake_member& follower,
                            int64_t term,
                            size_t length,
                            int64_t last_term,
                            int64_t promised) {
  if (!primary_ || term != term_) {
    return;
  }
  fake_member* const to = &follower;
  if (length > log_.size() || TermAt(length) != last_term) {
    net_.Send(name_, to->name_,
              [to, term, length] { to->Backtrack(term, length); });
    return;
  }
  database::replication_row& row = replicas_[to->name_];
  row.member = to->name_;
  row.term = term;
  row.promised_term = std::max(row.promised_term, promised);
  row.position = std::max(row.position, static_cast<int64_t>(length));
  net_.Send(name_, to->name_,
            [to, term, length,
             entries = std::vector<log_entry>(
                 log_.begin() + static_cast<std::ptrdiff_t>(length),
                 log_.end())] { to->TakeEntries(term, length, entries); });
}

void fake_member::Backtrack(int64_t term, size_t length) {
  if (alive_ && !primary_ && term == term_ && promised_ <= term &&
      pulled_length_ == length && length > 0) {
    --pulled_length_;
  }
}

void fake_member::TakeEntries(int64_t term,
                              size_t from,
                              std::vector<log_entry> entries) {
  if (!alive_ || primary_ || term != term_ || promised_ > term ||
      from != pulled_length_) {
    return;
  }
  log_.resize(from);
  log_.insert(log_.end(), entries.begin(), entries.end());
  pulled_length_ = log_.size();
  caught_up_ = sim_.now();
}

std::optional<log_position> fake_member::Write(uint64_t write) {
  if (!primary_ || promised_ > term_) {
    return std::nullopt;
  }
  log_.push_back({term_, write});
  return log_position{term_, static_cast<int64_t>(log_.size())};
}

std::vector<database::replication_row> fake_member::Replication() const {
  std::vector<database::replication_row> rows;
  rows.push_back({name_, term_, promised_, static_cast<int64_t>(log_.size())});
  for (const auto& [name, row] : replicas_) {
    if (name != name_) {
      rows.push_back(row);
    }
  }
  return rows;
}

bool fake_member::Holds(uint64_t write) const {
  return std::any_of(log_.begin(), log_.end(), [&](const log_entry& entry) {
    return entry.write == write;
  });
}

wire::member_report fake_member::Status() const {
  wire::member_report report;
  report.member = name_;
  report.reachable = true;
  report.role =
      primary_ ? wire::member_role::kPrimary : wire::member_role::kReplica;
  report.term = term_;
  report.promised_term = promised_;
  report.last_term = TermAt(log_.size());
  report.position = static_cast<int64_t>(log_.size());
  report.term_start = term_start_;
  report.age_ms = primary_ ? 0 : ToMs(sim_.now() - caught_up_);
  return report;
}

wire::statement_result fake_member::StatusRow() const {
  const wire::member_report report = Status();
  wire::statement_result rows;
  rows.rows.emplace_back();
  const auto add = [&](const char* name, const std::string& value) {
    rows.columns.push_back({name, 0});
    rows.rows[0].emplace_back(value);
  };
  add("member", name_);
  add("role", std::string(wire::MemberRoleName(report.role)));
  add("term", std::to_string(report.term));
  add("promised_term", std::to_string(report.promised_term));
  add("promised_coordinator", promised_by_);
  add("last_term", std::to_string(report.last_term));
  add("position", std::to_string(report.position));
  add("term_start", std::to_string(report.term_start));
  add("age_ms", std::to_string(report.age_ms));
  return rows;
}

database::query_finished fake_member::Execute(
    const wire::statement& statement) {
  const auto called = [&](const char* function) {
    return statement.sql.find(function) != std::string::npos;
  };
  const auto text = [&](size_t i) { return statement.params[i].value_or(""); };
  std::optional<std::string> problem;
  if (called("tarragondale_fence")) {
    problem = Fence(std::stoll(text(0)), text(1));
  } else if (called("tarragondale_promote")) {
    problem = Promote(std::stoll(text(0)), text(1));
  } else if (called("tarragondale_follow")) {
    problem = Follow(std::stoll(text(0)), text(1), text(2));
  }
  database::query_finished done;
  if (problem) {
    done.sqlstate = *problem;
    done.message = "refused";
  } else {
    done.result = StatusRow();
  }
  return done;
}

std::optional<std::string> fake_member::Fence(int64_t term,
                                              const std::string& who) {
  if (term != promised_ || who != promised_by_) {
    if (term <= promised_) {
      return database::kStalePromise;
    }
    promised_ = term;
    promised_by_ = who;
  }
  history_.Promised(term, who, name_);
  return std::nullopt;
}

std::optional<std::string> fake_member::Promote(int64_t term,
                                                const std::string& who) {
  if (term != promised_ || who != promised_by_) {
    return database::kPromiseMismatch;
  }
  if (primary_ && term_ == term) {
    return std::nullopt;
  }
  history_.Promoting(sim_.now(), term, who, name_,
                     [this](uint64_t write) { return Holds(write); });
  primary_ = true;
  term_ = term;
  replicas_.clear();
  log_.push_back({term, 0});
  term_start_ = static_cast<int64_t>(log_.size());
  return std::nullopt;
}

std::optional<std::string> fake_member::Follow(int64_t term,
                                               const std::string& who,
                                               const std::string& address) {
  const bool same = term == promised_ && who == promised_by_;
  if (!same && term <= promised_) {
    return database::kStalePromise;
  }
  if (primary_ && term_ == term) {
    return std::nullopt;
  }
  promised_ = term;
  promised_by_ = who;
  if (term_ != term || primary_) {
    pulled_length_ = log_.size();
  }
  primary_ = false;
  term_ = term;
  following_ = address;
  return std::nullopt;
}

}  // namespace tarragondale::fault_matrix
