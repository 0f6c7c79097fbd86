// Votes of the vantage points on whether a member can be reached.
#ifndef SRC_GROUP_VOTES_H_
#define SRC_GROUP_VOTES_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "tarragondale/fleet.h"
#include "tarragondale/group.h"

namespace tarragondale::group {

/// @brief VMs that can be vantage points: those that the fleet neither
/// suspects nor knows to be gone.
std::vector<const wire::vm_record*> VantagePoints(
    const fleet::fleet_view& view);

class vote_box {
 public:
  enum class verdict : uint8_t { kOpen, kUnreachable, kReached };

  void Add(const std::string& vm, bool reached) { votes_[vm] = reached; }
  bool Has(const std::string& vm) const { return votes_.contains(vm); }

  /// @brief Unreachable if a quorum failed to reach the member, in two zones
  /// if VMs in two zones are in service; reached if no such quorum is possible.
  verdict Decide(const fleet::fleet_view& view) const;

  /// @brief VMs to ask now, so that with this VM three are asked and none of
  /// them is overdue. Prefers zones that were not asked.
  std::vector<std::string> ChooseToAsk(time_point now,
                                       duration limit,
                                       const fleet::fleet_view& view);

  /// @brief Remembers the sequence number of a request to `vm`.
  void Asked(uint64_t sequence, const std::string& vm) {
    sequences_[sequence] = vm;
  }
  /// @brief True if `vm` was asked under this number.
  bool IsAnswer(uint64_t sequence, const std::string& vm) const;

 private:
  std::map<std::string, bool> votes_;  ///< VM and whether it reached.
  std::map<std::string, time_point> asked_;
  std::map<uint64_t, std::string> sequences_;
};

}  // namespace tarragondale::group

#endif  // SRC_GROUP_VOTES_H_
