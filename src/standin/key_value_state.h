// State of the key-value service: revisions, leases and the history of events.
#ifndef SRC_STANDIN_KEY_VALUE_STATE_H_
#define SRC_STANDIN_KEY_VALUE_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "tarragondale/base.h"

namespace tarragondale::standin {

struct key_value {
  std::string key;
  std::string value;
  int64_t create_revision = 0;
  int64_t mod_revision = 0;
  int64_t version = 0;
  int64_t lease = 0;
};

/// @brief A change of one key. A deletion holds only key and revision.
struct key_event {
  bool deleted = false;
  key_value kv;
};

/// @brief Keys from `begin` up to but excluding `end`. An empty `end` means
/// the single key `begin`; an `end` of one zero byte means no upper bound.
struct key_range {
  std::string begin;
  std::string end;

  bool Contains(const std::string& key) const;
};

/// @brief The store's data. A change applies at `revision() + 1`; the caller
/// makes any number of changes and then calls `Commit`.
class key_value_state {
 public:
  using key_map = std::map<std::string, key_value>;

  int64_t revision() const { return revision_; }
  int64_t compacted() const { return compacted_; }
  const std::vector<key_event>& history() const { return history_; }

  std::vector<key_value> Range(const key_range& range) const;
  /// @brief State of the range at an earlier, not compacted revision.
  std::vector<key_value> RangeAt(const key_range& range,
                                 int64_t revision) const;

  /// @brief Sets a key; returns its earlier state.
  std::optional<key_value> Put(const std::string& key,
                               const std::string& value,
                               int64_t lease);
  /// @brief Deletes keys; returns their earlier states.
  std::vector<key_value> Delete(const key_range& range);
  /// @brief Ends a request: the revision grows by one if anything changed.
  void Commit();

  /// @brief Forgets the history before `revision`.
  void Compact(int64_t revision);

  bool HasLease(int64_t id) const { return leases_.contains(id); }
  /// @brief Id 0 chooses an id. Empty if the id exists.
  std::optional<int64_t> GrantLease(int64_t id, seconds ttl, time_point now);
  /// @brief Renews a lease; its time to live, or empty if there is none.
  std::optional<seconds> KeepLease(int64_t id, time_point now);
  /// @brief Deletes a lease and its keys and commits. False if there is none.
  bool RevokeLease(int64_t id);
  /// @brief Revokes all leases that are over. Returns their number.
  int ExpireLeases(time_point now);
  /// @brief When the next lease ends; `time_point::max()` if there is none.
  time_point NextExpiry() const;

 private:
  struct lease {
    seconds ttl{0};
    time_point expiry;
    std::set<std::string> keys;
  };

  void Detach(const key_value& kv);

  key_map keys_;
  key_map base_;  ///< State before `compacted_`.
  std::vector<key_event> history_;
  std::map<int64_t, lease> leases_;
  int64_t revision_ = 1;
  int64_t compacted_ = 0;
  int64_t next_lease_ = 7587000000000000001;
  bool changed_ = false;
};

}  // namespace tarragondale::standin

#endif  // SRC_STANDIN_KEY_VALUE_STATE_H_
