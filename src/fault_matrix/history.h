// What happened in one cell, and the checks of it.
#ifndef SRC_FAULT_MATRIX_HISTORY_H_
#define SRC_FAULT_MATRIX_HISTORY_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "tarragondale/base.h"

namespace tarragondale::fault_matrix {

class history {
 public:
  using holds = std::function<bool(uint64_t write)>;

  void Promised(int64_t term,
                const std::string& who,
                const std::string& member);

  /// @brief A member becomes primary of `term`; it must hold all acknowledged
  /// writes and a majority must have promised.
  void Promoting(time_point now,
                 int64_t term,
                 const std::string& who,
                 const std::string& member,
                 const holds& held);

  void Acknowledged(time_point now, uint64_t write, log_position at);

  /// @brief Checks the acknowledged writes against the log of the last primary.
  void CheckEnd(const holds& held);

  void Violate(const std::string& what) { violations_.insert(what); }

  void SetMembers(size_t members) { members_ = members; }
  const std::set<std::string>& violations() const { return violations_; }
  size_t acknowledged() const { return writes_.size(); }
  time_point last_acknowledged() const { return last_acknowledged_; }
  int64_t last_acknowledged_term() const { return last_term_; }
  time_point last_promotion() const { return last_promotion_; }
  size_t promotions() const { return primaries_.size(); }
  int64_t highest_promoted() const {
    return primaries_.empty() ? 0 : primaries_.rbegin()->first;
  }

 private:
  struct acknowledged_write {
    uint64_t write;
    log_position at;
    bool superseded;  ///< A later term had a primary before the answer.
  };

  size_t members_ = 3;
  std::map<std::pair<int64_t, std::string>, std::set<std::string>> promises_;
  std::map<int64_t, std::string> primaries_;
  std::vector<acknowledged_write> writes_;
  time_point last_acknowledged_;
  int64_t last_term_ = 0;
  time_point last_promotion_;
  std::set<std::string> violations_;
};

}  // namespace tarragondale::fault_matrix

#endif  // SRC_FAULT_MATRIX_HISTORY_H_
