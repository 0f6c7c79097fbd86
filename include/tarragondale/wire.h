// Public header of the wire library: typed messages between VMs and their
// msgpack codec.
//
// A message is encoded as the array [version, type, sender, body]; a body is an
// array of the struct's members in order of declaration. Decoding never throws
// and bounds all lengths that it reads; an invalid message yields a failure.
#ifndef TARRAGONDALE_WIRE_H_
#define TARRAGONDALE_WIRE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "tarragondale/base.h"

namespace tarragondale::wire {

/// @brief Version of the message format. Other versions are rejected.
inline constexpr uint32_t kMessageVersion = 2;

/// @brief Maximum size of an encoded message.
inline constexpr size_t kMaxMessageBytes = 16U << 20;

enum class request_kind : uint8_t { kRead, kWrite };
std::string_view RequestKindName(request_kind kind);
std::optional<request_kind> RequestKindFromName(std::string_view name);

/// @brief What a request does with its transaction.
enum class transaction_step : uint8_t {
  kWhole,     ///< Runs the statements as one complete transaction.
  kBegin,     ///< Begins an interactive transaction; has no statements.
  kContinue,  ///< Runs statements in an interactive transaction.
  kCommit,
  kRollback,
};

/// @brief A value in PostgreSQL's text format; an empty optional is NULL.
using sql_value = std::optional<std::string>;

struct statement {
  std::string sql;
  std::vector<sql_value> params;

  bool operator==(const statement&) const = default;
};

struct column {
  std::string name;
  uint32_t type = 0;  ///< PostgreSQL type OID.

  bool operator==(const column&) const = default;
};

struct statement_result {
  std::vector<column> columns;
  std::vector<std::vector<sql_value>> rows;
  int64_t affected = 0;  ///< Number of rows returned or changed.

  bool operator==(const statement_result&) const = default;
};

/// @brief Asks the gateway of `member` to run statements. Sent by an entry.
struct execute_request {
  request_id id;
  std::string organisation;  ///< Empty on routes that need no key.
  std::string group;
  std::string member;
  request_kind kind = request_kind::kRead;
  transaction_step step = transaction_step::kWhole;
  /// Id of the request that began the transaction; unset for `kWhole` and
  /// `kBegin`.
  request_id transaction;
  std::vector<statement> statements;
  std::string idempotency_key;  ///< Empty: the request must not be repeated.
  std::string request_digest;   ///< SHA-256 of kind and statements, 32 bytes.
  /// Writes: term in which the entry expects the member to be primary. If the
  /// member's term differs, the request fails with `no_primary`. 0: any term.
  int64_t expected_term = 0;
  /// Reads: the member must have applied at least this position. {0, 0}: any.
  log_position minimum;
  int64_t max_age_ms = -1;  ///< Reads: maximum age of the data; -1: any.
  int64_t budget_ms = 0;    ///< Time left until the caller's deadline.
  /// Writes, and reads from the primary, are answered only once a majority of
  /// the members holds the data.
  bool majority = true;

  bool operator==(const execute_request&) const = default;
};

/// @brief Answer to an `execute_request`.
struct execute_answer {
  request_id id;
  result_code code = result_code::kOk;
  std::string reason;  ///< Explanation for people; empty for `kOk`.
  std::vector<statement_result> results;
  log_position position;  ///< Position written or read.
  int64_t age_ms = 0;     ///< Reads: upper bound of the data's age.
  bool from_primary = false;
  bool replayed = false;  ///< The answer was recorded for an earlier attempt.
  int64_t retry_after_ms = 0;

  bool operator==(const execute_answer&) const = default;
};

/// @brief Tells a gateway that the caller disconnected. Cancels a queued
/// request or rolls back the transaction that `id` began. Has no effect on a
/// commit that was already sent to the database.
struct cancel_request {
  request_id id;
  std::string group;
  std::string member;

  bool operator==(const cancel_request&) const = default;
};

enum class member_role : uint8_t { kUnknown, kPrimary, kReplica };
std::string_view MemberRoleName(member_role role);
std::optional<member_role> MemberRoleFromName(std::string_view name);

/// @brief Status of a member as seen by its gateway: the columns of
/// `tarragondale_status()` and the queue and service time of the gateway.
struct member_report {
  std::string member;
  bool reachable = false;  ///< The member answered a recent status query.
  member_role role = member_role::kUnknown;
  int64_t term = 0;
  int64_t promised_term = 0;
  int64_t last_term = 0;
  int64_t position = 0;
  int64_t term_start = 0;  ///< Position at which `term` began.
  /// Age of the data when the report was sent; -1: unknown.
  int64_t age_ms = -1;
  uint32_t queue_length = 0;     ///< Requests waiting at the gateway.
  uint32_t service_time_us = 0;  ///< Moving average per request.

  bool operator==(const member_report&) const = default;
};

/// @brief Member status that a gateway sends to the VMs that use the group.
struct group_report {
  std::string group;
  std::vector<member_report> members;

  bool operator==(const group_report&) const = default;
};

/// @brief Subscribes the sender to reports of the groups that it uses. Sent to
/// their gateways and renewed, since the subscription expires.
struct group_interest {
  std::vector<std::string> groups;

  bool operator==(const group_interest&) const = default;
};

enum class vm_state : uint8_t { kJoining, kAlive, kSuspect, kLeaving, kDead };
std::string_view VmStateName(vm_state state);
std::optional<vm_state> VmStateFromName(std::string_view name);

/// @brief State of one VM in gossip. Of two records of a VM, the one with the
/// higher incarnation takes precedence; if the incarnations are equal, the one
/// whose state comes later in the declaration of `vm_state`.
struct vm_record {
  std::string name;
  std::string peer_address;  ///< IP:port of the socket for messages.
  std::string http_address;  ///< IP:port for callers.
  std::string availability_zone;
  std::string region;
  uint64_t incarnation = 0;
  vm_state state = vm_state::kJoining;
  int64_t configuration_version = 0;

  bool operator==(const vm_record&) const = default;
};

/// @brief Newest configuration version that a VM knows of, and how recently the
/// store held it.
struct configuration_freshness {
  int64_t version = 0;  ///< Newest version known to be in the store.
  int64_t age_ms = -1;  ///< Time since the store held `version`; -1: unknown.

  bool operator==(const configuration_freshness&) const = default;
};

/// @brief Probe of the membership protocol, direct or indirect.
struct probe {
  uint64_t sequence = 0;
  /// VM that must answer. Any other receiver forwards the probe to this VM, if
  /// the receiver knows it.
  std::string target;
  std::string origin;  ///< VM that waits for the answer.
  /// Of the sender of this message; a VM that forwards it inserts its own.
  configuration_freshness freshness;
  std::vector<vm_record> gossip;

  bool operator==(const probe&) const = default;
};

/// @brief Answer to a `probe`. A receiver other than `origin` forwards the
/// answer to `origin` if it knows that VM.
struct probe_answer {
  uint64_t sequence = 0;
  std::string target;  ///< VM that answered.
  std::string origin;  ///< VM that waits for the answer.
  /// Of the sender of this message; a VM that forwards it inserts its own.
  configuration_freshness freshness;
  std::vector<vm_record> gossip;

  bool operator==(const probe_answer&) const = default;
};

/// @brief Asks another VM to check whether it reaches a database member. The
/// receiver opens a new connection and reads the member's status. Sent by a
/// coordinator.
struct reach_request {
  uint64_t sequence = 0;
  std::string group;
  std::string member;

  bool operator==(const reach_request&) const = default;
};

/// @brief Answer to a `reach_request`.
struct reach_answer {
  uint64_t sequence = 0;
  std::string group;
  member_report report;  ///< `reachable` is false if the connection failed.

  bool operator==(const reach_answer&) const = default;
};

/// @brief State of a group's primary as a VM reports it to others.
struct primary_state {
  std::string group;
  std::string member;
  int64_t term = 0;
  int64_t epoch = 0;       ///< Revision of the group's record in the store.
  bool moving = false;     ///< A change of the primary is in progress.
  bool replacing = false;  ///< The sender is about to request a change.
  /// The sender holds no primary lease below this epoch.
  int64_t stopped_epoch = 0;
  log_position position;         ///< Newest observed position of the primary.
  int64_t position_age_ms = -1;  ///< Time since the observation; -1: none.
  /// Time since the primary last answered; -1: never.
  int64_t answer_age_ms = -1;
  /// Time since which connections to the primary fail; -1: they don't fail.
  int64_t failing_ms = -1;
  int64_t followers_reaching = 0;  ///< Followers that reach the primary.
  int64_t followers_failing = 0;   ///< Followers that don't reach the primary.

  bool operator==(const primary_state&) const = default;
};

/// @brief Operations of an organisation on the VMs of a `usage_scope`.
struct organisation_usage {
  std::string organisation;
  uint64_t admitted = 0;     ///< Operations admitted since start.
  int64_t demand_per_s = 0;  ///< Rate of arriving operations.

  bool operator==(const organisation_usage&) const = default;
};

/// @brief VMs whose operations the usage in a digest counts.
enum class usage_scope : uint8_t {
  kOwn,        ///< The sender.
  kFollowers,  ///< The sender and its followers.
  kFleet,      ///< All VMs but the receiver.
};

/// @brief Says that `vm`, a follower of a relay, gave up its primary leases of
/// the group below `epoch` or, if `group` is empty, that it is leaving and
/// holds no primary leases. Sent by the relay, and forwarded by other relays to
/// their followers.
struct stop_notice {
  std::string vm;
  int64_t incarnation = 0;
  std::string group;
  int64_t epoch = 0;

  bool operator==(const stop_notice&) const = default;
};

/// @brief Says that, `age_ms` ago, the sender had reports of all VMs registered
/// in the zone, and that none of these VMs knew of a primary's record that
/// differs from those in the same digest, or was about to change such a record.
/// Does not apply to the groups in `excluded_groups`.
struct zone_coverage {
  std::string availability_zone;
  uint64_t vms_hash = 0;  ///< Of the VMs' names; see `leadership::HashOfVms`.
  int64_t age_ms = 0;
  std::vector<std::string> excluded_groups;

  bool operator==(const zone_coverage&) const = default;
};

/// @brief State that a VM sends periodically. A VM that is not a relay sends it
/// to the relay that it follows and to a few others; a relay sends it to all
/// relays, to its followers and to VMs that it heard but that are not
/// registered yet. It describes the sender, but the usage, stop notices and
/// coverage sent by a relay describe other VMs too.
struct fleet_digest {
  uint64_t sequence = 0;  ///< Increases with each digest to the receiver.
  uint64_t echo = 0;      ///< Highest sequence received from the receiver.
  int64_t incarnation = 0;
  std::string peer_address;  ///< Sender's address, for VMs that don't know it.
  /// The sender is a relay that watches the store, or is sent its changes by
  /// relays that do.
  bool watching = false;
  bool reaches_store = false;  ///< The store answered the sender's last call.
  /// The sender gets the store's changes from the receiver.
  bool follows = false;
  int64_t store_revision = 0;  ///< Newest revision that the sender knows.
  /// The sender holds no primary leases and is about to exit.
  bool leaving = false;
  /// Time since the sender sent its newest linearizable read of all primaries'
  /// records; -1: never.
  int64_t confirmed_age_ms = -1;
  /// Age of the newest digest of the failover controller, received directly or
  /// through other VMs; -1: none.
  int64_t controller_digest_age_ms = -1;
  std::vector<primary_state> primaries;
  usage_scope scope = usage_scope::kOwn;
  int64_t counted_vms = 1;  ///< VMs whose operations `usage` counts.
  /// A VM that is not a relay sends it only to the relay that it follows.
  std::vector<organisation_usage> usage;
  std::vector<stop_notice> stop_notices;
  std::vector<zone_coverage> coverage;

  bool operator==(const fleet_digest&) const = default;
};

/// @brief Asks the receiver for the store changes after `revision` that it
/// knows.
struct store_request {
  int64_t revision = 0;

  bool operator==(const store_request&) const = default;
};

/// @brief A key's value in the store, or its removal. `revision` is that of the
/// change.
struct store_entry {
  std::string key;
  std::string value;  ///< Empty if the key was removed.
  int64_t revision = 0;
  bool removed = false;
  bool compressed = false;  ///< The value is compressed (zstd).

  bool operator==(const store_entry&) const = default;
};

/// @brief The store at `revision` as known to the sender: all keys if
/// `complete`, otherwise the changes after revision `after`.
struct store_changes {
  bool complete = false;
  int64_t after = 0;
  int64_t revision = 0;
  std::vector<store_entry> entries;

  bool operator==(const store_changes&) const = default;
};

struct named_value {
  std::string name;
  std::string value;

  bool operator==(const named_value&) const = default;
};

struct prepared_shape {
  std::string name;
  std::string shape;
  bool writes = false;

  bool operator==(const prepared_shape&) const = default;
};

/// @brief Identifies one attachment of a session to a host.
struct hosting_id {
  int64_t incarnation = 0;  ///< Of the process that the caller is connected to.
  uint64_t session = 0;     ///< Id in that process.
  /// Increases each time the session attaches to a host.
  uint64_t attach_epoch = 0;

  auto operator<=>(const hosting_id&) const = default;
};

/// @brief Asks a host to run a caller's session from the given state. Sent by
/// the VM that the caller is connected to, which has checked the caller's key
/// and does not pass the key on.
struct hosted_open {
  hosting_id id;
  std::string database;
  std::string organisation;  ///< Empty on routes that need no key.
  std::vector<named_value> values;
  std::vector<prepared_shape> prepared;
  log_position written;  ///< Reads of the session must see this position.

  bool operator==(const hosted_open&) const = default;
};

/// @brief A `hosted_open` of a session that is restricted to regions. A message
/// of its own, so that a VM that can't keep to the regions doesn't decode it.
/// The receiver applies these regions and those of its own configuration, since
/// either version may be the newer one.
struct restricted_open {
  hosted_open open;
  std::vector<std::string> route_regions;  ///< Empty: not restricted.
  std::vector<std::string> organisation_regions;

  bool operator==(const restricted_open&) const = default;
};

/// @brief A statement of a hosted session. The sequence restarts at 1 with each
/// attachment.
struct hosted_statement {
  hosting_id id;
  uint64_t sequence = 0;
  std::string statement;  ///< Id that the caller gave to the statement.
  int64_t kind = 0;       ///< `interactive::statement_kind`.
  std::string text;
  std::string name;
  std::string argument;
  bool writes = false;

  bool operator==(const hosted_statement&) const = default;
};

/// @brief The caller disconnected, or its session moved to another host.
struct hosted_close {
  hosting_id id;

  bool operator==(const hosted_close&) const = default;
};

/// @brief Answer to the statement `sequence`.
struct hosted_answer {
  hosting_id id;
  uint64_t sequence = 0;
  result_code code = result_code::kOk;
  std::string reason;
  std::vector<std::string> rows;
  std::string signature;
  int64_t state = 0;  ///< `interactive::transaction_state`.
  std::optional<log_position> position;
  bool close = false;

  bool operator==(const hosted_answer&) const = default;
};

/// @brief The host doesn't have the session, or no longer has it.
struct hosted_ended {
  hosting_id id;
  bool known = false;  ///< The sender had the session; `handled` is valid.
  /// Statements after this sequence have not run and will not run.
  uint64_t handled = 0;
  /// Sequence of a statement that did not run; 0: none. If `known`, the sender
  /// does not reach a member that could run it, and another host may.
  uint64_t refused = 0;
  bool closed = false;  ///< The host currently accepts no sessions.

  bool operator==(const hosted_ended&) const = default;
};

/// @brief Asks whether the host still has the session. Answered by `host_alive`
/// or `hosted_ended`.
struct host_check {
  hosting_id id;

  bool operator==(const host_check&) const = default;
};

/// @brief The host still has the session.
struct host_alive {
  hosting_id id;

  bool operator==(const host_alive&) const = default;
};

/// @brief A `fleet_digest`, compressed relative to an earlier one. Sent only to
/// VMs that have sent one of these: a VM of an earlier version doesn't decode
/// them.
struct packed_digest {
  uint64_t sequence = 0;  ///< Of the digest; without one, the incarnation.
  /// Sequence of the digest that it is relative to, which the receiver has
  /// received from the same process; 0: none.
  uint64_t base = 0;
  /// Encoded and compressed (zstd). Empty: an offer; the sender can unpack
  /// digests, and has none that the next one could be relative to.
  std::string bytes;

  bool operator==(const packed_digest&) const = default;
};

/// @brief All message bodies. The index in the variant is the type number on
/// the wire, so new types are appended.
using message_body = std::variant<execute_request,
                                  execute_answer,
                                  cancel_request,
                                  group_report,
                                  group_interest,
                                  probe,
                                  probe_answer,
                                  reach_request,
                                  reach_answer,
                                  fleet_digest,
                                  store_request,
                                  store_changes,
                                  hosted_open,
                                  hosted_statement,
                                  hosted_close,
                                  hosted_answer,
                                  hosted_ended,
                                  host_check,
                                  host_alive,
                                  restricted_open,
                                  packed_digest>;

struct message {
  std::string sender;  ///< Name of the VM that sent it.
  message_body body;

  bool operator==(const message&) const = default;
};

/// @brief Returns the name of a message's type, for logs and metrics.
std::string_view MessageTypeName(const message_body& body);

std::string Encode(const message& value);

/// @brief Decodes a message. Failures: `message_version_unknown`,
/// `message_malformed`.
result<message> Decode(std::string_view bytes);

/// @brief Returns the SHA-256 of kind and statements, to detect that an
/// idempotency key is reused for another request.
std::string RequestDigest(request_kind kind,
                          const std::vector<statement>& statements);

/// @brief Encodes the results that are recorded for an idempotent write.
std::string EncodeResults(const std::vector<statement_result>& results);

/// @brief Decodes the output of `EncodeResults`. Failure: `message_malformed`.
result<std::vector<statement_result>> DecodeResults(std::string_view bytes);

}  // namespace tarragondale::wire

#endif  // TARRAGONDALE_WIRE_H_
