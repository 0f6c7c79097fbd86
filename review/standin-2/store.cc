// Stand-ins of the platform.
#include "review/standin-2/store.h"

#include <algorithm>
#include <array>

namespace tarragondale::review {

using nlohmann::json;

namespace {

std::string Base64(const std::string& bytes) {
  constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t at = 0; at < bytes.size(); at += 3) {
    std::array<uint32_t, 3> in{};
    const size_t count = std::min<size_t>(3, bytes.size() - at);
    for (size_t i = 0; i < count; ++i) {
      in[i] = static_cast<unsigned char>(bytes[at + i]);
    }
    const uint32_t all = (in[0] << 16U) | (in[1] << 8U) | in[2];
    for (size_t i = 0; i < 4; ++i) {
      text += i <= count ? kDigits[(all >> (18 - 6 * i)) & 63U] : '=';
    }
  }
  return text;
}

int64_t IdOf(const std::string& path) {
  return std::stoll(path.substr(path.rfind('/') + 1));
}

}  // namespace

void store::Put(const std::string& key, const json& value) {
  const std::lock_guard lock(mutex_);
  Write(key, Base64(value.dump()), 0);
}

http_service::answer store::Handle(const request& call) {
  std::unique_lock lock(mutex_);
  EndLeases();
  const auto is = [&](const char* name) {
    return call.path.find(name) != std::string::npos;
  };
  if (is("/kv-range")) {
    return Range(call);
  }
  if (is("/kv-watch")) {
    return Watch(call, lock);
  }
  if (is("/kv-key")) {
    return Key(call);
  }
  if (is("/kv-txn")) {
    return Transact(json::parse(call.body));
  }
  if (is("/kv-keep/")) {
    return Keep(IdOf(call.path));
  }
  if (is("/kv-lease-end/")) {
    return End(IdOf(call.path));
  }
  if (is("/kv-lease")) {
    return Grant(json::parse(call.body));
  }
  return {404, json::object()};
}

http_service::answer store::Key(const request& call) {
  const auto found = items_.find(Parameter(call.query, "key"));
  if (found == items_.end()) {
    return {404, {{"asOf", revision_}}};
  }
  json body = found->second;
  body["asOf"] = revision_;
  return {200, body};
}

http_service::answer store::Range(const request& call) {
  constexpr size_t kPage = 500;
  const std::string prefix = Parameter(call.query, "prefix");
  const std::string after = Parameter(call.query, "after");
  json items = json::array();
  bool more = false;
  for (const auto& [key, item] : items_) {
    if (key.starts_with(prefix) && (after.empty() || key > after)) {
      more = items.size() == kPage;
      if (more) {
        break;
      }
      items.push_back(item);
    }
  }
  return {200, {{"items", items}, {"hasMore", more}, {"asOf", revision_}}};
}

http_service::answer store::Watch(const request& call,
                                  std::unique_lock<std::mutex>& lock) {
  const std::string prefix = Parameter(call.query, "prefix");
  const int64_t after = std::stoll(Parameter(call.query, "after"));
  const auto end = std::chrono::steady_clock::now() +
                   milliseconds(std::stoll(Parameter(call.query, "waitMs")));
  json events = json::array();
  while (true) {
    for (const json& each : events_) {
      if (each["rev"].get<int64_t>() > after &&
          each["key"].get<std::string>().starts_with(prefix)) {
        events.push_back(each);
      }
    }
    if (!events.empty() || std::chrono::steady_clock::now() >= end) {
      return {200, {{"events", events}, {"asOf", revision_}}};
    }
    changed_.wait_until(lock, end);
  }
}

http_service::answer store::Transact(const json& body) {
  json present = json::array();
  bool holds = true;
  for (const json& each : body["expected"]) {
    const auto found = items_.find(each["key"].get<std::string>());
    const bool exists = found != items_.end();
    const int64_t revision =
        exists ? found->second["rev"].get<int64_t>() : int64_t{0};
    holds = holds && revision == each["rev"].get<int64_t>();
    if (exists) {
      present.push_back(found->second);
    }
  }
  if (!holds) {
    return {412, {{"items", present}}};
  }
  for (const json& each : body["writes"]) {
    const int64_t id = each.value("lease", int64_t{0});
    if (id != 0 && !leases_.contains(id)) {
      return {404, json::object()};
    }
  }
  for (const json& each : body["writes"]) {
    Write(each["key"].get<std::string>(), each["value"].get<std::string>(),
          each.value("lease", int64_t{0}));
  }
  for (const json& key : body["remove"]) {
    Erase(key.get<std::string>());
  }
  return {200, {{"rev", revision_}}};
}

http_service::answer store::Grant(const json& body) {
  const milliseconds lifetime(body["ttlMs"].get<int64_t>());
  leases_[++last_lease_] = {std::chrono::steady_clock::now() + lifetime,
                            lifetime};
  return {200, {{"lease", last_lease_}, {"ttlMs", lifetime.count()}}};
}

http_service::answer store::Keep(int64_t id) {
  const auto found = leases_.find(id);
  if (found == leases_.end()) {
    return {404, json::object()};
  }
  found->second.end = std::chrono::steady_clock::now() + found->second.lifetime;
  return {200, {{"ttlMs", found->second.lifetime.count()}}};
}

http_service::answer store::End(int64_t id) {
  leases_.erase(id);
  EndLeases();
  return {200, json::object()};
}

void store::Write(const std::string& key,
                  const std::string& base64,
                  int64_t id) {
  ++revision_;
  const auto found = items_.find(key);
  const json created =
      found == items_.end() ? json(revision_) : found->second["created"];
  items_[key] = {{"key", key},
                 {"value", base64},
                 {"rev", revision_},
                 {"created", created},
                 {"lease", id}};
  events_.push_back(items_[key]);
  changed_.notify_all();
}

void store::Erase(const std::string& key) {
  if (items_.erase(key) == 0) {
    return;
  }
  ++revision_;
  events_.push_back({{"key", key}, {"rev", revision_}, {"removed", true}});
  changed_.notify_all();
}

// Removes ended leases and their keys.
void store::EndLeases() {
  const auto now = std::chrono::steady_clock::now();
  std::erase_if(leases_,
                [&](const auto& each) { return each.second.end <= now; });
  std::vector<std::string> ended;
  for (const auto& [key, item] : items_) {
    const int64_t id = item["lease"].get<int64_t>();
    if (id != 0 && !leases_.contains(id)) {
      ended.push_back(key);
    }
  }
  for (const std::string& key : ended) {
    Erase(key);
  }
}

http_service::answer promotions::Handle(const request& call) {
  const json body = json::parse(call.body);
  on_call_(body["service"].get<std::string>(), body["id"].get<std::string>());
  return {};
}

}  // namespace tarragondale::review
