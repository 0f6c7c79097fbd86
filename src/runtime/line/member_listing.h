// The list of database members.
#ifndef TARRAGONDALE_SRC_RUNTIME_LINE_MEMBER_LISTING_H_
#define TARRAGONDALE_SRC_RUNTIME_LINE_MEMBER_LISTING_H_

#include <string>
#include <vector>

#include "src/runtime/line/cold_reports.h"
#include "tarragondale/interactive.h"
#include "tarragondale/store/keyspace.h"

namespace tarragondale::runtime {

/// @brief Members by id, decoded from their entries in the store. No I/O.
class member_listing {
 public:
  /// @brief Takes all entries over.
  void Load(const std::vector<store::keyspace::item>& items, time_point now);

  /// @brief Takes a change over; false if it is no member's, or if a member
  /// only counts its cold time down.
  bool Apply(const store::keyspace::change& change, time_point now);

  const interactive::member_directory& members() const { return members_; }

 private:
  bool Set(const store::keyspace::item& item, time_point now);

  interactive::member_directory members_;  ///< Valid entries by id.
  cold_reports cold_;
};

}  // namespace tarragondale::runtime

#endif  // TARRAGONDALE_SRC_RUNTIME_LINE_MEMBER_LISTING_H_
