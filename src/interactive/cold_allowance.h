// Limits the statements that a cold member gets from all VMs together.
#ifndef TARRAGONDALE_SRC_INTERACTIVE_COLD_ALLOWANCE_H_
#define TARRAGONDALE_SRC_INTERACTIVE_COLD_ALLOWANCE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "tarragondale/interactive.h"

namespace tarragondale::interactive {

/// @brief This VM's share of the statements for cold members.
///
/// Load pattern: a member has just started, for example after a release or in a
/// zone that is filled again, and all VMs send to it at once.
///
/// Each VM admits whole statements of a fixed share, so that no message is
/// needed for a statement and the bound holds between VMs that don't hear each
/// other. The senders plan for `PlannedPerSecond`, which is below the bound of
/// 1.5 x rate + 5 in any second, so that some VMs may see another fleet. If
/// each sender can have a whole statement in any second, all may send at any
/// time; otherwise time is divided into slots, counted back from the end of the
/// cold time, and rendezvous hashing chooses the senders of a slot. Clocks of
/// two slots may overlap, so those of one plan for half.
///
/// Invariants: a VM that doesn't see itself among the senders, or has been one
/// for less than `kSettleTime`, admits nothing. Without hosts, a VM that left
/// still counts for `kRetention`; with hosts, nothing is admitted for as long
/// if more than half of the VMs disappeared, since others may see other hosts.
class cold_allowance {
 public:
  /// Longer than VMs keep a primary lease that they can't renew, after which
  /// they send nothing to cold members; and longer than VMs in touch take to
  /// learn of a change of the fleet.
  static constexpr duration kSettleTime = seconds(4);
  /// A fleet that shrinks in this time, for example while VMs register again
  /// with a restored store, doesn't raise the shares.
  static constexpr duration kRetention = seconds(60);
  /// Shortest slot. Reports may reach VMs with delays that differ by a second
  /// less than this.
  static constexpr duration kMinSlot = seconds(5);

  /// @brief Statements per second that the senders plan for together.
  static double PlannedPerSecond(double rate);

  void SetSenders(const cold_senders& senders, time_point now);

  /// @brief Earliest time from `now` on at which the share has a statement for
  /// the member; empty if there is none before `cold_until`.
  /// @param rate Statements per second from all VMs; above 0.
  std::optional<time_point> NextAt(const std::string& member,
                                   const std::string& group,
                                   double rate,
                                   time_point cold_until,
                                   time_point now);

  bool Admits(const std::string& member,
              const std::string& group,
              double rate,
              time_point cold_until,
              time_point now) {
    const auto next = NextAt(member, group, rate, cold_until, now);
    return next && *next <= now;
  }

  /// @brief Counts a statement that is sent to the member, admitted or not.
  void Spend(const std::string& member,
             const std::string& group,
             double rate,
             time_point now);

 private:
  struct share {
    size_t per_second = 1;  ///< In any second.
    double rate = 0;        ///< Per second, on average.
    /// Senders of a slot; 0: all senders at any time.
    size_t per_slot = 0;
    duration slot{0};
  };
  struct group_state {
    std::vector<std::string> senders;
    time_point since;  ///< This VM is a sender since then; if it is one.
    bool sends = false;
    size_t largest = 0;  ///< Largest number of senders that was known.
  };
  struct member_state {
    std::deque<time_point> sent;  ///< In the last second.
    double tokens = 0;
    time_point refilled;
    /// Slots, and whether this VM is among their senders.
    std::map<int64_t, bool> slots;
    size_t per_slot = 0;  ///< For which they were computed.
  };

  std::vector<std::string> SendersOf(const std::string& group) const;
  void Update(const std::string& group, group_state& of);
  const group_state& GroupOf(const std::string& group);
  static share ShareOf(double rate, size_t senders);
  member_state& StateOf(const std::string& member,
                        const share& own,
                        time_point now);
  bool InSlot(const std::string& member,
              int64_t slot,
              const share& own,
              const group_state& of);

  cold_senders senders_;
  std::map<std::string, time_point> seen_;  ///< VMs, and when last in service.
  time_point changed_;
  /// Nothing is admitted before: with hosts, after most VMs disappeared.
  time_point incomplete_until_;
  std::map<std::string, group_state> groups_;
  std::map<std::string, member_state> members_;
};

}  // namespace tarragondale::interactive

#endif  // TARRAGONDALE_SRC_INTERACTIVE_COLD_ALLOWANCE_H_
