// The availability zones that operators evacuate.
#ifndef TARRAGONDALE_SRC_RUNTIME_LINE_EVACUATED_ZONES_H_
#define TARRAGONDALE_SRC_RUNTIME_LINE_EVACUATED_ZONES_H_

#include <string_view>
#include <vector>

#include "tarragondale/interactive.h"
#include "tarragondale/store/keyspace.h"

namespace tarragondale::runtime {

/// @brief Evacuated zones, decoded from the operators' keys in the store. No
/// I/O but log lines.
class evacuated_zones {
 public:
  /// @brief Takes all keys over.
  void Load(const std::vector<store::keyspace::item>& items);

  /// @brief Takes a change over; false if it changes no evacuation.
  bool Apply(const store::keyspace::change& change);

  /// @brief Sets `member_record::evacuated` of each member.
  void Mark(interactive::member_directory& members) const;

  /// @brief Logs starts and ends since the last call, with the members of the
  /// zones. `source` is for people.
  void LogChanges(const interactive::member_directory& members,
                  std::string_view source);

  const interactive::zone_set& zones() const { return zones_; }

 private:
  interactive::zone_set zones_;
  interactive::zone_set logged_;
};

}  // namespace tarragondale::runtime

#endif  // TARRAGONDALE_SRC_RUNTIME_LINE_EVACUATED_ZONES_H_
