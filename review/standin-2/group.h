// Stand-in of a service: a primary and replicas that speak the wire protocol,
// run statements, replicate commits and send heartbeats.
#ifndef TARRAGONDALE_REVIEW_STANDIN_2_GROUP_H_
#define TARRAGONDALE_REVIEW_STANDIN_2_GROUP_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "review/standin-2/record.h"
#include "review/standin-2/service.h"
#include "review/standin-2/store.h"

namespace tarragondale::review {

/// @brief How long a read, write or commit takes at a member.
using work_time = std::function<milliseconds()>;

class group {
 public:
  /// @param zones One member runs in each; the first one is primary.
  group(std::string name,
        const std::vector<std::string>& zones,
        store& registry,
        record& log,
        work_time work);
  ~group();
  group(const group&) = delete;
  group& operator=(const group&) = delete;

  const std::string& name() const { return name_; }
  /// @brief The primary is gone for good before the start: it never runs and
  /// has no entry. The replicas hold all that it had.
  void LosePrimary();
  /// @brief Starts the members and their heartbeats.
  void Start();
  /// @brief Stores an item at all members, as a commit of long ago.
  void Load(const std::string& item, const std::string& data);
  void Promote(const std::string& id);
  /// @brief Whether a member has run the statement with this id.
  bool HasRun(const std::string& id);

 private:
  class member;
  friend class member;

  void Commit(const std::vector<std::pair<std::string, std::string>>& writes);
  std::string Position() const;

  const std::string name_;
  store& registry_;
  record& log_;
  const work_time work_;
  std::vector<std::unique_ptr<member>> members_;
  // Guards what follows. Replicas see commits at once.
  std::mutex mutex_;
  std::string primary_;
  int64_t term_ = 1;
  int64_t number_ = 10;
  std::map<std::string, std::string> data_;
  std::map<std::string, std::string> ran_;  ///< Member, by statement id.
};

}  // namespace tarragondale::review

#endif  // TARRAGONDALE_REVIEW_STANDIN_2_GROUP_H_
