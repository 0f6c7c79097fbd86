// Public header of the relay library: how the store's changes, and the state of
// hundreds of VMs, reach every VM without each of them asking the store or
// talking to all others.
//
// A few VMs of each availability zone, the relays, watch the store and exchange
// digests with all relays. The other VMs follow one relay: they send it their
// digests and take the store's changes from it. No VM is set aside: rendezvous
// hashing over the registered VMs says who relays, and a VM that hears no relay
// watches the store itself. VMs that disagree for a while on who relays do no
// harm: a follower accepts only a VM that says that it watches the store.
#ifndef TARRAGONDALE_RELAY_H_
#define TARRAGONDALE_RELAY_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "tarragondale/base.h"
#include "tarragondale/store/keyspace.h"
#include "tarragondale/wire.h"

namespace tarragondale::relay {

/// @brief A registered VM.
struct vm {
  std::string name;
  std::string availability_zone;
  std::string region;
  int64_t capacity = 1;  ///< Work that it can carry, beside that of others.

  bool operator==(const vm&) const = default;
};

/// @brief Capacity of the largest of the VMs; 0: there are none.
int64_t LargestCapacity(const std::vector<const vm*>& vms);

/// @brief Whether a VM may get duties for others while there are enough such
/// VMs: they come on top of its own callers.
bool IsCapable(const vm& of, int64_t largest);

/// @brief Says which VMs relay, and in which order a VM turns to them. Pure.
class relay_plan {
 public:
  /// Fleets up to this size need no relays: every VM watches the store and
  /// exchanges digests with all others.
  static constexpr size_t kMeshSize = 16;
  /// Followers that a relay has at most, if the zone has enough VMs.
  static constexpr size_t kFollowers = 32;
  /// So that a zone keeps a relay when one fails.
  static constexpr size_t kLeastRelays = 2;

  explicit relay_plan(std::string self) : self_(std::move(self)) {}

  /// @brief Takes the registered VMs over.
  void SetFleet(const std::vector<vm>& vms);

  /// @brief Whether this VM relays; true as long as it knows no fleet.
  bool IsRelay() const { return IsRelay(self_); }
  bool IsRelay(std::string_view name) const;
  /// @brief Place of this VM among all relays.
  int Rank() const { return rank_; }

  /// @brief All relays but this VM, the preferred ones first: those of its own
  /// zone, then of its region, then others.
  const std::vector<std::string>& Preferred() const { return preferred_; }

 private:
  const std::string self_;
  std::set<std::string, std::less<>> relays_;
  std::vector<std::string> preferred_;
  bool known_ = false;
  int rank_ = 0;
};

/// @brief What decides which relay a VM follows.
struct relay_sight {
  bool watching = false;       ///< As its last digest says.
  bool reaches_store = false;  ///< As its last digest says.
  time_point heard;
};

/// @brief Chooses the relay that a VM follows. A relay that was not heard for
/// `kSilence` is passed over, and one that the store does not answer gives way
/// to one that it does.
class relay_choice {
 public:
  /// Two intervals of digests; a lost relay costs less than a second.
  static constexpr duration kSilence = milliseconds(800);

  /// @param preferred Relays in the order of `relay_plan::Preferred`.
  /// @param seen What was heard of them; others may be in it.
  /// @return The relay to follow; empty if none can be.
  std::optional<std::string> Choose(
      time_point now,
      const std::vector<std::string>& preferred,
      const std::map<std::string, relay_sight, std::less<>>& seen) const;
};

/// @brief The store's keys as of a revision, from the store or from another VM,
/// with the last changes for those who follow. Never goes back.
class store_copy {
 public:
  using item = store::keyspace::item;
  using change = store::keyspace::change;

  /// Changes that are kept for followers; one that needs older ones gets all
  /// keys.
  static constexpr size_t kKeptChanges = 512;

  /// @brief Takes all keys over, and gives what is new in them; empty if they
  /// are older than what is known.
  std::vector<change> Load(const std::vector<item>& items, int64_t revision);

  /// @brief Takes the changes up to `revision` over. Gives those that were not
  /// known yet.
  std::vector<change> Apply(const std::vector<change>& changes,
                            int64_t revision);

  /// @brief Takes over what another VM sent, and gives what is new in it. Empty
  /// if it is not newer, or if changes before it are missing.
  std::optional<std::vector<change>> Take(const wire::store_changes& from);

  /// @brief What a VM that knows the store as of `revision` lacks.
  wire::store_changes Since(int64_t revision);

  std::vector<item> Items() const;

  /// @brief Changes up to this revision are known; 0: nothing is.
  int64_t revision() const { return revision_; }

 private:
  struct packed_value {
    int64_t revision = 0;
    std::string bytes;
  };

  void Set(const change& changed);
  void Trim();
  wire::store_entry Entry(const change& of);

  std::map<std::string, packed_value, std::less<>> packed_;  ///< Large values.
  std::map<std::string, item, std::less<>> items_;
  std::deque<change> recent_;  ///< All changes after `recent_after_`.
  int64_t recent_after_ = 0;
  int64_t revision_ = 0;
};

/// @brief Sums up what VMs admit, so that each VM learns of all others through
/// one. Counters of one scope to one receiver only rise.
class usage_totals {
 public:
  /// @brief What was reported by a VM since its former report.
  struct increment {
    std::string organisation;
    uint64_t operations = 0;
    double demand_per_s = 0;
  };

  /// @brief Takes a report. The first one of a process, or in another scope,
  /// sets the base and counts nothing.
  /// @param counted_vms VMs whose operations the report counts.
  std::vector<increment> Take(
      std::string_view vm,
      int64_t incarnation,
      wire::usage_scope scope,
      int64_t counted_vms,
      const std::vector<wire::organisation_usage>& usage,
      time_point now);

  /// @brief What a receiver is told, given what this VM admitted itself.
  /// `kFollowers`: own operations and those of VMs that reported `kOwn`.
  /// `kFleet`: those of all VMs but the receiver.
  std::vector<wire::organisation_usage> Report(
      const std::vector<wire::organisation_usage>& own,
      wire::usage_scope scope,
      std::string_view receiver) const;

  /// @brief VMs that such a report counts, this one included.
  int64_t CountedVms(wire::usage_scope scope, std::string_view receiver) const;

  /// @brief Drops the demand of VMs that were not heard for a while; what they
  /// admitted stays counted.
  void Expire(time_point now);

 private:
  struct usage {
    uint64_t reported = 0;    ///< As last reported.
    uint64_t operations = 0;  ///< Counted from this VM.
    double demand_per_s = 0;
  };
  struct reporter {
    int64_t incarnation = 0;
    wire::usage_scope scope = wire::usage_scope::kOwn;
    int64_t counted_vms = 1;
    time_point heard;
    std::map<std::string, usage, std::less<>> by_organisation;
  };

  void KeepFormer(const reporter& of);

  std::map<std::string, reporter, std::less<>> reporters_;
  /// Operations of VMs that are no reporters any more, by scope.
  std::map<wire::usage_scope, std::map<std::string, uint64_t, std::less<>>>
      former_;
};

}  // namespace tarragondale::relay

#endif  // TARRAGONDALE_RELAY_H_
