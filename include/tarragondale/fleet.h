// Public header of the fleet library: membership by probes and gossip, and
// placement of roles by rendezvous hashing.
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

/// @brief The VMs that this VM believes to be in service, itself included,
/// ordered by name. Shared between threads and never changed.
struct fleet_view {
  std::string self;
  std::vector<wire::vm_record> vms;  ///< Joining, dead and left VMs excluded.

  /// @brief Record of a VM in service; null if there is none of this name.
  const wire::vm_record* Find(std::string_view name) const;
};

using fleet_view_ptr = std::shared_ptr<const fleet_view>;

/// @brief Where a role should be, for example near a database member.
struct placement_preference {
  std::string availability_zone;  ///< Empty: no preference.
  std::string region;             ///< Empty: no preference.
};

/// @brief Weight of a VM for a role in rendezvous hashing: the VMs with the
/// highest weights carry the role.
uint64_t RendezvousWeight(std::string_view role, std::string_view vm);

/// @brief VM that carries the role `role`, by rendezvous hashing (Thaler and
/// Ravishankar, 1998) over live VMs that are not leaving. VMs in the preferred
/// zone go before VMs in the preferred region, and these before all others.
/// Empty optional if no VM is in service.
std::optional<std::string> PlaceRole(const fleet_view& view,
                                     std::string_view role,
                                     const placement_preference& preference);

/// @brief Role of the gateway of a member, for `PlaceRole`.
std::string GatewayRole(std::string_view group, std::string_view member);

/// @brief Role of the coordinator of a group, for `PlaceRole`.
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

/// @brief The platform's list of VMs. It lags, so it only names VMs to probe;
/// it never declares one alive or dead.
struct seeds_changed {
  std::vector<wire::vm_record> vms;  ///< Incarnation 0.
};

/// @brief This VM is ready to take roles: it leaves the state `joining`.
struct became_ready {};

/// @brief What this VM knows of the configuration, for the probes it sends.
struct freshness_changed {
  int64_t applied_version = 0;
  wire::configuration_freshness freshness;
};

/// @brief Announce that this VM leaves.
struct leave_started {};

struct tick {};

using event = std::variant<probe_arrived,
                           probe_answer_arrived,
                           seeds_changed,
                           became_ready,
                           freshness_changed,
                           leave_started,
                           tick>;

/// @brief Send a message to a VM, whose address is given because it may not be
/// in the view yet.
struct send_message {
  std::string vm;
  std::string address;
  wire::message_body body;
};

/// @brief The VMs in service changed.
struct view_changed {
  fleet_view_ptr view;
};

/// @brief A probe or an answer came straight from this VM, with what it knows
/// of the configuration.
struct vm_heard {
  std::string vm;
  wire::configuration_freshness freshness;
};

using action = std::variant<send_message, view_changed, vm_heard>;

/// @brief Timing of the membership protocol. With 9 VMs a failed VM is declared
/// dead within about 3 s.
struct membership_options {
  duration probe_interval = milliseconds(500);
  duration probe_timeout = milliseconds(200);  ///< Then relays are asked.
  duration suspicion_timeout = milliseconds(1500);
  duration dead_probe_interval = seconds(5);  ///< Finds healed partitions.
  /// Longer than the hour for which regions may lose each other, so that both
  /// sides still know whom to probe.
  duration tombstone_time = seconds(7200);
  int relays = 3;          ///< VMs asked for an indirect probe.
  int gossip_records = 6;  ///< Changed records in one message.
  int gossip_factor = 3;   ///< Times log2(n) sends for each change.
};

/// @brief Counters of the membership protocol.
struct membership_metrics {
  uint64_t probes_sent = 0;
  uint64_t indirect_probes_sent = 0;
  uint64_t suspicions = 0;
  uint64_t refutations = 0;  ///< This VM was suspected while alive.
  uint64_t deaths = 0;
};

/// @brief Failure detection and dissemination after SWIM (Das, Gupta and
/// Motivala, 2002): one random-order probe for each interval, indirect probes,
/// suspicion, refutation by incarnation, and gossip on probes and answers. Each
/// message carries one more record in turn as anti-entropy. The cost for a VM
/// is constant.
class membership {
 public:
  /// @param self Record of this VM. Its incarnation must be higher than that
  ///   of any earlier process of this name, for example the time of its start.
  /// @param seed Seed of the random probe order.
  membership(membership_options options, wire::vm_record self, uint64_t seed);

  std::vector<action> Step(time_point now, const event& event);

  /// @brief When the next `tick` is due.
  time_point NextDeadline() const { return next_tick_; }

  /// @brief This VM's own record.
  const wire::vm_record& self() const { return self_; }

  const membership_metrics& metrics() const { return metrics_; }

 private:
  // Invariant: `record.state` is the state of `lifecycle`, which starts anew
  // with each incarnation.
  struct peer {
    wire::vm_record record;
    chart::machine<chart::vm_lifecycle> lifecycle;
    time_point state_since;  ///< When this VM learned the state.
    int sends_left = 0;      ///< Times that the record is gossiped yet.
  };

  struct open_probe {
    uint64_t sequence = 0;
    std::string target;
    time_point sent;
    bool relayed = false;
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
  void AskRelays(open_probe& probe);
  std::vector<wire::vm_record> Gossip();
  int SendsForChange() const;
  void Send(std::string_view vm, wire::message_body body);
  void PublishView();

  const membership_options options_;
  wire::vm_record self_;
  int self_sends_left_ = 0;
  wire::configuration_freshness freshness_;
  std::mt19937_64 random_;
  // All other VMs that this VM has heard of, tombstones included.
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

// --- Currency of the configuration ---

/// @brief Decides whether this VM may serve keyed routes (design section 7).
///
/// A VM is current while the store, or a chain of VMs, showed within `limit`
/// that the version it applied is the newest. If the store answers nobody that
/// it reaches, it is current while it reaches a majority of the VMs in the
/// store's region, since then the store is down and nothing can be edited. A
/// VM that reaches fewer may be cut off from edits and is not current.
class currency {
 public:
  /// @param limit How long a VM may serve without news.
  /// @param store_region Region of the store.
  currency(duration limit, std::string store_region);

  /// @brief The store answered; `version` is the newest that it holds.
  void OnStoreAnswer(time_point now, int64_t version);

  /// @brief A VM was heard with what it knows.
  void OnVmHeard(time_point now, const vm_heard& heard);

  /// @brief This VM applied a configuration.
  void OnApplied(int64_t version);

  void OnView(fleet_view_ptr view) { view_ = std::move(view); }

  /// @brief True if keyed routes may be served.
  bool IsCurrent(time_point now) const;

  /// @brief What to tell other VMs.
  wire::configuration_freshness Freshness(time_point now) const;

 private:
  // At `at`, `version` was the newest version.
  struct proof {
    time_point at;
    int64_t version = 0;
  };

  void AddProof(const proof& proof);
  void Compare();
  bool ReachesStoreRegion(time_point now) const;

  const duration limit_;
  const std::string store_region_;
  int64_t applied_ = 0;
  std::optional<proof> newest_;
  // Latest time at which the applied version was the newest.
  std::optional<time_point> current_at_;
  fleet_view_ptr view_;
  std::map<std::string, time_point, std::less<>> heard_;
};

}  // namespace tarragondale::fleet

#endif  // TARRAGONDALE_FLEET_H_
