// Stand-in of a service.
#include "review/standin-2/group.h"

#include <optional>
#include <string_view>
#include <thread>

namespace tarragondale::review {
namespace {

constexpr milliseconds kHeartbeat(1'200);
constexpr milliseconds kHandshake(12);
constexpr int kSlots = 5;

// Cuts the first word off.
std::string TakeWord(std::string& text) {
  const size_t blank = text.find(' ');
  std::string word = text.substr(0, blank);
  text.erase(0, blank == std::string::npos ? text.size() : blank + 1);
  return word;
}

}  // namespace

class group::member : public service {
 public:
  member(group& of, std::string id, std::string zone)
      : of_(of), id_(std::move(id)), zone_(std::move(zone)) {}

  const std::string& id() const { return id_; }

  // What the group's mutex guards.
  bool primary = false;
  bool draining = false;
  int64_t term = 1;
  int64_t number = 10;
  std::map<std::string, std::string> data;

  std::string Position() const {
    return std::to_string(term) + "." + std::to_string(number);
  }

  // With the group's mutex.
  void Register() {
    of_.registry_.Put("servers/" + id_,
                      {{"service", of_.name_},
                       {"address", address()},
                       {"zone", zone_},
                       {"version", "v1"},
                       {"slots", kSlots},
                       {"state", draining ? "draining" : "ready"},
                       {"coldLeftMs", 0},
                       {"dbRole", primary ? "primary" : "replica"},
                       {"sequence", ++sequence_},
                       {"born", 1'700'000'000'000}});
  }

 private:
  struct session {
    bool open = false;
    std::vector<std::pair<std::string, std::string>> pending;
    /// Whether a prepared statement writes, by name.
    std::map<std::string, bool> prepared;
  };

  void Serve(line_socket& socket) override {
    constexpr milliseconds kIdle(600'000);
    const auto start = socket.Line();
    const auto words = Words(start.value_or(""));
    if (words.size() < 3 || words[0] != "START" || words[1] != of_.name_ ||
        (words.size() > 3 && words[3] != id_)) {
      socket.Send("ERR WRONGNODE -\r\n");
      return;
    }
    Pause(kHandshake);
    {
      const std::lock_guard lock(of_.mutex_);
      if (!socket.Send("READY I " + Position() + "\r\n")) {
        return;
      }
    }
    session state;
    while (auto line = socket.Line(kIdle)) {
      std::string text = std::move(*line);
      TakeWord(text);
      const std::string id = TakeWord(text);
      std::string answer = Run(id, std::move(text), state);
      {
        const std::lock_guard lock(of_.mutex_);
        answer += std::string("READY ") + (state.open ? "T " : "I ") +
                  Position() + "\r\n";
      }
      if (!socket.Send(answer)) {
        return;
      }
    }
  }

  std::string Run(const std::string& id, std::string text, session& state) {
    std::string verb = TakeWord(text);
    if (verb == "AFTER") {
      TakeWord(text);  // Replicas have every commit.
      verb = TakeWord(text);
    }
    if (verb == "STATUS" || verb == "DEMOTE") {
      const std::lock_guard lock(of_.mutex_);
      const member* const leader = of_.Leader();
      if (verb == "DEMOTE" && primary && leader != this &&
          term < std::stoll(text)) {
        of_.Follow(*this, *leader);
      }
      return std::string("ROW ") + (primary ? "primary " : "replica ") +
             std::to_string(term) + " " + Position() + " 0 0 0 1\r\nDONE -\r\n";
    }
    if (verb == "EXECUTE") {
      const auto found = state.prepared.find(TakeWord(text));
      if (found == state.prepared.end()) {
        return "ERR NOSTMT -\r\n";
      }
      verb = found->second ? "WRITE" : "READ";
    }
    if (verb == "READ" || verb == "WRITE" || verb == "COMMIT") {
      return Work(id, verb, std::move(text), state);
    }
    if (verb == "BEGIN") {
      const std::lock_guard lock(of_.mutex_);
      if (text != "READ" && !primary) {
        return "ERR READONLY " + id_ + "\r\n";
      }
      state.open = true;
    } else if (verb == "ROLLBACK") {
      state.open = false;
      state.pending.clear();
    } else if (verb == "PREPARE") {
      const std::string name = TakeWord(text);
      state.prepared[name] = TakeWord(text) == "WRITE";
    } else if (verb == "RESET") {
      state.prepared.clear();
    }
    return "DONE -\r\n";
  }

  std::string Work(const std::string& id,
                   const std::string& verb,
                   std::string text,
                   session& state) {
    of_.log_.Add("member " + id_ + " begins " + id + " " + verb);
    Pause(of_.work_());
    of_.log_.Add("member " + id_ + " has run " + id + " " + verb);
    const std::lock_guard lock(of_.mutex_);
    of_.ran_[id] = id_;
    const std::string done = "DONE sig-" + id_ + "-" + id + "\r\n";
    if (verb == "READ") {
      const auto found = data.find(TakeWord(text));
      return "ROW " + (found == data.end() ? "-" : found->second) + "\r\n" +
             done;
    }
    if (verb == "WRITE") {
      if (!primary) {
        return "ERR READONLY " + id_ + "\r\n";
      }
      const std::string item = TakeWord(text);
      state.pending.emplace_back(item, std::move(text));
      if (state.open) {
        return done;
      }
    }
    if (!state.pending.empty() && !primary) {
      state = {false, {}, std::move(state.prepared)};
      return "ERR READONLY " + id_ + "\r\n";
    }
    of_.Commit(*this, id, state.pending);
    state = {false, {}, std::move(state.prepared)};
    return done;
  }

  group& of_;
  const std::string id_;
  const std::string zone_;
  int64_t sequence_ = 0;
};

group::group(std::string name,
             const std::vector<std::pair<std::string, std::string>>& places,
             store& registry,
             record& log,
             work_time work)
    : name_(std::move(name)),
      registry_(registry),
      log_(log),
      work_(std::move(work)) {
  for (const auto& [id, zone] : places) {
    members_.push_back(std::make_unique<member>(*this, id, zone));
  }
  members_.front()->primary = true;
}

group::~group() = default;

void group::Start() {
  {
    const std::lock_guard lock(mutex_);
    for (const auto& each : members_) {
      each->Start();
      each->Register();
    }
  }
  std::thread([this] {
    while (true) {
      Pause(kHeartbeat);
      const std::lock_guard lock(mutex_);
      for (const auto& each : members_) {
        each->Register();
      }
    }
  }).detach();
}

void group::LosePrimary() {
  members_.erase(members_.begin());
}

void group::Load(const std::string& item, const std::string& data) {
  const std::lock_guard lock(mutex_);
  for (const auto& each : members_) {
    each->data[item] = data;
  }
}

void group::AddReplica(const std::string& id, const std::string& zone) {
  const std::lock_guard lock(mutex_);
  members_.push_back(std::make_unique<member>(*this, id, zone));
  member& added = *members_.back();
  Follow(added, *Leader());
  added.Start();
  added.Register();
  log_.Add("member " + id + " starts as a replica");
}

void group::Drain(const std::string& id) {
  const std::lock_guard lock(mutex_);
  Find(id)->draining = true;
  Find(id)->Register();
  log_.Add("member " + id + " reports draining");
}

void group::Promote(const std::string& id) {
  const std::lock_guard lock(mutex_);
  log_.Add("promotion of " + id + " is carried out");
  if (Leader() == Find(id)) {
    return;
  }
  std::thread([this, id] {
    Pause(kPromotionTime);
    Lead(id);
  }).detach();
}

void group::Lead(const std::string& id) {
  const std::lock_guard lock(mutex_);
  member& chosen = *Find(id);
  const member* const before = Leader();
  if (before == &chosen) {
    return;
  }
  chosen.term = (before == nullptr ? chosen.term : before->term) + 1;
  chosen.primary = true;
  chosen.Register();
  log_.Add("member " + id + " leads term " + std::to_string(chosen.term));
  for (const auto& each : members_) {
    if (!each->primary) {
      Follow(*each, chosen);
    }
  }
  std::thread([this, &chosen] {
    Pause(kFormerPrimaryTime);
    const std::lock_guard later(mutex_);
    for (const auto& each : members_) {
      if (each.get() != &chosen && each->primary && each->term < chosen.term) {
        Follow(*each, chosen);
      }
    }
  }).detach();
}

bool group::HasRun(const std::string& id) {
  const std::lock_guard lock(mutex_);
  return ran_.contains(id);
}

bool group::WasCommittedLate(const std::string& id) {
  const std::lock_guard lock(mutex_);
  return late_.contains(id);
}

std::string group::DataAtLeader(const std::string& item) {
  const std::lock_guard lock(mutex_);
  const member& leader = *Leader();
  const auto found = leader.data.find(item);
  return found == leader.data.end() ? "" : found->second;
}

// A replica receives a commit at once if it follows the member's term.
void group::Commit(member& at,
                   const std::string& id,
                   const std::vector<item_write>& writes) {
  if (writes.empty()) {
    return;
  }
  ++at.number;
  for (const auto& [item, data] : writes) {
    at.data[item] = data;
  }
  log_.Add("commit " + id + " at " + at.id() + ", position " + at.Position());
  if (Leader() != &at) {
    late_.insert(id);
    log_.Add("member " + Leader()->id() + " leads term " +
             std::to_string(Leader()->term) + " by then");
  }
  for (const auto& each : members_) {
    if (!each->primary && each->term == at.term) {
      each->number = at.number;
      for (const auto& [item, data] : writes) {
        each->data[item] = data;
      }
    }
  }
}

// The member takes the leader's log; what it had beyond is rolled back.
void group::Follow(member& former, const member& leader) {
  former.primary = false;
  former.term = leader.term;
  former.number = leader.number;
  former.data = leader.data;
  former.Register();
}

// The primary of the highest term; null if there is none.
group::member* group::Leader() {
  member* leader = nullptr;
  for (const auto& each : members_) {
    if (each->primary && (leader == nullptr || each->term > leader->term)) {
      leader = each.get();
    }
  }
  return leader;
}

group::member* group::Find(const std::string& id) {
  for (const auto& each : members_) {
    if (each->id() == id) {
      return each.get();
    }
  }
  return nullptr;
}

}  // namespace tarragondale::review
