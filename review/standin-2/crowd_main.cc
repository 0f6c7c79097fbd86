// Case 8: a crowd of clients starts sessions on an anonymous route, each with a
// START line of legal size. A VM that exceeds its memory is killed and started
// again, as the platform does.
#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <map>
#include <string>
#include <vector>

#include "review/standin-2/fleet.h"

namespace tarragondale::review {
namespace {

// The line stays below the limit of 1 MiB for a message.
constexpr size_t kLongKey = 1'000'000;
constexpr size_t kShortKey = 20;
constexpr size_t kConnections = 320;
// A process counts if it ends three times, on two machines at least.
constexpr int kEnds = 3;
constexpr size_t kMachines = 2;
constexpr milliseconds kWork(5);

// Kills a VM that exceeds its memory and starts it again after a short delay.
class memory_guard {
 public:
  memory_guard(deployment& of, record& log) : of_(of), log_(log) {
    for (const auto& each : of_.vms()) {
      largest_[each->name()] = 0;
    }
  }

  /// @brief Looks at each VM once. Called by one thread.
  void Look() {
    constexpr milliseconds kRestartDelay(300);
    for (const auto& each : of_.vms()) {
      const int64_t resident = each->ResidentMb();
      largest_[each->name()] = std::max(largest_[each->name()], resident);
      if (!each->Lives()) {
        log_.Add("VM " + each->name() + " ended by itself");
      } else if (resident > kMemoryMb) {
        log_.Add("VM " + each->name() + " holds " + std::to_string(resident) +
                 " MB, more than " + std::to_string(kMemoryMb) +
                 " MB, and is killed");
        each->Signal(SIGKILL);
        while (each->Lives()) {
          Pause(milliseconds(1));
        }
      } else {
        continue;
      }
      ++ends_[each->name()];
      Pause(kRestartDelay);
      each->Restart();
    }
  }

  int ends(const std::string& name) { return ends_[name]; }
  int64_t largest(const std::string& name) { return largest_[name]; }

 private:
  deployment& of_;
  record& log_;
  std::map<std::string, int> ends_;
  std::map<std::string, int64_t> largest_;
};

// Opens sessions until all are open or the VM has ended. The guard looks after
// each of them.
void SendCrowd(const vm& to, size_t key, memory_guard& guard, record& log) {
  std::vector<line_socket> crowd;
  const int ends = guard.ends(to.name());
  size_t accepted = 0;
  while (crowd.size() < kConnections && guard.ends(to.name()) == ends) {
    crowd.push_back(line_socket::Connect(to.front()));
    accepted +=
        StartSession(crowd.back(), kCatalogue, std::string(key, 'k')) ? 1 : 0;
    guard.Look();
  }
  log.Add("crowd at VM " + to.name() + ": " + std::to_string(crowd.size()) +
          " connections, " + std::to_string(accepted) + " sessions accepted");
}

int Run(const std::string& folder, record& log, bool trouble) {
  static deployment system(folder, log, [] { return kWork; });
  if (!system.Start()) {
    return 2;
  }
  memory_guard guard(system, log);
  constexpr milliseconds kServeLimit(15'000);
  bool served = true;
  for (int round = 0; round < kEnds; ++round) {
    for (size_t at = 0; at < kMachines; ++at) {
      const vm& to = *system.vms()[at];
      SendCrowd(to, trouble ? kLongKey : kShortKey, guard, log);
      served = system.Serves(to, kServeLimit) && served;
    }
  }
  log.Add(served ? "ordinary requests were answered after each crowd"
                 : "an ordinary request was not answered after a crowd");
  size_t machines = 0;
  for (const auto& each : system.vms()) {
    machines += guard.ends(each->name()) >= kEnds ? 1 : 0;
    log.Add("VM " + each->name() + ": ended " +
            std::to_string(guard.ends(each->name())) + " times, held " +
            std::to_string(guard.largest(each->name())) + " MB at most");
  }
  system.Stop();
  return machines >= kMachines ? 1 : 0;
}

}  // namespace
}  // namespace tarragondale::review

int main(int argc, char** argv) {
  using namespace tarragondale::review;  // NOLINT(google-build-using-namespace)
  if (argc != 3) {
    return 2;
  }
  record log(argv[1]);
  const char* const trouble = std::getenv("TROUBLE");
  const int result =
      Run(argv[2], log, trouble == nullptr || std::string(trouble) != "0");
  log.Add("exit " + std::to_string(result));
  // The stand-ins' threads go on until the process ends.
  std::_Exit(result);
}
