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

/// @brief A statement whose answer is due.
struct awaited_answer {
  member_statement::step what = member_statement::step::kRun;
  time_point sent;
};

/// @brief Invariants: `owner` is the only session whose statements run on the
/// link; answers come in the order of `awaited`.
struct link {
  link_id id = 0;
  std::string member;
  std::string organisation;
  bool open = false;
  bool check = false;    ///< Opened to ask for the status; never pooled.
  bool begun = false;    ///< A transaction of `owner` is open at the member.
  session_id owner = 0;  ///< 0: none.
  time_point opened_at;  ///< When it was asked for, then when it was open.
  time_point used;
  std::map<std::string, std::string, std::less<>> values;
  std::set<std::string, std::less<>> prepared;
  std::deque<awaited_answer> awaited;

  bool idle() const { return open && !check && owner == 0 && awaited.empty(); }
  /// A statement or transaction of a caller runs on it, or is cleaned up.
  bool busy() const { return open && !check && !idle(); }
};

/// @brief Name under which a shape is prepared on every link, so that links
/// need no change between sessions that use the same shapes.
std::string CommonName(const prepared_statement& statement);

/// @brief The statements that give `link` the values of `owner` and, for an
/// execution, the prepared statement it needs. Updates the link's state.
std::vector<member_statement> Synchronise(link& link,
                                          const session& owner,
                                          const prepared_statement* needed,
                                          size_t max_prepared);

}  // namespace tarragondale::interactive

#endif  // TARRAGONDALE_SRC_INTERACTIVE_LINK_H_
