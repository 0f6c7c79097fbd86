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

void member_listing::Load(const std::vector<store::keyspace::item>& items,
                          time_point now) {
  members_.clear();
  for (const store::keyspace::item& item : items) {
    if (IsMember(item.key)) {
      Set(item, now);
    }
  }
}

bool member_listing::Apply(const store::keyspace::change& change,
                           time_point now) {
  if (!IsMember(change.now.key)) {
    return false;
  }
  if (change.removed) {
    members_.erase(IdOf(change.now.key));
    return true;
  }
  return Set(change.now, now);
}

// Returns false if only the countdown of the cold time changed.
bool member_listing::Set(const store::keyspace::item& item, time_point now) {
  auto record = platform::DecodeMember(item.key, item.value);
  if (record) {
    cold_.Take(*record, item.revision, now);
    interactive::member_record& known = members_[record->id];
    // A member that leaves doesn't come back but by a new start. An entry that
    // says so is older: the store was restored from a copy.
    const bool leaving =
        known.draining && known.started_ms == record->started_ms;
    record->draining = record->draining || leaving;
    const bool counts_down = IsSameButColdLeft(known, *record);
    known = std::move(*record);
    return !counts_down;
  }
  members_.erase(IdOf(item.key));
  Log(log_level::kWarning, log_part::kStore, "{}; it names no member.",
      record.error().reason);
  return true;
}

}  // namespace tarragondale::runtime
