#include "review/standin/store.h"

#include <cstdlib>
#include <utility>

namespace review {
namespace {

using nlohmann::json;

// How long the platform's store takes for an answer.
constexpr int64_t kAnswerMs = 4;
constexpr int64_t kExpiryStepMs = 20;

std::string Parameter(const http_call& call, const std::string& name) {
  const auto found = call.query.find(name);
  return found == call.query.end() ? std::string() : found->second;
}

int64_t Number(const std::string& text) {
  return std::strtoll(text.c_str(), nullptr, 10);
}

int64_t LastNumber(const std::string& path) {
  return Number(path.substr(path.rfind('/') + 1));
}

}  // namespace

store::store(const std::string& address)
    : expiry_([this] {
        while (!stopping_) {
          SleepMs(kExpiryStepMs);
          Expire();
        }
      }),
      server_(address, [this](int socket) {
        ServeHttp(socket,
                  [this](const http_call& call) { return Handle(call); });
      }) {}

store::~store() {
  stopping_ = true;
  changed_.notify_all();
  expiry_.join();
  server_.Stop();
}

void store::Put(const std::string& key, const json& value) {
  const std::lock_guard lock(mutex_);
  Write(key, value.dump(), 0);
}

void store::OnConditional(std::function<void()> notify) {
  const std::lock_guard lock(mutex_);
  on_conditional_ = std::move(notify);
}

void store::Remove(const std::string& key) {
  const std::lock_guard lock(mutex_);
  Erase(key);
}

http_answer store::Handle(const http_call& call) {
  SleepMs(kAnswerMs);
  const std::string prefix = "/tarragondale/";
  if (call.path == prefix + "kv-range") {
    return Range(call);
  }
  if (call.path == prefix + "kv-watch") {
    return Watch(call);
  }
  const json body = json::parse(call.body, nullptr, false);
  if (call.path == prefix + "kv-txn") {
    return Transact(body);
  }
  if (call.path == prefix + "kv-lease") {
    return Grant(body);
  }
  const std::lock_guard lock(mutex_);
  const int64_t id = LastNumber(call.path);
  const auto found = leases_.find(id);
  if (found == leases_.end()) {
    return {404, "{}"};
  }
  if (call.path.starts_with(prefix + "kv-keep/")) {
    found->second.until_ms = NowMs() + found->second.ttl_ms;
    return {200, json{{"ttlMs", found->second.ttl_ms}}.dump()};
  }
  if (call.path.starts_with(prefix + "kv-lease-end/")) {
    EndLease(id);
    return {200, "{}"};
  }
  return {404, "{}"};
}

http_answer store::Range(const http_call& call) {
  const std::lock_guard lock(mutex_);
  const std::string prefix = Parameter(call, "prefix");
  const std::string after = Parameter(call, "after");
  json items = json::array();
  for (const auto& [key, item] : items_) {
    if (key.starts_with(prefix) && key > after) {
      items.push_back(item);
    }
  }
  return {
      200,
      json{{"items", items}, {"hasMore", false}, {"asOf", revision_}}.dump()};
}

http_answer store::Watch(const http_call& call) {
  std::unique_lock lock(mutex_);
  const std::string prefix = Parameter(call, "prefix");
  const int64_t after = Number(Parameter(call, "after"));
  changed_.wait_for(
      lock, std::chrono::milliseconds(Number(Parameter(call, "waitMs"))),
      [&] { return stopping_ || revision_ > after; });
  json events = json::array();
  for (const event& each : events_) {
    if (each.revision > after &&
        each.body["key"].get<std::string>().starts_with(prefix)) {
      events.push_back(each.body);
    }
  }
  return {200, json{{"events", events}, {"asOf", revision_}}.dump()};
}

http_answer store::Transact(const json& body) {
  const std::lock_guard lock(mutex_);
  json present = json::array();
  bool holds = true;
  for (const json& each : body["expected"]) {
    const auto found = items_.find(each["key"].get<std::string>());
    const int64_t revision =
        found == items_.end() ? 0 : found->second["rev"].get<int64_t>();
    holds = holds && revision == each["rev"].get<int64_t>();
    if (found != items_.end()) {
      present.push_back(found->second);
    }
  }
  if (!holds) {
    return {412, json{{"items", present}}.dump()};
  }
  for (const json& each : body["writes"]) {
    const int64_t lease = each.value("lease", int64_t{0});
    if (lease != 0 && !leases_.contains(lease)) {
      return {404, "{}"};
    }
  }
  for (const json& each : body["writes"]) {
    Write(each["key"].get<std::string>(),
          Base64Decode(each["value"].get<std::string>()),
          each.value("lease", int64_t{0}));
  }
  for (const json& key : body["remove"]) {
    Erase(key.get<std::string>());
  }
  if (!body["expected"].empty() && on_conditional_) {
    on_conditional_();
  }
  return {200, json{{"rev", revision_}}.dump()};
}

http_answer store::Grant(const json& body) {
  const std::lock_guard lock(mutex_);
  const int64_t ttl = body["ttlMs"].get<int64_t>();
  leases_[++last_lease_] = {ttl, NowMs() + ttl};
  return {200, json{{"lease", last_lease_}, {"ttlMs", ttl}}.dump()};
}

void store::Write(const std::string& key,
                  const std::string& value,
                  int64_t lease) {
  ++revision_;
  const auto known = items_.find(key);
  const int64_t created = known == items_.end()
                              ? revision_
                              : known->second["created"].get<int64_t>();
  items_[key] = {{"key", key},
                 {"value", Base64Encode(value)},
                 {"rev", revision_},
                 {"created", created},
                 {"lease", lease}};
  events_.push_back({revision_, items_[key]});
  changed_.notify_all();
}

void store::Erase(const std::string& key) {
  if (items_.erase(key) == 0) {
    return;
  }
  ++revision_;
  events_.push_back(
      {revision_, json{{"key", key}, {"rev", revision_}, {"removed", true}}});
  changed_.notify_all();
}

void store::EndLease(int64_t id) {
  leases_.erase(id);
  std::vector<std::string> ended;
  for (const auto& [key, item] : items_) {
    if (item["lease"].get<int64_t>() == id) {
      ended.push_back(key);
    }
  }
  for (const std::string& key : ended) {
    Erase(key);
  }
}

void store::Expire() {
  const std::lock_guard lock(mutex_);
  std::vector<int64_t> ended;
  for (const auto& [id, each] : leases_) {
    if (NowMs() >= each.until_ms) {
      ended.push_back(id);
    }
  }
  for (const int64_t id : ended) {
    EndLease(id);
  }
}

promotions::promotions(
    const std::string& address,
    std::function<bool(const std::string&, const std::string&)> promote)
    : promote_(std::move(promote)), server_(address, [this](int socket) {
        ServeHttp(socket,
                  [this](const http_call& call) { return Handle(call); });
      }) {}

http_answer promotions::Handle(const http_call& call) {
  const json body = json::parse(call.body, nullptr, false);
  if (call.path != "/promotion" || !body.is_object()) {
    return {404, "{}"};
  }
  request made{NowMs(),
               body["service"].get<std::string>(),
               body["id"].get<std::string>(),
               call.headers.at("x-lease-holder"),
               Number(call.headers.at("x-fencing-token")),
               0};
  made.status = promote_(made.service, made.id) ? 200 : 409;
  record::Line("platform: promotion of " + made.id + " in " + made.service +
               " by " + made.holder + " with token " +
               std::to_string(made.token) + ": " + std::to_string(made.status));
  const std::lock_guard lock(mutex_);
  requests_.push_back(made);
  return {made.status, "{}"};
}

std::vector<promotions::request> promotions::Requests() {
  const std::lock_guard lock(mutex_);
  return requests_;
}

}  // namespace review
