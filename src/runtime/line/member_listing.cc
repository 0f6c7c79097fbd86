// Loads, changes and copies of the list of members.
#include "src/runtime/line/member_listing.h"

#include <algorithm>

#include "platform/platform.h"
#include "src/runtime/line/log_output.h"

namespace tarragondale::runtime {
namespace {

bool IsMember(std::string_view key) {
  return key.starts_with(platform::kMemberPrefix);
}

std::string IdOf(std::string_view key) {
  return std::string(key.substr(platform::kMemberPrefix.size()));
}

}  // namespace

void member_listing::Load(const std::vector<store::keyspace::item>& items,
                          int64_t revision) {
  entries_.clear();
  members_.clear();
  for (const store::keyspace::item& item : items) {
    if (IsMember(item.key)) {
      Set(item.key, item.value);
    }
  }
  revision_ = revision;
  complete_revision_ = revision;
}

bool member_listing::Apply(const store::keyspace::change& change) {
  if (!IsMember(change.now.key) || change.now.revision <= complete_revision_) {
    return false;
  }
  revision_ = std::max(revision_, change.now.revision);
  if (change.removed) {
    entries_.erase(change.now.key);
    members_.erase(IdOf(change.now.key));
  } else {
    Set(change.now.key, change.now.value);
  }
  return true;
}

bool member_listing::Take(const wire::directory_copy& copy) {
  if (copy.revision <= revision_) {
    return false;
  }
  std::vector<store::keyspace::item> items;
  for (const wire::directory_entry& entry : copy.entries) {
    items.push_back({.key = entry.key, .value = entry.value});
  }
  Load(items, copy.revision);
  return true;
}

wire::directory_copy member_listing::Copy() const {
  wire::directory_copy copy{revision_, {}};
  for (const auto& [key, value] : entries_) {
    copy.entries.push_back({key, value});
  }
  return copy;
}

void member_listing::Set(const std::string& key, const std::string& value) {
  entries_[key] = value;
  auto record = platform::DecodeMember(key, value);
  if (record) {
    members_[record->id] = std::move(*record);
  } else {
    members_.erase(IdOf(key));
    Log(log_level::kWarning, log_part::kStore, "{}; it names no member.",
        record.error().reason);
  }
}

}  // namespace tarragondale::runtime
