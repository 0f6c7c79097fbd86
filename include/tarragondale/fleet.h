// Public header of the fleet library: SWIM membership, placement of roles by
// rendezvous hashing, and tracking of how recent the configuration is.
#ifndef TARRAGONDALE_FLEET_H_
#define TARRAGONDALE_FLEET_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "tarragondale/chart.h"
#include "tarragondale/wire.h"

namespace tarragondale::fleet {

/// @brief The VMs in service as known to this VM, itself included, ordered by
/// name. Immutable, so that threads can share it.
struct fleet_view {
  std::string self;
  std::vector<wire::vm_record> vms;  ///< Alive, suspect and leaving VMs.

  /// @brief Returns the record of the VM `name`, or null if no VM of this name
  /// is in service.
  const wire::vm_record* Find(std::string_view name) const;
};

using fleet_view_ptr = std::shared_ptr<const fleet_view>;

/// @brief Preferred location of a role, for example near a database member.
struct placement_preference {
  std::string availability_zone;  ///< Empty: no preference.
  std::string region;             ///< Empty: no preference.
};

/// @brief Returns the weight of a VM for a role in rendezvous hashing. The VMs
/// with the highest weights hold the role.
uint64_t RendezvousWeight(std::string_view role, std::string_view vm);

/// @brief Returns the VM that holds `role`, by rendezvous hashing (Thaler and
/// Ravishankar, 1998) over the alive and suspect VMs. VMs in the preferred zone
/// are chosen before VMs in the preferred region, and those before all others.
/// Returns nothing if there is no such VM.
std::optional<std::string> PlaceRole(const fleet_view& view,
                                     std::string_view role,
                                     const placement_preference& preference);

/// @brief Returns the name of the role whose holder is the gateway of `member`
/// in `group`; an argument for `PlaceRole`.
std::string GatewayRole(std::string_view group, std::string_view member);

/// @brief Returns the name of the role whose holder is the coordinator of
/// `group`; an argument for `PlaceRole`.
std::string CoordinatorRole(std::string_view group);

// --- Membership ---

struct probe_arrived {
  std::string sender;
  wire::probe message;
};

struct probe_answer_arrived {
  std::string sender;
  wire::probe_answer message;
};

/// @brief The platform's list of VMs changed. The list may be out of date, so
/// it only adds VMs to probe and never marks one as alive or dead.
struct seeds_changed {
  std::vector<wire::vm_record> vms;  ///< Incarnation 0.
};

/// @brief This VM is ready to take roles and leaves the state `joining`.
struct became_ready {};

/// @brief The applied or the newest known configuration version of this VM
/// changed. Both are reported in probes and probe answers.
struct freshness_changed {
  int64_t applied_version = 0;
  wire::configuration_freshness freshness;
};

/// @brief This VM is shutting down; announces the state `leaving`.
struct leave_started {};

struct tick {};

using event = std::variant<probe_arrived,
                           probe_answer_arrived,
                           seeds_changed,
                           became_ready,
                           freshness_changed,
                           leave_started,
                           tick>;

/// @brief Send a message to a VM. Contains the VM's address because the VM may
/// not be in the view.
struct send_message {
  std::string vm;
  std::string address;
  wire::message_body body;
};

/// @brief The VMs in service, or the state of one of them, changed.
struct view_changed {
  fleet_view_ptr view;
};

/// @brief A probe that this VM must answer, or any probe answer, arrived from
/// `vm`, which sent or forwarded it. Records of `vm` in gossip don't count.
/// `freshness` is the newest configuration version that `vm` knows of.
struct vm_heard {
  std::string vm;
  wire::configuration_freshness freshness;
};

using action = std::variant<send_message, view_changed, vm_heard>;

/// @brief Timing and fan-out of the membership protocol. In a fleet of 9 VMs, a
/// failed VM is declared dead within about 3 s.
struct membership_options {
  /// Time between probes. A target that does not answer within this time is
  /// suspected or, if it was leaving, declared dead.
  duration probe_interval = milliseconds(500);
  /// A target that does not answer within this time is also probed indirectly.
  duration probe_timeout = milliseconds(200);
  /// A VM that is suspect for this long is declared dead.
  duration suspicion_timeout = milliseconds(1500);
  /// Dead VMs are still probed, to detect that a partition has healed.
  duration dead_probe_interval = seconds(5);
  /// How long records of dead VMs are kept (2 h). Must exceed the longest
  /// supported partition between regions (1 h), so that both sides still probe
  /// each other after it.
  duration tombstone_time = seconds(7200);
  int indirect_probers = 3;  ///< VMs asked to probe a silent target.
  /// Maximum number of changed records of other VMs in a message.
  int gossip_records = 6;
  /// A changed record is sent about `gossip_factor` * log2(number of VMs)
  /// times.
  int gossip_factor = 3;
};

/// @brief Counters of the membership protocol.
struct membership_metrics {
  uint64_t probes_sent = 0;
  uint64_t indirect_probes_sent = 0;
  uint64_t suspicions = 0;
  /// Times that this VM raised its incarnation because a record of it in gossip
  /// had a wrong state (such as suspect or dead) or a higher incarnation.
  uint64_t refutations = 0;
  uint64_t deaths = 0;
};

/// @brief Failure detection and dissemination after SWIM (Das, Gupta and
/// Motivala, 2002).
///
/// Probes one VM in each interval, in an order that is shuffled for each round.
/// A VM that answers neither the direct nor the indirect probes is suspected
/// and later declared dead; it can refute this with a higher incarnation. A
/// leaving VM that does not answer is declared dead without suspicion. Probes
/// and answers contain the sender's record, changed records of other VMs and,
/// for anti-entropy, one more record, chosen round-robin. The number of
/// messages per VM does not depend on the size of the fleet.
class membership {
 public:
  /// @param self Record of this VM. Its incarnation must be higher than that of
  ///   any earlier process of this name, for example the start time.
  /// @param seed Seed of the random number generator.
  membership(membership_options options, wire::vm_record self, uint64_t seed);

  std::vector<action> Step(time_point now, const event& event);

  /// @brief Returns when the next `tick` is due.
  time_point NextDeadline() const { return next_tick_; }

  const wire::vm_record& self() const { return self_; }

  const membership_metrics& metrics() const { return metrics_; }

 private:
  // Invariant: `record.state` equals the state of `lifecycle`, which is reset
  // for each new incarnation.
  struct peer {
    wire::vm_record record;
    chart::machine<chart::vm_lifecycle> lifecycle;
    time_point state_since;  ///< When this VM learned of the state.
    int sends_left = 0;      ///< Remaining sends of the record by gossip.
  };

  struct open_probe {
    uint64_t sequence = 0;
    std::string target;
    time_point sent;
    bool relayed = false;  ///< Indirect probes were sent.
  };

  void On(const probe_arrived& event);
  void On(const probe_answer_arrived& event);
  void On(const seeds_changed& event);
  void On(const became_ready& event);
  void On(const freshness_changed& event);
  void On(const leave_started& event);
  void On(const tick& event);

  void Merge(const wire::vm_record& record);
  void MergeAll(const std::vector<wire::vm_record>& records);
  void Refute(const wire::vm_record& record);
  void ReplaceSameAddress(const wire::vm_record& record);
  void SetState(peer& peer, wire::vm_state state);
  void AnnounceSelf();
  void CheckOpenProbes();
  void ExpireStates();
  void ProbeNext();
  void ProbeOneDead();
  void SendProbe(const peer& peer);
  void SendIndirectProbes(open_probe& probe);
  std::vector<wire::vm_record> Gossip();
  int SendsForChange() const;
  void Send(std::string_view vm, wire::message_body body);
  void PublishView();

  const membership_options options_;
  wire::vm_record self_;
  int self_sends_left_ = 0;
  wire::configuration_freshness freshness_;
  std::mt19937_64 random_;
  // All other known VMs, including dead ones until `tombstone_time` is over.
  std::map<std::string, peer, std::less<>> peers_;
  std::vector<std::string> probe_order_;
  std::vector<open_probe> open_probes_;
  std::string anti_entropy_cursor_;
  uint64_t last_sequence_ = 0;
  time_point now_;
  time_point next_probe_;
  time_point next_dead_probe_;
  time_point next_tick_;
  bool view_dirty_ = true;
  std::vector<action> actions_;
  membership_metrics metrics_;
};

// --- Freshness of the configuration ---

/// @brief Decides whether the configuration is recent enough to serve routes
/// that require a key (docs/design.md, section 7).
///
/// A VM is current if the store, directly or through other VMs, confirmed
/// within `limit` that the applied version is the newest one. Without such a
/// confirmation, a VM is current if it knows of no version newer than the
/// applied one and has heard, within `limit`, from a majority of the VMs in the
/// store's region (counting itself if it is one): since none of these VMs gets
/// answers from the store, the store must be down, so the configuration can't
/// be edited. A VM that reaches fewer of them may be partitioned from the store
/// and miss edits, and is not current.
class freshness_tracker {
 public:
  /// @param limit Maximum age of the confirmation that the applied version is
  ///   the newest, and of the last message from a VM that counts as reached.
  /// @param store_region Region of the store.
  freshness_tracker(duration limit, std::string store_region);

  /// @brief Records that the store answered and that its newest version is
  /// `version`.
  void OnStoreAnswer(time_point now, int64_t version);

  /// @brief Records a message from a VM and the newest version that the VM
  /// knows of.
  void OnVmHeard(time_point now, const vm_heard& heard);

  /// @brief Records that this VM applied configuration `version`.
  void OnApplied(int64_t version);

  void OnView(fleet_view_ptr view) { view_ = std::move(view); }

  /// @brief Returns true if routes that require a key may be served.
  bool IsCurrent(time_point now) const;

  /// @brief Returns the newest known version and the time since the store is
  /// known to have held it, to report to other VMs. The age is -1 if no version
  /// is known.
  wire::configuration_freshness Freshness(time_point now) const;

 private:
  // At time `at`, `version` was the newest version in the store.
  struct observation {
    time_point at;
    int64_t version = 0;
  };

  void AddObservation(const observation& observation);
  void UpdateCurrentTime();
  bool ReachesStoreRegionMajority(time_point now) const;

  const duration limit_;
  const std::string store_region_;
  int64_t applied_ = 0;
  std::optional<observation> newest_;
  // Latest time at which the applied version is known to have been the newest.
  std::optional<time_point> current_at_;
  fleet_view_ptr view_;
  std::map<std::string, time_point, std::less<>> last_heard_;
};

}  // namespace tarragondale::fleet

#endif  // TARRAGONDALE_FLEET_H_
