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
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "review/standin-2/record.h"
#include "review/standin-2/service.h"
#include "review/standin-2/store.h"

namespace tarragondale::review {

/// @brief How long a read, write or commit takes at a member.
using work_time = std::function<milliseconds()>;

inline constexpr milliseconds kPromotionTime(600);
inline constexpr milliseconds kFormerPrimaryTime(1'000);

class group {
 public:
  /// @param places Ids of the members with the zones in which they run; the
  /// first one is primary.
  group(std::string name,
        const std::vector<std::pair<std::string, std::string>>& places,
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
  /// @brief Starts a further replica, which has the primary's log.
  void AddReplica(const std::string& id, const std::string& zone);
  /// @brief The member reports that it is leaving; it goes on serving.
  void Drain(const std::string& id);
  /// @brief Lets the member lead the next term after `kPromotionTime`, with
  /// what it has received. For the present primary nothing changes. A former
  /// primary goes on for `kFormerPrimaryTime`, or until it is demoted.
  void Promote(const std::string& id);
  /// @brief Whether a member has run the statement with this id.
  bool HasRun(const std::string& id);
  /// @brief Whether the write with this id was committed at a member while
  /// another one led a higher term.
  bool WasCommittedLate(const std::string& id);
  /// @brief The data of an item at the member that leads the highest term.
  std::string DataAtLeader(const std::string& item);

 private:
  class member;
  friend class member;
  using item_write = std::pair<std::string, std::string>;

  void Commit(member& at,
              const std::string& id,
              const std::vector<item_write>& writes);
  void Lead(const std::string& id);
  void Follow(member& former, const member& leader);
  member* Leader();
  member* Find(const std::string& id);

  const std::string name_;
  store& registry_;
  record& log_;
  const work_time work_;
  // Guards what follows and the members' logs.
  std::mutex mutex_;
  std::vector<std::unique_ptr<member>> members_;
  std::map<std::string, std::string> ran_;  ///< Member, by statement id.
  std::set<std::string> late_;              ///< See `WasCommittedLate`.
};

}  // namespace tarragondale::review

#endif  // TARRAGONDALE_REVIEW_STANDIN_2_GROUP_H_
