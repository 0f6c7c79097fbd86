// Test harness for the session broker: simulates callers and database members
// in virtual time.
#ifndef TARRAGONDALE_SRC_INTERACTIVE_BROKER_HARNESS_H_
#define TARRAGONDALE_SRC_INTERACTIVE_BROKER_HARNESS_H_

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tarragondale/interactive.h"

namespace tarragondale::interactive {

/// @brief A session broker with one group `g` of the members `p` (primary),
/// `r1` and `r2`, and the databases `strict`, `bounded` and `own`, one for each
/// kind of freshness. Organisations `red`, `blue` and `green` have the keys
/// `key-red`, `key-blue` and `key-green`. Links open immediately unless the
/// member is unreachable; statements stay unanswered until `Answer` is called.
class broker_harness {
 public:
  explicit broker_harness(broker_options options = DefaultOptions())
      : broker_(std::move(options)) {
    configuration_.version = 1;
    AddRoute("strict", freshness::kPrimary);
    AddRoute("bounded", freshness::kBoundedStaleness);
    AddRoute("own", freshness::kReadYourWrites);
    configuration_.groups["g"] = {"g", 16, 0};
    for (const char* name : {"red", "blue", "green"}) {
      configuration_.organisations[name] = {name, 1'000, 1'000};
      configuration_.organisations_by_key[std::string("key-") + name] = name;
    }
    Configure();
    for (const char* id : {"p", "r1", "r2"}) {
      members_[id] = {id, "g", "127.0.0.1:1", "z", 2, false, id[0] == 'p', 1};
    }
    PublishMembers();
    GrantRight("p", 1);
  }

  static broker_options DefaultOptions() {
    broker_options options;
    options.availability_zone = "z";
    options.region = "r";
    options.region_of_zone = {{"z", "r"}};
    return options;
  }

  configuration_snapshot& configuration() { return configuration_; }
  void Configure() {
    Step(configuration_snapshot_changed{
        std::make_shared<const configuration_snapshot>(configuration_)});
  }

  member_directory& members() { return members_; }
  void PublishMembers() {
    Step(members_changed{std::make_shared<const member_directory>(members_)});
  }

  /// @brief Grants the primary lease for `member`, valid for `span`. An empty
  /// `member` means that the group has no primary.
  void GrantRight(const std::string& member,
                  int64_t epoch,
                  duration span = seconds(60)) {
    Step(primary_leases_changed{{{"g", {member, epoch, now_ + span, false}}}});
  }

  void Open(session_id session,
            const std::string& database,
            const std::string& key = "key-red") {
    Step(caller_opened{session, database, key});
  }

  void Send(session_id session,
            statement_kind kind,
            const std::string& text = "",
            const std::string& name = "",
            const std::string& argument = "",
            bool writes = false) {
    caller_statement statement;
    statement.id = "q" + std::to_string(++last_query_);
    statement.kind = kind;
    statement.text = text;
    statement.name = name;
    statement.argument = argument;
    statement.writes = writes;
    Step(caller_sent{session, std::move(statement)});
  }

  void Step(const event& input) { Apply(broker_.Step(now_, input)); }

  /// @brief Advances the virtual time in steps of 10 ms.
  void AdvanceTime(duration span) {
    const time_point end = now_ + span;
    while (now_ < end) {
      now_ += std::min<duration>(
          milliseconds(10), std::chrono::duration_cast<duration>(end - now_));
      Step(tick{});
    }
  }

  /// @brief Advances the virtual time without a tick.
  void Suspend(duration span) { now_ += span; }

  /// @brief The member's side of a link: the statements that the member
  /// received and the session state that they set.
  struct member_link_state {
    std::string member;
    std::string organisation;
    std::deque<member_statement> unanswered;
    std::vector<member_statement> all;
    std::map<std::string, std::string> values;
    std::set<std::string> prepared;
    bool in_transaction = false;
  };
  std::map<link_id, member_link_state>& links() { return links_; }

  /// @brief The link with the lowest ID that has an unanswered statement; 0 if
  /// there is none.
  /// @param member Only links to this member are considered; empty: all links.
  link_id PendingLink(const std::string& member = "") const {
    for (const auto& [id, each] : links_) {
      if (!each.unanswered.empty() &&
          (member.empty() || each.member == member)) {
        return id;
      }
    }
    return 0;
  }

  /// @brief Answers the oldest unanswered statement of a link.
  void Answer(link_id id,
              member_code code = member_code::kDone,
              std::vector<std::string> rows = {},
              log_position position = {1, 10}) {
    member_link_state& link_state = links_.at(id);
    const member_statement statement = link_state.unanswered.front();
    link_state.unanswered.pop_front();
    member_answer answer;
    answer.code = code;
    answer.rows = std::move(rows);
    answer.signature = "sig-" + link_state.member;
    answer.position = position;
    Run(link_state, statement, code);
    answer.state = link_state.in_transaction ? transaction_state::kOpen
                                             : transaction_state::kIdle;
    Step(link_answered{id, std::move(answer)});
  }

  /// @brief Answers statements with `kDone` until none is left unanswered.
  void AnswerAll(log_position position = {1, 10}) {
    for (link_id id = PendingLink(); id != 0; id = PendingLink()) {
      Answer(id, member_code::kDone, {}, position);
    }
  }

  void DropLink(link_id id, bool connected = true) {
    links_.erase(id);
    Step(link_lost{id, connected, "test"});
  }

  /// @brief Members that refuse new connections.
  std::set<std::string>& unreachable_members() { return unreachable_members_; }

  /// @brief Members at which new connections stay pending.
  std::set<std::string>& silent_members() { return silent_members_; }

  /// @brief Sessions that were returned to their entry VMs.
  const std::vector<session_id>& returned() const { return returned_; }

  /// @brief Returns and clears the answers that were sent to the session.
  std::vector<answer_caller> TakeAnswers(session_id session) {
    return std::exchange(answers_[session], {});
  }
  answer_caller LastAnswer(session_id session) {
    const auto all = TakeAnswers(session);
    return all.empty() ? answer_caller{.code = result_code::kInternal,
                                       .reason = "no answer"}
                       : all.back();
  }

  session_broker& broker() { return broker_; }
  time_point now() const { return now_; }
  size_t opened() const { return opened_; }

 private:
  void AddRoute(const std::string& database, freshness reads) {
    route row;
    row.name = "route-" + database;
    row.database = database;
    row.group = "g";
    row.reads = reads;
    row.statement_timeout = milliseconds(1'000);
    row.max_staleness = milliseconds(1'500);
    configuration_.routes[database] = row;
  }

  // Applies the effect of a statement to the member's side of its link. A
  // statement that failed has none.
  static void Run(member_link_state& link_state,
                  const member_statement& statement,
                  member_code code) {
    if (code != member_code::kDone) {
      return;
    }
    using step = member_statement::step;
    switch (statement.what) {
      case step::kReset:
        link_state.values.clear();
        link_state.prepared.clear();
        break;
      case step::kSet:
        link_state.values[statement.name] = statement.argument;
        break;
      case step::kPrepare:
        link_state.prepared.insert(statement.name);
        break;
      case step::kBegin:
      case step::kBeginReadOnly:
        link_state.in_transaction = true;
        break;
      case step::kCommit:
      case step::kRollback:
        link_state.in_transaction = false;
        break;
      default:
        break;
    }
  }

  void Apply(std::vector<action> actions) {
    for (action& each : actions) {
      if (auto* answer = std::get_if<answer_caller>(&each)) {
        answers_[answer->session].push_back(*answer);
      } else if (auto* back = std::get_if<return_session>(&each)) {
        returned_.push_back(back->session);
      } else if (auto* open = std::get_if<open_link>(&each)) {
        ++opened_;
        if (silent_members_.contains(open->member)) {
          continue;
        }
        if (unreachable_members_.contains(open->member)) {
          Step(link_lost{open->link, false, "down"});
          continue;
        }
        links_[open->link] = {open->member, open->organisation, {}, {}, {}, {},
                              false};
        Step(link_opened{open->link, log_position{1, 1}});
      } else if (auto* send = std::get_if<send_link>(&each)) {
        if (links_.contains(send->link)) {
          member_link_state& link_state = links_[send->link];
          for (member_statement& statement : send->statements) {
            link_state.unanswered.push_back(statement);
            link_state.all.push_back(std::move(statement));
          }
        }
      } else if (auto* close = std::get_if<close_link>(&each)) {
        links_.erase(close->link);
      }
    }
  }

  session_broker broker_;
  time_point now_ = TimeFromMs(1'000'000);
  configuration_snapshot configuration_;
  member_directory members_;
  std::map<link_id, member_link_state> links_;
  std::set<std::string> unreachable_members_;
  std::set<std::string> silent_members_;
  std::vector<session_id> returned_;
  std::map<session_id, std::vector<answer_caller>> answers_;
  size_t opened_ = 0;
  int last_query_ = 0;
};

}  // namespace tarragondale::interactive

#endif  // TARRAGONDALE_SRC_INTERACTIVE_BROKER_HARNESS_H_
