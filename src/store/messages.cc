// JSON of the key-value service: protocol buffers in their JSON mapping, in
// which bytes are base64, 64-bit numbers are strings and zeros are left out.
#include "tarragondale/store/messages.h"

#include <fmt/format.h>

#include <charconv>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace tarragondale::store {
namespace {

using nlohmann::json;

constexpr std::string_view kTargets[] = {"MOD", "CREATE", "VERSION"};
constexpr const char* kTargetFields[] = {"mod_revision", "create_revision",
                                         "version"};

// Thrown and caught in this file only.
struct bad_answer : std::runtime_error {
  using std::runtime_error::runtime_error;
};

std::string Camel(std::string_view snake) {
  std::string camel;
  bool upper = false;
  for (const char c : snake) {
    if (c == '_') {
      upper = true;
      continue;
    }
    camel.push_back(upper ? static_cast<char>(c - 'a' + 'A') : c);
    upper = false;
  }
  return camel;
}

// The field in either spelling; null if it is left out.
const json* Find(const json& object, const char* name) {
  if (!object.is_object()) {
    throw bad_answer("not an object");
  }
  auto found = object.find(name);
  if (found == object.end()) {
    found = object.find(Camel(name));
  }
  return found == object.end() || found->is_null() ? nullptr : &*found;
}

int64_t Number(const json& object, const char* name) {
  const json* const found = Find(object, name);
  if (found == nullptr) {
    return 0;
  }
  if (found->is_number_integer()) {
    return found->get<int64_t>();
  }
  int64_t value = 0;
  if (found->is_string()) {
    const auto& text = found->get_ref<const std::string&>();
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec == std::errc() && parsed.ptr == end) {
      return value;
    }
  }
  throw bad_answer(fmt::format("{} is no number", name));
}

std::string Text(const json& object, const char* name) {
  const json* const found = Find(object, name);
  if (found == nullptr) {
    return "";
  }
  if (!found->is_string()) {
    throw bad_answer(fmt::format("{} is no string", name));
  }
  return found->get<std::string>();
}

std::string Bytes(const json& object, const char* name) {
  auto bytes = Base64Decode(Text(object, name));
  if (!bytes) {
    throw bad_answer(fmt::format("{} is no base64", name));
  }
  return *std::move(bytes);
}

bool Flag(const json& object, const char* name) {
  const json* const found = Find(object, name);
  if (found == nullptr) {
    return false;
  }
  if (!found->is_boolean()) {
    throw bad_answer(fmt::format("{} is no boolean", name));
  }
  return found->get<bool>();
}

const json& List(const json& object, const char* name) {
  static const json empty = json::array();
  const json* const found = Find(object, name);
  if (found != nullptr && !found->is_array()) {
    throw bad_answer(fmt::format("{} is no list", name));
  }
  return found == nullptr ? empty : *found;
}

int64_t HeaderRevision(const json& answer) {
  const json* const header = Find(answer, "header");
  if (header == nullptr) {
    throw bad_answer("header is missing");
  }
  return Number(*header, "revision");
}

key_value ReadRow(const json& value) {
  return {Bytes(value, "key"),
          Bytes(value, "value"),
          Number(value, "create_revision"),
          Number(value, "mod_revision"),
          Number(value, "version"),
          Number(value, "lease")};
}

range_answer ReadRange(const json& value) {
  range_answer answer;
  for (const json& row : List(value, "kvs")) {
    answer.rows.push_back(ReadRow(row));
  }
  answer.more = Flag(value, "more");
  return answer;
}

template <typename Read>
auto Decode(std::string_view text, Read read)
    -> result<decltype(read(json()))> {
  try {
    return read(json::parse(text));
  } catch (const std::exception& error) {
    return failure{
        result_code::kStoreRowInvalid,
        fmt::format("the answer can't be decoded: {}", error.what())};
  }
}

json ToJson(const range_request& request) {
  json value = {{"key", Base64Encode(request.key)}};
  if (!request.range_end.empty()) {
    value["range_end"] = Base64Encode(request.range_end);
  }
  if (request.limit != 0) {
    value["limit"] = fmt::to_string(request.limit);
  }
  if (request.revision != 0) {
    value["revision"] = fmt::to_string(request.revision);
  }
  return value;
}

json ToJson(const put_request& request) {
  json value = {{"key", Base64Encode(request.key)},
                {"value", Base64Encode(request.value)}};
  if (request.lease != 0) {
    value["lease"] = fmt::to_string(request.lease);
  }
  return value;
}

json ToJson(const delete_request& request) {
  json value = {{"key", Base64Encode(request.key)}};
  if (!request.range_end.empty()) {
    value["range_end"] = Base64Encode(request.range_end);
  }
  return value;
}

json ToJson(const std::vector<operation>& operations) {
  constexpr const char* kFields[] = {"request_range", "request_put",
                                     "request_delete_range"};
  json list = json::array();
  for (const operation& each : operations) {
    list.push_back(
        {{kFields[each.index()],
          std::visit([](const auto& request) { return ToJson(request); },
                     each)}});
  }
  return list;
}

range_answer ReadOperationAnswer(const json& value) {
  const json* const range = Find(value, "response_range");
  return range == nullptr ? range_answer() : ReadRange(*range);
}

watch_event ReadEvent(const json& value) {
  const json* const row = Find(value, "kv");
  if (row == nullptr) {
    throw bad_answer("kv is missing");
  }
  const std::string type = Text(value, "type");
  if (!type.empty() && type != "PUT" && type != "DELETE") {
    throw bad_answer("type is unknown");
  }
  return {type == "DELETE", ReadRow(*row)};
}

}  // namespace

std::string PrefixEnd(std::string_view prefix) {
  std::string end(prefix);
  while (!end.empty() && end.back() == '\xFF') {
    end.pop_back();
  }
  if (end.empty()) {
    return std::string(1, '\0');  // All keys from the start of the range on.
  }
  end.back() = static_cast<char>(end.back() + 1);
  return end;
}

std::string EncodeRange(const range_request& request) {
  return ToJson(request).dump();
}

std::string EncodeTxn(const txn_request& request) {
  json compares = json::array();
  for (const compare& each : request.compares) {
    const auto target = static_cast<size_t>(each.target);
    compares.push_back({{"key", Base64Encode(each.key)},
                        {"result", "EQUAL"},
                        {"target", kTargets[target]},
                        {kTargetFields[target], fmt::to_string(each.number)}});
  }
  return json({{"compare", compares},
               {"success", ToJson(request.success)},
               {"failure", ToJson(request.failure)}})
      .dump();
}

std::string EncodeLeaseGrant(int64_t ttl_s) {
  return json({{"TTL", fmt::to_string(ttl_s)}}).dump();
}

std::string EncodeLeaseId(int64_t id) {
  return json({{"ID", fmt::to_string(id)}}).dump();
}

std::string EncodeWatch(const watch_request& request) {
  json create = {{"key", Base64Encode(request.key)}};
  if (!request.range_end.empty()) {
    create["range_end"] = Base64Encode(request.range_end);
  }
  if (request.start_revision != 0) {
    create["start_revision"] = fmt::to_string(request.start_revision);
  }
  return json({{"create_request", create}}).dump();
}

result<range_answer> DecodeRangeAnswer(std::string_view text) {
  return Decode(text, [](const json& value) {
    range_answer answer = ReadRange(value);
    answer.revision = HeaderRevision(value);
    return answer;
  });
}

result<txn_answer> DecodeTxnAnswer(std::string_view text) {
  return Decode(text, [](const json& value) {
    txn_answer answer;
    answer.revision = HeaderRevision(value);
    answer.succeeded = Flag(value, "succeeded");
    for (const json& each : List(value, "responses")) {
      answer.answers.push_back(ReadOperationAnswer(each));
    }
    return answer;
  });
}

result<lease_answer> DecodeLeaseAnswer(std::string_view text) {
  return Decode(text, [](const json& value) {
    // A keepalive is a stream, whose messages are wrapped.
    const json* const wrapped = Find(value, "result");
    const json& answer = wrapped == nullptr ? value : *wrapped;
    HeaderRevision(answer);
    return lease_answer{Number(answer, "ID"), Number(answer, "TTL")};
  });
}

result<watch_message> DecodeWatchMessage(std::string_view text) {
  return Decode(text, [](const json& value) {
    const json* const answer = Find(value, "result");
    if (answer == nullptr) {
      throw bad_answer("result is missing");
    }
    watch_message message;
    message.revision = HeaderRevision(*answer);
    message.cancelled = Flag(*answer, "canceled");
    message.compact_revision = Number(*answer, "compact_revision");
    message.reason = Text(*answer, "cancel_reason");
    for (const json& each : List(*answer, "events")) {
      message.events.push_back(ReadEvent(each));
    }
    return message;
  });
}

}  // namespace tarragondale::store
