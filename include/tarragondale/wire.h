// Public header of the wire library: typed messages between VMs and their
// msgpack codec.
//
// Every message is the array [version, type, sender, body]; a body is an array
// of the struct's members in order of declaration. Decoding never throws and
// never trusts a length; a message that does not decode gives a failure.
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

/// @brief Version of all messages; another version is refused.
inline constexpr uint32_t kMessageVersion = 2;

/// @brief Largest encoded message in bytes.
inline constexpr size_t kMaxMessageBytes = 16U << 20;

enum class request_kind : uint8_t { kRead, kWrite };
std::string_view RequestKindName(request_kind kind);
std::optional<request_kind> RequestKindFromName(std::string_view name);

/// @brief Place of a request in a transaction.
enum class transaction_step : uint8_t {
  kWhole,     ///< The statements are one whole transaction.
  kBegin,     ///< Begins an interactive transaction; no statements.
  kContinue,  ///< Runs statements in an interactive transaction.
  kCommit,
  kRollback,
};

/// @brief A value in text format; no value is NULL.
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

/// @brief From an entry to the gateway of `member`.
struct execute_request {
  request_id id;
  std::string organisation;  ///< Empty on routes open to all.
  std::string group;
  std::string member;
  request_kind kind = request_kind::kRead;
  transaction_step step = transaction_step::kWhole;
  /// Id of the request that began the transaction; none for `kWhole`.
  request_id transaction;
  std::vector<statement> statements;
  std::string idempotency_key;  ///< Empty: the request is not repeatable.
  std::string request_digest;   ///< SHA-256 of kind and statements, 32 bytes.
  /// Writes: the term of the primary that the entry chose; another term is
  /// refused as `no_primary`. 0: any.
  int64_t expected_term = 0;
  /// Reads: the member must satisfy this position. {0, 0}: any.
  log_position minimum;
  int64_t max_age_ms = -1;  ///< Reads: highest age of the data; -1: any.
  int64_t budget_ms = 0;    ///< Time left until the caller's deadline.
  /// True: answer writes and primary reads after a majority holds them.
  bool majority = true;

  bool operator==(const execute_request&) const = default;
};

/// @brief From a gateway to the entry that asked.
struct execute_answer {
  request_id id;
  result_code code = result_code::kOk;
  std::string reason;  ///< For people; empty for `kOk`.
  std::vector<statement_result> results;
  log_position position;  ///< Position written or read.
  int64_t age_ms = 0;     ///< Reads: highest age of the data.
  bool from_primary = false;
  bool replayed = false;  ///< The recorded answer of an earlier attempt.
  int64_t retry_after_ms = 0;

  bool operator==(const execute_answer&) const = default;
};

/// @brief From an entry to a gateway: the caller is gone. Ends a queued
/// request or rolls back the transaction that `id` began. Without effect on a
/// commit that was sent already.
struct cancel_request {
  request_id id;
  std::string group;
  std::string member;

  bool operator==(const cancel_request&) const = default;
};

enum class member_role : uint8_t { kUnknown, kPrimary, kReplica };
std::string_view MemberRoleName(member_role role);
std::optional<member_role> MemberRoleFromName(std::string_view name);

/// @brief What the gateway of a member knows of it; the members of
/// `tarragondale_status()` and the load at the gateway.
struct member_report {
  std::string member;
  bool reachable = false;  ///< A status query was answered lately.
  member_role role = member_role::kUnknown;
  int64_t term = 0;
  int64_t promised_term = 0;
  int64_t last_term = 0;
  int64_t position = 0;
  int64_t term_start = 0;  ///< Position at which `term` began.
  /// Age of the data when the report was sent; -1 if it is unknown.
  int64_t age_ms = -1;
  uint32_t queue_length = 0;     ///< Requests waiting at the gateway.
  uint32_t service_time_us = 0;  ///< Moving average for one request.

  bool operator==(const member_report&) const = default;
};

/// @brief From a gateway to the VMs that use the group.
struct group_report {
  std::string group;
  std::vector<member_report> members;

  bool operator==(const group_report&) const = default;
};

/// @brief From a VM to the gateways of groups that it uses: send reports of
/// these groups for a while.
struct group_interest {
  std::vector<std::string> groups;

  bool operator==(const group_interest&) const = default;
};

enum class vm_state : uint8_t { kJoining, kAlive, kSuspect, kLeaving, kDead };
std::string_view VmStateName(vm_state state);
std::optional<vm_state> VmStateFromName(std::string_view name);

/// @brief What gossip says of one VM. A higher incarnation goes before a
/// lower one; within one incarnation the later state in `vm_state` wins.
struct vm_record {
  std::string name;
  std::string peer_address;  ///< IP:port of the pull socket.
  std::string http_address;  ///< IP:port for callers.
  std::string availability_zone;
  std::string region;
  uint64_t incarnation = 0;
  vm_state state = vm_state::kJoining;
  int64_t configuration_version = 0;

  bool operator==(const vm_record&) const = default;
};

/// @brief What a VM knows of the newest configuration.
struct configuration_freshness {
  int64_t version = 0;  ///< Newest version that the store was known to hold,
  int64_t age_ms = -1;  ///< this long ago; -1: never known.

  bool operator==(const configuration_freshness&) const = default;
};

/// @brief Membership probe.
struct probe {
  uint64_t sequence = 0;
  std::string target;  ///< VM that shall answer; relayed if not the receiver.
  std::string origin;  ///< VM that waits for the answer.
  configuration_freshness freshness;  ///< Of the sender.
  std::vector<vm_record> gossip;

  bool operator==(const probe&) const = default;
};

/// @brief Answer to a probe.
struct probe_answer {
  uint64_t sequence = 0;
  std::string target;  ///< VM that answered.
  std::string origin;  ///< VM that waits for the answer; relayed to it.
  configuration_freshness freshness;  ///< Of the sender.
  std::vector<vm_record> gossip;

  bool operator==(const probe_answer&) const = default;
};

/// @brief From a coordinator to another vantage point: open a fresh connection
/// to the database member and read its status.
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

/// @brief What a VM tells the others of a group's primary.
struct primary_state {
  std::string group;
  std::string member;
  int64_t term = 0;
  int64_t epoch = 0;          ///< Revision of the group's record in the store.
  bool moving = false;        ///< The primary is being replaced.
  bool changing = false;      ///< The sender is about to have it replaced.
  int64_t stopped_epoch = 0;  ///< The sender holds no right below this epoch.
  log_position position;      ///< Newest observed position of the primary,
  int64_t position_age_ms = -1;  ///< observed this long ago; -1: none.
  int64_t answer_age_ms = -1;    ///< The primary last answered; -1: never.
  int64_t failing_ms = -1;  ///< Connections to it fail since; -1: they don't.
  /// Followers of the sender that reach the primary, and that don't.
  int64_t followers_reaching = 0;
  int64_t followers_failing = 0;

  bool operator==(const primary_state&) const = default;
};

/// @brief What a VM admitted for an organisation.
struct organisation_usage {
  std::string organisation;
  uint64_t admitted = 0;     ///< Operations since the VM's start.
  int64_t demand_per_s = 0;  ///< Operations that arrive there.

  bool operator==(const organisation_usage&) const = default;
};

/// @brief Whose operations the usage in a digest counts.
enum class usage_scope : uint8_t {
  kOwn,        ///< The sender's.
  kFollowers,  ///< The sender's and its followers'.
  kFleet,      ///< Those of all VMs but the receiver.
};

/// @brief A follower of the sender gave up its rights below `epoch`.
struct stop_notice {
  std::string vm;
  int64_t incarnation = 0;
  std::string group;
  int64_t epoch = 0;

  bool operator==(const stop_notice&) const = default;
};

/// @brief All VMs that are registered in a zone were heard, and none of them
/// knew of a record other than those in the same digest, or was about to change
/// one, `age_ms` ago; the groups in `except` left out.
struct zone_coverage {
  std::string availability_zone;
  uint64_t vms_hash = 0;  ///< Of the names; see `leadership::HashOfVms`.
  int64_t age_ms = 0;
  std::vector<std::string> except;

  bool operator==(const zone_coverage&) const = default;
};

/// @brief Periodic state of a VM. A VM that follows a relay sends it its own
/// state; a relay sends what it knows of its followers and of other relays.
struct fleet_digest {
  uint64_t sequence = 0;  ///< Rises with each digest to the receiver.
  uint64_t echo = 0;      ///< Newest sequence received from the receiver.
  int64_t incarnation = 0;
  std::string peer_address;    ///< Of the sender, for VMs that don't know it.
  bool watching = false;       ///< The sender watches the store itself
  bool reaches_store = false;  ///< and got an answer to its last call.
  bool follows = false;  ///< The sender takes the store's changes from the
                         ///< receiver.
  int64_t store_revision = 0;  ///< Changes up to here are known to the sender.
  bool leaving = false;  ///< The sender holds no rights any more and ends.
  /// The sender's newest linearizable read of all primaries' records was sent
  /// this long ago; -1: never.
  int64_t confirmed_age_ms = -1;
  /// Age of the newest digest of the VM with the duty, directly or through
  /// others; -1: none.
  int64_t duty_age_ms = -1;
  std::vector<primary_state> primaries;
  usage_scope scope = usage_scope::kOwn;
  int64_t counted_vms = 1;  ///< VMs whose operations `usage` counts.
  std::vector<organisation_usage> usage;
  std::vector<stop_notice> stops;
  std::vector<zone_coverage> coverage;

  bool operator==(const fleet_digest&) const = default;
};

/// @brief Asks for the changes of the store that the receiver knows after
/// `revision`.
struct store_request {
  int64_t revision = 0;

  bool operator==(const store_request&) const = default;
};

/// @brief A key of the store as it was written or removed.
struct store_entry {
  std::string key;
  std::string value;  ///< Empty if it was removed.
  int64_t revision = 0;
  bool removed = false;
  bool packed = false;  ///< The value is compressed (zstd).

  bool operator==(const store_entry&) const = default;
};

/// @brief What the sender knows of the store at `revision`: all keys, or the
/// changes after the revision `after`.
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

/// @brief Names one stay of a session at a host.
struct hosting_id {
  int64_t incarnation = 0;  ///< Of the process that the caller is connected to.
  uint64_t session = 0;     ///< Of that process.
  uint64_t stay = 0;        ///< Rises each time the session moves to a host.

  auto operator<=>(const hosting_id&) const = default;
};

/// @brief From the VM that a caller is connected to: run its session, in this
/// state. The key was checked there and stays there.
struct hosted_open {
  hosting_id id;
  std::string database;
  std::string organisation;  ///< Empty on routes that need no key.
  std::vector<named_value> values;
  std::vector<prepared_shape> prepared;
  log_position written;  ///< The session's reads must see this position.

  bool operator==(const hosted_open&) const = default;
};

/// @brief A statement of a hosted session. Sequences begin at 1 in each stay.
struct hosted_statement {
  hosting_id id;
  uint64_t sequence = 0;
  std::string statement;  ///< The caller's id of it.
  int64_t kind = 0;       ///< `interactive::statement_kind`.
  std::string text;
  std::string name;
  std::string argument;
  bool writes = false;

  bool operator==(const hosted_statement&) const = default;
};

/// @brief The caller left, or its session moved.
struct hosted_close {
  hosting_id id;

  bool operator==(const hosted_close&) const = default;
};

/// @brief The answer to the statement `sequence`.
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

/// @brief The host has no such session (any more).
struct hosted_ended {
  hosting_id id;
  bool known = false;    ///< This process had it: statements after `handled`
  uint64_t handled = 0;  ///< have not run and will not.
  uint64_t refused = 0;  ///< This statement has not run; 0: none is meant.
  bool closed = false;   ///< The host takes no sessions at present.

  bool operator==(const hosted_ended&) const = default;
};

/// @brief Asks whether the host still has the session; it answers with
/// `host_alive` or `hosted_ended`.
struct host_check {
  hosting_id id;

  bool operator==(const host_check&) const = default;
};

struct host_alive {
  hosting_id id;

  bool operator==(const host_alive&) const = default;
};

/// @brief All message bodies; the index in the variant is the type's number.
/// New types go to the end.
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
                                  host_alive>;

struct message {
  std::string sender;  ///< Name of the VM that sent it.
  message_body body;

  bool operator==(const message&) const = default;
};

/// @brief Name of a message's type, for logs and metrics.
std::string_view MessageTypeName(const message_body& body);

/// @brief Encodes a message.
std::string Encode(const message& value);

/// @brief Decodes a message. Failures: `message_version_unknown`,
/// `message_malformed`.
result<message> Decode(std::string_view bytes);

/// @brief SHA-256 of kind and statements; identifies a request under its
/// idempotency key.
std::string RequestDigest(request_kind kind,
                          const std::vector<statement>& statements);

/// @brief Encodes statement results, for the record of an idempotent write.
std::string EncodeResults(const std::vector<statement_result>& results);

/// @brief Decodes `EncodeResults`. Failure: `message_malformed`.
result<std::vector<statement_result>> DecodeResults(std::string_view bytes);

}  // namespace tarragondale::wire

#endif  // TARRAGONDALE_WIRE_H_
