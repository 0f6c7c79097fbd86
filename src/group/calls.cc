// Calls to database members over connections of their own.
#include "src/group/calls.h"

#include <utility>

namespace tarragondale::group {
namespace {

template <typename... Visitors>
struct overloaded : Visitors... {
  using Visitors::operator()...;
};
template <typename... Visitors>
overloaded(Visitors...) -> overloaded<Visitors...>;

// The report type has no column for the promised coordinator.
std::string TextColumn(const wire::statement_result& rows,
                       std::string_view name) {
  for (size_t i = 0; i < rows.columns.size(); ++i) {
    if (rows.columns[i].name == name && rows.rows.size() == 1 &&
        i < rows.rows[0].size()) {
      return rows.rows[0][i].value_or("");
    }
  }
  return {};
}

}  // namespace

void member_calls::Start(time_point deadline,
                         call_kind kind,
                         const call_target& target,
                         wire::statement statement,
                         std::vector<database::command>& commands) {
  const database::connection_id connection = next_++;
  commands.emplace_back(
      database::open_connection{connection, target.address, target.database});
  calls_.emplace(connection,
                 call{kind, target, std::move(statement), deadline});
}

std::optional<call_result> member_calls::Handle(
    const database::driver_event& happened,
    std::vector<database::command>& commands) {
  const auto connection =
      std::visit([](const auto& value) { return value.connection; }, happened);
  const auto found = calls_.find(connection);
  if (found == calls_.end()) {
    return std::nullopt;
  }
  return std::visit(
      overloaded{[&](const database::connection_opened&) {
                   commands.emplace_back(database::send_query{
                       connection, connection, found->second.statement});
                   return std::optional<call_result>();
                 },
                 [&](const database::connection_lost& lost) {
                   return Fail(found, lost.reason);
                 },
                 [&](const database::query_finished& done) {
                   return Finish(found, done, commands);
                 }},
      happened);
}

std::optional<call_result> member_calls::Fail(call_map::iterator found,
                                              const std::string& reason) {
  call_result failed;
  failed.kind = found->second.kind;
  failed.group = found->second.target.group;
  failed.member = found->second.target.member;
  failed.reason = reason;
  calls_.erase(found);
  return failed;
}

std::optional<call_result> member_calls::Finish(
    call_map::iterator found,
    const database::query_finished& done,
    std::vector<database::command>& commands) {
  commands.emplace_back(database::close_connection{found->first});
  std::optional<call_result> ended = Fail(found, done.message);
  ended->answered = true;
  ended->sqlstate = done.sqlstate;
  if (ended->sqlstate.empty()) {
    const result<wire::member_report> row = database::ParseStatus(done.result);
    // A row of another member means that the address is wrong.
    if (row && row->member == ended->member) {
      ended->report = *row;
      ended->promised_coordinator =
          TextColumn(done.result, "promised_coordinator");
    } else if (ended->kind == call_kind::kStatus ||
               ended->kind == call_kind::kFence) {
      ended->answered = false;
      ended->reason = row ? "status of another member" : row.error().reason;
    }
  }
  return ended;
}

std::vector<call_result> member_calls::Expire(
    time_point now,
    std::vector<database::command>& commands) {
  std::vector<call_result> ended;
  for (auto found = calls_.begin(); found != calls_.end();) {
    const auto current = found++;
    if (current->second.deadline <= now) {
      commands.emplace_back(database::close_connection{current->first});
      ended.push_back(*Fail(current, "no answer within the limit"));
    }
  }
  return ended;
}

void member_calls::CloseAll(std::vector<database::command>& commands) {
  for (const auto& [connection, open] : calls_) {
    commands.emplace_back(database::close_connection{connection});
  }
  calls_.clear();
}

bool member_calls::Pending(std::string_view group,
                           std::string_view member) const {
  for (const auto& [connection, open] : calls_) {
    if (open.target.group == group && open.target.member == member) {
      return true;
    }
  }
  return false;
}

std::optional<time_point> member_calls::NextDeadline() const {
  std::optional<time_point> first;
  for (const auto& [connection, open] : calls_) {
    if (!first || open.deadline < *first) {
      first = open.deadline;
    }
  }
  return first;
}

wire::statement StatusStatement() {
  return {"SELECT * FROM tarragondale_status()", {}};
}

wire::statement FenceStatement(int64_t term, const std::string& coordinator) {
  return {"SELECT * FROM tarragondale_fence($1, $2)",
          {std::to_string(term), coordinator}};
}

wire::statement PromoteStatement(int64_t term, const std::string& coordinator) {
  return {"SELECT * FROM tarragondale_promote($1, $2)",
          {std::to_string(term), coordinator}};
}

wire::statement FollowStatement(int64_t term,
                                const std::string& coordinator,
                                const std::string& primary_address) {
  return {"SELECT * FROM tarragondale_follow($1, $2, $3)",
          {std::to_string(term), coordinator, primary_address}};
}

}  // namespace tarragondale::group
