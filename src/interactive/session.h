// State of one caller's session.
#ifndef TARRAGONDALE_SRC_INTERACTIVE_SESSION_H_
#define TARRAGONDALE_SRC_INTERACTIVE_SESSION_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "tarragondale/interactive.h"

namespace tarragondale::interactive {

struct prepared_statement {
  bool writes = false;
  std::string shape;

  auto operator<=>(const prepared_statement&) const = default;
};

/// @brief A statement that needs a member.
struct work {
  caller_statement statement;
  route settings;       ///< As of its arrival, or of the transaction's begin.
  bool writes = false;  ///< It may change data.
  bool primary_only = false;
  /// Sent to the primary without a required position: the answer counts only
  /// if the right to use the primary still holds.
  bool as_primary = false;
  time_point arrived;
  time_point deadline;    ///< End of the route's time limit.
  time_point not_before;  ///< Pause before the next attempt.
  int attempts = 0;
  std::vector<std::string> excluded;  ///< Members that can't run it.
  link_id link = 0;                   ///< Sent on this link; 0: waits.
  link_id opening = 0;                ///< Link that is opened for it.
  time_point sent;
  std::string last_reason;  ///< Why it still waits, for the refusal.
};

/// @brief An open transaction. Its first statement chooses the member.
struct transaction {
  bool read_only = false;
  bool failed = false;        ///< Only its end is accepted.
  bool failure_told = false;  ///< The caller got an error for it.
  link_id link = 0;           ///< 0: not begun at a member.
  route settings;             ///< As of its begin.
  time_point used;            ///< Last statement or answer.
};

struct session {
  session_id id = 0;
  std::string database;
  std::string key;
  std::string organisation;
  bool hosted = false;  ///< Another VM checks its key.
  std::map<std::string, std::string, std::less<>> values;
  std::map<std::string, prepared_statement, std::less<>> prepared;
  log_position written;  ///< Newest own commit.
  std::deque<std::pair<time_point, caller_statement>> pending;
  std::optional<work> current;
  std::optional<transaction> open;
  // The caller is told when its session ends, so nothing follows an answer
  // that closes.
  bool closing = false;
};

}  // namespace tarragondale::interactive

#endif  // TARRAGONDALE_SRC_INTERACTIVE_SESSION_H_
