// State of a caller's session.
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

/// @brief A caller's statement in progress: waiting for a link, or sent on one.
struct active_statement {
  caller_statement statement;
  route settings;       ///< Route at its start, or at the transaction's begin.
  bool writes = false;  ///< May change data.
  bool primary_only = false;
  /// Sent to the primary without a required position, so the answer is valid
  /// only if this VM's lease on the primary still is.
  bool as_primary = false;
  time_point arrived;
  time_point deadline;    ///< Arrival plus the route's timeout.
  time_point not_before;  ///< Earliest time of the next attempt.
  int attempts = 0;
  std::vector<std::string> excluded;  ///< Not to be tried again as replicas.
  link_id link = 0;                   ///< Sent on this link; 0: not sent.
  link_id opening_link = 0;           ///< Link being opened for it; 0: none.
  time_point sent;
  std::string last_reason;  ///< Why it has not run yet; for error messages.
};

/// @brief A statement that waits for a token of its organisation's rate.
struct paced_statement {
  time_point arrived;
  time_point until;  ///< It is refused then.
  caller_statement statement;
};

/// @brief An open transaction. The member is chosen at its first statement.
struct transaction {
  bool read_only = false;
  bool failed = false;            ///< Accepts only commit and rollback.
  bool failure_reported = false;  ///< The caller received the error.
  link_id link = 0;               ///< 0: not begun at a member, or failed.
  route settings;                 ///< Route at its begin.
  time_point last_used;           ///< Time of the last statement or answer.
};

struct session {
  session_id id = 0;
  std::string database;
  std::string key;
  std::string organisation;
  bool hosted = false;  ///< Its caller is connected to another VM.
  /// From then on it may return to its entry VM; only if `hosted`.
  time_point may_return_at;
  /// Allowed regions in the configuration of a hosted session's entry VM.
  region_set entry_route_regions;
  region_set entry_organisation_regions;
  std::map<std::string, std::string, std::less<>> values;
  std::map<std::string, prepared_statement, std::less<>> prepared;
  size_t kept_bytes = 0;  ///< Of names and contents of both.
  log_position written;   ///< Log position of its newest commit.
  std::deque<std::pair<time_point, caller_statement>> pending;
  std::optional<paced_statement> paced;
  bool has_token = false;  ///< For the statement that is being handled.
  std::optional<active_statement> current;
  std::optional<transaction> open;
  // Set when the session is being closed. The caller sees that it ended, so
  // later statements are dropped without an answer.
  bool closing = false;
};

}  // namespace tarragondale::interactive

#endif  // TARRAGONDALE_SRC_INTERACTIVE_SESSION_H_
