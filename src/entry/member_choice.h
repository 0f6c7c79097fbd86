// Choice of the member that serves a read.
#ifndef TARRAGONDALE_SRC_ENTRY_MEMBER_CHOICE_H_
#define TARRAGONDALE_SRC_ENTRY_MEMBER_CHOICE_H_

#include <optional>
#include <string>
#include <vector>

#include "src/entry/member_table.h"
#include "tarragondale/session.h"

namespace tarragondale::entry {

/// @brief What a read demands.
struct read_demand {
  session::freshness freshness;
  int64_t max_age_ms = -1;  ///< -1: any age.
  /// Members that failed this request already; used only if no other is left.
  const std::vector<std::string>* tried = nullptr;
};

struct read_choice {
  const config::member_row* member = nullptr;
  bool primary = false;
  /// Above zero: the member is expected to qualify after this time.
  duration wait{0};
};

/// @brief The member of the lowest estimated cost among those that satisfy the
/// demand: round trip + requests ahead * service time + penalties.
///
/// If no replica qualifies yet, a replica whose log is expected to reach the
/// position within `replica_wait`, judged by its recent growth, is taken if
/// that is cheaper than the primary. The gateway checks the position again.
/// @return Empty if no member qualifies.
std::optional<read_choice> ChooseForRead(const entry_options& options,
                                         const member_table& table,
                                         time_point now,
                                         const config::pool_row& pool,
                                         const read_demand& demand);

/// @brief Age of a replica's data now: reported age + time since the report +
/// poll interval. Negative if it is unknown.
int64_t EstimatedAgeMs(const entry_options& options,
                       const member_state& state,
                       time_point now);

/// @brief One-way latency from this VM to a zone.
duration PathLatency(const entry_options& options,
                     std::string_view availability_zone,
                     std::string_view region);

}  // namespace tarragondale::entry

#endif  // TARRAGONDALE_SRC_ENTRY_MEMBER_CHOICE_H_
