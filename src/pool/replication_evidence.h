// Positions that wait until a majority of the group's members holds them.
#ifndef TARRAGONDALE_SRC_POOL_REPLICATION_EVIDENCE_H_
#define TARRAGONDALE_SRC_POOL_REPLICATION_EVIDENCE_H_

#include <string>
#include <vector>

#include "src/pool/transaction.h"

namespace tarragondale::pool {

/// @brief What a replication poll says of a position.
enum class evidence_state : uint8_t {
  kMissing,  ///< No majority yet; a later poll may show it.
  kHeld,     ///< A majority in the term holds the position.
  kRefuted   ///< Members promised a higher term; no poll will show it.
};

/// @brief Judges (term, position) by the primary's view of the group.
///
/// Held: a majority of `members`, `primary` included, is at `term`, holds the
/// position and has promised no higher term. Promises only rise, so a primary
/// or majority beyond the term refutes it for good.
evidence_state Judge(const std::vector<database::replication_row>& rows,
                     const std::vector<std::string>& members,
                     const std::string& primary,
                     const awaited_position& awaited);

/// @brief A finished transaction whose answer waits for evidence.
struct evidence_waiter {
  pending_ptr pending;
  conclusion result;
  time_point since;
};

class replication_evidence {
 public:
  replication_evidence(duration interval_floor, duration interval_ceiling)
      : floor_(interval_floor), ceiling_(interval_ceiling) {}

  void Add(time_point now, pending_ptr pending, conclusion result);

  /// @brief When the next poll is due; none while a poll is in flight or
  /// nothing waits.
  std::optional<time_point> NextPoll() const;

  void PollSent() { in_flight_ = true; }
  /// @brief The poll in flight ended without rows.
  void PollLost(time_point now);

  struct verdict {
    evidence_waiter waiter;
    evidence_state state;
  };
  /// @brief Takes the waiters that the rows decide; drops answered ones.
  std::vector<verdict> PollAnswered(
      time_point now,
      const std::vector<database::replication_row>& rows,
      const std::vector<std::string>& members,
      const std::string& primary);

  /// @brief Drops a waiter that was answered at its deadline.
  void Remove(const pending_ptr& pending);

  bool empty() const { return waiters_.empty(); }

 private:
  void Schedule(time_point now);

  duration floor_;
  duration ceiling_;
  bool in_flight_ = false;
  time_point next_poll_;
  std::vector<evidence_waiter> waiters_;  // In order of `since`.
};

}  // namespace tarragondale::pool

#endif  // TARRAGONDALE_SRC_POOL_REPLICATION_EVIDENCE_H_
