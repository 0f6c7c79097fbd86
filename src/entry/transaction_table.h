// Open transactions that callers of this VM began.
#ifndef TARRAGONDALE_SRC_ENTRY_TRANSACTION_TABLE_H_
#define TARRAGONDALE_SRC_ENTRY_TRANSACTION_TABLE_H_

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/entry/access_check.h"
#include "tarragondale/entry.h"

namespace tarragondale::entry {

struct open_transaction {
  request_id id;
  uint64_t connection = 0;  ///< Caller's connection that began it.
  access_grant grant;
  std::string vm;
  std::string group;
  std::string member;
  time_point last_use;
  bool committing = false;  ///< A commit was sent and not answered.
};

/// @brief Open transactions by id and by the connection that began them.
class transaction_table {
 public:
  void Add(open_transaction transaction);
  open_transaction* Find(const request_id& id);
  void Erase(const request_id& id);
  size_t size() const { return by_id_.size(); }
  bool empty() const { return by_id_.empty(); }

  /// @brief Removes and returns the transactions of a connection.
  std::vector<open_transaction> TakeConnection(uint64_t connection);

  /// @brief Removes and returns the transactions for which `unwanted` is true.
  std::vector<open_transaction> TakeIf(
      const std::function<bool(const open_transaction&)>& unwanted);

 private:
  std::unordered_map<request_id, open_transaction> by_id_;
  std::unordered_multimap<uint64_t, request_id> by_connection_;
};

}  // namespace tarragondale::entry

#endif  // TARRAGONDALE_SRC_ENTRY_TRANSACTION_TABLE_H_
