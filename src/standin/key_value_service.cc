// Translates JSON requests to operations on the state. As in the gateway of
// etcd, fields with default values are left out of answers, 64-bit integers
// are strings, and the type of a PUT event is left out because it is 0.
#include "src/standin/key_value_service.h"

#include <algorithm>
#include <charconv>
#include <set>

namespace tarragondale::standin {
namespace {

using json = nlohmann::json;

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
// gRPC status codes in error answers.
constexpr int kInvalidArgument = 3;
constexpr int kNotFoundCode = 5;
constexpr int kOutOfRange = 11;
// Limits of etcd: --max-txn-ops and --max-request-bytes.
constexpr size_t kMaxOperations = 128;
constexpr size_t kMaxRequestBytes = 1536U << 10;

struct request_error {
  int status = kBadRequest;
  int code = kInvalidArgument;
  std::string message;
};

[[noreturn]] void Fail(const std::string& message,
                       int status = kBadRequest,
                       int code = kInvalidArgument) {
  throw request_error{status, code, message};
}

[[noreturn]] void FailLeaseNotFound() {
  Fail("etcdserver: requested lease not found", kNotFound, kNotFoundCode);
}

std::string Bytes(const json& body, const char* name) {
  const auto found = body.find(name);
  if (found == body.end()) {
    return {};
  }
  if (!found->is_string()) {
    Fail(std::string(name) + " is not a string");
  }
  const auto decoded = Base64Decode(found->get<std::string>());
  if (!decoded) {
    Fail(std::string(name) + " is not base64");
  }
  return *decoded;
}

int64_t Integer(const json& body, const char* name) {
  const auto found = body.find(name);
  if (found == body.end()) {
    return 0;
  }
  if (found->is_number_integer()) {
    return found->get<int64_t>();
  }
  const std::string text = found->is_string() ? found->get<std::string>() : "";
  int64_t value = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || stop != end || text.empty()) {
    Fail(std::string(name) + " is not an integer");
  }
  return value;
}

bool Flag(const json& body, const char* name) {
  const auto found = body.find(name);
  if (found != body.end() && !found->is_boolean()) {
    Fail(std::string(name) + " is not a boolean");
  }
  return found != body.end() && found->get<bool>();
}

// Number of an enumeration that is given by name or number.
int Enumerator(const json& body,
               const char* name,
               const std::vector<std::string>& names) {
  const auto found = body.find(name);
  if (found == body.end()) {
    return 0;
  }
  if (found->is_number_integer()) {
    return found->get<int>();
  }
  const auto value =
      std::find(names.begin(), names.end(),
                found->is_string() ? found->get<std::string>() : "");
  if (value == names.end()) {
    Fail(std::string(name) + " is unknown");
  }
  return static_cast<int>(value - names.begin());
}

const json& Member(const json& body, const char* name) {
  static const json empty = json::object();
  const auto found = body.find(name);
  if (found == body.end()) {
    return empty;
  }
  if (!found->is_object()) {
    Fail(std::string(name) + " is not an object");
  }
  return *found;
}

const json& List(const json& body, const char* name) {
  static const json empty = json::array();
  const auto found = body.find(name);
  if (found == body.end()) {
    return empty;
  }
  if (!found->is_array()) {
    Fail(std::string(name) + " is not an array");
  }
  for (const json& item : *found) {
    if (!item.is_object()) {
      Fail(std::string(name) + " holds an item that is not an object");
    }
  }
  return *found;
}

key_range RangeOf(const json& body) {
  key_range range{Bytes(body, "key"), Bytes(body, "range_end")};
  if (range.begin.empty()) {
    Fail("etcdserver: key is not provided");
  }
  return range;
}

void AddInteger(json& target, const char* name, int64_t value) {
  if (value != 0) {
    target[name] = std::to_string(value);
  }
}

json ToJson(const key_value& kv) {
  json value = {{"key", Base64Encode(kv.key)}};
  AddInteger(value, "create_revision", kv.create_revision);
  AddInteger(value, "mod_revision", kv.mod_revision);
  AddInteger(value, "version", kv.version);
  AddInteger(value, "lease", kv.lease);
  if (!kv.value.empty()) {
    value["value"] = Base64Encode(kv.value);
  }
  return value;
}

template <typename Value>
bool Holds(const Value& have, int relation, const Value& want) {
  switch (relation) {
    case 0:
      return have == want;
    case 1:
      return have > want;
    case 2:
      return have < want;
    default:
      return have != want;
  }
}

bool Compare(const key_value_state& state, const json& compare) {
  const int relation =
      Enumerator(compare, "result", {"EQUAL", "GREATER", "LESS", "NOT_EQUAL"});
  const int target = Enumerator(compare, "target",
                                {"VERSION", "CREATE", "MOD", "VALUE", "LEASE"});
  const key_range range = RangeOf(compare);
  std::vector<key_value> found = state.Range(range);
  if (found.empty()) {
    if (target == 3) {
      return false;  // As in etcd: a missing key has no value to compare.
    }
    found.emplace_back();
  }
  return std::all_of(found.begin(), found.end(), [&](const key_value& kv) {
    switch (target) {
      case 0:
        return Holds(kv.version, relation, Integer(compare, "version"));
      case 1:
        return Holds(kv.create_revision, relation,
                     Integer(compare, "create_revision"));
      case 2:
        return Holds(kv.mod_revision, relation,
                     Integer(compare, "mod_revision"));
      case 3:
        return Holds(kv.value, relation, Bytes(compare, "value"));
      default:
        return Holds(kv.lease, relation, Integer(compare, "lease"));
    }
  });
}

}  // namespace

key_value_service::key_value_service(reactor& loop, const std::string& host)
    : loop_(loop),
      changed_(loop),
      leases_changed_(loop),
      http_(loop, host, [this](const http_request& request) {
        return Handle(request);
      }) {
  http_.Stream(
      "/v3/watch",
      [this](const http_request& request, chunk_writer& writer,
             const bool& closed) { return Watch(request, writer, closed); },
      [this] { changed_.NotifyAll(); });
}

void key_value_service::Open(uint16_t port) {
  listener().Open(port);
  loop_.Spawn(ExpireLeases());
}

http_answer key_value_service::Handle(const http_request& request) {
  try {
    if (request.method != "POST") {
      Fail("Method Not Allowed", 405, 12);
    }
    if (request.body.size() > kMaxRequestBytes) {
      Fail("etcdserver: request is too large");
    }
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
      Fail("body is not a JSON object");
    }
    return {200, Dispatch(request.path, body).dump()};
  } catch (const request_error& error) {
    const json body = {{"error", error.message},
                       {"message", error.message},
                       {"code", error.code}};
    return {error.status,
            body.dump(-1, ' ', false, json::error_handler_t::replace)};
  }
}

json key_value_service::Dispatch(const std::string& path, const json& body) {
  if (path == "/v3/kv/range") {
    return Range(body);
  }
  if (path == "/v3/kv/put") {
    return Finish(Put(body));
  }
  if (path == "/v3/kv/deleterange") {
    return Finish(DeleteRange(body));
  }
  if (path == "/v3/kv/txn") {
    return Finish(Transaction(body));
  }
  if (path == "/v3/kv/compaction") {
    return Compact(body);
  }
  if (path == "/v3/lease/grant") {
    return GrantLease(body);
  }
  if (path == "/v3/lease/keepalive") {
    return KeepLease(body);
  }
  if (path == "/v3/lease/revoke" || path == "/v3/kv/lease/revoke") {
    return RevokeLease(body);
  }
  Fail("Not Found", kNotFound, kNotFoundCode);
}

json key_value_service::Header() const {
  return {{"cluster_id", "1"},
          {"member_id", "1"},
          {"revision", std::to_string(state_.revision())},
          {"raft_term", "1"}};
}

json key_value_service::Finish(json answer) {
  const int64_t before = state_.revision();
  state_.Commit();
  answer["header"] = Header();
  if (answer.contains("responses")) {
    for (json& response : answer["responses"]) {
      response.front()["header"] = {
          {"revision", std::to_string(state_.revision())}};
    }
  }
  if (state_.revision() != before) {
    changed_.NotifyAll();
  }
  return answer;
}

json key_value_service::Range(const json& body) const {
  const key_range range = RangeOf(body);
  const int64_t revision = Integer(body, "revision");
  if (revision > state_.revision()) {
    Fail("etcdserver: mvcc: required revision is a future revision",
         kBadRequest, kOutOfRange);
  }
  if (revision > 0 && revision < state_.compacted()) {
    Fail("etcdserver: mvcc: required revision has been compacted", kBadRequest,
         kOutOfRange);
  }
  std::vector<key_value> found =
      revision > 0 ? state_.RangeAt(range, revision) : state_.Range(range);
  json answer = {{"header", Header()}};
  AddInteger(answer, "count", static_cast<int64_t>(found.size()));
  if (Flag(body, "count_only")) {
    return answer;
  }
  const auto limit =
      static_cast<size_t>(std::max<int64_t>(0, Integer(body, "limit")));
  if (limit > 0 && found.size() > limit) {
    found.resize(limit);
    answer["more"] = true;
  }
  for (key_value& kv : found) {
    if (Flag(body, "keys_only")) {
      kv.value.clear();
    }
    answer["kvs"].push_back(ToJson(kv));
  }
  return answer;
}

json key_value_service::Put(const json& body) {
  const std::string key = Bytes(body, "key");
  if (key.empty()) {
    Fail("etcdserver: key is not provided");
  }
  const std::string value = Bytes(body, "value");
  const int64_t lease = Integer(body, "lease");
  const bool want_previous = Flag(body, "prev_kv");
  if (lease != 0 && !state_.HasLease(lease)) {
    FailLeaseNotFound();
  }
  const auto previous = state_.Put(key, value, lease);
  json answer = json::object();
  if (want_previous && previous) {
    answer["prev_kv"] = ToJson(*previous);
  }
  return answer;
}

json key_value_service::DeleteRange(const json& body) {
  const key_range range = RangeOf(body);
  const bool want_previous = Flag(body, "prev_kv");
  const std::vector<key_value> previous = state_.Delete(range);
  json answer = json::object();
  AddInteger(answer, "deleted", static_cast<int64_t>(previous.size()));
  for (const key_value& kv : previous) {
    if (want_previous) {
      answer["prev_kvs"].push_back(ToJson(kv));
    }
  }
  return answer;
}

// Checks everything that can fail before any operation takes effect, since a
// transaction has no partial effects.
void key_value_service::CheckTransaction(const json& operations) const {
  if (operations.size() > kMaxOperations) {
    Fail("etcdserver: too many operations in txn request");
  }
  std::set<std::string> put_keys;
  for (const json& operation : operations) {
    if (operation.contains("request_put")) {
      const json& put = Member(operation, "request_put");
      const std::string key = Bytes(put, "key");
      const int64_t lease = Integer(put, "lease");
      Bytes(put, "value");
      Flag(put, "prev_kv");
      if (key.empty()) {
        Fail("etcdserver: key is not provided");
      }
      if (!put_keys.insert(key).second) {
        Fail("etcdserver: duplicate key given in txn request");
      }
      if (lease != 0 && !state_.HasLease(lease)) {
        FailLeaseNotFound();
      }
    } else if (operation.contains("request_delete_range")) {
      const json& part = Member(operation, "request_delete_range");
      RangeOf(part);
      Flag(part, "prev_kv");
    } else if (operation.contains("request_range")) {
      Range(Member(operation, "request_range"));
    } else {
      Fail("operation of the transaction is not supported");
    }
  }
}

json key_value_service::Transaction(const json& body) {
  const json& compare = List(body, "compare");
  if (compare.size() > kMaxOperations) {
    Fail("etcdserver: too many operations in txn request");
  }
  CheckTransaction(List(body, "success"));
  CheckTransaction(List(body, "failure"));
  bool succeeded = true;
  for (const json& item : compare) {
    succeeded = Compare(state_, item) && succeeded;
  }
  json answer = json::object();
  if (succeeded) {
    answer["succeeded"] = true;
  }
  for (const json& operation : List(body, succeeded ? "success" : "failure")) {
    answer["responses"].push_back(Operation(operation));
  }
  return answer;
}

json key_value_service::Operation(const json& operation) {
  if (operation.contains("request_put")) {
    return {{"response_put", Put(Member(operation, "request_put"))}};
  }
  if (operation.contains("request_delete_range")) {
    return {{"response_delete_range",
             DeleteRange(Member(operation, "request_delete_range"))}};
  }
  return {{"response_range", Range(Member(operation, "request_range"))}};
}

json key_value_service::Compact(const json& body) {
  const int64_t revision = Integer(body, "revision");
  if (revision > state_.revision()) {
    Fail("etcdserver: mvcc: required revision is a future revision",
         kBadRequest, kOutOfRange);
  }
  state_.Compact(revision);
  return {{"header", Header()}};
}

json key_value_service::GrantLease(const json& body) {
  // Nine thousand million seconds is the limit of etcd.
  constexpr int64_t kMaxTtl = 9000000000;
  const int64_t ttl = Integer(body, "TTL");
  if (ttl > kMaxTtl) {
    Fail("etcdserver: too large lease TTL", kBadRequest, kOutOfRange);
  }
  const auto id =
      state_.GrantLease(Integer(body, "ID"), seconds(std::max<int64_t>(ttl, 1)),
                        std::chrono::steady_clock::now());
  if (!id) {
    Fail("etcdserver: lease already exists", kBadRequest, 9);
  }
  leases_changed_.NotifyAll();
  return {{"header", Header()},
          {"ID", std::to_string(*id)},
          {"TTL", std::to_string(std::max<int64_t>(ttl, 1))}};
}

json key_value_service::KeepLease(const json& body) {
  const int64_t id = Integer(body, "ID");
  const auto ttl = state_.KeepLease(id, std::chrono::steady_clock::now());
  json result = {{"header", Header()}, {"ID", std::to_string(id)}};
  if (ttl) {
    result["TTL"] = std::to_string(ttl->count());
  }
  return {{"result", result}};
}

json key_value_service::RevokeLease(const json& body) {
  if (!state_.RevokeLease(Integer(body, "ID"))) {
    FailLeaseNotFound();
  }
  changed_.NotifyAll();
  return {{"header", Header()}};
}

task<void> key_value_service::ExpireLeases() {
  while (true) {
    co_await leases_changed_.WaitUntil(state_.NextExpiry());
    if (state_.ExpireLeases(std::chrono::steady_clock::now()) > 0) {
      changed_.NotifyAll();
    }
  }
}

// The events of one revision stay together in one answer.
json key_value_service::WatchEvents(const key_range& range,
                                    int64_t& next) const {
  const std::vector<key_event>& history = state_.history();
  auto event = std::lower_bound(history.begin(), history.end(), next,
                                [](const key_event& item, int64_t revision) {
                                  return item.kv.mod_revision < revision;
                                });
  json events = json::array();
  for (; event != history.end(); ++event) {
    if (range.Contains(event->kv.key)) {
      json item = {{"kv", ToJson(event->kv)}};
      if (event->deleted) {
        item["type"] = "DELETE";
      }
      events.push_back(std::move(item));
    }
  }
  next = state_.revision() + 1;
  return events;
}

task<void> key_value_service::Watch(const http_request& request,
                                    chunk_writer& writer,
                                    const bool& closed) {
  key_range range;
  int64_t next = 0;
  std::string problem;
  try {
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
      Fail("body is not a JSON object");
    }
    const json& create = Member(body, "create_request");
    range = RangeOf(create);
    next = Integer(create, "start_revision");
  } catch (const request_error& error) {
    problem = error.message;
  }
  co_await writer.Begin();
  if (!problem.empty()) {
    const json error = {{"error",
                         {{"grpc_code", kInvalidArgument},
                          {"http_code", kBadRequest},
                          {"message", problem}}}};
    co_await writer.Write(error.dump() + "\n");
    co_return;
  }
  if (next <= 0) {
    next = state_.revision() + 1;
  }
  json created = {{"result", {{"header", Header()}, {"created", true}}}};
  co_await writer.Write(created.dump() + "\n");
  while (!closed) {
    if (next < state_.compacted()) {
      const json canceled = {
          {"result",
           {{"header", Header()},
            {"canceled", true},
            {"compact_revision", std::to_string(state_.compacted())}}}};
      co_await writer.Write(canceled.dump() + "\n");
      co_return;
    }
    json events = json::array();
    if (next <= state_.revision()) {
      events = WatchEvents(range, next);
    }
    if (events.empty()) {
      co_await changed_.Wait();
      continue;
    }
    const json answer = {
        {"result", {{"header", Header()}, {"events", std::move(events)}}}};
    co_await writer.Write(answer.dump() + "\n");
  }
}

}  // namespace tarragondale::standin
