// Table of result codes and lookups in it.
#include "tarragondale/base/result_code.h"

#include <algorithm>
#include <array>

namespace tarragondale {
namespace {

constexpr std::array<std::string_view, 3> kOutcomeNames = {"done", "not_run",
                                                           "unknown"};

using enum result_code;
constexpr outcome kDone = outcome::kDone;
constexpr outcome kNotRun = outcome::kNotRun;
constexpr outcome kUnknown = outcome::kUnknown;

constexpr std::array kTable = std::to_array<result_code_info>({
    {kOk, "ok", kDone, 200, false, "The request ran once and its effects hold.",
     "Nothing."},
    {kMalformedHttp, "malformed_http", kNotRun, 400, false,
     "The request is not valid HTTP/1.1.", "Correct the client."},
    {kBodyTooLarge, "body_too_large", kNotRun, 413, false,
     "The body is larger than the setting limits.body_bytes.",
     "Send less in one request."},
    {kMalformedJson, "malformed_json", kNotRun, 400, false,
     "The body is not valid JSON.", "Correct the client."},
    {kInvalidField, "invalid_field", kNotRun, 400, false,
     "A field or header is missing, unknown or out of range.",
     "Read the reason and correct the client."},
    {kDuplicateHeader, "duplicate_header", kNotRun, 400, false,
     "A header that may stand once stands twice.", "Correct the client."},
    {kRequestTimeout, "request_timeout", kNotRun, 408, false,
     "The request did not arrive completely in time.",
     "Check the client's network."},
    {kUnknownPath, "unknown_path", kNotRun, 404, false,
     "No interface has this path.", "Correct the client."},
    {kMethodNotAllowed, "method_not_allowed", kNotRun, 405, false,
     "The path does not take this method.", "Correct the client."},
    {kHeaderTooLarge, "header_too_large", kNotRun, 431, false,
     "The headers are larger than the setting limits.header_bytes.",
     "Send smaller headers."},
    {kTransactionNotFound, "transaction_not_found", kNotRun, 404, false,
     "The transaction has ended or never existed.", "Begin a new transaction."},
    {kIdempotencyKeyReused, "idempotency_key_reused", kNotRun, 422, false,
     "The idempotency key belongs to a different request.",
     "Use a new key for a new request."},
    {kTooManyConnections, "too_many_connections", kNotRun, 503, true,
     "The VM has no room for another caller connection.",
     "Connect to another VM; check the balancer."},
    {kPreparedStatementUnknown, "prepared_statement_unknown", kNotRun, 400,
     false, "The session has no prepared statement of this name.",
     "Prepare the statement in the session that executes it."},
    {kStatementMalformed, "statement_malformed", kNotRun, 400, false,
     "The text is no statement, or the session's state does not allow it.",
     "Correct the client; end a failed transaction first."},
    {kKeyMissing, "key_missing", kNotRun, 401, false,
     "The route needs a key and the request has none.",
     "Send the header Authorization: Bearer."},
    {kKeyInvalid, "key_invalid", kNotRun, 401, false,
     "The key is unknown, wrong or withdrawn.", "Ask the operators for a key."},
    {kConfigurationStale, "configuration_stale", kNotRun, 503, true,
     "The VM can't tell whether its keys are current.",
     "Retry on another VM; operators check the VM's network."},
    {kRouteForbidden, "route_forbidden", kNotRun, 403, false,
     "The organisation may not use the route.",
     "Ask the operators for the route."},
    {kKindForbidden, "kind_forbidden", kNotRun, 403, false,
     "The route does not take this kind of request.", "Use another route."},
    {kTokenInvalid, "token_invalid", kNotRun, 400, false,
     "The session token is forged, damaged or of an unknown version.",
     "Send the last token unchanged, or `lost`."},
    {kTokenForeign, "token_foreign", kNotRun, 403, false,
     "The session token belongs to another organisation.",
     "Send the organisation's own token."},
    {kRateExceeded, "rate_exceeded", kNotRun, 429, true,
     "The organisation is over its rate and burst.",
     "Send again after Retry-After."},
    {kOverloaded, "overloaded", kNotRun, 503, true,
     "The VM has no room for another request.",
     "Send again after Retry-After; operators check the load."},
    {kQueueFull, "queue_full", kNotRun, 503, true,
     "The organisation's queue at the gateway is full.",
     "Send again after Retry-After."},
    {kDeadlineBeforeStart, "deadline_before_start", kNotRun, 503, true,
     "The deadline passed, or would pass, before the request could start.",
     "Send again after Retry-After, or with a longer timeout_ms."},
    {kDraining, "draining", kNotRun, 503, true, "The VM is shutting down.",
     "Send again to another VM."},
    {kRouteUnknown, "route_unknown", kNotRun, 404, false,
     "No route has this name.", "Check the route's name."},
    {kNoPrimary, "no_primary", kNotRun, 503, true,
     "The group has no primary that can be reached.",
     "Send again after Retry-After; operators look at the failover page."},
    {kNoFreshReplica, "no_fresh_replica", kNotRun, 503, true,
     "No member is as fresh as the request asks.",
     "Send again after Retry-After, or accept older data."},
    {kGatewayUnreachable, "gateway_unreachable", kNotRun, 503, true,
     "The gateway of the member could not be reached; nothing was sent.",
     "Send again after Retry-After."},
    {kDatabaseUnavailable, "database_unavailable", kNotRun, 503, true,
     "No connection to the database could be had in time.",
     "Send again after Retry-After; operators check the database."},
    {kStatementFailed, "statement_failed", kNotRun, 422, false,
     "The database refused a statement; the transaction was rolled back.",
     "Read the reason and correct the statement."},
    {kReadOnlyViolation, "read_only_violation", kNotRun, 422, false,
     "A request of kind read tried to write.", "Send it as kind write."},
    {kTransactionTimedOut, "transaction_timed_out", kNotRun, 409, false,
     "The transaction was idle or open for too long and was rolled back.",
     "Begin a new transaction."},
    {kTransactionAborted, "transaction_aborted", kNotRun, 409, false,
     "The transaction failed earlier and was rolled back.",
     "Begin a new transaction."},
    {kAnswerTooLarge, "answer_too_large", kNotRun, 422, false,
     "The answer is larger than the setting limits.answer_bytes.",
     "Ask for fewer rows."},
    {kDatabaseLeaving, "database_leaving", kNotRun, 503, true,
     "The chosen member is leaving and takes no new work.",
     "Send again after Retry-After."},
    {kUnknownTimeout, "unknown_timeout", kUnknown, 504, false,
     "No answer came before the deadline.",
     "Repeat with the same idempotency key, or check the data."},
    {kUnknownConnectionLost, "unknown_connection_lost", kUnknown, 504, false,
     "A connection was lost after the request was sent on it.",
     "Repeat with the same idempotency key, or check the data."},
    {kUnknownNotReplicated, "unknown_not_replicated", kUnknown, 504, false,
     "The commit was not confirmed by a majority of members in time.",
     "Repeat with the same idempotency key, or check the data."},
    {kTableInvalid, "table_invalid", kNotRun, 422, false,
     "The edited tables would contradict themselves.",
     "Read the reason and correct the row."},
    {kVersionConflict, "version_conflict", kNotRun, 409, false,
     "Another operator changed the configuration first.",
     "Read the new version and repeat the edit."},
    {kSettingInvalid, "setting_invalid", kNotRun, 500, false,
     "A setting is unknown, missing or out of range.",
     "Correct the settings file."},
    {kRowNotFound, "row_not_found", kNotRun, 404, false,
     "No row has this name.", "Check the name."},
    {kStoreUnavailable, "store_unavailable", kNotRun, 503, true,
     "The key-value service can't be reached.",
     "Retry; operators check the service."},
    {kStoreAnswerLost, "store_answer_lost", kUnknown, 504, false,
     "The answer of the key-value service was lost.",
     "Read the row back before any new edit."},
    {kStoreRowInvalid, "store_row_invalid", kNotRun, 500, false,
     "A row in the key-value service can't be read; the last good one stays "
     "in force.",
     "Correct or delete the row."},
    {kMessageVersionUnknown, "message_version_unknown", kNotRun, 500, false,
     "Another VM sent a message of an unknown version.",
     "Check the versions of the VMs."},
    {kMessageMalformed, "message_malformed", kNotRun, 500, false,
     "Another VM sent a message that can't be decoded.",
     "Check the versions of the VMs."},
    {kNotOwner, "not_owner", kNotRun, 503, true,
     "The VM is not the gateway of this member.",
     "Send again after Retry-After; normal while VMs come and go."},
    {kInternal, "internal", kUnknown, 500, false,
     "The program found a fault in itself.", "Report it with the log."},
});

}  // namespace

std::string_view OutcomeName(outcome value) {
  return kOutcomeNames[static_cast<size_t>(value)];
}

std::span<const result_code_info> ResultCodes() {
  return kTable;
}

const result_code_info& InfoOf(result_code code) {
  const auto* const found =
      std::lower_bound(kTable.begin(), kTable.end(), code,
                       [](const result_code_info& row, result_code wanted) {
                         return row.code < wanted;
                       });
  if (found == kTable.end() || found->code != code) {
    return kTable.back();
  }
  return *found;
}

std::optional<result_code> ResultCodeFromNumber(int number) {
  for (const result_code_info& row : kTable) {
    if (static_cast<int>(row.code) == number) {
      return row.code;
    }
  }
  return std::nullopt;
}

}  // namespace tarragondale
