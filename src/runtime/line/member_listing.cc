// Loads and changes of the list of members.
#include "src/runtime/line/member_listing.h"

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

void member_listing::Load(const std::vector<store::keyspace::item>& items) {
  members_.clear();
  for (const store::keyspace::item& item : items) {
    if (IsMember(item.key)) {
      Set(item.key, item.value);
    }
  }
}

bool member_listing::Apply(const store::keyspace::change& change) {
  if (!IsMember(change.now.key)) {
    return false;
  }
  if (change.removed) {
    members_.erase(IdOf(change.now.key));
  } else {
    Set(change.now.key, change.now.value);
  }
  return true;
}

void member_listing::Set(const std::string& key, const std::string& value) {
  auto record = platform::DecodeMember(key, value);
  if (record) {
    interactive::member_record& known = members_[record->id];
    // A member that leaves doesn't come back but by a new start. An entry that
    // says so is older: the store was restored from a copy.
    const bool leaving =
        known.draining && known.started_ms == record->started_ms;
    known = std::move(*record);
    known.draining = known.draining || leaving;
  } else {
    members_.erase(IdOf(key));
    Log(log_level::kWarning, log_part::kStore, "{}; it names no member.",
        record.error().reason);
  }
}

}  // namespace tarragondale::runtime
