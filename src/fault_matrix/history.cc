// Checks of the history of one cell.
#include "src/fault_matrix/history.h"

namespace tarragondale::fault_matrix {

void history::Promised(int64_t term,
                       const std::string& who,
                       const std::string& member) {
  promises_[{term, who}].insert(member);
}

void history::Promoting(time_point now,
                        int64_t term,
                        const std::string& who,
                        const std::string& member,
                        const holds& held) {
  if (promises_[{term, who}].size() * 2 <= members_) {
    Violate("promotion without promises of a majority");
  }
  const auto [known, added] = primaries_.emplace(term, member);
  if (!added && known->second != member) {
    Violate("two primaries in a term");
  }
  last_promotion_ = now;
  if (term != highest_promoted()) {
    return;
  }
  for (const acknowledged_write& write : writes_) {
    if (!held(write.write)) {
      Violate("lost acknowledged write");
    }
  }
}

void history::Acknowledged(time_point now, uint64_t write, log_position at) {
  writes_.push_back({write, at, highest_promoted() > at.term});
  last_acknowledged_ = now;
  last_term_ = at.term;
}

void history::CheckEnd(const holds& held) {
  for (const acknowledged_write& write : writes_) {
    if (!held(write.write)) {
      Violate(write.superseded ? "acknowledged by a superseded primary"
                               : "lost acknowledged write");
    }
  }
}

}  // namespace tarragondale::fault_matrix
