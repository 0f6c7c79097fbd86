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
};

/// @brief A pooled connection to a member.
///
/// Invariants: only statements of the session `owner` run on the link; answers
/// arrive in the order of `awaited`.
struct link {
  link_id id = 0;
  std::string member;
  std::string organisation;
  bool open = false;
  bool check = false;    ///< For a status check only; never pooled.
  bool begun = false;    ///< A transaction of `owner` is open at the member.
  session_id owner = 0;  ///< 0: none.
  time_point opened_at;  ///< Time of the request, later of the opening.
  time_point last_used;
  std::map<std::string, std::string, std::less<>> values;
  std::set<std::string, std::less<>> prepared;
  std::deque<awaited_answer> awaited;

  bool idle() const { return open && !check && owner == 0 && awaited.empty(); }
  /// A statement or transaction of a caller runs on it, or is being rolled
  /// back.
  bool busy() const { return open && !check && !idle(); }
};

/// @brief Name under which a statement is prepared on links. It depends only on
/// the statement, so sessions with the same statement share the preparation.
std::string PreparedName(const prepared_statement& statement);

/// @brief Returns the statements that apply the session values of `owner` to
/// `link` and prepare the statement `needed` unless null, and records them in
/// the link's state. Resets the link if it has values that `owner` lacks, or
/// `max_prepared` prepared statements.
std::vector<member_statement> Synchronise(link& link,
                                          const session& owner,
                                          const prepared_statement* needed,
                                          size_t max_prepared);

}  // namespace tarragondale::interactive

#endif  // TARRAGONDALE_SRC_INTERACTIVE_LINK_H_
