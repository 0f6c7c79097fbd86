// Replays a primary that is cut off from most VMs, with real session brokers in
// virtual time. Without returned sessions, callers wait at hosts that don't
// reach the primary.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tarragondale/hosting.h"

namespace tarragondale::hosting {
namespace {

using interactive::freshness;
using interactive::link_id;
using interactive::session_id;
using interactive::statement_kind;

constexpr duration kMessageDelay = milliseconds(2);
constexpr duration kMemberDelay = milliseconds(10);
constexpr milliseconds kTimeout{3'000};
constexpr milliseconds kGoal{250};

// Entry VM `vm-0` with callers, and hosts that run their sessions at the group
// `g` with the primary `p` and the replica `r`. Hosts hear nothing of each
// other, so one that does not reach the primary knows no log positions.
class cut_fleet {
 public:
  /// @param returns Whether hosts may return sessions.
  explicit cut_fleet(bool returns) : returns_(returns), entry_("vm-0", 1, {}) {
    std::vector<relay::vm> fleet;
    for (int i = 0; i < 40; ++i) {
      const std::string region = i % 2 == 0 ? "north" : "south";
      fleet.push_back({fmt::format("vm-{}", i), region + "-a", region, 512});
    }
    entry_.SetFleet(fleet);
    auto catalogue = std::make_shared<interactive::configuration_snapshot>();
    catalogue->version = 1;
    AddRoute(*catalogue, "strict", freshness::kPrimary);
    AddRoute(*catalogue, "bounded", freshness::kBoundedStaleness);
    catalogue->groups["g"] = {"g", 70, 0};
    for (const char* name : {"red", "blue", "green", "gold"}) {
      catalogue->organisations[name] = {name, 0, 0};
      catalogue->organisations_by_key[name] = name;
    }
    entry_.SetCatalogue(catalogue);
    auto members = std::make_shared<interactive::member_directory>();
    (*members)["p"] = {"p", "g", "127.0.0.1:1", "north-a", 4, false, true, 1};
    (*members)["r"] = {"r", "g", "127.0.0.1:2", "south-a", 4, false, false, 1};
    for (const relay::vm& each : fleet) {
      host& added = hosts_.try_emplace(each.name, each).first->second;
      added.sessions.SetOpen(true);
      Step(added, interactive::configuration_snapshot_changed{catalogue});
      Step(added, interactive::members_changed{members, {}});
      Step(added, interactive::primary_leases_changed{
                      {{"g", {"p", 1, now_ + seconds(60), false}}}});
      Step(added, interactive::fleet_changed{40, {}, 4, {}});
    }
  }

  /// Cuts the primary off from the preferred hosts and one fallback host of the
  /// entry VM's region.
  void CutPrimary() {
    const auto hosts = entry_.plan().HostsOf("g", "red");
    for (size_t i = 0; i <= host_plan::kHosts; ++i) {
      hosts_.at(hosts[i]).cut = true;
    }
  }
  void CutPrimaryEverywhere() {
    for (auto& [name, each] : hosts_) {
      each.cut = true;
    }
  }
  void HealPrimary() {
    for (auto& [name, each] : hosts_) {
      each.cut = false;
    }
  }

  /// Each 20 ms, a caller opens a session and sends one statement: writes and
  /// reads in turn.
  void Run(duration span) {
    for (const time_point end = now_ + span; now_ < end;) {
      now_ += milliseconds(2);
      if (now_ >= next_caller_) {
        next_caller_ = now_ + milliseconds(20);
        StartCaller();
      }
      RunDue();
      entry_.OnTick(now_);
      Collect();
      for (auto& [name, each] : hosts_) {
        const auto due = each.broker.NextDeadline();
        if (due && now_ >= *due) {
          Step(each, interactive::tick{});
        }
      }
    }
  }

  struct outcomes {
    int in_time = 0;
    int late = 0;
    int refused = 0;
    int unanswered = 0;
  };
  /// Of the statements that arrived within `span` before now.
  outcomes Count(duration span) const {
    outcomes counted;
    for (const auto& [id, each] : callers_) {
      if (each.sent < now_ - span) {
        continue;
      }
      if (!each.answered) {
        ++counted.unanswered;
      } else if (each.code != result_code::kOk) {
        ++counted.refused;
      } else {
        ++(*each.answered - each.sent <= kGoal ? counted.in_time
                                               : counted.late);
      }
    }
    return counted;
  }
  /// Largest number of hosts that one session was attached to.
  int most_attachments() const {
    int most = 0;
    for (const auto& [id, count] : attachments_) {
      most = std::max(most, count);
    }
    return most;
  }

 private:
  struct host {
    explicit host(const relay::vm& of)
        : name(of.name), sessions(of.name), broker(Options(of)) {}

    static interactive::broker_options Options(const relay::vm& of) {
      interactive::broker_options options;
      options.availability_zone = of.availability_zone;
      options.region = of.region;
      options.region_of_zone = {{"north-a", "north"}, {"south-a", "south"}};
      return options;
    }

    std::string name;
    session_host sessions;
    interactive::session_broker broker;
    bool cut = false;                      ///< From the primary.
    std::map<link_id, std::string> links;  ///< Members.
  };
  struct caller {
    time_point sent;
    std::optional<time_point> answered;
    result_code code = result_code::kOk;
  };

  static void AddRoute(interactive::configuration_snapshot& to,
                       const std::string& database,
                       freshness reads) {
    interactive::route& added = to.routes[database];
    added.name = database;
    added.database = database;
    added.group = "g";
    added.reads = reads;
    added.statement_timeout = kTimeout;
    added.latency_goal = kGoal;
    added.max_staleness = milliseconds(1'500);
  }

  void Schedule(duration after, std::function<void()> task) {
    due_.emplace(now_ + after, std::move(task));
  }
  void RunDue() {
    for (auto next = due_.begin(); next != due_.end() && next->first <= now_;
         next = due_.begin()) {
      const auto task = std::move(next->second);
      due_.erase(next);
      task();
    }
  }

  void StartCaller() {
    const session_id id = ++last_caller_;
    const bool writes = id % 2 == 0;
    const std::vector<std::string> keys = {"red", "blue", "green", "gold"};
    callers_[id].sent = now_;
    EXPECT_TRUE(entry_.Open(
        now_, {id, writes ? "strict" : "bounded", keys[id / 2 % keys.size()]}));
    interactive::caller_statement statement;
    statement.id = fmt::format("s{}", id);
    statement.kind = writes ? statement_kind::kWrite : statement_kind::kRead;
    entry_.Send(now_, {id, statement});
    Collect();
  }

  void Collect() {
    for (const action& each : entry_.TakeActions()) {
      if (const auto* answer = std::get_if<interactive::answer_caller>(&each)) {
        caller& of = callers_.at(answer->session);
        of.answered = now_;
        of.code = answer->code;
      } else if (const auto* message = std::get_if<send_message>(&each)) {
        if (const auto* open = std::get_if<wire::hosted_open>(&message->body)) {
          ++attachments_[open->id.session];
        }
        Schedule(kMessageDelay,
                 [this, &to = hosts_.at(message->vm), body = message->body] {
                   for (interactive::event& event :
                        to.sessions.OnMessage(now_, "vm-0", body)) {
                     if (auto* opened =
                             std::get_if<interactive::session_hosted>(&event)) {
                       if (!returns_) {
                         opened->may_return_after = seconds(1'000);
                       }
                     }
                     Step(to, event);
                   }
                   Reply(to);
                 });
      }
    }
  }

  void Reply(host& at) {
    for (const send_message& message : at.sessions.TakeMessages()) {
      Schedule(kMessageDelay, [this, &at, body = message.body] {
        entry_.OnMessage(now_, at.name, body);
        Collect();
      });
    }
  }

  bool Reaches(const host& from, const std::string& member) const {
    return !from.cut || member != "p";
  }

  void Step(host& at, const interactive::event& input) {
    for (const interactive::action& each : at.broker.Step(now_, input)) {
      if (const auto* answer = std::get_if<interactive::answer_caller>(&each)) {
        at.sessions.OnAnswer(*answer);
      } else if (const auto* back =
                     std::get_if<interactive::return_session>(&each)) {
        at.sessions.OnReturn(now_, back->session);
      } else if (const auto* open =
                     std::get_if<interactive::open_link>(&each)) {
        OpenLink(at, *open);
      } else if (const auto* send =
                     std::get_if<interactive::send_link>(&each)) {
        SendLink(at, *send);
      } else if (const auto* close =
                     std::get_if<interactive::close_link>(&each)) {
        at.links.erase(close->link);
      }
    }
    Reply(at);
  }

  void OpenLink(host& at, const interactive::open_link& open) {
    at.links[open.link] = open.member;
    Schedule(kMemberDelay, [this, &at, id = open.link] {
      if (at.links.contains(id) && Reaches(at, at.links.at(id))) {
        Step(at, interactive::link_opened{id, Position()});
      }
    });
    if (!Reaches(at, open.member)) {
      Schedule(open.limit, [this, &at, id = open.link] {
        if (at.links.erase(id) != 0) {
          Step(at, interactive::link_lost{id, false, "no answer"});
        }
      });
    }
  }

  void SendLink(host& at, const interactive::send_link& send) {
    for (size_t i = 0; i < send.statements.size(); ++i) {
      Schedule(kMemberDelay, [this, &at, id = send.link] {
        if (at.links.contains(id) && Reaches(at, at.links.at(id))) {
          interactive::member_answer answer;
          answer.signature = "signed";
          answer.position = Position();
          answer.status =
              interactive::member_status{at.links.at(id) == "p", 1, Position()};
          Step(at, interactive::link_answered{id, answer});
        }
      });
    }
  }

  static log_position Position() { return {1, 10}; }

  const bool returns_;
  time_point now_ = TimeFromMs(1'000'000);
  time_point next_caller_ = now_;
  session_id last_caller_ = 0;
  forwarder entry_;
  std::map<std::string, host> hosts_;
  std::map<session_id, caller> callers_;
  std::map<session_id, int> attachments_;
  std::multimap<time_point, std::function<void()>> due_;
};

cut_fleet::outcomes PlayCut(bool returns) {
  cut_fleet test(returns);
  test.Run(seconds(2));
  test.CutPrimary();
  constexpr duration kCut = seconds(7);
  test.Run(kCut);
  test.HealPrimary();
  test.Run(seconds(4));
  // Those that arrived during the cut.
  const auto after = test.Count(seconds(4));
  const auto all = test.Count(seconds(4) + kCut);
  return {all.in_time - after.in_time, all.late - after.late,
          all.refused - after.refused, all.unanswered - after.unanswered};
}

// A primary is cut off from three of the eight hosts of its group for 7 s, both
// preferred hosts of the callers' region among them.
TEST(ReturnedSessionsTest, PrimaryCutOffFromItsHosts) {
  const auto former = PlayCut(false);
  const auto present = PlayCut(true);
  const auto print = [](const char* name, const cut_fleet::outcomes& each) {
    fmt::print("{}: in time {}, late {}, refused {}\n", name, each.in_time,
               each.late, each.refused);
  };
  print("former", former);
  print("present", present);
  EXPECT_EQ(present.unanswered, 0);
  const int all = present.in_time + present.late + present.refused;
  EXPECT_EQ(former.in_time + former.late + former.refused, all);
  // Until the hosts suspect the primary, statements on connections that were
  // open before wait for their answers.
  EXPECT_GE(present.in_time, all * 8 / 10);
  EXPECT_LE(former.in_time, all / 2);
  EXPECT_LT(present.refused, former.refused);
}

// A wrong or old report costs one hop at each host, never a loop.
TEST(ReturnedSessionsTest, SessionVisitsEachHostAtMostOnceBeforeItStays) {
  cut_fleet test(true);
  test.Run(seconds(1));
  test.CutPrimaryEverywhere();
  test.Run(seconds(6));
  const size_t hosts = host_plan::kHosts + host_plan::kFallbackHosts;
  EXPECT_LE(test.most_attachments(), static_cast<int>(2 * hosts + 1));
  test.HealPrimary();
  test.Run(seconds(4));
  EXPECT_EQ(test.Count(seconds(1)).refused, 0);
}

}  // namespace
}  // namespace tarragondale::hosting
