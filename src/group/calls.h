// Calls to database members: each opens a connection of its own, runs one
// statement and closes the connection. Silence ends by the caller's limit.
#ifndef SRC_GROUP_CALLS_H_
#define SRC_GROUP_CALLS_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tarragondale/config.h"
#include "tarragondale/database.h"

namespace tarragondale::group {

enum class call_kind : uint8_t { kStatus, kFence, kPromote, kFollow };

struct call_result {
  call_kind kind = call_kind::kStatus;
  std::string group;
  std::string member;
  bool answered = false;  ///< The database answered, perhaps with an error.
  std::string sqlstate;
  std::string reason;
  std::optional<wire::member_report> report;  ///< The status row, if returned.
  std::string promised_coordinator;

  bool Succeeded() const { return answered && sqlstate.empty(); }
};

struct call_target {
  std::string group;
  std::string member;
  std::string address;
  std::string database;
};

class member_calls {
 public:
  explicit member_calls(database::connection_id first) : next_(first) {}

  void Start(time_point deadline,
             call_kind kind,
             const call_target& target,
             wire::statement statement,
             std::vector<database::command>& commands);

  /// @brief Result if the event ends a call.
  std::optional<call_result> Handle(const database::driver_event& happened,
                                    std::vector<database::command>& commands);

  /// @brief Ends calls that are past their deadline.
  std::vector<call_result> Expire(time_point now,
                                  std::vector<database::command>& commands);

  /// @brief Closes all calls without results.
  void CloseAll(std::vector<database::command>& commands);

  bool Pending(std::string_view group, std::string_view member) const;
  size_t size() const { return calls_.size(); }
  std::optional<time_point> NextDeadline() const;

 private:
  struct call {
    call_kind kind;
    call_target target;
    wire::statement statement;
    time_point deadline;
  };
  using call_map = std::map<database::connection_id, call>;

  std::optional<call_result> Fail(call_map::iterator found,
                                  const std::string& reason);
  std::optional<call_result> Finish(call_map::iterator found,
                                    const database::query_finished& done,
                                    std::vector<database::command>& commands);

  database::connection_id next_;
  call_map calls_;  ///< Open connections; an id that is absent is not ours.
};

wire::statement StatusStatement();
wire::statement FenceStatement(int64_t term, const std::string& coordinator);
wire::statement PromoteStatement(int64_t term, const std::string& coordinator);
wire::statement FollowStatement(int64_t term,
                                const std::string& coordinator,
                                const std::string& primary_address);

}  // namespace tarragondale::group

#endif  // SRC_GROUP_CALLS_H_
