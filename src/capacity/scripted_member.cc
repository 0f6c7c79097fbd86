// Scripted answers of a database member.
#include "src/capacity/scripted_member.h"

#include <string>

namespace tarragondale::capacity {
namespace {

constexpr duration kAnswerTime = duration(500);
constexpr uint32_t kTextType = 25;
constexpr char kTerm[] = "12";

wire::statement_result Row(const std::vector<std::string>& names,
                           std::vector<wire::sql_value> values) {
  wire::statement_result result;
  for (const std::string& name : names) {
    result.columns.push_back({name, kTextType});
  }
  result.rows.push_back(std::move(values));
  result.affected = 1;
  return result;
}

}  // namespace

void scripted_member::Take(time_point now, const database::command& command) {
  const time_point at = now + kAnswerTime;
  if (const auto* open = std::get_if<database::open_connection>(&command)) {
    queue_.push_back({at, database::connection_opened{open->connection}});
  } else if (const auto* query = std::get_if<database::send_query>(&command)) {
    queue_.push_back({at, Answer(*query)});
  }
}

std::optional<time_point> scripted_member::NextTime() const {
  if (queue_.empty()) {
    return std::nullopt;
  }
  return queue_.front().at;
}

database::driver_event scripted_member::Next() {
  database::driver_event event = std::move(queue_.front().event);
  queue_.pop_front();
  return event;
}

database::query_finished scripted_member::Answer(
    const database::send_query& query) {
  database::query_finished answer;
  answer.connection = query.connection;
  answer.query = query.query;
  const std::string& sql = query.statement.sql;
  const std::string position = std::to_string(position_);
  if (sql.find("tarragondale_status()") != std::string::npos) {
    answer.result =
        Row({"member", "role", "term", "promised_term", "promised_coordinator",
             "last_term", "position", "term_start", "age_ms"},
            {"m1", "primary", kTerm, kTerm, "c", kTerm, position, "1", "0"});
  } else if (sql.find("tarragondale_replication()") != std::string::npos) {
    const std::vector<std::string> names = {"member", "term", "promised_term",
                                            "position"};
    answer.result = Row(names, {"m1", kTerm, kTerm, position});
    for (const char* member : {"m2", "m3"}) {
      answer.result.rows.push_back({member, kTerm, kTerm, position});
    }
  } else if (sql.find("tarragondale_commit_position()") != std::string::npos) {
    answer.result = Row({"term", "position"}, {kTerm, position});
  } else if (sql.starts_with("SELECT")) {
    answer.result = Row({"item"}, {"disc"});
  } else if (sql.starts_with("COMMIT")) {
    ++position_;
  }
  return answer;
}

}  // namespace tarragondale::capacity
