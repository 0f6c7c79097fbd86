// The table of numbered result codes. docs/result-codes.md is checked against
// it by a test.
#ifndef TARRAGONDALE_BASE_RESULT_CODE_H_
#define TARRAGONDALE_BASE_RESULT_CODE_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace tarragondale {

/// @brief What became of a request.
enum class outcome : uint8_t {
  kDone,    ///< It ran once and its effects hold.
  kNotRun,  ///< None of it took effect and none will.
  kUnknown  ///< It may have taken effect.
};

/// @brief Name in answers: `done`, `not_run` or `unknown`.
std::string_view OutcomeName(outcome value);

/// @brief Numbered results. 1xxx request, 2xxx key and permission, 3xxx
/// admission and load, 4xxx routing and databases, 5xxx unknown outcome, 6xxx
/// configuration, 7xxx store, 8xxx messages between VMs, 9xxx internal.
enum class result_code : uint16_t {
  kOk = 0,
  kMalformedHttp = 1001,
  kBodyTooLarge = 1002,
  kMalformedJson = 1003,
  kInvalidField = 1004,
  kDuplicateHeader = 1005,
  kRequestTimeout = 1006,
  kUnknownPath = 1007,
  kMethodNotAllowed = 1008,
  kHeaderTooLarge = 1009,
  kTransactionNotFound = 1010,
  kIdempotencyKeyReused = 1011,
  kTooManyConnections = 1012,
  kPreparedStatementUnknown = 1013,
  kStatementMalformed = 1014,
  kKeyMissing = 2001,
  kKeyInvalid = 2002,
  kConfigurationStale = 2003,
  kRouteForbidden = 2004,
  kKindForbidden = 2005,
  kTokenInvalid = 2006,
  kTokenForeign = 2007,
  kRateExceeded = 3001,
  kOverloaded = 3002,
  kQueueFull = 3003,
  kDeadlineBeforeStart = 3004,
  kDraining = 3005,
  kRouteUnknown = 4001,
  kNoPrimary = 4002,
  kNoFreshReplica = 4003,
  kGatewayUnreachable = 4004,
  kDatabaseUnavailable = 4005,
  kStatementFailed = 4006,
  kReadOnlyViolation = 4007,
  kTransactionTimedOut = 4008,
  kTransactionAborted = 4009,
  kAnswerTooLarge = 4010,
  kDatabaseLeaving = 4011,
  kUnknownTimeout = 5001,
  kUnknownConnectionLost = 5002,
  kUnknownNotReplicated = 5003,
  kTableInvalid = 6001,
  kVersionConflict = 6002,
  kSettingInvalid = 6003,
  kRowNotFound = 6004,
  kStoreUnavailable = 7001,
  kStoreAnswerLost = 7002,
  kStoreRowInvalid = 7003,
  kMessageVersionUnknown = 8001,
  kMessageMalformed = 8002,
  kNotOwner = 8003,
  kInternal = 9001,
};

/// @brief One row of the table of result codes.
struct result_code_info {
  result_code code;
  std::string_view name;  ///< Snake case, stable, used in answers and logs.
  outcome result;         ///< Outcome that goes with the code.
  int http_status;        ///< Status of the HTTP answer.
  bool retry_later;       ///< The answer carries `Retry-After`.
  std::string_view meaning;
  std::string_view action;  ///< What the caller or operator does.
};

/// @brief All rows, ordered by number.
std::span<const result_code_info> ResultCodes();

/// @brief The row of a code.
const result_code_info& InfoOf(result_code code);

/// @brief The code with this number, if there is one.
std::optional<result_code> ResultCodeFromNumber(int number);

}  // namespace tarragondale

#endif  // TARRAGONDALE_BASE_RESULT_CODE_H_
