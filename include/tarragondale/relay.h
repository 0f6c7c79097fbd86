// Public header of the relay library, which distributes store changes and the
// state of hundreds of VMs to every VM. Not every VM watches the store or talks
// to all others.
//
// A few VMs of each availability zone, the relays, watch the store and exchange
// digests with each other. Every other VM follows one relay: it sends its
// digests to the relay and receives the store's changes from it. Relays are not
// dedicated VMs: rendezvous hashing over the registered VMs selects them, and a
// VM that reaches no relay watches the store itself. VMs may disagree on the
// relays for a short time without harm, since a VM follows only a VM whose
// digest says that it watches the store.
#ifndef TARRAGONDALE_RELAY_H_
#define TARRAGONDALE_RELAY_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
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
  int64_t capacity = 1;  ///< Relative to other VMs.

  bool operator==(const vm&) const = default;
};

/// @brief Largest capacity of the VMs; 0 if there are none.
int64_t LargestCapacity(const std::vector<const vm*>& vms);

/// @brief Whether a VM has enough capacity to work for other VMs in addition to
/// serving its own callers: at least half of `largest`. VMs with less are
/// chosen only if there are too few others.
bool IsCapable(const vm& of, int64_t largest);

/// @brief Computes which VMs are relays, and this VM's order of preference
/// among them. Does no I/O.
class relay_plan {
 public:
  /// Fleets up to this size form a full mesh: every VM is a relay, watches the
  /// store and exchanges digests with all others.
  static constexpr size_t kMaxMeshSize = 16;
  /// In a larger fleet, the number of relays in a zone is its number of VMs
  /// divided by this, rounded up, but at least `kMinRelays`. This limits the
  /// average number of followers of a relay.
  static constexpr size_t kFollowers = 32;
  /// Minimum number of relays in an availability zone with enough VMs, so that
  /// one is left if another one fails.
  static constexpr size_t kMinRelays = 2;

  explicit relay_plan(std::string self) : self_(std::move(self)) {}

  /// @brief Replaces the list of registered VMs.
  void SetFleet(const std::vector<vm>& vms);

  /// @brief Whether this VM is a relay. Also true while it is not among the
  /// registered VMs.
  bool IsRelay() const { return IsRelay(self_); }
  /// @brief Whether the VM `name` is a relay. For this VM's name, the same as
  /// `IsRelay()`.
  bool IsRelay(std::string_view name) const;
  /// @brief All relays among the registered VMs.
  std::vector<vm> Relays() const;
  /// @brief Number of relays that precede this VM in a hash order that all VMs
  /// compute alike. Staggers the work of the relays.
  int Rank() const { return rank_; }

  /// @brief All relays except this VM, in order of preference: first those in
  /// this VM's zone, then those in its region, then the others. Within each
  /// class, they are ordered by a hash that differs between VMs. If this VM is
  /// not registered, all are in one class.
  const std::vector<std::string>& Preferred() const { return preferred_; }

 private:
  const std::string self_;
  std::map<std::string, vm, std::less<>> relays_;
  std::vector<std::string> preferred_;
  bool registered_ = false;
  int rank_ = 0;
};

/// @brief State of a relay, from its last digest. Decides which one to follow.
struct relay_status {
  bool watching = false;  ///< It gets the store's changes and is not leaving.
  bool reaches_store = false;
  time_point last_heard;
};

/// @brief Chooses the relay that a VM follows. Skips relays that do not watch
/// the store and relays whose last digest is older than `kRelayTimeout`.
/// Prefers relays that reach the store.
class relay_selector {
 public:
  /// Less than two digest intervals (usually 500 ms each), so that failover to
  /// another relay takes under a second.
  static constexpr duration kRelayTimeout = milliseconds(800);

  /// @param preferred Relays in the order of `relay_plan::Preferred`.
  /// @param statuses Known relay states; may include other VMs.
  /// @return The relay to follow; empty if none is available.
  std::optional<std::string> Choose(
      time_point now,
      const std::vector<std::string>& preferred,
      const std::map<std::string, relay_status, std::less<>>& statuses) const;
};

/// @brief Decides which relays watch the store. The others, the fed relays, get
/// the store's changes from a watching one, so that the number of calls to the
/// store does not grow with the fleet. Does no I/O.
///
/// Load pattern: each change of a key ends the watch of every VM that watches,
/// and an idle watch ends after a second or two.
///
/// Every relay decides by itself from the digests that it heard. A relay that
/// hears too few others that reach the store watches it, so a VM that is cut
/// off, and all relays during an outage, watch as if they were alone.
class watch_plan {
 public:
  /// One that watches over a connection that went silent is noticed by the
  /// others, and one is left if another one fails at the same time.
  static constexpr size_t kWatchers = 3;

  explicit watch_plan(std::string self) : self_(std::move(self)) {}

  /// @param relays The relays among the registered VMs.
  void SetRelays(const std::vector<vm>& relays);

  /// @brief The relays that watch: the first `kWatchers`, in an order that all
  /// VMs compute alike, of those that reach the store and were heard within
  /// `relay_selector::kRelayTimeout`. This VM counts as one of these.
  std::vector<std::string> Watchers(
      time_point now,
      const std::map<std::string, relay_status, std::less<>>& statuses) const;

  /// @brief The relays that get the store's changes from this VM, if it is one
  /// of `watchers`: those that have none nearer.
  std::vector<std::string> FedBySelf(
      const std::vector<std::string>& watchers) const;

 private:
  const vm* Find(std::string_view name) const;

  const std::string self_;
  std::vector<vm> order_;  ///< Relays; the first ones watch if all are well.
};

/// @brief Copy of the store's keys at a revision, filled from the store or from
/// another VM, with the latest changes for followers. The revision never
/// decreases.
class store_copy {
 public:
  using item = store::keyspace::item;
  using change = store::keyspace::change;

  /// Changes that are kept for followers. A follower that needs older ones gets
  /// all keys instead.
  static constexpr size_t kKeptChanges = 512;

  /// @brief Replaces all keys and returns the differences. Does nothing and
  /// returns none if `revision` is older than the copy.
  std::vector<change> Load(const std::vector<item>& items, int64_t revision);

  /// @brief Applies the changes that the copy does not have yet, and returns
  /// them. The copy then has at least `revision`.
  std::vector<change> Apply(const std::vector<change>& changes,
                            int64_t revision);

  /// @brief Applies what another VM sent and returns the new changes. Applies
  /// nothing and returns nullopt if `from` is not newer than the copy, if it
  /// holds only changes after a revision that the copy has not reached, or if
  /// it cannot be decoded.
  std::optional<std::vector<change>> Take(const wire::store_changes& from);

  /// @brief Returns the changes that a VM with a copy at `revision` is missing,
  /// or all keys if `revision` is 0 or some of these changes are no longer
  /// kept.
  wire::store_changes Since(int64_t revision);

  std::vector<item> Items() const;

  /// @brief Revision of the copy; 0 if it was never filled.
  int64_t revision() const { return revision_; }

 private:
  struct compressed_value {
    int64_t revision = 0;
    std::string bytes;
  };

  void Set(const change& changed);
  void Trim();
  wire::store_entry EncodeEntry(const change& of);

  std::map<std::string, compressed_value, std::less<>>
      compressed_;  ///< By key.
  std::map<std::string, item, std::less<>> items_;
  std::deque<change> recent_;  ///< All changes after `recent_after_`.
  int64_t recent_after_ = 0;
  int64_t revision_ = 0;
};

/// @brief Aggregates the operations that VMs admit, so that a follower gets
/// the totals of all other VMs from its relay alone. Counters reported to one
/// receiver in one scope never decrease.
class usage_totals {
 public:
  /// @brief An organisation's usage in the report of a VM.
  struct increment {
    std::string organisation;
    uint64_t operations = 0;  ///< Since the VM's previous report.
    double demand_per_s = 0;
  };

  /// @brief Handles the report of a VM. The first report of a VM, and the first
  /// one after a change of scope, only sets the baseline: it adds no
  /// operations.
  /// @param counted_vms Number of VMs whose operations the report includes.
  std::vector<increment> Take(
      std::string_view vm,
      int64_t incarnation,
      wire::usage_scope scope,
      int64_t counted_vms,
      const std::vector<wire::organisation_usage>& usage,
      time_point now);

  /// @brief Builds the report to `receiver`. `scope` sets which operations it
  /// counts: `kOwn`, those of this VM; `kFollowers`, also those in reports of
  /// scope `kOwn` (from followers); `kFleet`, also those in reports of scope
  /// `kFollowers` (from other relays). The current report of `receiver` itself
  /// is never counted.
  /// @param own Operations that this VM admitted itself.
  std::vector<wire::organisation_usage> Report(
      const std::vector<wire::organisation_usage>& own,
      wire::usage_scope scope,
      std::string_view receiver) const;

  /// @brief Number of VMs that `Report` covers with the same arguments,
  /// including this one.
  int64_t CountedVms(wire::usage_scope scope, std::string_view receiver) const;

  /// @brief Drops the demand of VMs that have not reported recently, and no
  /// longer counts these VMs. Their admitted operations remain in the totals.
  void Expire(time_point now);

  /// @brief Whether the next report of the VM adds the operations since an
  /// earlier one.
  bool Knows(std::string_view vm) const { return reporters_.contains(vm); }
  /// @brief Takes the next report of the VM as its first one.
  void Forget(std::string_view vm);

 private:
  struct usage {
    uint64_t reported = 0;    ///< Highest counter from its process.
    uint64_t operations = 0;  ///< Counted for this VM.
    double demand_per_s = 0;
  };
  struct reporter {
    int64_t incarnation = 0;
    wire::usage_scope scope = wire::usage_scope::kOwn;
    int64_t counted_vms = 1;
    time_point last_heard;
    std::map<std::string, usage, std::less<>> by_organisation;
  };

  void RetainTotals(const reporter& of);

  std::map<std::string, reporter, std::less<>> reporters_;
  /// Operations by scope that are no longer in `reporters_`, because the VM
  /// expired or changed its scope.
  std::map<wire::usage_scope, std::map<std::string, uint64_t, std::less<>>>
      retained_totals_;
};

/// @brief Packs the digests to other VMs, and unpacks theirs. Most of a digest
/// is the same as in the one before, so it is compressed relative to one that
/// the receiver has received. Does no I/O.
///
/// Invariants: a digest is unpacked exactly as it was packed, or not at all;
/// the memory for each VM is bounded.
class digest_packer {
 public:
  digest_packer();
  ~digest_packer();
  digest_packer(const digest_packer&) = delete;
  digest_packer& operator=(const digest_packer&) = delete;

  /// @brief Packs a digest to the VM. Empty: the VM is not known to unpack
  /// digests, so the digest is to be sent as it is.
  std::optional<wire::packed_digest> Pack(std::string_view vm,
                                          const wire::fleet_digest& digest,
                                          time_point now);
  /// @brief The VM has received the digest `sequence`.
  void OnReceived(std::string_view vm, uint64_t sequence);

  /// @brief Unpacks a digest of the VM. Empty: there is none, or this VM lacks
  /// the one that it is relative to.
  std::optional<wire::fleet_digest> Unpack(std::string_view vm,
                                           const wire::packed_digest& packed,
                                           time_point now);
  /// @brief A process of the VM sent a digest that is not packed.
  void OnPlain(std::string_view vm, int64_t incarnation, time_point now);

  /// @brief Whether to send the VM an offer now, since it sends digests that
  /// are not packed, or packed ones that this VM can't unpack.
  bool TakeOffer(std::string_view vm, time_point now);
  /// @brief Says that this VM unpacks digests, and has none that the next one
  /// could be relative to.
  /// @param incarnation Of this VM's process.
  static wire::packed_digest Offer(int64_t incarnation);

  /// @brief Drops what is kept for VMs that were not heard for a while.
  void Expire(time_point now);

 private:
  struct encoded_digest {
    uint64_t sequence = 0;
    std::string bytes;
  };
  struct peer {
    int64_t incarnation = 0;
    bool unpacks = false;  ///< The process `incarnation` does.
    bool sends_plain = false;
    encoded_digest base;                     ///< Received by the VM; 0: none.
    std::deque<encoded_digest> unconfirmed;  ///< Sent, oldest first.
    std::deque<encoded_digest> received;     ///< Oldest first.
    bool lacks_base = false;                 ///< Of the digest received last.
    std::optional<time_point> offered;
    time_point heard;
  };
  struct contexts;

  static void StartAnew(peer& of);
  std::string Compress(const std::string& bytes, const std::string& prefix);
  std::optional<std::string> Decompress(const std::string& bytes,
                                        const std::string& prefix);

  std::unique_ptr<contexts> contexts_;
  std::map<std::string, peer, std::less<>> peers_;
};

/// @brief Makes the reports of a VM to the relay that it follows, so that one
/// relay counts each of its operations, whichever relays it follows in turn. A
/// relay counts what a VM reports beyond its earlier reports, the first of
/// which it takes as the baseline.
class follower_reports {
 public:
  /// @brief Makes the report to `relay`.
  /// @param sequence Of the digest that carries it; grows for each relay.
  /// @param own Operations that this VM admitted itself.
  std::vector<wire::organisation_usage> Report(
      std::string_view relay,
      uint64_t sequence,
      const std::vector<wire::organisation_usage>& own);

  /// @brief The relay has received the digests up to `sequence`.
  void OnReceived(std::string_view relay, uint64_t sequence);

  /// @brief This VM relays itself, and other relays count its operations.
  void OnCounted(const std::vector<wire::organisation_usage>& own);

  /// @brief A new process of the relay has received no report.
  void OnRestart(std::string_view relay);

 private:
  using counters = std::map<std::string, uint64_t, std::less<>>;
  struct sent_report {
    uint64_t sequence = 0;
    counters own;  ///< Operations that the relay has counted if it received it.
  };

  std::string relay_;  ///< Followed at present.
  /// It has not received the baseline yet. Until then, the baseline is
  /// repeated.
  bool baseline_ = false;
  std::set<std::string, std::less<>> needs_baseline_;
  counters counted_;  ///< Own operations that relays have counted.
  /// Counters in the last report, by relay.
  std::map<std::string, counters, std::less<>> sent_;
  /// Of `counted_` and `sent_` when `relay_` was followed first or again.
  counters counted_before_;
  counters sent_before_;
  std::deque<sent_report> unconfirmed_;  ///< Reports to `relay_`.
};

}  // namespace tarragondale::relay

#endif  // TARRAGONDALE_RELAY_H_
