// Loads and changes of the evacuated zones.
#include "src/runtime/line/evacuated_zones.h"

#include <algorithm>
#include <optional>

#include "platform/platform.h"
#include "src/runtime/line/log_output.h"

namespace tarragondale::runtime {
namespace {

// The zone that a key evacuates; empty: the key evacuates none.
std::optional<std::string_view> ZoneOf(std::string_view key) {
  if (!key.starts_with(platform::kEvacuationPrefix) ||
      key.size() == platform::kEvacuationPrefix.size()) {
    return std::nullopt;
  }
  return key.substr(platform::kEvacuationPrefix.size());
}

auto CountMembers(const interactive::member_directory& members,
                  std::string_view zone) {
  return std::count_if(members.begin(), members.end(), [&](const auto& each) {
    return each.second.availability_zone == zone;
  });
}

}  // namespace

void evacuated_zones::Load(const std::vector<store::keyspace::item>& items) {
  zones_.clear();
  for (const store::keyspace::item& item : items) {
    if (const auto zone = ZoneOf(item.key)) {
      zones_.emplace(*zone);
    }
  }
}

bool evacuated_zones::Apply(const store::keyspace::change& change) {
  const auto zone = ZoneOf(change.now.key);
  if (!zone) {
    return false;
  }
  return change.removed ? zones_.erase(std::string(*zone)) > 0
                        : zones_.emplace(*zone).second;
}

void evacuated_zones::Mark(interactive::member_directory& members) const {
  if (zones_.empty()) {
    return;
  }
  for (auto& [id, record] : members) {
    record.evacuated = zones_.contains(record.availability_zone);
  }
}

void evacuated_zones::LogChanges(const interactive::member_directory& members,
                                 std::string_view source) {
  if (zones_ == logged_) {
    return;
  }
  for (const std::string& zone : zones_) {
    if (logged_.contains(zone)) {
      continue;
    }
    const auto count = CountMembers(members, zone);
    Log(log_level::kWarning, log_part::kStore,
        "zone {:?} is to be evacuated, from {}; members: {}{}.", zone, source,
        count, count == 0 ? "; no member has this zone" : "");
  }
  for (const std::string& zone : logged_) {
    if (!zones_.contains(zone)) {
      Log(log_level::kWarning, log_part::kStore,
          "zone {:?} is no longer to be evacuated, from {}; members: {}.", zone,
          source, CountMembers(members, zone));
    }
  }
  logged_ = zones_;
}

}  // namespace tarragondale::runtime
