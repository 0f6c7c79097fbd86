// Tables of member pointers that define the order in which the codec encodes
// the members of each struct.
#ifndef TARRAGONDALE_SRC_WIRE_FIELDS_H_
#define TARRAGONDALE_SRC_WIRE_FIELDS_H_

#include <tuple>

#include "tarragondale/wire.h"

namespace tarragondale::wire {

template <typename T>
struct fields;

template <typename... Members>
constexpr auto FieldTable(Members... members) {
  return std::make_tuple(members...);
}

template <>
struct fields<request_id> {
  static constexpr auto kTable =
      FieldTable(&request_id::origin, &request_id::sequence);
};

template <>
struct fields<log_position> {
  static constexpr auto kTable =
      FieldTable(&log_position::term, &log_position::position);
};

template <>
struct fields<statement> {
  static constexpr auto kTable =
      FieldTable(&statement::sql, &statement::params);
};

template <>
struct fields<column> {
  static constexpr auto kTable = FieldTable(&column::name, &column::type);
};

template <>
struct fields<statement_result> {
  static constexpr auto kTable = FieldTable(&statement_result::columns,
                                            &statement_result::rows,
                                            &statement_result::affected);
};

template <>
struct fields<execute_request> {
  static constexpr auto kTable = FieldTable(&execute_request::id,
                                            &execute_request::organisation,
                                            &execute_request::group,
                                            &execute_request::member,
                                            &execute_request::kind,
                                            &execute_request::step,
                                            &execute_request::transaction,
                                            &execute_request::statements,
                                            &execute_request::idempotency_key,
                                            &execute_request::request_digest,
                                            &execute_request::expected_term,
                                            &execute_request::minimum,
                                            &execute_request::max_age_ms,
                                            &execute_request::budget_ms,
                                            &execute_request::majority);
};

template <>
struct fields<execute_answer> {
  static constexpr auto kTable = FieldTable(&execute_answer::id,
                                            &execute_answer::code,
                                            &execute_answer::reason,
                                            &execute_answer::results,
                                            &execute_answer::position,
                                            &execute_answer::age_ms,
                                            &execute_answer::from_primary,
                                            &execute_answer::replayed,
                                            &execute_answer::retry_after_ms);
};

template <>
struct fields<cancel_request> {
  static constexpr auto kTable = FieldTable(&cancel_request::id,
                                            &cancel_request::group,
                                            &cancel_request::member);
};

template <>
struct fields<member_report> {
  static constexpr auto kTable = FieldTable(&member_report::member,
                                            &member_report::reachable,
                                            &member_report::role,
                                            &member_report::term,
                                            &member_report::promised_term,
                                            &member_report::last_term,
                                            &member_report::position,
                                            &member_report::term_start,
                                            &member_report::age_ms,
                                            &member_report::queue_length,
                                            &member_report::service_time_us);
};

template <>
struct fields<group_report> {
  static constexpr auto kTable =
      FieldTable(&group_report::group, &group_report::members);
};

template <>
struct fields<group_interest> {
  static constexpr auto kTable = FieldTable(&group_interest::groups);
};

template <>
struct fields<vm_record> {
  static constexpr auto kTable = FieldTable(&vm_record::name,
                                            &vm_record::peer_address,
                                            &vm_record::http_address,
                                            &vm_record::availability_zone,
                                            &vm_record::region,
                                            &vm_record::incarnation,
                                            &vm_record::state,
                                            &vm_record::configuration_version);
};

template <>
struct fields<configuration_freshness> {
  static constexpr auto kTable = FieldTable(&configuration_freshness::version,
                                            &configuration_freshness::age_ms);
};

template <>
struct fields<probe> {
  static constexpr auto kTable = FieldTable(&probe::sequence,
                                            &probe::target,
                                            &probe::origin,
                                            &probe::freshness,
                                            &probe::gossip);
};

template <>
struct fields<probe_answer> {
  static constexpr auto kTable = FieldTable(&probe_answer::sequence,
                                            &probe_answer::target,
                                            &probe_answer::origin,
                                            &probe_answer::freshness,
                                            &probe_answer::gossip);
};

template <>
struct fields<reach_request> {
  static constexpr auto kTable = FieldTable(&reach_request::sequence,
                                            &reach_request::group,
                                            &reach_request::member);
};

template <>
struct fields<reach_answer> {
  static constexpr auto kTable = FieldTable(&reach_answer::sequence,
                                            &reach_answer::group,
                                            &reach_answer::report);
};

template <>
struct fields<primary_state> {
  static constexpr auto kTable = FieldTable(&primary_state::group,
                                            &primary_state::member,
                                            &primary_state::term,
                                            &primary_state::epoch,
                                            &primary_state::moving,
                                            &primary_state::replacing,
                                            &primary_state::stopped_epoch,
                                            &primary_state::position,
                                            &primary_state::position_age_ms,
                                            &primary_state::answer_age_ms,
                                            &primary_state::failing_ms,
                                            &primary_state::followers_reaching,
                                            &primary_state::followers_failing);
};

template <>
struct fields<organisation_usage> {
  static constexpr auto kTable = FieldTable(&organisation_usage::organisation,
                                            &organisation_usage::admitted,
                                            &organisation_usage::demand_per_s);
};

template <>
struct fields<stop_notice> {
  static constexpr auto kTable = FieldTable(&stop_notice::vm,
                                            &stop_notice::incarnation,
                                            &stop_notice::group,
                                            &stop_notice::epoch);
};

template <>
struct fields<zone_coverage> {
  static constexpr auto kTable = FieldTable(&zone_coverage::availability_zone,
                                            &zone_coverage::vms_hash,
                                            &zone_coverage::age_ms,
                                            &zone_coverage::excluded_groups);
};

template <>
struct fields<fleet_digest> {
  static constexpr auto kTable =
      FieldTable(&fleet_digest::sequence,
                 &fleet_digest::echo,
                 &fleet_digest::incarnation,
                 &fleet_digest::peer_address,
                 &fleet_digest::watching,
                 &fleet_digest::reaches_store,
                 &fleet_digest::follows,
                 &fleet_digest::store_revision,
                 &fleet_digest::leaving,
                 &fleet_digest::confirmed_age_ms,
                 &fleet_digest::controller_digest_age_ms,
                 &fleet_digest::primaries,
                 &fleet_digest::scope,
                 &fleet_digest::counted_vms,
                 &fleet_digest::usage,
                 &fleet_digest::stop_notices,
                 &fleet_digest::coverage);
};

template <>
struct fields<store_request> {
  static constexpr auto kTable = FieldTable(&store_request::revision);
};

template <>
struct fields<store_entry> {
  static constexpr auto kTable = FieldTable(&store_entry::key,
                                            &store_entry::value,
                                            &store_entry::revision,
                                            &store_entry::removed,
                                            &store_entry::compressed);
};

template <>
struct fields<store_changes> {
  static constexpr auto kTable = FieldTable(&store_changes::complete,
                                            &store_changes::after,
                                            &store_changes::revision,
                                            &store_changes::entries);
};

template <>
struct fields<named_value> {
  static constexpr auto kTable =
      FieldTable(&named_value::name, &named_value::value);
};

template <>
struct fields<prepared_shape> {
  static constexpr auto kTable = FieldTable(&prepared_shape::name,
                                            &prepared_shape::shape,
                                            &prepared_shape::writes);
};

template <>
struct fields<hosting_id> {
  static constexpr auto kTable = FieldTable(&hosting_id::incarnation,
                                            &hosting_id::session,
                                            &hosting_id::attach_epoch);
};

template <>
struct fields<hosted_open> {
  static constexpr auto kTable = FieldTable(&hosted_open::id,
                                            &hosted_open::database,
                                            &hosted_open::organisation,
                                            &hosted_open::values,
                                            &hosted_open::prepared,
                                            &hosted_open::written);
};

template <>
struct fields<restricted_open> {
  static constexpr auto kTable =
      FieldTable(&restricted_open::open,
                 &restricted_open::route_regions,
                 &restricted_open::organisation_regions);
};

template <>
struct fields<hosted_statement> {
  static constexpr auto kTable = FieldTable(&hosted_statement::id,
                                            &hosted_statement::sequence,
                                            &hosted_statement::statement,
                                            &hosted_statement::kind,
                                            &hosted_statement::text,
                                            &hosted_statement::name,
                                            &hosted_statement::argument,
                                            &hosted_statement::writes);
};

template <>
struct fields<hosted_close> {
  static constexpr auto kTable = FieldTable(&hosted_close::id);
};

template <>
struct fields<hosted_answer> {
  static constexpr auto kTable = FieldTable(&hosted_answer::id,
                                            &hosted_answer::sequence,
                                            &hosted_answer::code,
                                            &hosted_answer::reason,
                                            &hosted_answer::rows,
                                            &hosted_answer::signature,
                                            &hosted_answer::state,
                                            &hosted_answer::position,
                                            &hosted_answer::close);
};

template <>
struct fields<hosted_ended> {
  static constexpr auto kTable = FieldTable(&hosted_ended::id,
                                            &hosted_ended::known,
                                            &hosted_ended::handled,
                                            &hosted_ended::refused,
                                            &hosted_ended::closed);
};

template <>
struct fields<host_check> {
  static constexpr auto kTable = FieldTable(&host_check::id);
};

template <>
struct fields<host_alive> {
  static constexpr auto kTable = FieldTable(&host_alive::id);
};

template <>
struct fields<packed_digest> {
  static constexpr auto kTable = FieldTable(&packed_digest::sequence,
                                            &packed_digest::base,
                                            &packed_digest::bytes);
};

/// @brief Highest valid value of the enum `E` in a message.
template <typename E>
inline constexpr int kLastEnumerator = 0;
template <>
inline constexpr int kLastEnumerator<request_kind> =
    static_cast<int>(request_kind::kWrite);
template <>
inline constexpr int kLastEnumerator<transaction_step> =
    static_cast<int>(transaction_step::kRollback);
template <>
inline constexpr int kLastEnumerator<member_role> =
    static_cast<int>(member_role::kReplica);
template <>
inline constexpr int kLastEnumerator<vm_state> =
    static_cast<int>(vm_state::kDead);
template <>
inline constexpr int kLastEnumerator<usage_scope> =
    static_cast<int>(usage_scope::kFleet);

}  // namespace tarragondale::wire

#endif  // TARRAGONDALE_SRC_WIRE_FIELDS_H_
