// State of one pooled connection to a member.
#ifndef TARRAGONDALE_SRC_INTERACTIVE_LINK_H_
#define TARRAGONDALE_SRC_INTERACTIVE_LINK_H_

#include <deque>
#include <map>
#include <set>
#include <string>

#include "src/interactive/session.h"
#include "tarragondale/interactive.h"

namespace tarragondale::interactive {

/// @brief A sent statement whose answer is outstanding.
struct awaited_answer {
  member_statement::step what = member_statement::step::kRun;
  time_point sent;
  /// Other statements and connection attempts of this VM in flight at the
  /// member when it was sent. Only for callers' statements.
  int ahead = 0;
};

/// @brief A pooled connection to a member.
///
/// Invariants: callers' statements are sent only for the session `owner`;
/// answers arrive in the order of `awaited`.
struct link {
  link_id id = 0;
  std::string member;
  std::string organisation;
  bool open = false;
  bool check = false;    ///< For a status check only; never pooled.
  bool begun = false;    ///< A transaction of `owner` is open at the member.
  session_id owner = 0;  ///< 0: none.
  /// When the opening was requested; once open, when it was completed.
  time_point opened_at;
  time_point last_used;
  std::map<std::string, std::string, std::less<>> values;
  std::set<std::string, std::less<>> prepared;
  std::deque<awaited_answer> awaited;

  /// Bytes of `values`.
  size_t value_bytes() const;
  bool idle() const { return open && !check && owner == 0 && awaited.empty(); }
  /// Whether a caller's statement or transaction runs on the link or is being
  /// rolled back.
  bool busy() const { return open && !check && !idle(); }
};

/// @brief Name under which a statement is prepared on links. It depends only on
/// the statement, so sessions share a link's preparation of the same statement.
std::string PreparedName(const prepared_statement& statement);

/// @brief Returns the statements that give `link` the session values of `owner`
/// and prepare `needed` (if not null). Updates the link's recorded state as if
/// they had run. The first one resets the link if it has a value that `owner`
/// lacks, or already has `max_prepared` or more prepared statements.
std::vector<member_statement> Synchronise(link& link,
                                          const session& owner,
                                          const prepared_statement* needed,
                                          size_t max_prepared);

}  // namespace tarragondale::interactive

#endif  // TARRAGONDALE_SRC_INTERACTIVE_LINK_H_
