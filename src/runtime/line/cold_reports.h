// Until when members are cold, from their reports in the store.
#ifndef TARRAGONDALE_SRC_RUNTIME_LINE_COLD_REPORTS_H_
#define TARRAGONDALE_SRC_RUNTIME_LINE_COLD_REPORTS_H_

#include <cstdint>
#include <map>
#include <string>

#include "tarragondale/interactive.h"

namespace tarragondale::runtime {

/// @brief Ends of the cold times of members. No I/O.
///
/// Invariants: the end for one start of a member never moves back, so that a
/// late report makes the member cold for longer, never for less; reading an
/// entry again does not count as a new report.
class cold_reports {
 public:
  /// @brief Handles a member's entry, and sets its `cold_until`.
  /// @param revision Of the entry in the store.
  void Take(interactive::member_record& record,
            int64_t revision,
            time_point now);

 private:
  struct report {
    int64_t started_ms = 0;
    int64_t revision = 0;
    time_point until;
  };

  std::map<std::string, report> reports_;  ///< Of members that were cold.
};

/// @brief Whether two entries of a member differ only in how much longer it is
/// cold, with the same end. Such a change needs no new list of members.
bool IsSameButColdLeft(const interactive::member_record& before,
                       interactive::member_record after);

}  // namespace tarragondale::runtime

#endif  // TARRAGONDALE_SRC_RUNTIME_LINE_COLD_REPORTS_H_
