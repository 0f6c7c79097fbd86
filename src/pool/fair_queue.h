// Queue with one FIFO per organisation, served round robin, so that the load
// of one organisation does not delay another.
#ifndef TARRAGONDALE_SRC_POOL_FAIR_QUEUE_H_
#define TARRAGONDALE_SRC_POOL_FAIR_QUEUE_H_

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "src/pool/pending_request.h"

namespace tarragondale::pool {

class fair_queue {
 public:
  fair_queue(size_t per_organisation, size_t total)
      : per_organisation_(per_organisation), total_(total) {}

  /// @brief Adds a request; false if the organisation or the queue is full.
  bool Push(const pending_ptr& item);

  /// @brief Takes the next request; null if the queue is empty.
  pending_ptr Pop();

  /// @brief Removes a request that was answered while it waited.
  void Remove(const pending_ptr& item);

  /// @brief Removes and returns all requests.
  std::vector<pending_ptr> TakeAll();

  /// @brief Lower bound of requests that run before a new request of this
  /// organisation.
  size_t Ahead(const std::string& organisation) const;

  size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }

 private:
  size_t per_organisation_;
  size_t total_;
  size_t size_ = 0;
  // Only organisations with waiting requests have an entry here and exactly
  // one place in `turns_`.
  std::map<std::string, std::deque<pending_ptr>> waiting_;
  std::deque<std::string> turns_;
};

}  // namespace tarragondale::pool

#endif  // TARRAGONDALE_SRC_POOL_FAIR_QUEUE_H_
