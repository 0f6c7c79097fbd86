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

  void Register() {
    bool primary = false;
    {
      const std::lock_guard lock(of_.mutex_);
      primary = of_.primary_ == id_;
    }
    of_.registry_.Put("servers/" + id_,
                      {{"service", of_.name_},
                       {"address", address()},
                       {"zone", zone_},
                       {"version", "v1"},
                       {"slots", kSlots},
                       {"state", "ready"},
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
      if (!socket.Send("READY I " + of_.Position() + "\r\n")) {
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
                  of_.Position() + "\r\n";
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
      return "ROW " +
             std::string(of_.primary_ == id_ ? "primary " : "replica ") +
             std::to_string(of_.term_) + " " + of_.Position() +
             " 0 0 0 1\r\nDONE -\r\n";
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
      if (text != "READ" && of_.primary_ != id_) {
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
      const auto found = of_.data_.find(TakeWord(text));
      return "ROW " + (found == of_.data_.end() ? "-" : found->second) +
             "\r\n" + done;
    }
    if (verb == "WRITE") {
      if (of_.primary_ != id_) {
        return "ERR READONLY " + id_ + "\r\n";
      }
      const std::string item = TakeWord(text);
      state.pending.emplace_back(item, std::move(text));
      if (state.open) {
        return done;
      }
    }
    of_.Commit(state.pending);
    state = {false, {}, std::move(state.prepared)};
    return done;
  }

  group& of_;
  const std::string id_;
  const std::string zone_;
  int64_t sequence_ = 0;
};

group::group(std::string name,
             const std::vector<std::string>& zones,
             store& registry,
             record& log,
             work_time work)
    : name_(std::move(name)),
      registry_(registry),
      log_(log),
      work_(std::move(work)) {
  for (const std::string& zone : zones) {
    members_.push_back(
        std::make_unique<member>(*this, "i-" + name_ + "-" + zone, zone));
  }
  primary_ = members_.front()->id();
}

group::~group() = default;

void group::Start() {
  for (const auto& each : members_) {
    each->Start();
    each->Register();
  }
  std::thread([this] {
    while (true) {
      Pause(kHeartbeat);
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
  data_[item] = data;
}

void group::Promote(const std::string& id) {
  log_.Add("promotion of " + id);
  const std::lock_guard lock(mutex_);
  if (primary_ != id) {
    primary_ = id;
    ++term_;
  }
}

bool group::HasRun(const std::string& id) {
  const std::lock_guard lock(mutex_);
  return ran_.contains(id);
}

void group::Commit(
    const std::vector<std::pair<std::string, std::string>>& writes) {
  if (writes.empty()) {
    return;
  }
  ++number_;
  for (const auto& [item, data] : writes) {
    data_[item] = data;
  }
}

std::string group::Position() const {
  return std::to_string(term_) + "." + std::to_string(number_);
}

}  // namespace tarragondale::review
