// Open transactions that callers of this VM began.
#include "src/entry/transaction_table.h"

namespace tarragondale::entry {

void transaction_table::Add(open_transaction transaction) {
  const request_id id = transaction.id;
  by_connection_.emplace(transaction.connection, id);
  by_id_.emplace(id, std::move(transaction));
}

open_transaction* transaction_table::Find(const request_id& id) {
  const auto found = by_id_.find(id);
  return found == by_id_.end() ? nullptr : &found->second;
}

void transaction_table::Erase(const request_id& id) {
  const auto found = by_id_.find(id);
  if (found == by_id_.end()) {
    return;
  }
  auto [entry, end] = by_connection_.equal_range(found->second.connection);
  while (entry != end) {
    entry =
        entry->second == id ? by_connection_.erase(entry) : std::next(entry);
  }
  by_id_.erase(found);
}

std::vector<open_transaction> transaction_table::TakeConnection(
    uint64_t connection) {
  std::vector<open_transaction> taken;
  const auto [first, end] = by_connection_.equal_range(connection);
  for (auto entry = first; entry != end; ++entry) {
    const auto found = by_id_.find(entry->second);
    taken.push_back(std::move(found->second));
    by_id_.erase(found);
  }
  by_connection_.erase(first, end);
  return taken;
}

std::vector<open_transaction> transaction_table::TakeIf(
    const std::function<bool(const open_transaction&)>& unwanted) {
  std::vector<open_transaction> taken;
  for (const auto& [id, transaction] : by_id_) {
    if (unwanted(transaction)) {
      taken.push_back(transaction);
    }
  }
  for (const open_transaction& transaction : taken) {
    Erase(transaction.id);
  }
  return taken;
}

}  // namespace tarragondale::entry
