// The decisions on which the safety of a failover rests, each as a small pure
// function. The TARRAGONDALE_MUTANT_ switches break one of them; the fault
// matrix shows that it detects each broken one.
#ifndef SRC_GROUP_GUARDS_H_
#define SRC_GROUP_GUARDS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "src/group/calls.h"

namespace tarragondale::group {

/// @brief Smallest number of members that is more than half.
size_t Majority(size_t members);

/// @brief True if enough members have promised the term to promote one.
bool HasFenceMajority(size_t promised, size_t members);

/// @brief True if this answer to a fence call is a promise of `term`.
bool IsPromise(const call_result& answer, int64_t term);

/// @brief Term of a new attempt, above all promises and terms seen.
int64_t NextTerm(int64_t highest_seen, int64_t highest_used);

/// @brief A fenced member that may be promoted.
struct candidate {
  std::string name;
  log_position held;  ///< (last_term, position).
  bool leaving = false;
  int preference = 0;  ///< Lower goes first among equals.
};

/// @brief Index of the member to promote: the highest log position, then
/// `wanted`, then members that stay, then preference, then name. Only the first
/// rule matters for safety; it preserves every acknowledged write.
size_t ChooseCandidate(const std::vector<candidate>& fenced,
                       std::string_view wanted);

/// @brief Number of vantage points that must fail to reach the primary, by the
/// number of VMs in service: two of three, two of two, one of one.
size_t SuspicionQuorum(size_t vms_in_service);

}  // namespace tarragondale::group

#endif  // SRC_GROUP_GUARDS_H_
