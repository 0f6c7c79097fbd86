// The system under test.
#include "review/standin-2/fleet.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <utility>

namespace tarragondale::review {
namespace {

constexpr const char* kProgram = "target/src/tarragondaled";
constexpr const char* kTemplate = "deploy/settings.ini.template";
const std::vector<std::string>& Zones() {
  static const std::vector<std::string> zones = {"kgn-a", "kgn-b", "mobay-a"};
  return zones;
}

std::vector<std::pair<std::string, std::string>> Places() {
  return {{kPrimary, Zones()[0]},
          {kFirstReplica, Zones()[1]},
          {kSecondReplica, Zones()[2]}};
}

std::string RegionOf(const std::string& zone) {
  return zone == "mobay-a" ? "mobay" : "kingston";
}

void Replace(std::string& text,
             const std::string& from,
             const std::string& to) {
  const size_t at = text.find(from);
  if (at == std::string::npos) {
    throw std::runtime_error("the template lacks " + from);
  }
  text.replace(at, from.size(), to);
}

nlohmann::json Route(const char* host, const char* kind, int timeout_ms) {
  return {{"name", std::string("r-") + host},
          {"host", host},
          {"prefix", "/"},
          {"kind", kind},
          {"timeoutMs", timeout_ms},
          {"latencyGoalMs", 1'000},
          {"priority", 1},
          {"service", kService},
          {"maxAttempts", 2},
          {"maxStalenessMs", 1'500},
          {"anonymous", host == kCatalogue}};
}

nlohmann::json Configuration() {
  constexpr int kOrdersTimeoutMs = 1'000;
  constexpr int kRate = 10'000;
  const auto drawings_ms = static_cast<int>(kDrawingsTimeout.count());
  return {{"version", 7},
          {"routes",
           {Route(kOrders, "primary", kOrdersTimeoutMs),
            Route(kDrawings, "bounded_staleness", drawings_ms),
            Route(kCatalogue, "bounded_staleness", drawings_ms)}},
          {"services",
           {{{"name", kService}, {"maxConns", 60}, {"syncReplicas", 0}}}},
          {"limits", {{"txIdleMs", 3'000}}},
          {"tenants",
           {{{"name", "bottlers"},
             {"apiKeys", {kKey}},
             {"ratePerS", kRate},
             {"burst", kRate}}}}};
}

}  // namespace

vm::vm(std::string name, std::string zone, std::string folder)
    : name_(std::move(name)),
      zone_(std::move(zone)),
      folder_(std::move(folder)),
      front_(FreePort()),
      ready_(FreePort()),
      peer_(FreePort()) {}

vm::~vm() {
  if (Lives()) {
    Signal(SIGKILL);
    waitpid(process_, nullptr, 0);
  }
}

std::string vm::Settings(const std::string& store_address,
                         const std::string& promotion_address,
                         const std::string& seeds) const {
  std::ifstream in(kTemplate);
  std::string text((std::istreambuf_iterator<char>(in)),
                   std::istreambuf_iterator<char>());
  std::string zones;
  for (const std::string& zone : Zones()) {
    zones += (zones.empty() ? "" : ",") + zone + ":" + RegionOf(zone);
  }
  Replace(text, "{{nodeName}}", name_);
  Replace(text, "{{zone}}", zone_);
  Replace(text, "{{region}}", RegionOf(zone_));
  Replace(text, "{{listen.controlPlane}}", peer_address());
  Replace(text, "{{limits.memoryMb}}", std::to_string(kMemoryMb));
  Replace(text, "{{platform.address}}", store_address);
  Replace(text, "{{listen.front}}", LoopbackAddress(front_));
  Replace(text, "{{listen.ready}}", LoopbackAddress(ready_));
  Replace(text, "{{cloudApi.address}}", promotion_address);
  Replace(text, "{{seedNodes}}", seeds);
  Replace(text, "{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}", zones);
  Replace(text, "{{bounds.drainMs}}", "7000");
  Replace(text, "{{bounds.graceS}}", std::to_string(kGraceS));
  Replace(text, "{{limits.maxFds}}", "4200");
  return text;
}

void vm::Start(const std::string& store_address,
               const std::string& promotion_address,
               const std::string& seeds) {
  std::ofstream(folder_ + "/" + name_ + ".ini")
      << Settings(store_address, promotion_address, seeds);
  Restart();
}

void vm::Restart() {
  const std::string settings = "--settings=" + folder_ + "/" + name_ + ".ini";
  const std::string log = folder_ + "/" + name_ + ".log";
  process_ = fork();
  if (process_ != 0) {
    return;
  }
  // In the child, which ends with this process.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  constexpr int kMode = 0600;
  const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, kMode);
  dup2(out, STDOUT_FILENO);
  dup2(out, STDERR_FILENO);
  execl(kProgram, kProgram, settings.c_str(), nullptr);
  _exit(EXIT_FAILURE);
}

bool vm::Lives() {
  if (process_ > 0 && waitpid(process_, nullptr, WNOHANG) == process_) {
    process_ = 0;
  }
  return process_ > 0;
}

void vm::Signal(int number) const {
  if (process_ > 0) {
    kill(process_, number);
  }
}

int64_t vm::ResidentMb() const {
  constexpr int64_t kKbPerMb = 1024;
  std::ifstream status("/proc/" + std::to_string(process_) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmRSS:")) {
      return std::stoll(line.substr(line.find(':') + 1)) / kKbPerMb;
    }
  }
  return 0;
}

deployment::deployment(const std::string& folder, record& log, work_time work)
    : log_(log),
      group_(kService, Places(), store_, log, std::move(work)),
      promotions_([this](const std::string&, const std::string& member) {
        const milliseconds delay(next_promotion_delay_.exchange(0));
        log_.Add("promotion of " + member + " received, carried out " +
                 std::to_string(delay.count()) + " ms later");
        Pause(delay);
        group_.Promote(member);
      }) {
  for (const std::string& zone : Zones()) {
    vms_.push_back(std::make_unique<vm>("front-" + zone + "-1", zone, folder));
  }
}

void deployment::Launch() {
  store_.Start();
  promotions_.Start();
  store_.Put("op/config", Configuration());
  group_.Start();
  std::string seeds;
  for (const auto& each : vms_) {
    seeds += (seeds.empty() ? "" : ",") + each->peer_address();
  }
  for (const auto& each : vms_) {
    each->Start(store_.address(), promotions_.address(), seeds);
  }
}

bool deployment::Start() {
  Launch();
  constexpr milliseconds kStartLimit(30'000);
  for (const auto& each : vms_) {
    if (!Serves(*each, kStartLimit)) {
      log_.Add("VM " + each->name() + " does not serve");
      return false;
    }
  }
  log_.Add("all VMs serve");
  return true;
}

bool deployment::Serves(const vm& at, milliseconds limit) {
  constexpr milliseconds kRetry(100);
  const auto end = std::chrono::steady_clock::now() + limit;
  while (std::chrono::steady_clock::now() < end) {
    line_socket session = line_socket::Connect(at.front());
    if (session.open() && StartSession(session, kOrders, kKey)) {
      const auto written = Query(session, NewId(), "WRITE probe 1");
      const auto read = Query(session, NewId(), "READ probe");
      if (written.size() == 2 && written[0].starts_with("DONE sig-") &&
          read.size() == 3 && read[0] == "ROW 1") {
        return true;
      }
    }
    Pause(kRetry);
  }
  return false;
}

std::string NewId() {
  static std::atomic<int> last{0};
  return "5c0e7a21d94b" + std::to_string(10'000 + ++last);
}

bool StartSession(line_socket& on,
                  const std::string& database,
                  const std::string& key) {
  if (!on.Send("START " + database + " " + key + "\r\n")) {
    return false;
  }
  const auto answer = on.Line();
  return answer && answer->starts_with("READY");
}

std::vector<std::string> Query(line_socket& on,
                               const std::string& id,
                               const std::string& text) {
  if (!on.Send("QUERY " + id + " " + text + "\r\n")) {
    return {};
  }
  std::vector<std::string> lines;
  while (auto line = on.Line()) {
    lines.push_back(std::move(*line));
    if (lines.back().starts_with("READY")) {
      return lines;
    }
  }
  return {};
}

}  // namespace tarragondale::review
