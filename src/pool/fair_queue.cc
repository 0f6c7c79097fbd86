// Round robin between organisations.
#include "src/pool/fair_queue.h"

#include <algorithm>

namespace tarragondale::pool {

bool fair_queue::Push(const pending_ptr& item) {
  const std::string& organisation = item->request.organisation;
  const auto found = waiting_.find(organisation);
  const size_t own = found == waiting_.end() ? 0 : found->second.size();
  if (size_ >= total_ || own >= per_organisation_) {
    return false;
  }
  if (own == 0) {
    turns_.push_back(organisation);
  }
  waiting_[organisation].push_back(item);
  ++size_;
  return true;
}

pending_ptr fair_queue::Pop() {
  if (turns_.empty()) {
    return nullptr;
  }
  const std::string organisation = std::move(turns_.front());
  turns_.pop_front();
  const auto found = waiting_.find(organisation);
  pending_ptr item = std::move(found->second.front());
  found->second.pop_front();
  --size_;
  if (found->second.empty()) {
    waiting_.erase(found);
  } else {
    turns_.push_back(organisation);
  }
  return item;
}

void fair_queue::Remove(const pending_ptr& item) {
  const auto found = waiting_.find(item->request.organisation);
  if (found == waiting_.end()) {
    return;
  }
  size_ -= std::erase(found->second, item);
  if (found->second.empty()) {
    std::erase(turns_, found->first);
    waiting_.erase(found);
  }
}

std::vector<pending_ptr> fair_queue::TakeAll() {
  std::vector<pending_ptr> all;
  while (pending_ptr item = Pop()) {
    all.push_back(std::move(item));
  }
  return all;
}

size_t fair_queue::Ahead(const std::string& organisation) const {
  const auto own = waiting_.find(organisation);
  const size_t depth = own == waiting_.end() ? 0 : own->second.size();
  size_t ahead = depth;
  for (const auto& [name, items] : waiting_) {
    if (name != organisation) {
      ahead += std::min(items.size(), depth);
    }
  }
  return ahead;
}

}  // namespace tarragondale::pool
