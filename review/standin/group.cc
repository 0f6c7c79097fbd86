#include "review/standin/group.h"

#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdlib>
#include <utility>

namespace review {
namespace {

constexpr int64_t kStepMs = 5;
constexpr int64_t kHeartbeatMs = 1200;
// A former primary follows the new one this long after it can reach it.
constexpr int64_t kStepDownMs = 1000;

std::string TakeWord(std::string& text) {
  const size_t blank = text.find(' ');
  std::string word = text.substr(0, blank);
  text.erase(0, blank == std::string::npos ? text.size() : blank + 1);
  return word;
}

int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

group::group(group_options options, store& directory)
    : options_(std::move(options)), directory_(directory), thread_([this] {
        while (!stopping_) {
          SleepMs(kStepMs);
          Step();
        }
      }) {}

group::~group() {
  stopping_ = true;
  thread_.join();
  for (auto& [id, each] : members_) {
    each->listener->Stop();
  }
  for (const auto& each : ended_) {
    each->Stop();
  }
}

void group::Start(const std::string& id,
                  const std::string& address,
                  const std::string& zone) {
  const std::lock_guard lock(mutex_);
  auto added = std::make_unique<member>();
  added->id = id;
  added->address = address;
  added->zone = zone;
  added->born = UnixMs();
  if (const member* const leader = LeaderOf()) {
    added->term = leader->term;
    added->log = leader->log;
  } else {
    added->term = 1;
    added->primary = true;
    added->log.push_back({1, 0, "-", "-", "-"});
  }
  record::Line("member " + id + " starts as " +
               (added->primary ? "primary" : "replica"));
  added->listener = std::make_unique<server>(
      address, [this, id](int socket) { Serve(id, socket); });
  Beat(*added);
  members_[id] = std::move(added);
}

void group::Drain(const std::string& id) {
  const std::lock_guard lock(mutex_);
  member& of = *members_.at(id);
  of.draining = true;
  record::Line("member " + id + " reports that it is draining");
  Beat(of);
}

void group::Leave(const std::string& id) {
  std::unique_ptr<server> listener;
  {
    const std::lock_guard lock(mutex_);
    record::Line("member " + id + " ends");
    listener = std::move(members_.at(id)->listener);
    members_.erase(id);
    directory_.Remove("servers/" + id);
  }
  listener->Stop();
  const std::lock_guard lock(mutex_);
  ended_.push_back(std::move(listener));
}

bool group::Promote(const std::string& id) {
  const std::lock_guard lock(mutex_);
  const member* const found = Find(id);
  if (found == nullptr) {
    return false;
  }
  if (found != LeaderOf()) {
    promotions_.push_back({id, NowMs() + options_.promote_ms});
  }
  return true;
}

std::vector<commit> group::Commits() {
  const std::lock_guard lock(mutex_);
  return commits_;
}

std::map<std::string, std::string> group::Arrived() {
  const std::lock_guard lock(mutex_);
  return arrived_;
}

std::string group::Leader() {
  const std::lock_guard lock(mutex_);
  const member* const leader = LeaderOf();
  return leader == nullptr ? std::string() : leader->id;
}

group::member* group::Find(const std::string& id) {
  const auto found = members_.find(id);
  return found == members_.end() ? nullptr : found->second.get();
}

group::member* group::LeaderOf() {
  member* leader = nullptr;
  for (const auto& [id, each] : members_) {
    if (each->primary && (leader == nullptr || each->term > leader->term)) {
      leader = each.get();
    }
  }
  return leader;
}

int64_t group::NewestTerm() const {
  int64_t newest = 0;
  for (const auto& [id, each] : members_) {
    newest = std::max(newest, each->term);
  }
  return newest;
}

std::string group::Position(const member& of) {
  return std::to_string(of.log.back().term) + "." +
         std::to_string(of.log.size());
}

int64_t group::DrawWorkMs() {
  const double spread = options_.work_spread;
  std::lognormal_distribution<double> work(
      std::log(options_.work_ms) - spread * spread / 2, spread);
  const double drawn = spread > 0 ? work(random_) : options_.work_ms;
  return static_cast<int64_t>(std::min(drawn, options_.work_most_ms));
}

// The member's entry in the store.
void group::Beat(member& of) {
  ++of.sequence;
  of.next_beat_ms = NowMs() + kHeartbeatMs;
  directory_.Put("servers/" + of.id,
                 {{"service", options_.service},
                  {"address", of.address},
                  {"zone", of.zone},
                  {"version", "v1"},
                  {"slots", options_.slots},
                  {"state", of.draining ? "draining" : "ready"},
                  {"coldLeftMs", 0},
                  {"dbRole", of.primary ? "primary" : "replica"},
                  {"sequence", of.sequence},
                  {"born", of.born}});
}

void group::Step() {
  const std::lock_guard lock(mutex_);
  const int64_t now = NowMs();
  for (const promotion& each : promotions_) {
    member* const chosen = Find(each.id);
    if (now < each.at_ms || chosen == nullptr || chosen == LeaderOf()) {
      continue;
    }
    chosen->term = NewestTerm() + 1;
    chosen->primary = true;
    chosen->leads_since_ms = now;
    record::Line("member " + each.id + " leads term " +
                 std::to_string(chosen->term) + " at " + Position(*chosen));
    Beat(*chosen);
  }
  std::erase_if(promotions_,
                [&](const promotion& each) { return now >= each.at_ms; });
  const member* const leader = LeaderOf();
  for (const auto& [id, each] : members_) {
    if (leader != nullptr && each.get() != leader) {
      if (each->primary && now - leader->leads_since_ms > kStepDownMs) {
        record::Line("member " + id + " follows " + leader->id);
        each->primary = false;
        Beat(*each);
      }
      if (!each->primary) {
        Follow(*each, *leader);
      }
    }
    if (now >= each->next_beat_ms) {
      Beat(*each);
    }
  }
}

void group::Follow(member& replica, const member& leader) const {
  replica.term = leader.term;
  size_t common = 0;
  const size_t limit = std::min(replica.log.size(), leader.log.size());
  common = limit;
  while (
      common > 0 &&
      (replica.log[common - 1].term != leader.log[common - 1].term ||
       replica.log[common - 1].statement != leader.log[common - 1].statement)) {
    --common;
  }
  if (common < replica.log.size()) {
    record::Line("member " + replica.id + " rolls back " +
                 std::to_string(replica.log.size() - common) + " entries");
    replica.log.resize(common);
  }
  while (replica.log.size() < leader.log.size()) {
    const entry& next = leader.log[replica.log.size()];
    if (next.at_ms + options_.replica_lag_ms > NowMs()) {
      return;
    }
    replica.log.push_back(next);
  }
}

void group::Serve(const std::string& id, int socket) {
  input stream(socket);
  const auto start = stream.Line();
  if (!start) {
    return;
  }
  std::string rest = *start;
  const std::string word = TakeWord(rest);
  const std::string service = TakeWord(rest);
  session of;
  of.who = TakeWord(rest);
  std::string position;
  {
    const std::lock_guard lock(mutex_);
    member* const at = Find(id);
    std::string refusal;
    if (word != "START" || at == nullptr || service != options_.service ||
        (!rest.empty() && rest != id)) {
      refusal = "WRONGNODE";
    } else if (at->connections >= options_.max_connections) {
      refusal = "TOOMANY";
    }
    if (!refusal.empty()) {
      SendAll(socket, "ERR " + refusal + " -\r\n");
      return;
    }
    ++at->connections;
    position = Position(*at);
  }
  SendAll(socket, "READY I " + position + "\r\n");
  while (const auto line = stream.Line()) {
    rest = *line;
    if (TakeWord(rest) != "QUERY") {
      break;
    }
    const std::string statement = TakeWord(rest);
    const reply answer = Run(id, of, statement, rest);
    std::string text;
    for (const std::string& row : answer.rows) {
      text += "ROW " + row + "\r\n";
    }
    const std::lock_guard lock(mutex_);
    const member* const at = Find(id);
    if (at == nullptr) {
      break;
    }
    const std::string state = of.failed ? "E" : of.open ? "T" : "I";
    text += answer.result + "\r\nREADY " + state + " " + Position(*at) + "\r\n";
    if (!SendAll(socket, text)) {
      break;
    }
  }
  const std::lock_guard lock(mutex_);
  if (member* const at = Find(id)) {
    --at->connections;
  }
}

group::reply group::Run(const std::string& id,
                        session& of,
                        const std::string& statement,
                        std::string text) {
  const std::string whole = text;
  const std::string verb = TakeWord(text);
  if (verb == "ROLLBACK") {
    of.open = false;
    of.failed = false;
    of.pending.clear();
    return {};
  }
  if (of.failed && verb != "COMMIT") {
    return {{}, "ERR MALFORMED -"};
  }
  if (verb == "SET" || verb == "DEALLOC") {
    return {};
  }
  if (verb == "RESET") {
    of.prepared.clear();
    return {};
  }
  if (verb == "PREPARE") {
    const std::string name = TakeWord(text);
    of.prepared[name] = TakeWord(text);
    return {};
  }
  if (verb == "STATUS" || verb == "DEMOTE") {
    const std::lock_guard lock(mutex_);
    member* const at = Find(id);
    if (at == nullptr) {
      return {{}, "ERR FAILED -"};
    }
    if (verb == "DEMOTE" && at->primary && LeaderOf() != at &&
        at->term < std::strtoll(text.c_str(), nullptr, 10)) {
      record::Line("member " + id + " is demoted");
      at->primary = false;
      Beat(*at);
    }
    return {{std::string(at->primary ? "primary" : "replica") + " " +
             std::to_string(at->term) + " " + Position(*at) + " 0 " +
             std::to_string(at->running) + " " +
             std::to_string(at->connections) + " 0"},
            "DONE -"};
  }
  return Work(id, of, statement, whole);
}

// Statements that occupy a slot, and `BEGIN`.
group::reply group::Work(const std::string& id,
                         session& of,
                         const std::string& statement,
                         const std::string& text) {
  std::unique_lock lock(mutex_);
  member* at = Find(id);
  if (at == nullptr) {
    return {{}, "ERR FAILED -"};
  }
  if (statement != "-") {
    arrived_[statement] = of.who;
    if (at->running >= options_.slots) {
      if (at->waiting >= options_.queue) {
        return {{}, "ERR BUSY " + id};
      }
      ++at->waiting;
      slot_free_.wait(lock, [&] {
        at = Find(id);
        return at == nullptr || at->running < options_.slots;
      });
      if (at == nullptr) {
        return {{}, "ERR FAILED -"};
      }
      --at->waiting;
    }
    ++at->running;
    record::Line("member " + id + " runs " + statement + " for " + of.who);
    const int64_t work = DrawWorkMs();
    lock.unlock();
    SleepMs(work);
    lock.lock();
    at = Find(id);
    if (at == nullptr) {
      return {{}, "ERR FAILED -"};
    }
    --at->running;
    slot_free_.notify_all();
  }
  return RunData(*at, of, statement, text);
}

group::reply group::RunData(member& at,
                            session& of,
                            const std::string& statement,
                            const std::string& text) {
  std::string rest = text;
  std::string verb = TakeWord(rest);
  if (verb == "AFTER") {
    const std::string position = TakeWord(rest);
    const int64_t term = std::strtoll(position.c_str(), nullptr, 10);
    const int64_t number = std::strtoll(
        position.substr(position.find('.') + 1).c_str(), nullptr, 10);
    const auto has =
        std::pair(at.log.back().term, static_cast<int64_t>(at.log.size()));
    if (has < std::pair(term, number)) {
      return {{}, "ERR LAGGING " + at.id};
    }
    verb = TakeWord(rest);
  }
  const std::string signature =
      "DONE sig." + at.id + "." + std::to_string(++last_signature_);
  const auto refuse = [&] {
    of.failed = of.open;
    return reply{{}, "ERR READONLY " + at.id};
  };
  const bool lost_lead =
      of.open && !of.read_only && (!at.primary || at.term != of.term);
  if (verb == "BEGIN") {
    if (rest != "READ" && !at.primary) {
      return refuse();
    }
    of.open = true;
    of.read_only = rest == "READ";
    of.term = at.term;
    return {};
  }
  if (verb == "COMMIT") {
    const bool wrote = !of.pending.empty();
    if (of.failed || (wrote && lost_lead)) {
      of.failed = true;
      return {{}, "ERR READONLY " + at.id};
    }
    if (wrote) {
      for (entry& each : of.pending) {
        each.statement = statement;
      }
      Commit(at, of.pending);
    }
    of.open = false;
    of.pending.clear();
    return {{}, signature};
  }
  if (lost_lead) {
    return refuse();
  }
  if (verb == "EXECUTE") {
    const auto known = of.prepared.find(TakeWord(rest));
    if (known == of.prepared.end()) {
      return {{}, "ERR NOSTMT -"};
    }
    verb = known->second;
  }
  const std::string item = TakeWord(rest);
  if (verb == "READ") {
    std::string data = "none";
    for (const entry& each : at.log) {
      data = each.item == item ? each.data : data;
    }
    return {{data}, signature};
  }
  if (!at.primary) {
    return refuse();
  }
  const entry write{at.term, 0, statement, item, rest};
  if (of.open) {
    of.pending.push_back(write);
  } else {
    Commit(at, {write});
  }
  return {{}, signature};
}

void group::Commit(member& at, const std::vector<entry>& writes) {
  for (entry each : writes) {
    each.term = at.term;
    each.at_ms = NowMs();
    at.log.push_back(each);
  }
  commits_.push_back(
      {NowMs(), writes.front().statement, at.id, at.term, LeaderOf() != &at});
}

}  // namespace review
