// What the store's keys say: the configuration, the list of members and the
// evacuated availability zones.
#ifndef TARRAGONDALE_SRC_RUNTIME_LINE_STORE_VIEW_H_
#define TARRAGONDALE_SRC_RUNTIME_LINE_STORE_VIEW_H_

#include <functional>
#include <string>
#include <vector>

#include "src/runtime/line/evacuated_zones.h"
#include "src/runtime/line/member_listing.h"
#include "tarragondale/interactive.h"
#include "tarragondale/leadership.h"
#include "tarragondale/store/keyspace.h"

namespace tarragondale::runtime {

/// @brief Decodes keys and tells what changed. No I/O.
class store_view {
 public:
  struct handlers {
    /// A newer configuration is in force.
    std::function<void(interactive::configuration_snapshot_ptr)> configuration;
    /// Members or evacuated zones changed.
    std::function<void(const interactive::members_changed&)> members;
    /// Keys of the fleet itself.
    std::function<void(leadership::event)> fleet;
  };

  explicit store_view(handlers handlers) : handlers_(std::move(handlers)) {}

  /// @brief All keys were read at `revision`. `source` is for people.
  void Load(const std::vector<store::keyspace::item>& items,
            int64_t revision,
            std::string_view source,
            time_point now);

  void Apply(const std::vector<store::keyspace::change>& changes,
             std::string_view source,
             time_point now);

  bool loaded() const { return loaded_; }
  const interactive::configuration_snapshot_ptr& configuration_snapshot()
      const {
    return catalogue_;
  }
  const interactive::member_directory& members() const {
    return listing_.members();
  }

 private:
  void SeeConfiguration(const std::string& value, std::string_view source);
  void PublishMembers(std::string_view source);

  const handlers handlers_;
  bool loaded_ = false;
  member_listing listing_;
  evacuated_zones evacuated_;
  interactive::configuration_snapshot_ptr
      catalogue_;  ///< Its version never falls.
};

}  // namespace tarragondale::runtime

#endif  // TARRAGONDALE_SRC_RUNTIME_LINE_STORE_VIEW_H_
