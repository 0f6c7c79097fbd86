// Decodes HTTP requests into typed requests.
#include "src/runtime/request_decoder.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <optional>
#include <set>

#include <nlohmann/json.hpp>

namespace tarragondale::runtime {
namespace {

using json = nlohmann::json;

constexpr std::string_view kTransactionPrefix = "/v1/transactions/";
constexpr std::string_view kBearerScheme = "bearer ";

struct path_row {
  std::string_view path;
  std::string_view method;
  endpoint target;
};

constexpr auto kPaths = std::to_array<path_row>({
    {"/v1/execute", "POST", endpoint::kExecute},
    {"/v1/transactions", "POST", endpoint::kBegin},
    {"/healthz", "GET", endpoint::kHealth},
    {"/readyz", "GET", endpoint::kReady},
    {"/metrics", "GET", endpoint::kMetrics},
    {"/v1/admin/status", "GET", endpoint::kAdminStatus},
    {"/v1/admin/drain", "POST", endpoint::kAdminDrain},
    {"/v1/admin/switchover", "POST", endpoint::kAdminSwitchover},
});

struct step_row {
  std::string_view name;
  endpoint target;
  wire::transaction_step step;
};

constexpr auto kSteps = std::to_array<step_row>({
    {"execute", endpoint::kContinue, wire::transaction_step::kContinue},
    {"commit", endpoint::kCommit, wire::transaction_step::kCommit},
    {"rollback", endpoint::kRollback, wire::transaction_step::kRollback},
});

// Headers that change the meaning of a request; two of one kind could be read
// differently by two programs on the path.
constexpr std::array<std::string_view, 8> kSingleHeaders = {
    "authorization",   "content-length",       "content-type",      "host",
    "idempotency-key", "tarragondale-session", "transfer-encoding", "expect"};

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return lower;
}

std::optional<std::string> HeaderOf(const http_request& request,
                                    std::string_view lower_name) {
  for (const auto& [name, value] : request.headers) {
    if (LowerCase(name) == lower_name) {
      return value;
    }
  }
  return std::nullopt;
}

failure Invalid(std::string reason) {
  return {result_code::kInvalidField, std::move(reason)};
}

// Parses JSON without exceptions. A name that stands twice in one object is
// malformed: two programs could each use another of the two values.
result<json> ParseJson(std::string_view text) {
  std::vector<std::set<std::string>> names;
  bool duplicate = false;
  const auto check = [&](int /*depth*/, json::parse_event_t event,
                         json& parsed) {
    if (event == json::parse_event_t::object_start) {
      names.emplace_back();
    } else if (event == json::parse_event_t::object_end) {
      names.pop_back();
    } else if (event == json::parse_event_t::key) {
      duplicate |= !names.back().insert(parsed.get<std::string>()).second;
    }
    return true;
  };
  json value = json::parse(text, check, /*allow_exceptions=*/false);
  if (value.is_discarded()) {
    return failure{result_code::kMalformedJson, "the body is not valid JSON"};
  }
  if (duplicate) {
    return failure{result_code::kMalformedJson,
                   "a name stands twice in one object"};
  }
  if (!value.is_object()) {
    return failure{result_code::kMalformedJson, "the body is not an object"};
  }
  return value;
}

// libpq takes C strings, so text with NUL would be cut silently.
bool HasNul(const std::string& text) {
  return text.find('\0') != std::string::npos;
}

status ReadText(const json& value, std::string_view field, std::string& out) {
  if (!value.is_string()) {
    return Invalid(std::string(field) + " must be a string");
  }
  out = value.get<std::string>();
  if (HasNul(out)) {
    return Invalid(std::string(field) + " holds a NUL character");
  }
  return std::nullopt;
}

status ReadCount(const json& value, std::string_view field, int64_t& out) {
  constexpr int64_t kMaxMilliseconds = 86'400'000;
  if (!value.is_number_integer() || value < 0 || value > kMaxMilliseconds) {
    return Invalid(std::string(field) +
                   " must be an integer from 0 to 86400000");
  }
  out = value.get<int64_t>();
  return std::nullopt;
}

status ReadParameter(const json& value, wire::sql_value& out) {
  if (value.is_null()) {
    out = std::nullopt;
    return std::nullopt;
  }
  if (value.is_string()) {
    return ReadText(value, "params", out.emplace());
  }
  if (value.is_boolean()) {
    out = value.get<bool>() ? "true" : "false";
    return std::nullopt;
  }
  if (value.is_number()) {
    out = value.dump();
    return std::nullopt;
  }
  return Invalid("params may hold strings, numbers, booleans and null");
}

status ReadStatement(const json& value, wire::statement& out) {
  if (!value.is_object() || !value.contains("sql")) {
    return Invalid("each of statements must be an object with sql");
  }
  for (const auto& [name, field] : value.items()) {
    if (name == "sql") {
      if (const status problem = ReadText(field, "sql", out.sql)) {
        return problem;
      }
    } else if (name == "params" && field.is_array()) {
      for (const json& parameter : field) {
        if (const status problem =
                ReadParameter(parameter, out.params.emplace_back())) {
          return problem;
        }
      }
    } else if (name == "params") {
      return Invalid("params must be an array");
    } else {
      return Invalid("statements have no field " + name);
    }
  }
  if (out.sql.empty()) {
    return Invalid("sql is empty");
  }
  return std::nullopt;
}

status ReadStatements(const json& value, entry::caller_request& out) {
  if (!value.is_array() || value.empty()) {
    return Invalid("statements must be an array with at least one statement");
  }
  for (const json& statement : value) {
    if (const status problem =
            ReadStatement(statement, out.statements.emplace_back())) {
      return problem;
    }
  }
  return std::nullopt;
}

status ReadKind(const json& value, entry::caller_request& out) {
  const auto kind = value.is_string()
                        ? wire::RequestKindFromName(value.get<std::string>())
                        : std::nullopt;
  if (!kind) {
    return Invalid("kind must be read or write");
  }
  out.kind = *kind;
  return std::nullopt;
}

status ReadRoute(const json& value, entry::caller_request& out) {
  return ReadText(value, "route", out.route);
}

status ReadMaxAge(const json& value, entry::caller_request& out) {
  return ReadCount(value, "max_age_ms", out.max_age_ms);
}

status ReadTimeout(const json& value, entry::caller_request& out) {
  return ReadCount(value, "timeout_ms", out.timeout_ms);
}

using step = wire::transaction_step;

// Fields of a body, and the steps that take each.
struct field_row {
  std::string_view name;
  status (*read)(const json&, entry::caller_request&);
  bool for_whole;
  bool for_begin;
  bool for_continue;
  bool required;
};

constexpr auto kFields = std::to_array<field_row>({
    {"route", ReadRoute, true, true, false, true},
    {"kind", ReadKind, true, true, false, true},
    {"statements", ReadStatements, true, false, true, true},
    {"max_age_ms", ReadMaxAge, true, true, false, false},
    {"timeout_ms", ReadTimeout, true, true, true, false},
});

bool Takes(const field_row& field, step step) {
  switch (step) {
    case step::kWhole:
      return field.for_whole;
    case step::kBegin:
      return field.for_begin;
    case step::kContinue:
      return field.for_continue;
    case step::kCommit:
    case step::kRollback:
      return field.name == "timeout_ms";
  }
  return false;
}

status ReadBody(const json& body, entry::caller_request& out) {
  for (const auto& item : body.items()) {
    const auto* const field = std::find_if(
        kFields.begin(), kFields.end(),
        [&](const field_row& row) { return row.name == item.key(); });
    if (field == kFields.end() || !Takes(*field, out.step)) {
      return Invalid("the body has no field " + item.key() + " here");
    }
    if (const status problem = field->read(item.value(), out)) {
      return problem;
    }
  }
  for (const field_row& field : kFields) {
    if (field.required && Takes(field, out.step) &&
        !body.contains(std::string(field.name))) {
      return Invalid("the field " + std::string(field.name) + " is missing");
    }
  }
  return std::nullopt;
}

step StepOf(endpoint target) {
  for (const step_row& row : kSteps) {
    if (row.target == target) {
      return row.step;
    }
  }
  return target == endpoint::kBegin ? step::kBegin : step::kWhole;
}

}  // namespace

result<routed_path> RoutePath(std::string_view method,
                              std::string_view target) {
  for (const path_row& row : kPaths) {
    if (row.path == target) {
      if (row.method != method) {
        return failure{result_code::kMethodNotAllowed,
                       "the path takes " + std::string(row.method)};
      }
      return routed_path{row.target, {}};
    }
  }
  if (target.starts_with(kTransactionPrefix)) {
    const std::string_view rest = target.substr(kTransactionPrefix.size());
    const size_t slash = rest.find('/');
    for (const step_row& row : kSteps) {
      if (slash != std::string_view::npos && slash > 0 &&
          rest.substr(slash + 1) == row.name) {
        if (method != "POST") {
          return failure{result_code::kMethodNotAllowed, "the path takes POST"};
        }
        return routed_path{row.target, std::string(rest.substr(0, slash))};
      }
    }
  }
  return failure{result_code::kUnknownPath, "no interface has this path"};
}

status CheckHeaders(const http_request& request) {
  std::set<std::string> seen;
  for (const auto& [name, value] : request.headers) {
    const std::string lower = LowerCase(name);
    const bool single = std::find(kSingleHeaders.begin(), kSingleHeaders.end(),
                                  lower) != kSingleHeaders.end();
    if (single && !seen.insert(lower).second) {
      return failure{result_code::kDuplicateHeader,
                     "the header " + lower + " stands twice"};
    }
  }
  if (seen.contains("content-length") && seen.contains("transfer-encoding")) {
    return failure{result_code::kMalformedHttp,
                   "the body has a content-length and a transfer-encoding"};
  }
  return std::nullopt;
}

result<entry::caller_request> DecodeCallerRequest(const http_request& request,
                                                  const routed_path& path) {
  entry::caller_request decoded;
  decoded.step = StepOf(path.target);
  decoded.transaction = path.transaction;
  if (const auto value = HeaderOf(request, "authorization")) {
    decoded.bearer = BearerOf(request);
    if (!decoded.bearer) {
      return Invalid("the header authorization must be Bearer with a key");
    }
  }
  if (const auto value = HeaderOf(request, "idempotency-key")) {
    if (value->empty()) {
      return Invalid("the header idempotency-key is empty");
    }
    decoded.idempotency_key = *value;
  }
  decoded.session = HeaderOf(request, "tarragondale-session");
  const bool may_be_empty =
      decoded.step == step::kCommit || decoded.step == step::kRollback;
  if (request.body.empty() && may_be_empty) {
    return decoded;
  }
  const auto body = ParseJson(request.body);
  if (!body) {
    return body.error();
  }
  if (const status problem = ReadBody(*body, decoded)) {
    return *problem;
  }
  return decoded;
}

result<switchover_request> DecodeSwitchover(std::string_view body) {
  const auto parsed = ParseJson(body);
  if (!parsed) {
    return parsed.error();
  }
  switchover_request decoded;
  for (const auto& [name, value] : parsed->items()) {
    std::string* const out = name == "group"    ? &decoded.group
                             : name == "member" ? &decoded.target
                                                : nullptr;
    if (out == nullptr) {
      return Invalid("the body has no field " + name);
    }
    if (const status problem = ReadText(value, name, *out)) {
      return *problem;
    }
  }
  if (decoded.group.empty()) {
    return Invalid("the field group is missing");
  }
  return decoded;
}

std::optional<std::string> BearerOf(const http_request& request) {
  const auto value = HeaderOf(request, "authorization");
  if (!value || value->size() <= kBearerScheme.size() ||
      LowerCase(value->substr(0, kBearerScheme.size())) != kBearerScheme) {
    return std::nullopt;
  }
  return value->substr(kBearerScheme.size());
}

}  // namespace tarragondale::runtime
