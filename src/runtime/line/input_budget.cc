// Accounting of callers' bytes.
#include "src/runtime/line/input_budget.h"

#include <algorithm>

namespace tarragondale::runtime {
namespace {

// The statement, and its copy on the way to a member or another VM.
constexpr size_t kStatementCopies = 2;
// The session's state, the copy on the link that it is applied to, and the text
// on the way there.
constexpr size_t kKeptCopies = 3;
// The kernel doubles the sizes that it is given.
constexpr size_t kPausedBytes = size_t{2} * kCallerReceiveBuffer;
constexpr size_t kUnsentBytes = size_t{2} * kCallerSendBuffer;

}  // namespace

size_t StatementBytes(const interactive::caller_statement& statement) {
  return statement.id.size() + statement.text.size() + statement.name.size() +
         statement.argument.size();
}

size_t input_budget::holder::bytes() const {
  return unread + waiting * kStatementCopies + kept * kKeptCopies + unsent +
         (arrived ? kPausedBytes : 0) + (unsent > 0 ? kUnsentBytes : 0);
}

std::string_view input_budget::LimitName(limit value) {
  constexpr std::array<std::string_view, kLimits> kNames = {
      "memory", "slow_line", "unread_answer", "connections"};
  return kNames[static_cast<size_t>(value)];
}

template <typename Change>
void input_budget::Update(session_id session, Change change) {
  const auto found = holders_.find(session);
  if (found == holders_.end()) {
    return;
  }
  total_ -= found->second.bytes();
  change(found->second);
  total_ += found->second.bytes();
}

void input_budget::Close(session_id session) {
  const auto found = holders_.find(session);
  if (found != holders_.end()) {
    total_ -= found->second.bytes();
    holders_.erase(found);
  }
}

void input_budget::SetUnread(time_point now,
                             session_id session,
                             size_t bytes,
                             bool progress) {
  Update(session, [&](holder& of) {
    if (of.unread == 0 || progress) {
      of.line_since = now;
    }
    of.unread = bytes;
  });
}

void input_budget::Progress(time_point now, session_id session) {
  Update(session, [&](holder& of) { of.line_since = now; });
}

void input_budget::AddStatement(session_id session, size_t bytes) {
  Update(session, [&](holder& of) {
    of.statements.push_back(bytes);
    of.waiting += bytes;
  });
}

void input_budget::FinishStatement(session_id session) {
  Update(session, [&](holder& of) {
    if (!of.statements.empty()) {
      of.waiting -= of.statements.front();
      of.statements.erase(of.statements.begin());
    }
  });
}

void input_budget::SetKept(session_id session, size_t bytes) {
  Update(session, [&](holder& of) { of.kept = bytes; });
}

void input_budget::SetUnsent(time_point now,
                             session_id session,
                             size_t bytes,
                             bool progress) {
  Update(session, [&](holder& of) {
    if (of.unsent == 0 || progress) {
      of.unsent_since = now;
    }
    of.unsent = bytes;
  });
}

bool input_budget::MayRead(session_id session) const {
  const auto found = holders_.find(session);
  if (found == holders_.end()) {
    return true;
  }
  const holder& of = found->second;
  if (of.unsent >= limits_.unsent_bytes) {
    return false;
  }
  if (of.statements.empty()) {
    return true;
  }
  // A caller that waits for its answers loses nothing by the last rule.
  return of.waiting < limits_.waiting_bytes &&
         of.statements.size() < limits_.waiting_statements &&
         total_ <= limits_.total_bytes / 2;
}

void input_budget::SetPaused(session_id session, bool paused, bool arrived) {
  Update(session, [&](holder& of) {
    pauses_ += paused && !of.paused ? 1 : 0;
    of.paused = paused;
    of.arrived = paused && arrived;
  });
}

std::optional<input_budget::session_id> input_budget::Largest() const {
  if (!exceeded() || holders_.empty()) {
    return std::nullopt;
  }
  return std::max_element(holders_.begin(), holders_.end(),
                          [](const auto& one, const auto& other) {
                            return one.second.bytes() < other.second.bytes();
                          })
      ->first;
}

std::vector<std::pair<input_budget::session_id, input_budget::limit>>
input_budget::Overdue(time_point now) const {
  std::vector<std::pair<session_id, limit>> overdue;
  for (const auto& [session, of] : holders_) {
    if (of.unsent > 0 && now - of.unsent_since > limits_.answer_time) {
      overdue.emplace_back(session, limit::kUnread);
    } else if (of.unread > 0 && !of.paused &&
               now - of.line_since > limits_.line_time) {
      overdue.emplace_back(session, limit::kSlowLine);
    }
  }
  return overdue;
}

size_t input_budget::held(session_id session) const {
  const auto found = holders_.find(session);
  return found == holders_.end() ? 0 : found->second.bytes();
}

}  // namespace tarragondale::runtime
