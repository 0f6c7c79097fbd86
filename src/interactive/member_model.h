// Test model of database members and of the VMs that share them, in virtual
// time: slots, a queue, speed, slowdown with concurrency.
#ifndef TARRAGONDALE_SRC_INTERACTIVE_MEMBER_MODEL_H_
#define TARRAGONDALE_SRC_INTERACTIVE_MEMBER_MODEL_H_

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tarragondale/interactive.h"

namespace tarragondale::interactive {

/// @brief Events in virtual time.
class virtual_clock {
 public:
  time_point now() const { return now_; }
  void At(time_point when, std::function<void()> what) {
    events_.push({when, ++last_, std::move(what)});
  }
  void After(duration span, std::function<void()> what) {
    At(now_ + span, std::move(what));
  }
  void RunUntil(time_point end) {
    while (!events_.empty() && events_.top().when <= end) {
      const scheduled next = events_.top();
      events_.pop();
      now_ = std::max(now_, next.when);
      next.what();
    }
    now_ = end;
  }

 private:
  struct scheduled {
    time_point when;
    uint64_t order;
    std::function<void()> what;
    bool operator<(const scheduled& other) const {
      return std::tie(other.when, other.order) < std::tie(when, order);
    }
  };
  std::priority_queue<scheduled> events_;
  uint64_t last_ = 0;
  time_point now_ = TimeFromMs(1'000'000);
};

/// @brief Runs jobs in `slots`; others wait in order, up to `queue` of them.
class member_model {
 public:
  member_model(virtual_clock& clock, int slots, size_t queue)
      : clock_(clock), slots_(slots), queue_(queue) {}

  double slowness = 1;  ///< Factor on the work of jobs that start.
  /// Each job running beyond `well` adds `degradation` to the factor.
  int well = 1'000;
  double degradation = 0;
  uint64_t rejected = 0;

  /// @brief Returns false if the queue is full.
  bool Submit(duration work, std::function<void()> done) {
    if (running_ >= slots_ && waiting_.size() >= queue_) {
      ++rejected;
      return false;
    }
    waiting_.emplace_back(work, std::move(done));
    StartNext();
    return true;
  }

 private:
  void StartNext() {
    while (running_ < slots_ && !waiting_.empty()) {
      auto [work, done] = std::move(waiting_.front());
      waiting_.pop_front();
      ++running_;
      const double factor =
          slowness * (1 + degradation * std::max(0, running_ - well));
      const duration takes(
          std::llround(static_cast<double>(work.count()) * factor));
      clock_.After(takes, [this, done = std::move(done)] {
        --running_;
        done();
        StartNext();
      });
    }
  }

  virtual_clock& clock_;
  int slots_;
  size_t queue_;
  int running_ = 0;
  std::deque<std::pair<duration, std::function<void()>>> waiting_;
};

/// @brief Several VMs' brokers in front of one group `g`: the primary `p` and
/// the replicas `r1` and `r2`, all in zone `z` unless changed. Routes: `strict`
/// (primary only), `bounded` and `bounded-costly`.
class fleet_model {
 public:
  struct answered {
    time_point arrived;
    duration took;
    size_t vm;
    std::string member;  ///< Empty: not served.
  };

  fleet_model(member_capacity capacity,
              uint64_t seed,
              size_t vms,
              int slots,
              size_t queue)
      : slots_(slots), random_(seed) {
    for (const char* id : {"p", "r1", "r2"}) {
      members_.emplace(id, member_model(clock_, slots, queue));
      round_trip_[id] = duration(400);
    }
    broker_options options;
    options.availability_zone = "z";
    options.region = "r";
    options.region_of_zone = {{"z", "r"}, {"far", "other"}};
    options.primary_penalty = seconds(1);
    options.capacity = capacity;
    vms_.resize(vms);
    for (size_t i = 0; i < vms; ++i) {
      options.seed = i + 1;
      vms_[i].broker = std::make_unique<session_broker>(options);
    }
  }

  virtual_clock& clock() { return clock_; }
  member_model& member(const std::string& id) { return members_.at(id); }
  session_broker& broker(size_t vm) { return *vms_[vm].broker; }
  time_point start() const { return start_; }
  const std::vector<answered>& answers() const { return answers_; }

  /// @brief Places the primary in another region.
  void PlaceFar(duration round_trip) {
    primary_zone_ = "far";
    round_trip_["p"] = round_trip;
  }

  void Start() {
    auto configuration = std::make_shared<configuration_snapshot>();
    configuration->version = 1;
    for (const char* name : {"strict", "bounded", "bounded-costly"}) {
      route row;
      row.name = name;
      row.database = name;
      row.group = "g";
      row.reads = name == std::string("strict") ? freshness::kPrimary
                                                : freshness::kBoundedStaleness;
      row.statement_timeout = seconds(3);
      row.max_staleness = seconds(2);
      row.open = true;
      configuration->routes[name] = row;
    }
    configuration->groups["g"] = {"g", 100, 0};
    auto directory = std::make_shared<member_directory>();
    for (const auto& [id, model] : members_) {
      (*directory)[id] = {
          id,     "g",   "127.0.0.1:1", id == "p" ? primary_zone_ : "z",
          slots_, false, id == "p",     1};
    }
    const int count = static_cast<int>(vms_.size());
    for (size_t i = 0; i < vms_.size(); ++i) {
      Step(i, configuration_snapshot_changed{configuration});
      Step(i, members_changed{directory});
      Step(i, fleet_changed{count, {{"z", count}}, count});
      Step(i, primary_leases_changed{
                  {{"g", {"p", 1, clock_.now() + seconds(600), false}}}});
    }
    Tick();
  }

  /// @brief Sends a statement that needs `work` at a member of usual speed.
  void Send(size_t vm, const std::string& database, duration work) {
    vm_state& at = vms_[vm];
    session_id session = 0;
    if (at.free[database].empty()) {
      session = ++at.last_session;
      Step(vm, caller_opened{session, database, ""});
    } else {
      session = at.free[database].back();
      at.free[database].pop_back();
    }
    at.sent[session] = {clock_.now(), database};
    caller_statement statement;
    statement.id = "q";
    statement.kind = statement_kind::kRead;
    statement.text = std::to_string(work.count());
    Step(vm, caller_sent{session, statement});
  }

  /// @brief Lognormal work with a spread of 0.7; 1 % takes five times as long.
  duration Work(duration mean) {
    constexpr double kSpread = 0.7;
    constexpr double kTail = 1.04;  // Mean factor of the slow hundredth.
    const double scale = static_cast<double>(mean.count()) / kTail;
    std::lognormal_distribution<double> distribution(
        std::log(scale) - kSpread * kSpread / 2, kSpread);
    const bool tail = std::uniform_real_distribution<double>()(random_) < 0.01;
    return duration(std::llround(distribution(random_) * (tail ? 5 : 1)));
  }

  /// @brief Random arrivals at `rate` per second on each VM until `end`.
  void Arrivals(size_t vm,
                const std::function<std::string()>& database,
                const std::function<duration()>& mean,
                double rate,
                time_point end) {
    const double pause = std::exponential_distribution<double>(rate)(random_);
    const time_point next = clock_.now() + duration(std::llround(pause * 1e6));
    if (next > end) {
      return;
    }
    clock_.At(next, [=, this] {
      Send(vm, database(), Work(mean()));
      Arrivals(vm, database, mean, rate, end);
    });
  }

  /// @brief A caller that sends its next statement when it has its answer.
  void Repeat(size_t vm, const std::string& database, duration mean) {
    repeated_[{vm, database}] = mean;
    Send(vm, database, Work(mean));
  }

  void RunFor(duration span) { clock_.RunUntil(clock_.now() + span); }

 private:
  struct vm_state {
    std::unique_ptr<session_broker> broker;
    session_id last_session = 0;
    std::map<std::string, std::vector<session_id>> free;
    std::map<session_id, std::pair<time_point, std::string>> sent;
    std::map<link_id, std::string> links;
    std::map<link_id, std::deque<member_statement>> queued;
  };

  void Tick() {
    for (size_t i = 0; i < vms_.size(); ++i) {
      Step(i, position_reported{"g", {1, 1}, clock_.now()});
      Step(i, tick{});
    }
    clock_.After(milliseconds(20), [this] { Tick(); });
  }

  void Step(size_t vm, const event& input) {
    for (action& each : vms_[vm].broker->Step(clock_.now(), input)) {
      Apply(vm, each);
    }
  }

  void Apply(size_t vm, action& each) {
    vm_state& at = vms_[vm];
    if (const auto* answer = std::get_if<answer_caller>(&each)) {
      const auto [arrived, database] = at.sent.at(answer->session);
      answers_.push_back(
          {arrived,
           std::chrono::duration_cast<duration>(clock_.now() - arrived), vm,
           answer->code == result_code::kOk ? answer->signature : ""});
      at.free[database].push_back(answer->session);
      if (const auto again = repeated_.find({vm, database});
          again != repeated_.end()) {
        clock_.After(duration(1), [this, vm, again] {
          Send(vm, again->first.second, Work(again->second));
        });
      }
    } else if (const auto* open = std::get_if<open_link>(&each)) {
      Open(vm, open->link, open->member);
    } else if (auto* send = std::get_if<send_link>(&each)) {
      for (member_statement& statement : send->statements) {
        clock_.After(round_trip_.at(at.links.at(send->link)) / 2,
                     [this, vm, link = send->link, statement] {
                       Receive(vm, link, statement);
                     });
      }
    } else if (const auto* close = std::get_if<close_link>(&each)) {
      at.links.erase(close->link);
    }
  }

  // Opening takes a slot for 12 ms.
  void Open(size_t vm, link_id link, const std::string& member) {
    vms_[vm].links[link] = member;
    const bool accepted =
        members_.at(member).Submit(milliseconds(12), [this, vm, link, member] {
          clock_.After(round_trip_.at(member), [this, vm, link] {
            if (vms_[vm].links.contains(link)) {
              Step(vm, link_opened{link, log_position{1, 1}});
            }
          });
        });
    if (!accepted) {
      clock_.After(round_trip_.at(member), [this, vm, link] {
        Step(vm, link_refused{link, member_code::kBusy});
      });
    }
  }

  void Receive(size_t vm, link_id link, const member_statement& statement) {
    const auto found = vms_[vm].links.find(link);
    if (found == vms_[vm].links.end()) {
      return;
    }
    const std::string member = found->second;
    if (statement.what != member_statement::step::kRun) {
      return Reply(vm, link, member, member_code::kDone);
    }
    const duration work(std::stoll(statement.text));
    if (!members_.at(member).Submit(work, [this, vm, link, member] {
          Reply(vm, link, member, member_code::kDone);
        })) {
      Reply(vm, link, member, member_code::kBusy);
    }
  }

  void Reply(size_t vm,
             link_id link,
             const std::string& member,
             member_code code) {
    member_answer answer;
    answer.code = code;
    answer.signature = member;
    answer.position = log_position{1, 1};
    clock_.After(round_trip_.at(member) / 2, [this, vm, link, answer] {
      if (vms_[vm].links.contains(link)) {
        Step(vm, link_answered{link, answer});
      }
    });
  }

  int slots_;
  std::mt19937_64 random_;
  virtual_clock clock_;
  const time_point start_ = clock_.now();
  std::map<std::string, member_model> members_;
  std::map<std::string, duration> round_trip_;
  std::string primary_zone_ = "z";
  std::vector<vm_state> vms_;
  std::map<std::pair<size_t, std::string>, duration> repeated_;
  std::vector<answered> answers_;
};

}  // namespace tarragondale::interactive

#endif  // TARRAGONDALE_SRC_INTERACTIVE_MEMBER_MODEL_H_
