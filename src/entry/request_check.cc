// Checks of a caller's request that need no configuration.
#include "src/entry/request_check.h"

#include <algorithm>

namespace tarragondale::entry {
namespace {

constexpr size_t kMaxNameBytes = 128;
constexpr size_t kMaxIdempotencyKeyBytes = 128;
constexpr char kFirstVisible = '!';
constexpr char kLastVisible = '~';

using wire::transaction_step;

failure Invalid(std::string reason) {
  return {result_code::kInvalidField, std::move(reason)};
}

// PostgreSQL's protocol ends a text at the first zero byte.
bool HasZeroByte(std::string_view text) {
  return text.find('\0') != std::string_view::npos;
}

status CheckStatement(const wire::statement& statement,
                      const entry_options& options) {
  if (statement.sql.empty()) {
    return Invalid("sql is empty");
  }
  if (HasZeroByte(statement.sql)) {
    return Invalid("sql holds a zero byte");
  }
  if (statement.params.size() > options.max_parameters) {
    return Invalid("a statement has more than " +
                   std::to_string(options.max_parameters) + " params");
  }
  for (const wire::sql_value& value : statement.params) {
    if (value && HasZeroByte(*value)) {
      return Invalid("a parameter holds a zero byte");
    }
  }
  return std::nullopt;
}

status CheckStatements(const caller_request& request,
                       const entry_options& options) {
  const bool takes_statements = request.step == transaction_step::kWhole ||
                                request.step == transaction_step::kContinue;
  if (takes_statements && request.statements.empty()) {
    return Invalid("statements is empty");
  }
  if (!takes_statements && !request.statements.empty()) {
    return Invalid("this step takes no statements");
  }
  if (request.statements.size() > options.max_statements) {
    return Invalid("more than " + std::to_string(options.max_statements) +
                   " statements");
  }
  for (const wire::statement& statement : request.statements) {
    if (status problem = CheckStatement(statement, options)) {
      return problem;
    }
  }
  return std::nullopt;
}

status CheckIdempotencyKey(const caller_request& request) {
  const std::string& key = request.idempotency_key;
  if (key.empty()) {
    return std::nullopt;
  }
  if (key.size() > kMaxIdempotencyKeyBytes ||
      !std::all_of(key.begin(), key.end(), [](char c) {
        return c >= kFirstVisible && c <= kLastVisible;
      })) {
    return Invalid("Idempotency-Key is not 1 to 128 visible ASCII characters");
  }
  // Steps of a transaction are never repeated; taking the key would promise
  // that they can be.
  if (request.step != transaction_step::kWhole) {
    return Invalid("Idempotency-Key does not apply to transactions");
  }
  return std::nullopt;
}

status CheckNames(const caller_request& request) {
  if (StartsWork(request.step)) {
    if (request.route.empty() || request.route.size() > kMaxNameBytes) {
      return Invalid("route is not 1 to 128 characters long");
    }
    return std::nullopt;
  }
  if (request.transaction.empty()) {
    return Invalid("the transaction id is missing");
  }
  return std::nullopt;
}

}  // namespace

status CheckRequest(const caller_request& request,
                    const entry_options& options) {
  if (status problem = CheckNames(request)) {
    return problem;
  }
  if (status problem = CheckStatements(request, options)) {
    return problem;
  }
  if (status problem = CheckIdempotencyKey(request)) {
    return problem;
  }
  if (request.timeout_ms < 0 ||
      request.timeout_ms > options.max_timeout.count()) {
    return Invalid("timeout_ms is not from 1 to " +
                   std::to_string(options.max_timeout.count()));
  }
  if (request.max_age_ms < -1) {
    return Invalid("max_age_ms is negative");
  }
  if (request.max_age_ms >= 0 && (request.kind != wire::request_kind::kRead ||
                                  !StartsWork(request.step))) {
    return Invalid("max_age_ms applies to reads only");
  }
  return std::nullopt;
}

}  // namespace tarragondale::entry
