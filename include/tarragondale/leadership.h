// Public header of the leadership library: who may use a group's primary, and
// the change of a primary on a platform that promotes on demand.
//
// A group's record in the store names its primary. A VM may use the primary
// while it has a right: a linearizable read of the record that was sent less
// than `right_lifetime` ago, by itself or by a VM that told it so, while its
// own registration lasts. Before a promotion the VM that has the duty writes
// the record as moving. From then on no right can be had or renewed, and it
// promotes once every VM has given its right up, or the right has run out.
//
// While the store is away from all VMs nobody can write a record, so rights
// may go on: a VM extends its right by `extension_lifetime` from the time for
// which it knows of every other VM that this one knows of no change. A VM that
// others may not know of yet waits longer before it promotes.
//
// In a large fleet a VM hears a few relays only (relay.h). A relay vouches for
// its followers: which of them gave a right up, and that all VMs of a zone were
// heard to know of no change.
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

/// @brief A group's record. Its revision in the store is its epoch.
struct primary_record {
  std::string member;
  int64_t term = 0;         ///< In which the member leads; 0: not known.
  bool moving = false;      ///< The primary is being replaced.
  std::string writer = {};  ///< VM and incarnation, for people who read it.
  int64_t epoch = 0;

  bool operator==(const primary_record&) const = default;
};

/// @brief A VM's registration, bound to its lease.
struct vm_registration {
  std::string name;
  std::string peer_address;
  std::string availability_zone;
  std::string region;
  int64_t incarnation = 0;
  /// By group: the VM gave its rights below this epoch up. Written when the VM
  /// with the duty can't be told directly.
  std::map<std::string, int64_t> stopped = {};
  int64_t capacity = 1;  ///< Work that the VM can carry, beside others.

  bool operator==(const vm_registration&) const = default;
};

/// @brief Who has the duty to change primaries. Its revision is the fencing
/// token, which rises with each change of the holder.
struct duty_record {
  std::string holder;
  int64_t incarnation = 0;
  int64_t token = 0;

  bool operator==(const duty_record&) const = default;
};

// --- Records in the store ---

std::string PrimaryKey(std::string_view group);
std::string VmKey(std::string_view vm);
std::string DutyKey();
std::string PrimaryPrefix();
std::string VmPrefix();

/// @brief Hash of a set of VM names, in the order of a map.
uint64_t HashOfVms(const std::vector<std::string_view>& names);

std::string EncodePrimary(const primary_record& record);
std::string EncodeVm(const vm_registration& record);
std::string EncodeDuty(const duty_record& record);

/// @brief Decodes a record's value. Failure: `store_row_invalid`.
result<primary_record> DecodePrimary(const store::keyspace::item& item);
result<vm_registration> DecodeVm(const store::keyspace::item& item);
result<duty_record> DecodeDuty(const store::keyspace::item& item);

// --- Events ---

/// @brief A key under `kKeyPrefix` changed, or was read. Not necessarily the
/// newest state.
struct item_seen {
  store::keyspace::item now;
  bool removed = false;
};
/// @brief All keys under `kKeyPrefix` were read; keys that are not in it are
/// gone.
struct items_loaded {
  std::vector<store::keyspace::item> items;
};
/// @brief Answer to a `call_store`.
struct store_answered {
  uint64_t tag = 0;
  time_point sent;
  store::keyspace::reply reply;
};
struct members_changed {
  interactive::member_directory_ptr value;
};
struct catalogue_changed {
  interactive::catalogue_ptr value;
};
/// @brief Another VM's digest. `echo_sent` is when this VM sent the digest
/// that the other had received before it sent this one, if any.
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
  kUnknown,  ///< No answer, or the platform is overloaded.
};
struct promotion_answered {
  std::string group;
  std::string member;
  promotion_result result = promotion_result::kUnknown;
  std::string reason;
};
/// @brief Whether this VM relays, or follows one that does.
struct relay_changed {
  bool relays = true;
  int rank = 0;  ///< Among the relays; the first one reads the records.

  bool operator==(const relay_changed&) const = default;
};
/// @brief This VM shuts down: it gives the duty up.
struct drain_started {};
/// @brief No session is left: it gives up all rights and its registration.
struct leave_started {};
struct tick {};

using event = std::variant<item_seen,
                           items_loaded,
                           store_answered,
                           members_changed,
                           catalogue_changed,
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
struct set_rights {
  std::map<std::string, interactive::primary_right, std::less<>> by_group;
};
/// @brief End all work on the group's primary under epochs below `epoch`
/// before the next action.
struct stop_primary_work {
  std::string group;
  int64_t epoch = 0;
};
/// @brief Send digests now instead of with the next interval.
struct send_digests {
  bool to_followers = false;  ///< Also to VMs that follow this one.
};
struct check_member {
  std::string member;
};
struct demote_member {
  std::string member;
  int64_t term = 0;
};
struct promote_member {
  std::string group;
  std::string member;
  std::string holder;
  int64_t token = 0;
};
/// @brief VMs in service, this one included.
struct fleet_known {
  std::vector<vm_registration> vms;
};
struct note {
  log_level level = log_level::kInfo;
  std::string text;
};

using action = std::variant<call_store,
                            set_rights,
                            stop_primary_work,
                            send_digests,
                            check_member,
                            demote_member,
                            promote_member,
                            fleet_known,
                            note>;

struct options {
  vm_registration self;
  uint64_t seed = 0;

  duration tick_interval = milliseconds(50);
  duration right_lifetime = milliseconds(3'000);
  /// Less than `right_lifetime`, and more than three intervals of digests.
  duration extension_lifetime = milliseconds(2'400);
  /// Taken off every right for clocks that run at different speeds.
  duration right_margin = milliseconds(300);
  duration confirm_interval = milliseconds(1'000);
  /// A relay reads the records itself only if no other VM told it of a read
  /// that is newer than this: the first relay after `confirm_interval`, each
  /// further one later by a step.
  duration confirm_step = milliseconds(250);
  duration relayed_confirm_limit = milliseconds(1'800);
  /// The same for a VM that follows a relay.
  duration follower_confirm_limit = milliseconds(2'300);
  /// Bounds rights without the store, so longer than its usual outages.
  duration registration_lifetime = milliseconds(15'000);
  duration registration_interval = milliseconds(3'000);
  duration duty_lifetime = milliseconds(3'000);
  duration duty_interval = milliseconds(900);
  /// Part of the duty's lifetime in which its holder does not act any more.
  duration duty_margin = milliseconds(800);
  duration store_retry = milliseconds(300);

  /// A primary is suspected after its connections failed for this long.
  duration suspicion = milliseconds(450);
  int suspicion_failures = 2;
  /// The duty's holder is told directly of rights that were given up if it was
  /// heard, through relays too, within this.
  duration duty_silence = milliseconds(2'500);
  /// A VM that relays claims a free duty first, and one that is registered for
  /// longer than others need to know of it before one that is not.
  duration follower_claim_delay = milliseconds(700);
  duration young_claim_delay = milliseconds(300);
  /// A VM that hears too few others to tell whether a primary is lost gives the
  /// duty up after `unjudged_limit`, and claims it later than others by
  /// `unjudged_claim_delay`.
  duration unjudged_limit = milliseconds(500);
  duration unjudged_claim_delay = milliseconds(3'000);
  /// Digests older than this say nothing on a member's health.
  duration report_lifetime = milliseconds(1'500);
  /// How long the directory must name another primary than the record: entries
  /// that were not renewed while the store was away are back after 2 s.
  duration dispute_limit = milliseconds(2'500);
  /// A primary without an entry in the directory is replaced after this.
  duration gone_limit = milliseconds(2'600);
  /// Open transactions may end during a planned change.
  duration planned_stop = milliseconds(600);
  duration failed_stop = milliseconds(120);
  duration status_interval = milliseconds(150);
  /// How long the candidates' statuses are awaited.
  duration choose_limit = milliseconds(450);
  duration catch_up_limit = milliseconds(1'500);
  /// How long all members are awaited where commits are synchronous: without
  /// one of them an acknowledged commit might be lost.
  duration synchronous_limit = milliseconds(10'000);
  duration restore_limit = milliseconds(3'000);
  duration promote_retry = milliseconds(700);
  /// Longer than an accepted promotion takes (300 to 600 ms on the users'
  /// sites): a term that did not rise by then will not.
  duration promotion_limit = milliseconds(1'500);
  duration confirm_limit = milliseconds(2'000);
  duration demote_interval = milliseconds(400);
};

/// @brief What the library reads of the session broker.
struct broker_view {
  /// See `session_broker::PrimaryWork`.
  std::function<size_t(std::string_view group, int64_t epoch)> primary_work;
  /// See `session_broker::HealthOf`.
  std::function<interactive::member_health(std::string_view member)> health;
};

/// @brief What this VM tells others of a group's primary.
struct group_state {
  primary_record record;
  int64_t stopped_epoch = 0;  ///< No right below this epoch is held.
  bool changing = false;  ///< This VM is about to have the primary replaced.
  int64_t followers_reaching = 0;  ///< Followers that reach the primary.
  int64_t followers_failing = 0;   ///< Followers that can't.
};

/// @brief What a VM knows of others and passes on.
struct vouched {
  std::vector<wire::zone_coverage> coverage;
  int64_t duty_age_ms = -1;  ///< See `wire::fleet_digest`.
};

/// @brief Rights to use primaries, and their change. A deterministic state
/// machine: no I/O, threads or clocks; `now` includes suspended time.
class keeper {
 public:
  keeper(options options, broker_view view);
  ~keeper();
  keeper(const keeper&) = delete;
  keeper& operator=(const keeper&) = delete;

  std::vector<action> Step(time_point now, const event& input);
  time_point NextDeadline() const;

  /// @brief By group, for digests.
  std::map<std::string, group_state, std::less<>> Groups() const;

  /// @brief For digests.
  vouched Vouched(time_point now) const;

  /// @brief Followers that gave rights up, for digests.
  /// @param relayed Include those of other relays.
  std::vector<wire::stop_notice> Stops(time_point now, bool relayed) const;

  /// @brief When the read of the newest confirmation was sent, by this VM or by
  /// one that told it so; empty: never.
  std::optional<time_point> confirmed_at() const;

  /// @brief Whether rights depend on digests, since the records were not read
  /// for a while: digests are to be more frequent then.
  bool NeedsDigests(time_point now) const;

  /// @brief Of this process; higher than that of earlier ones of this VM.
  int64_t incarnation() const;

  /// @brief True from `leave_started` on: no right is held any more.
  bool leaving() const;

  /// @brief True once this VM gave up everything after `leave_started`.
  bool left() const;

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace tarragondale::leadership

#endif  // TARRAGONDALE_LEADERSHIP_H_
