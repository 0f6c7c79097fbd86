// The list of database members, from the store or from another VM.
#ifndef TARRAGONDALE_SRC_RUNTIME_LINE_MEMBER_LISTING_H_
#define TARRAGONDALE_SRC_RUNTIME_LINE_MEMBER_LISTING_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "tarragondale/interactive.h"
#include "tarragondale/store/keyspace.h"
#include "tarragondale/wire.h"

namespace tarragondale::runtime {

/// @brief Members by id, with their entries as they lie in the store, so that a
/// VM that the store turns away can take the list from another VM. Never goes
/// back to an older revision. No I/O.
class member_listing {
 public:
  /// @brief Takes all entries as of `revision` over.
  void Load(const std::vector<store::keyspace::item>& items, int64_t revision);

  /// @brief Takes a change over; false if it is no member's, or the last
  /// complete list holds it.
  bool Apply(const store::keyspace::change& change);

  /// @brief Takes another VM's list over; false if it is not newer.
  bool Take(const wire::directory_copy& copy);

  wire::directory_copy Copy() const;

  const interactive::member_directory& members() const { return members_; }

  /// @brief All changes of members up to this revision are in the list.
  int64_t revision() const { return revision_; }

 private:
  void Set(const std::string& key, const std::string& value);

  std::map<std::string, std::string> entries_;  ///< Values by key.
  interactive::member_directory members_;       ///< Valid entries by id.
  int64_t revision_ = 0;
  /// Of the last complete list; changes up to it are repeated ones. Several
  /// changes may share a revision, so `revision_` does not tell.
  int64_t complete_revision_ = 0;
};

}  // namespace tarragondale::runtime

#endif  // TARRAGONDALE_SRC_RUNTIME_LINE_MEMBER_LISTING_H_
