// Implements revisions, leases and history.
#include "src/standin/key_value_state.h"

#include <algorithm>
#include <string_view>

namespace tarragondale::standin {
namespace {

constexpr std::string_view kNoUpperBound("\0", 1);

std::vector<key_value> Select(const key_value_state::key_map& keys,
                              const key_range& range) {
  std::vector<key_value> found;
  for (auto it = keys.lower_bound(range.begin); it != keys.end(); ++it) {
    if (!range.Contains(it->first)) {
      break;
    }
    found.push_back(it->second);
  }
  return found;
}

void Apply(key_value_state::key_map& keys, const key_event& event) {
  if (event.deleted) {
    keys.erase(event.kv.key);
  } else {
    keys[event.kv.key] = event.kv;
  }
}

}  // namespace

bool key_range::Contains(const std::string& key) const {
  if (end.empty()) {
    return key == begin;
  }
  return key >= begin && (end == kNoUpperBound || key < end);
}

std::vector<key_value> key_value_state::Range(const key_range& range) const {
  return Select(keys_, range);
}

std::vector<key_value> key_value_state::RangeAt(const key_range& range,
                                                int64_t revision) const {
  key_map keys = base_;
  for (const key_event& event : history_) {
    if (event.kv.mod_revision > revision) {
      break;
    }
    Apply(keys, event);
  }
  return Select(keys, range);
}

std::optional<key_value> key_value_state::Put(const std::string& key,
                                              const std::string& value,
                                              int64_t lease) {
  const int64_t revision = revision_ + 1;
  std::optional<key_value> previous;
  key_value& kv = keys_[key];
  if (kv.version > 0) {
    previous = kv;
    Detach(kv);
  } else {
    kv.key = key;
    kv.create_revision = revision;
  }
  kv.value = value;
  kv.mod_revision = revision;
  ++kv.version;
  kv.lease = lease;
  if (lease != 0) {
    leases_[lease].keys.insert(key);
  }
  history_.push_back({false, kv});
  changed_ = true;
  return previous;
}

std::vector<key_value> key_value_state::Delete(const key_range& range) {
  std::vector<key_value> previous = Range(range);
  for (const key_value& kv : previous) {
    Detach(kv);
    keys_.erase(kv.key);
    key_event event;
    event.deleted = true;
    event.kv.key = kv.key;
    event.kv.mod_revision = revision_ + 1;
    history_.push_back(std::move(event));
    changed_ = true;
  }
  return previous;
}

void key_value_state::Commit() {
  revision_ += changed_ ? 1 : 0;
  changed_ = false;
}

void key_value_state::Compact(int64_t revision) {
  auto end = history_.begin();
  while (end != history_.end() && end->kv.mod_revision < revision) {
    Apply(base_, *end);
    ++end;
  }
  history_.erase(history_.begin(), end);
  compacted_ = std::max(compacted_, revision);
}

void key_value_state::Detach(const key_value& kv) {
  const auto found = leases_.find(kv.lease);
  if (found != leases_.end()) {
    found->second.keys.erase(kv.key);
  }
}

std::optional<int64_t> key_value_state::GrantLease(int64_t id,
                                                   seconds ttl,
                                                   time_point now) {
  if (id == 0) {
    id = next_lease_++;
  }
  if (HasLease(id)) {
    return std::nullopt;
  }
  leases_[id] = {ttl, now + ttl, {}};
  return id;
}

std::optional<seconds> key_value_state::KeepLease(int64_t id, time_point now) {
  const auto found = leases_.find(id);
  if (found == leases_.end()) {
    return std::nullopt;
  }
  found->second.expiry = now + found->second.ttl;
  return found->second.ttl;
}

bool key_value_state::RevokeLease(int64_t id) {
  const auto found = leases_.find(id);
  if (found == leases_.end()) {
    return false;
  }
  const std::set<std::string> keys = found->second.keys;
  leases_.erase(found);
  for (const std::string& key : keys) {
    Delete({key, ""});
  }
  Commit();
  return true;
}

int key_value_state::ExpireLeases(time_point now) {
  std::vector<int64_t> over;
  for (const auto& [id, lease] : leases_) {
    if (lease.expiry <= now) {
      over.push_back(id);
    }
  }
  for (const int64_t id : over) {
    RevokeLease(id);
  }
  return static_cast<int>(over.size());
}

time_point key_value_state::NextExpiry() const {
  time_point next = time_point::max();
  for (const auto& [id, lease] : leases_) {
    next = std::min(next, lease.expiry);
  }
  return next;
}

}  // namespace tarragondale::standin
