// Public header of the leadership library: decides which VMs may use a group's
// primary, and replaces primaries on a platform that promotes on demand.
//
// A group's record in the store names its primary. A VM may use the primary
// while it holds a primary lease: its own registration is valid, and a
// linearizable read of the record was sent less than `primary_lease_lifetime`
// ago, by this VM or by one that reported the read to it. One VM at a time is
// the failover controller, elected through a lease in the store. Before it
// promotes a member, it marks the record as moving. From then on no primary
// lease is granted or renewed, and the controller promotes once every VM has
// given up its primary lease or the lease has expired.
//
// While no VM reaches the store, nobody can write a record, so primary leases
// may be extended: one lasts until `extension_lifetime` after the latest time
// at which every other VM is known to have had the same record as this VM, but
// no longer than the VM's registration. A controller that other VMs may not
// know of yet waits longer before it promotes.
//
// A store that is restored from an older copy may have lost registrations, the
// controller's record and changes of primaries. VMs register again, and no read
// of a record that was written in a former era grants a primary lease. The next
// failover controller marks such records as moving, asks the members, and
// writes the records again. It starts from the newest record that is known to a
// VM, not from the copy's.
//
// In a large fleet a VM receives digests only from a few relays (relay.h). A
// relay reports which of its followers gave up a primary lease, and in which
// zones all VMs have the same records as itself.
#ifndef TARRAGONDALE_LEADERSHIP_H_
#define TARRAGONDALE_LEADERSHIP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "tarragondale/base.h"
#include "tarragondale/interactive.h"
#include "tarragondale/store/keyspace.h"
#include "tarragondale/wire.h"

namespace tarragondale::leadership {

/// @brief Prefix of all keys that the fleet writes.
inline constexpr std::string_view kKeyPrefix = "tarragondale/";

/// @brief Record of a group's primary. Its epoch is its revision in the store,
/// in the store's era when it was written.
struct primary_record {
  std::string member;
  int64_t term = 0;         ///< Term in which the member leads; 0: unknown.
  bool moving = false;      ///< The primary is being replaced.
  std::string writer = {};  ///< VM and incarnation, for diagnostics only.
  int64_t epoch = 0;

  bool operator==(const primary_record&) const = default;
};

/// @brief A VM's registration, attached to a lease in the store.
struct vm_registration {
  std::string name;
  std::string peer_address;
  std::string availability_zone;
  std::string region;
  int64_t incarnation = 0;
  /// By group: the VM has given up its primary leases of epochs below this one.
  /// Written when the failover controller can't be notified directly.
  std::map<std::string, int64_t> stopped = {};
  int64_t capacity = 1;  ///< Capacity for work, relative to other VMs.

  bool operator==(const vm_registration&) const = default;
};

/// @brief Record of the failover controller. Its revision in the store is the
/// fencing token, which increases with each change of the holder.
struct controller_record {
  std::string holder;
  int64_t incarnation = 0;
  int64_t token = 0;

  bool operator==(const controller_record&) const = default;
};

// --- Records in the store ---

std::string PrimaryKey(std::string_view group);
std::string VmKey(std::string_view vm);
std::string ControllerKey();
std::string PrimaryPrefix();
std::string VmPrefix();

/// @brief Hash of a set of VM names, given in ascending order.
uint64_t HashOfVms(const std::vector<std::string_view>& names);

/// @brief Encodes the record with the era of its epoch.
std::string EncodePrimary(const primary_record& record);
std::string EncodeVm(const vm_registration& record);
std::string EncodeController(const controller_record& record);

/// @brief Decodes the value of a record. Failure: `store_row_invalid`.
result<primary_record> DecodePrimary(const store::keyspace::item& item);
result<vm_registration> DecodeVm(const store::keyspace::item& item);
result<controller_record> DecodeController(const store::keyspace::item& item);

// --- Events ---

/// @brief A key under `kKeyPrefix` was changed or read. The state may be
/// outdated.
struct item_seen {
  store::keyspace::item now;
  bool removed = false;
};
/// @brief All keys under `kKeyPrefix` were read; keys that are missing from
/// `items` don't exist.
struct items_loaded {
  std::vector<store::keyspace::item> items;
  int64_t revision = 0;  ///< Of the store.
};
/// @brief Reply to a `call_store`.
struct store_answered {
  uint64_t tag = 0;
  time_point sent;
  store::keyspace::reply reply;
};
struct members_changed {
  interactive::member_directory_ptr value;
};
struct configuration_snapshot_changed {
  interactive::configuration_snapshot_ptr value;
};
/// @brief A digest arrived from another VM. It echoes the newest digest that
/// the other VM had received from this VM. `echo_sent` is when this VM sent the
/// echoed digest; empty: unknown, or no digest was echoed.
struct digest_arrived {
  std::string vm;
  wire::fleet_digest digest;
  std::optional<time_point> echo_sent;
};
struct member_checked {
  std::string member;
  std::optional<interactive::member_status> status;
};
enum class promotion_result : uint8_t {
  kAccepted,
  kRefused,  ///< The member is not running.
  kUnknown,  ///< No reply, or the platform is overloaded.
};
struct promotion_answered {
  std::string group;
  std::string member;
  promotion_result result = promotion_result::kUnknown;
  std::string reason;
};
/// @brief Whether this VM is a relay or follows one.
struct relay_changed {
  bool relays = true;
  int rank = 0;  ///< Among the relays; rank 0 reads the records first.

  bool operator==(const relay_changed&) const = default;
};
/// @brief This VM shuts down: it resigns as failover controller.
struct drain_started {};
/// @brief No session is left: the VM gives up its primary leases and its
/// registration.
struct leave_started {};
struct tick {};

using event = std::variant<item_seen,
                           items_loaded,
                           store_answered,
                           members_changed,
                           configuration_snapshot_changed,
                           digest_arrived,
                           member_checked,
                           promotion_answered,
                           relay_changed,
                           drain_started,
                           leave_started,
                           tick>;

// --- Actions ---

struct call_store {
  uint64_t tag = 0;
  store::keyspace::call call;
};
struct set_primary_leases {
  std::map<std::string, interactive::primary_lease, std::less<>> by_group;
};
/// @brief Ends all work on the group's primary under epochs below `epoch`
/// before the next action is carried out.
struct stop_primary_work {
  std::string group;
  int64_t epoch = 0;
};
/// @brief Sends digests now instead of at the next interval.
struct send_digests {
  bool to_followers = false;  ///< Also to the VMs that follow this one.
};
struct check_member {
  std::string member;
};
struct demote_member {
  std::string member;
  int64_t term = 0;
};
/// @brief Answered by exactly one `promotion_answered`. A call without an
/// answer is given up within `options::controller_lease_margin` and can't
/// arrive then.
struct promote_member {
  std::string group;
  std::string member;
  std::string holder;
  int64_t token = 0;
};
/// @brief The registered VMs, this one included.
struct publish_fleet {
  std::vector<vm_registration> vms;
};
struct log_message {
  log_level level = log_level::kInfo;
  std::string text;
};

using action = std::variant<call_store,
                            set_primary_leases,
                            stop_primary_work,
                            send_digests,
                            check_member,
                            demote_member,
                            promote_member,
                            publish_fleet,
                            log_message>;

struct options {
  vm_registration self;
  uint64_t seed = 0;

  duration tick_interval = milliseconds(50);
  duration primary_lease_lifetime = milliseconds(3'000);
  /// How long an extended primary lease lasts after the oldest report that a
  /// VM has the same record. Less than `primary_lease_lifetime` and more than
  /// three digest intervals.
  duration extension_lifetime = milliseconds(2'400);
  /// Subtracted from every primary lease to allow for clock drift between VMs.
  duration primary_lease_margin = milliseconds(300);
  /// A relay reads the records itself only if, for some record, the newest read
  /// that it knows of is at least this old: min(`relayed_confirm_limit`,
  /// `confirm_interval` + rank * `confirm_step`).
  duration confirm_interval = milliseconds(1'000);
  duration confirm_step = milliseconds(250);
  duration relayed_confirm_limit = milliseconds(1'800);
  /// The limit for a VM that follows a relay.
  duration follower_confirm_limit = milliseconds(2'300);
  /// Limits primary leases while the store is unreachable, so it is longer than
  /// the store's usual outages.
  duration registration_lifetime = milliseconds(15'000);
  duration registration_interval = milliseconds(3'000);
  duration controller_lease_lifetime = milliseconds(3'000);
  duration controller_renewal_interval = milliseconds(900);
  /// The failover controller stops acting this long before its lease expires.
  duration controller_lease_margin = milliseconds(800);
  duration store_retry = milliseconds(300);

  /// A primary is suspected once its connections have failed for this long.
  duration suspicion = milliseconds(450);
  int suspicion_failures = 2;
  /// Primary leases that were given up are reported through the store too if no
  /// digest of the failover controller arrived within this time, directly or
  /// through relays.
  duration controller_silence_timeout = milliseconds(2'500);
  /// Delays a follower's claim of the vacant controller role, so that relays
  /// claim it first.
  duration follower_claim_delay = milliseconds(700);
  /// Delays the claim of a VM that registered so recently that others may not
  /// know of it yet.
  duration new_vm_claim_delay = milliseconds(300);
  /// A VM that can't decide whether a primary has failed, since it hears too
  /// few other VMs, resigns as failover controller after `undecided_timeout`,
  /// and delays its claim by `undecided_claim_delay`.
  duration undecided_timeout = milliseconds(500);
  duration undecided_claim_delay = milliseconds(3'000);
  /// Digests and member answers older than this don't count as reports of a
  /// member's health.
  duration report_lifetime = milliseconds(1'500);
  /// How long the directory must list a primary other than the record's before
  /// the recorded one can count as superseded (it must also answer that it is
  /// not primary). Longer than the 2 s in which entries that expired during an
  /// outage of the store are registered again.
  duration primary_conflict_timeout = milliseconds(2'500);
  /// A primary without an entry in the directory is replaced after this time.
  duration unlisted_timeout = milliseconds(2'600);
  /// How long open transactions may continue after the primary record was
  /// marked as moving, if this VM reaches the old primary.
  duration healthy_primary_stop_timeout = milliseconds(600);
  /// The same, if this VM's connections to the old primary fail.
  duration failing_primary_stop_timeout = milliseconds(120);
  duration status_interval = milliseconds(150);
  /// How long to wait for the statuses of all members if the old primary does
  /// not answer, or if another member claims to lead.
  duration choice_timeout = milliseconds(450);
  /// If the old primary answers: how long to wait for a candidate that has
  /// received as much as it has.
  duration catch_up_timeout = milliseconds(1'500);
  /// If commits are synchronous: how long to wait until all members but the old
  /// primary have answered and a candidate has received as much as any of them.
  /// Any one of them may be the only one that holds an acknowledged commit.
  duration synchronous_timeout = milliseconds(10'000);
  /// If no candidate answers within this time, the old primary is kept if it
  /// answers that it is primary. Otherwise, members that refused a promotion
  /// become candidates again.
  duration restore_timeout = milliseconds(3'000);
  duration promote_retry = milliseconds(700);
  /// After this time, a member that claimed to lead before its promotion, and
  /// whose term has not risen, is accepted as primary in that term. Longer than
  /// an accepted promotion takes (300 to 600 ms at the users' sites), so the
  /// term is not expected to rise later.
  duration promotion_timeout = milliseconds(1'500);
  /// A promotion that has not been confirmed by then is repeated.
  duration promotion_confirm_timeout = milliseconds(2'000);
  duration demote_interval = milliseconds(400);
};

/// @brief Queries to the session broker.
struct broker_view {
  /// See `session_broker::CountPrimaryWork`.
  std::function<size_t(std::string_view group, int64_t epoch)> primary_work;
  /// See `session_broker::HealthOf`.
  std::function<interactive::member_health(std::string_view member)> health;
};

/// @brief State of a group's primary that this VM reports to others.
struct group_state {
  primary_record record;
  /// This VM holds no primary lease of an epoch below this one.
  int64_t stopped_epoch = 0;
  bool replacing = false;  ///< This VM has begun to replace the primary.
  int64_t followers_reaching = 0;  ///< Followers that reach the primary.
  int64_t followers_failing = 0;   ///< Followers that can't reach it.
};

/// @brief What this VM knows of other VMs and reports in its digests.
struct peer_summary {
  std::vector<wire::zone_coverage> coverage;
  int64_t controller_digest_age_ms = -1;  ///< See `wire::fleet_digest`.
};

/// @brief Manages this VM's primary leases, and replaces primaries while this
/// VM is the failover controller. A deterministic state machine: no I/O,
/// threads or clocks; `now` includes suspended time.
class primary_manager {
 public:
  primary_manager(options options, broker_view view);
  ~primary_manager();
  primary_manager(const primary_manager&) = delete;
  primary_manager& operator=(const primary_manager&) = delete;

  std::vector<action> Step(time_point now, const event& input);
  time_point NextDeadline() const;

  /// @brief State of each group's primary, for digests.
  std::map<std::string, group_state, std::less<>> Groups() const;

  /// @brief Zone coverage and the age of the controller's newest digest, as
  /// known to this VM, for digests.
  peer_summary PeerSummary(time_point now) const;

  /// @brief Notices of followers that gave up primary leases, for digests.
  /// @param relayed Include notices received from other relays.
  std::vector<wire::stop_notice> StopNotices(time_point now,
                                             bool relayed) const;

  /// @brief When the newest linearizable read of all records was sent, by this
  /// VM or by one that reported it; empty: never.
  std::optional<time_point> confirmed_at() const;

  /// @brief Whether the newest read of the records is older than
  /// `relayed_confirm_limit`. Primary leases then depend on digests, which must
  /// be sent more often.
  bool NeedsFrequentDigests(time_point now) const;

  /// @brief Incarnation of this process. Once registered, it is higher than
  /// that of every earlier process of this VM.
  int64_t incarnation() const;

  /// @brief True from `leave_started` on; no primary lease is held then.
  bool leaving() const;

  /// @brief True once, after `leave_started`, the registration and the
  /// controller's lease have been revoked. The latter waits for the end of all
  /// promotions that this VM called for.
  bool left() const;

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace tarragondale::leadership

#endif  // TARRAGONDALE_LEADERSHIP_H_
