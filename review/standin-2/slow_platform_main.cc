// Case 6: the platform is slow with one promotion while the members of a
// service are replaced one after the other.
#include <atomic>
#include <cstdlib>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "review/standin-2/fleet.h"

namespace tarragondale::review {
namespace {

constexpr milliseconds kWork(11);  // The mean of the site's order-place.
// The longest time for which the site's platform is slow.
constexpr milliseconds kDelay(4'500);
constexpr milliseconds kBetweenReleases(1'000);
constexpr milliseconds kBeforeRelease(2'000);
constexpr milliseconds kPlayed(9'000);  // From the first release on.
constexpr milliseconds kBetweenWrites(20);
constexpr int kWritersOfVm = 2;

// Writes new items through one VM and keeps those that were acknowledged.
class writer {
 public:
  writer(const vm& at, int number)
      : at_(at), prefix_(at.name() + "-" + std::to_string(number) + "-") {}

  void Write(const std::atomic<bool>& stop) {
    for (int i = 0; !stop; ++i) {
      if (!socket_.open() || socket_.ended()) {
        socket_ = line_socket::Connect(at_.front());
        if (!StartSession(socket_, kOrders, kKey)) {
          socket_.Close();
          Pause(kBetweenWrites);
          continue;
        }
      }
      const std::string id = NewId();
      std::string item = prefix_;
      item += std::to_string(i);
      std::string text = "WRITE ";
      text.append(item).append(" ").append(id);
      const auto answer = Query(socket_, id, text);
      if (!answer.empty() && answer.front().starts_with("DONE sig-")) {
        acknowledged_.emplace_back(item, id);
      }
      Pause(kBetweenWrites);
    }
  }

  const std::vector<std::pair<std::string, std::string>>& acknowledged() const {
    return acknowledged_;
  }

 private:
  const vm& at_;
  const std::string prefix_;
  line_socket socket_;
  std::vector<std::pair<std::string, std::string>> acknowledged_;
};

int Run(const std::string& folder, record& log, bool trouble) {
  static deployment system(folder, log, [] { return kWork; });
  if (!system.Start()) {
    return 2;
  }
  std::vector<std::unique_ptr<writer>> writers;
  std::vector<std::thread> threads;
  std::atomic<bool> stop{false};
  for (const auto& each : system.vms()) {
    for (int i = 0; i < kWritersOfVm; ++i) {
      writers.push_back(std::make_unique<writer>(*each, i));
      threads.emplace_back(
          [&stop, by = writers.back().get()] { by->Write(stop); });
    }
  }
  Pause(kBeforeRelease);
  if (trouble) {
    system.DelayNextPromotion(kDelay);
  }
  // The new member starts first, then the old one reports that it leaves.
  system.members().AddReplica("i-c81f0e55", "kgn-a");
  system.members().Drain(kPrimary);
  Pause(kBetweenReleases);
  system.members().AddReplica("i-d90a3b17", "kgn-b");
  system.members().Drain(kFirstReplica);
  Pause(kPlayed - kBetweenReleases);
  stop = true;
  for (std::thread& each : threads) {
    each.join();
  }
  int acknowledged = 0;
  int late = 0;
  int lost = 0;
  for (const auto& each : writers) {
    for (const auto& [item, id] : each->acknowledged()) {
      ++acknowledged;
      late += system.members().WasCommittedLate(id) ? 1 : 0;
      lost += system.members().DataAtLeader(item) == id ? 0 : 1;
    }
  }
  log.Add(std::to_string(acknowledged) + " writes acknowledged, " +
          std::to_string(late) +
          " of them committed at the old primary after a promotion had taken "
          "effect, " +
          std::to_string(lost) + " missing at the leader");
  system.Stop();
  if (acknowledged == 0) {
    return 2;
  }
  return late > 0 ? 1 : 0;
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
