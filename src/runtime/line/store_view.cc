// Decoding of the store's keys.
#include "src/runtime/line/store_view.h"

#include <memory>
#include <utility>

#include "platform/platform.h"
#include "src/runtime/line/log_output.h"

namespace tarragondale::runtime {

void store_view::Load(const std::vector<store::keyspace::item>& items,
                      int64_t revision,
                      std::string_view source,
                      time_point now) {
  loaded_ = true;
  listing_.Load(items, now);
  evacuated_.Load(items);
  leadership::items_loaded fleet;
  fleet.revision = revision;
  for (const store::keyspace::item& item : items) {
    if (item.key.starts_with(leadership::kKeyPrefix)) {
      fleet.items.push_back(item);
    } else if (item.key == platform::kConfigurationKey) {
      SeeConfiguration(item.value, source);
    }
  }
  PublishMembers(source);
  handlers_.fleet(std::move(fleet));
}

void store_view::Apply(const std::vector<store::keyspace::change>& changes,
                       std::string_view source,
                       time_point now) {
  bool members_changed = false;
  for (const store::keyspace::change& change : changes) {
    if (change.now.key.starts_with(leadership::kKeyPrefix)) {
      handlers_.fleet(leadership::item_seen{change.now, change.removed});
      continue;
    }
    if (!change.removed && change.now.key == platform::kConfigurationKey) {
      SeeConfiguration(change.now.value, source);
    }
    members_changed = listing_.Apply(change, now) || evacuated_.Apply(change) ||
                      members_changed;
  }
  if (members_changed) {
    PublishMembers(source);
  }
}

void store_view::PublishMembers(std::string_view source) {
  auto members =
      std::make_shared<interactive::member_directory>(listing_.members());
  evacuated_.Mark(*members);
  evacuated_.LogChanges(*members, source);
  handlers_.members({std::move(members), evacuated_.zones()});
}

// An older version is never applied, wherever it comes from.
void store_view::SeeConfiguration(const std::string& value,
                                  std::string_view source) {
  auto decoded = platform::DecodeConfiguration(value);
  if (!decoded) {
    Log(log_level::kError, log_part::kConfig,
        "a configuration from {} is not applied: {}.", source,
        decoded.error().reason);
    return;
  }
  if (catalogue_ && decoded->version <= catalogue_->version) {
    if (decoded->version < catalogue_->version) {
      Log(log_level::kWarning, log_part::kConfig,
          "configuration {} from {} is not applied: {} is in force.",
          decoded->version, source, catalogue_->version);
    }
    return;
  }
  catalogue_ = std::make_shared<const interactive::configuration_snapshot>(
      std::move(*decoded));
  Log(log_level::kInfo, log_part::kConfig,
      "configuration {} from {} is in force: {} routes, {} groups, {} "
      "organisations.",
      catalogue_->version, source, catalogue_->routes.size(),
      catalogue_->groups.size(), catalogue_->organisations.size());
  handlers_.configuration(catalogue_);
}

}  // namespace tarragondale::runtime
