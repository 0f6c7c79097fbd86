// A database member for the gateway under measurement: it answers each query
// a fixed time after it was sent and keeps no data.
#ifndef TARRAGONDALE_SRC_CAPACITY_SCRIPTED_MEMBER_H_
#define TARRAGONDALE_SRC_CAPACITY_SCRIPTED_MEMBER_H_

#include <deque>
#include <optional>

#include "tarragondale/database.h"

namespace tarragondale::capacity {

/// @brief Primaries of groups of three; all members share one script.
class scripted_member {
 public:
  void Take(time_point now, const database::command& command);
  /// @brief When the next event is due; empty: none.
  std::optional<time_point> NextTime() const;
  database::driver_event Next();

 private:
  struct pending {
    time_point at;
    database::driver_event event;
  };

  database::query_finished Answer(const database::send_query& query);

  std::deque<pending> queue_;
  int64_t position_ = 1'000'000'000;
};

}  // namespace tarragondale::capacity

#endif  // TARRAGONDALE_SRC_CAPACITY_SCRIPTED_MEMBER_H_
