// The list of database members.
#ifndef TARRAGONDALE_SRC_RUNTIME_LINE_MEMBER_LISTING_H_
#define TARRAGONDALE_SRC_RUNTIME_LINE_MEMBER_LISTING_H_

#include <string>
#include <vector>

#include "tarragondale/interactive.h"
#include "tarragondale/store/keyspace.h"

namespace tarragondale::runtime {

/// @brief Members by id, decoded from their entries in the store. No I/O.
class member_listing {
 public:
  /// @brief Takes all entries over.
  void Load(const std::vector<store::keyspace::item>& items);

  /// @brief Takes a change over; false if it is no member's.
  bool Apply(const store::keyspace::change& change);

  const interactive::member_directory& members() const { return members_; }

 private:
  void Set(const std::string& key, const std::string& value);

  interactive::member_directory members_;  ///< Valid entries by id.
};

}  // namespace tarragondale::runtime

#endif  // TARRAGONDALE_SRC_RUNTIME_LINE_MEMBER_LISTING_H_
