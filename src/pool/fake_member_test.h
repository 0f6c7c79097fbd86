// A database member in virtual time for the tests of the gateway: it carries
// out what the gateway sends, so that a test can check what really happened.
#ifndef TARRAGONDALE_SRC_POOL_FAKE_MEMBER_TEST_H_
#define TARRAGONDALE_SRC_POOL_FAKE_MEMBER_TEST_H_

#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "tarragondale/pool.h"

namespace tarragondale::pool {

// Statements of callers: `W <token>` writes, `R <token>` reads, `ERR` fails,
// `BIG` returns many bytes, `SLOW <ms>` takes long.
class fake_member {
 public:
  struct session {
    bool alive = true;    // The gateway may use it.
    bool silent = false;  // Executes, but does not answer.
    bool opened = false;
    bool in_transaction = false;
    bool read_only = false;
    bool aborted = false;
    bool used = false;  // Since the last DISCARD ALL.
    std::string owner;  // Token of the first statement.
    std::vector<std::string> writes;
    std::map<std::string, std::pair<std::string, std::string>> claimed;
    std::deque<database::send_query> queue;
  };

  wire::member_role role = wire::member_role::kPrimary;
  int64_t term = 3;
  int64_t promised = 3;
  int64_t position = 10;
  int64_t age_ms = 0;
  int64_t replica_position = 1'000'000;  // Position that replicas hold.
  int64_t replica_promised = 3;
  bool refuse_connections = false;
  bool unresponsive = false;  // Neither connects nor answers.
  duration statement_time = milliseconds(1);

  std::map<std::string, int> executed;  // Committed writes by token.
  std::map<std::string, std::pair<std::string, std::string>> records;
  std::map<database::connection_id, session> sessions;
  size_t most_in_flight = 0;
  size_t most_connections = 0;
  std::vector<std::string> faults;  // Violations that the member saw.
  std::vector<std::string> order;   // Statements of callers as they ran.

  static bool IsControl(const std::string& sql) {
    return sql.starts_with("SELECT * FROM tarragondale_");
  }

  size_t Connections() const {
    size_t count = 0;
    for (const auto& [id, s] : sessions) {
      count += s.alive ? 1 : 0;
    }
    return count;
  }

  void NoteInFlight() {
    size_t busy = 0;
    for (const auto& [id, s] : sessions) {
      bool works = false;
      for (const auto& query : s.queue) {
        works = works || !IsControl(query.statement.sql);
      }
      busy += s.alive && works ? 1 : 0;
    }
    most_in_flight = std::max(most_in_flight, busy);
  }

  database::query_finished Execute(const database::send_query& query) {
    database::query_finished answer;
    answer.connection = query.connection;
    answer.query = query.query;
    session& s = sessions.at(query.connection);
    const std::string& sql = query.statement.sql;
    if (sql == "SELECT * FROM tarragondale_status()") {
      answer.result = Status();
    } else if (sql == "SELECT * FROM tarragondale_replication()") {
      answer.result = Replication();
    } else if (sql == "SELECT * FROM tarragondale_commit_position()") {
      answer.result = {{{"term", 20}, {"position", 20}},
                       {{std::to_string(term), std::to_string(position)}},
                       1};
    } else {
      answer.sqlstate = Run(s, query.statement, answer.result);
      if (!answer.sqlstate.empty() && s.in_transaction) {
        s.aborted = true;
      }
    }
    return answer;
  }

 private:
  wire::statement_result Status() const {
    const auto text = [](int64_t value) { return std::to_string(value); };
    return {
        {{"member", 25},
         {"role", 25},
         {"term", 20},
         {"promised_term", 20},
         {"promised_coordinator", 25},
         {"last_term", 20},
         {"position", 20},
         {"term_start", 20},
         {"age_ms", 20}},
        {{"m1", std::string(wire::MemberRoleName(role)), text(term),
          text(promised), "c", text(term), text(position), "1", text(age_ms)}},
        1};
  }

  wire::statement_result Replication() const {
    wire::statement_result rows;
    rows.columns = {
        {"member", 25}, {"term", 20}, {"promised_term", 20}, {"position", 20}};
    for (const std::string member : {"m1", "m2", "m3"}) {
      const bool own = member == "m1";
      rows.rows.push_back(
          {member, std::to_string(term),
           std::to_string(own ? promised : replica_promised),
           std::to_string(own ? position
                              : std::min(position, replica_position))});
    }
    return rows;
  }

  void Fault(const std::string& what) { faults.push_back(what); }

  std::string Run(session& s,
                  const wire::statement& statement,
                  wire::statement_result& result) {
    const std::string& sql = statement.sql;
    if (sql.starts_with("BEGIN")) {
      if (s.in_transaction) {
        Fault("BEGIN inside a transaction");
      }
      if (s.used) {
        Fault("the connection was not reset");
      }
      s.in_transaction = true;
      s.used = true;
      s.read_only = sql == "BEGIN READ ONLY";
      s.owner.clear();
      return "";
    }
    if (sql == "ROLLBACK") {
      EndTransaction(s);
      return "";
    }
    if (sql == "DISCARD ALL") {
      if (s.in_transaction) {
        Fault("DISCARD ALL inside a transaction");
      }
      s.used = false;
      return "";
    }
    if (sql == "COMMIT") {
      return Commit(s);
    }
    if (s.aborted) {
      return "25P02";
    }
    if (sql.find("tarragondale_idempotency") != std::string::npos) {
      return RunRecord(s, statement, result);
    }
    return RunCaller(s, sql, result);
  }

  std::string Commit(session& s) {
    if (!s.aborted && !s.writes.empty() &&
        (role != wire::member_role::kPrimary || promised > term)) {
      EndTransaction(s);
      return database::kNotWritable;
    }
    if (!s.aborted) {
      for (const std::string& token : s.writes) {
        ++executed[token];
        ++position;
      }
      records.merge(s.claimed);
    }
    EndTransaction(s);
    return "";
  }

  std::string RunRecord(session& s,
                        const wire::statement& statement,
                        wire::statement_result& result) {
    if (statement.sql.starts_with("CREATE")) {
      return "";
    }
    const std::string key = *statement.params[0] + "/" + *statement.params[1];
    if (statement.sql.starts_with("INSERT")) {
      result.affected = records.contains(key) ? 0 : 1;
      if (result.affected == 1) {
        s.claimed[key] = {*statement.params[2], ""};
      }
    } else if (statement.sql.starts_with("UPDATE")) {
      s.claimed[key].second = *statement.params[2];
    } else if (records.contains(key)) {
      result.rows = {{records[key].first, records[key].second}};
    }
    return "";
  }

  std::string RunCaller(session& s,
                        const std::string& sql,
                        wire::statement_result& result) {
    order.push_back(sql);
    if (!s.in_transaction) {
      Fault("a statement outside of a transaction");
    }
    if (sql == "ERR") {
      return "42601";
    }
    if (sql == "BIG") {
      result.rows = {{std::string(10'000, 'x')}};
      return "";
    }
    const std::string token = sql.substr(sql.find(' ') + 1);
    if (s.owner.empty()) {
      s.owner = token;
    } else if (s.owner != token) {
      Fault("transactions " + s.owner + " and " + token + " mix");
    }
    if (!sql.starts_with("W ")) {
      result.rows = {{std::to_string(position)}};
      return "";
    }
    if (s.read_only) {
      return database::kReadOnlyTransaction;
    }
    if (role != wire::member_role::kPrimary) {
      return database::kNotWritable;
    }
    s.writes.push_back(token);
    result.affected = 1;
    return "";
  }

  static void EndTransaction(session& s) {
    s.in_transaction = false;
    s.aborted = false;
    s.writes.clear();
    s.claimed.clear();
  }
};

// A gateway on VM `vm-1` for member `m1` of group `g`, its fake member, and
// virtual time.
class gateway_fixture {
 public:
  explicit gateway_fixture(gateway_options options = {}, int slots = 2)
      : subject(options) {
    config::pool_row pool;
    pool.name = "p";
    pool.group = "g";
    pool.database = "d";
    pool.slots = slots;
    pool.connections = 16;
    pool.members = {{"m1", "10.0.0.1:1", "z1", "r", false},
                    {"m2", "10.0.0.2:1", "z2", "r", false},
                    {"m3", "10.0.0.3:1", "z3", "r", false}};
    configuration.pools["p"] = pool;
    for (const std::string zone : {"z1", "z2", "z3"}) {
      wire::vm_record vm;
      vm.name = "vm-" + zone.substr(1);
      vm.availability_zone = zone;
      vm.region = "r";
      vm.state = wire::vm_state::kAlive;
      view.vms.push_back(vm);
    }
    view.self = "vm-1";
    PublishView();
    PublishConfiguration();
    RunFor(milliseconds(50));
  }

  void PublishView() {
    Step(fleet_changed{std::make_shared<fleet::fleet_view>(view)});
  }
  void PublishConfiguration() {
    ++configuration.version;
    Step(configuration_changed{
        std::make_shared<config::configuration>(configuration)});
  }

  wire::execute_request Request(wire::request_kind kind,
                                std::vector<std::string> statements) {
    wire::execute_request request;
    request.id = {1, ++sequence_};
    request.organisation = "o";
    request.group = "g";
    request.member = "m1";
    request.kind = kind;
    for (std::string& sql : statements) {
      request.statements.push_back({std::move(sql), {}});
    }
    request.request_digest =
        wire::RequestDigest(request.kind, request.statements);
    request.budget_ms = 5000;
    return request;
  }
  wire::execute_request Write(const std::string& token) {
    return Request(wire::request_kind::kWrite, {"W " + token});
  }
  wire::execute_request Read() {
    return Request(wire::request_kind::kRead, {"R r"});
  }
  wire::execute_request TransactionStep(
      wire::transaction_step step,
      const request_id& transaction,
      std::vector<std::string> statements = {}) {
    auto request = Request(wire::request_kind::kWrite, std::move(statements));
    request.step = step;
    request.transaction = transaction;
    return request;
  }

  request_id Send(const wire::execute_request& request) {
    Step(request_arrived{"vm-2", request});
    return request.id;
  }
  // Runs until the request is answered.
  wire::execute_answer Ask(const wire::execute_request& request) {
    Send(request);
    const time_point limit = now + seconds(20);
    while (!answers.contains(request.id) && now < limit &&
           !testing::Test::HasFatalFailure()) {
      RunFor(milliseconds(1));
    }
    EXPECT_TRUE(answers.contains(request.id)) << "no answer";
    return answers[request.id];
  }
  result_code CodeOf(const request_id& id) {
    return answers.contains(id) ? answers[id].code : result_code::kInternal;
  }

  void Step(const event& input) {
    for (action& next : subject.Step(now, input)) {
      Apply(next);
    }
  }

  void RunFor(duration span) {
    const time_point until = now + span;
    int idle_rounds = 0;
    for (;;) {
      const auto deadline = subject.NextDeadline();
      const bool scheduled =
          !agenda_.empty() && agenda_.begin()->first <= until;
      if (scheduled && (!deadline || agenda_.begin()->first <= *deadline)) {
        now = std::max(now, agenda_.begin()->first);
        const auto task = std::move(agenda_.begin()->second);
        agenda_.erase(agenda_.begin());
        task();
        idle_rounds = 0;
      } else if (deadline && *deadline <= until) {
        idle_rounds = *deadline <= now ? idle_rounds + 1 : 0;
        ASSERT_LT(idle_rounds, 100) << "a deadline in the past never ends";
        now = std::max(now, *deadline);
        Step(tick{});
      } else {
        break;
      }
    }
    now = until;
  }

  // The database or the network ends a connection.
  void Cut(database::connection_id id, bool executes_rest) {
    auto& session = member.sessions.at(id);
    if (!session.alive) {
      return;
    }
    if (executes_rest) {
      for (const auto& query : session.queue) {
        member.Execute(query);
      }
    }
    session.alive = false;
    session.queue.clear();
    Step(database::driver_event(database::connection_lost{id, "cut"}));
  }

  fake_member member;
  std::map<request_id, wire::execute_answer> answers;
  std::vector<std::pair<std::string, wire::member_report>> reports;
  config::configuration configuration;
  fleet::fleet_view view;
  int drained_count = 0;
  int answered_twice = 0;
  bool late_events = false;
  gateway subject;
  time_point now = TimeFromMs(0);

 private:
  void At(duration delay, std::function<void()> task) {
    agenda_.emplace(now + delay, std::move(task));
  }

  void Apply(action& next) {
    if (auto* command = std::get_if<database::command>(&next)) {
      std::visit([this](const auto& value) { Carry(value); }, *command);
    } else if (auto* answer = std::get_if<send_answer>(&next)) {
      answered_twice += answers.contains(answer->answer.id) ? 1 : 0;
      answers[answer->answer.id] = answer->answer;
    } else if (auto* report = std::get_if<send_report>(&next)) {
      reports.emplace_back(report->vm, report->report.members.at(0));
    } else {
      ++drained_count;
    }
  }

  void Carry(const database::open_connection& command) {
    const auto id = command.connection;
    member.sessions[id];
    member.most_connections =
        std::max(member.most_connections, member.Connections());
    const bool refused = member.refuse_connections;
    At(milliseconds(12), [this, id, refused] {
      auto& session = member.sessions[id];
      if (member.unresponsive || (!session.alive && !late_events)) {
        return;
      }
      if (refused) {
        session.alive = false;
        Step(database::driver_event(database::connection_lost{id, "refused"}));
        return;
      }
      session.opened = true;
      Step(database::driver_event(database::connection_opened{id}));
    });
  }

  void Carry(const database::send_query& command) {
    auto& session = member.sessions.at(command.connection);
    EXPECT_TRUE(session.alive && session.opened);
    session.queue.push_back(command);
    member.NoteInFlight();
    if (session.queue.size() == 1) {
      ScheduleNext(command.connection);
    }
  }

  void ScheduleNext(database::connection_id id) {
    const std::string& sql = member.sessions[id].queue.front().statement.sql;
    duration span =
        fake_member::IsControl(sql) ? duration(200) : member.statement_time;
    if (sql.starts_with("SLOW ")) {
      span = milliseconds(std::stoi(sql.substr(5)));
    }
    At(span, [this, id] {
      auto& session = member.sessions[id];
      if ((!session.alive && !late_events) || session.queue.empty()) {
        return;
      }
      const auto answer = member.Execute(session.queue.front());
      session.queue.pop_front();
      if (!session.queue.empty()) {
        ScheduleNext(id);
      }
      if (!session.silent && !member.unresponsive) {
        Step(database::driver_event(answer));
      }
    });
  }

  void Carry(const database::close_connection& command) {
    // What was sent may still run; a transaction that is open then ends.
    member.sessions.at(command.connection).alive = false;
  }

  uint64_t sequence_ = 0;
  std::multimap<time_point, std::function<void()>> agenda_;
};

}  // namespace tarragondale::pool

#endif  // TARRAGONDALE_SRC_POOL_FAKE_MEMBER_TEST_H_
