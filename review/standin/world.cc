#include "review/standin/world.h"

#include <fstream>

namespace review {
namespace {

constexpr int kPlatformPort = 8466;
constexpr int64_t kReadyLimitMs = 30'000;

std::string Opened(char** arguments) {
  record::Open(arguments[2]);
  return arguments[1];
}

}  // namespace

world::world(char** arguments, int vms, const group_options& options)
    : prefix(Opened(arguments)),
      trouble(std::string(arguments[3]) != "0"),
      folder(arguments[4]),
      vms(vms),
      members(options),
      platform_store(Address(1, kPlatformPort)),
      service(options, platform_store),
      platform_promotions(
          Address(2, kPlatformPort),
          [this](const std::string& name, const std::string& id) {
            return name == members.service && service.Promote(id);
          }) {
  store_doors.emplace_back();
  promotion_doors.emplace_back();
  for (int vm = 1; vm <= vms; ++vm) {
    store_doors.push_back(std::make_unique<door>(
        Address(60 + vm, kPlatformPort), Address(1, kPlatformPort)));
    promotion_doors.push_back(std::make_unique<door>(
        Address(110 + vm, kPlatformPort), Address(2, kPlatformPort)));
  }
  record::Line(trouble ? "with the disruption" : "without the disruption");
}

world::~world() {
  clients_stop = true;
}

std::string world::Address(int host, int port) const {
  return prefix + "." + std::to_string(host) + ":" + std::to_string(port);
}

std::string world::MemberAddress(int number) const {
  return Address(200 + number, 5432);
}

void world::PutConfiguration(
    int64_t version,
    const std::vector<route>& routes,
    const std::map<std::string, std::vector<std::string>>& keys) {
  nlohmann::json tenants = nlohmann::json::array();
  for (const auto& [name, of_tenant] : keys) {
    tenants.push_back({{"name", name},
                       {"apiKeys", of_tenant},
                       {"priority", 1},
                       {"ratePerS", 1000},
                       {"burst", 1000}});
  }
  nlohmann::json listed = nlohmann::json::array();
  for (const route& each : routes) {
    listed.push_back({{"name", "r-" + each.database},
                      {"host", each.database},
                      {"prefix", "/"},
                      {"kind", each.kind},
                      {"timeoutMs", each.timeout_ms},
                      {"latencyGoalMs", 600},
                      {"priority", 1},
                      {"service", members.service},
                      {"maxAttempts", 2},
                      {"maxStalenessMs", 1500},
                      {"anonymous", false}});
  }
  platform_store.Put("op/config", {{"version", version},
                                   {"routes", listed},
                                   {"services",
                                    {{{"name", members.service},
                                      {"healthPath", "/health"},
                                      {"maxConns", members.max_connections},
                                      {"protocol", "h1"},
                                      {"tls", false},
                                      {"syncReplicas", 0}}}},
                                   {"limits", {{"txIdleMs", 3000}}},
                                   {"tenants", tenants}});
  record::Line("operator: configuration " + std::to_string(version) +
               " is acknowledged by the store");
}

bool world::StartVms() {
  std::ofstream(folder + "/ready") << "ready\n";
  const bool ready = WaitFor(kReadyLimitMs, [this] {
    for (int vm = 1; vm <= vms; ++vm) {
      if (HttpGet(Address(10 + vm, 8460), "/tarragondale/readiness") != 200) {
        return false;
      }
    }
    return true;
  });
  record::Line(ready ? "all VMs are ready" : "the VMs did not become ready");
  return ready;
}

int world::ProcessOf(int vm) const {
  std::ifstream file(folder + "/vm-" + std::to_string(vm) + ".pid");
  int process = 0;
  file >> process;
  return process;
}

bool WaitFor(int64_t limit_ms, const std::function<bool()>& condition) {
  const int64_t until = NowMs() + limit_ms;
  while (!condition()) {
    if (NowMs() > until) {
      return false;
    }
    SleepMs(10);
  }
  return true;
}

}  // namespace review
