// Decodes HTTP requests of callers and operators into typed requests. Knows
// nothing of sockets, so that tests and fuzzers can call it.
#ifndef TARRAGONDALE_SRC_RUNTIME_REQUEST_DECODER_H_
#define TARRAGONDALE_SRC_RUNTIME_REQUEST_DECODER_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "tarragondale/base.h"
#include "tarragondale/entry.h"

namespace tarragondale::runtime {

/// @brief An HTTP request as it was received, headers in order.
struct http_request {
  std::string method;
  std::string target;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

enum class endpoint : uint8_t {
  kExecute,
  kBegin,
  kContinue,
  kCommit,
  kRollback,
  kHealth,
  kReady,
  kMetrics,
  kAdminStatus,
  kAdminDrain,
  kAdminSwitchover,
};

/// @brief The endpoint of a path and the transaction id that the path holds.
struct routed_path {
  endpoint target = endpoint::kHealth;
  std::string transaction;
};

/// @brief Finds the endpoint. Failures: `unknown_path`, `method_not_allowed`.
result<routed_path> RoutePath(std::string_view method, std::string_view target);

/// @brief Refuses headers that stand twice, and a body with two lengths.
/// Failures: `duplicate_header`, `malformed_http`.
status CheckHeaders(const http_request& request);

/// @brief Decodes a request to one of the first five endpoints; connection and
/// exchange are left at zero. Failures: `malformed_json`, `invalid_field`.
result<entry::caller_request> DecodeCallerRequest(const http_request& request,
                                                  const routed_path& path);

/// @brief What the body of `/v1/admin/switchover` asks for.
struct switchover_request {
  std::string group;
  std::string target;  ///< Member; empty: the coordinator chooses.
};

/// @brief Decodes the body of `/v1/admin/switchover`. Failures:
/// `malformed_json`, `invalid_field`.
result<switchover_request> DecodeSwitchover(std::string_view body);

/// @brief The key of `Authorization: Bearer <key>`; empty if there is none or
/// the scheme is another.
std::optional<std::string> BearerOf(const http_request& request);

}  // namespace tarragondale::runtime

#endif  // TARRAGONDALE_SRC_RUNTIME_REQUEST_DECODER_H_
