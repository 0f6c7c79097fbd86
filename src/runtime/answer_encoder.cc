// Encodes answers to callers.
#include "src/runtime/answer_encoder.h"

#include <algorithm>
#include <charconv>

#include <nlohmann/json.hpp>

namespace tarragondale::runtime {
namespace {

// Keeps the fields of an answer in the documented order.
using json = nlohmann::ordered_json;

// PostgreSQL type OIDs whose text form is a JSON number or boolean.
constexpr uint32_t kBool = 16;
constexpr uint32_t kInt8 = 20;
constexpr uint32_t kInt2 = 21;
constexpr uint32_t kInt4 = 23;
constexpr uint32_t kFloat4 = 700;
constexpr uint32_t kFloat8 = 701;
constexpr int64_t kMsPerSecond = 1000;

template <typename T>
json NumberOrText(const std::string& text) {
  T value{};
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  // Infinity and NaN have no JSON number and stay text.
  return error == std::errc() && stop == end && value - value == 0 ? json(value)
                                                                   : json(text);
}

json EncodeValue(const wire::sql_value& value, uint32_t type) {
  if (!value) {
    return nullptr;
  }
  switch (type) {
    case kBool:
      return *value == "t";
    case kInt8:
    case kInt2:
    case kInt4:
      return NumberOrText<int64_t>(*value);
    case kFloat4:
    case kFloat8:
      return NumberOrText<double>(*value);
    default:
      return *value;
  }
}

json EncodeResult(const wire::statement_result& result) {
  json columns = json::array();
  for (const wire::column& column : result.columns) {
    columns.push_back(column.name);
  }
  json rows = json::array();
  for (const auto& row : result.rows) {
    json cells = json::array();
    for (size_t i = 0; i < row.size(); ++i) {
      const uint32_t type =
          i < result.columns.size() ? result.columns[i].type : 0;
      cells.push_back(EncodeValue(row[i], type));
    }
    rows.push_back(std::move(cells));
  }
  return {{"columns", std::move(columns)},
          {"rows", std::move(rows)},
          {"affected", result.affected}};
}

json EncodeHead(const request_id& id,
                result_code code,
                const std::string& reason) {
  const result_code_info& info = InfoOf(code);
  return {{"outcome", OutcomeName(info.result)},
          {"code", static_cast<int>(code)},
          {"name", info.name},
          {"reason", reason.empty() ? std::string(info.meaning) : reason},
          {"request_id", ToText(id)}};
}

// Text from databases need not be UTF-8; other bytes are replaced.
std::string Dump(const json& body) {
  return body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

void AddRetryAfter(http_answer& answer, result_code code, int64_t wait_ms) {
  if (InfoOf(code).retry_later) {
    const int64_t seconds =
        std::max<int64_t>(1, (wait_ms + kMsPerSecond - 1) / kMsPerSecond);
    answer.headers.emplace_back("Retry-After", std::to_string(seconds));
  }
}

}  // namespace

http_answer EncodeAnswer(const entry::answer_caller& answer) {
  http_answer encoded;
  encoded.status = InfoOf(answer.code).http_status;
  json body = EncodeHead(answer.id, answer.code, answer.reason);
  if (answer.code == result_code::kOk) {
    body["results"] = json::array();
    for (const wire::statement_result& result : answer.results) {
      body["results"].push_back(EncodeResult(result));
    }
    body["age_ms"] = answer.age_ms;
    body["served_by"] = answer.from_primary ? "primary" : "replica";
    if (answer.replayed) {
      body["replayed"] = true;
    }
    if (!answer.transaction.empty()) {
      body["transaction"] = answer.transaction;
    }
  } else if (InfoOf(answer.code).retry_later && answer.retry_after_ms > 0) {
    body["retry_after_ms"] = answer.retry_after_ms;
  }
  encoded.body = Dump(body);
  encoded.headers.emplace_back("Tarragondale-Request-Id", ToText(answer.id));
  if (!answer.session.empty()) {
    encoded.headers.emplace_back("Tarragondale-Session", answer.session);
  }
  AddRetryAfter(encoded, answer.code, answer.retry_after_ms);
  return encoded;
}

http_answer EncodeRefusal(const request_id& id, const failure& reason) {
  entry::answer_caller answer;
  answer.id = id;
  answer.code = reason.code;
  answer.reason = reason.reason;
  return EncodeAnswer(answer);
}

}  // namespace tarragondale::runtime
