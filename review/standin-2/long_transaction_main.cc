// Case 8: a planned stop while clients are in long transactions that only read.
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "review/standin-2/fleet.h"

namespace tarragondale::review {
namespace {

// Work of the site's drawing-view: 55 ms on average and 410 ms at most. These
// transactions read large items.
constexpr int kLeastWorkMs = 370;
constexpr int kMostWorkMs = 400;
constexpr size_t kClients = 6;
constexpr int kReads = 10;  // With BEGIN and COMMIT, 12 statements.
constexpr milliseconds kThink(4);
constexpr milliseconds kBetweenClients(200);
constexpr milliseconds kFirstClient(700);  // After SIGTERM.
constexpr int64_t kLateMs = 3'000;         // What is sent later is not excused.

milliseconds Work() {
  static std::mutex mutex;
  static std::minstd_rand random(1);
  const std::lock_guard lock(mutex);
  return milliseconds(
      std::uniform_int_distribution<int>(kLeastWorkMs, kMostWorkMs)(random));
}

struct totals {
  std::atomic<int> complete{0};  ///< Transactions.
  /// Statements sent later than 3 s after SIGTERM that a member began to run
  /// and that were not answered.
  std::atomic<int> cut{0};
};

// Runs one transaction in a session that was started before the stop.
void RunTransaction(line_socket& on,
                    record& log,
                    int64_t stopped_at,
                    totals& found) {
  const int64_t begun = NowMs();
  auto answer = Query(on, NewId(), "BEGIN READ");
  for (int i = 0; i <= kReads && !answer.empty(); ++i) {
    if (!answer.back().starts_with("READY T")) {
      log.Add("a transaction was ended: " + answer.front());
      return;
    }
    Pause(kThink);
    const std::string id = NewId();
    const int64_t sent = NowMs();
    log.Add("client sent " + id + " " + std::to_string(sent - stopped_at) +
            " ms after the stop");
    answer = Query(on, id, i < kReads ? "READ shoulder-drawing" : "COMMIT");
    if (answer.empty()) {
      const int64_t now = NowMs();
      // Not counted: what reached the route's timeout or the deadline, and
      // what was sent early.
      constexpr int64_t kDeadlineMs = 6'000;
      const bool counts = sent - stopped_at > kLateMs &&
                          now - sent < kDrawingsTimeout.count() &&
                          now - begun < kDeadlineMs;
      found.cut += counts ? 1 : 0;
      log.Add("the connection ended without an answer to " + id + ", sent " +
              std::to_string(now - sent) + " ms before" +
              (counts ? "" : "; not counted"));
    }
  }
  found.complete += answer.empty() ? 0 : 1;
}

int Run(const std::string& folder, record& log, bool trouble) {
  static deployment system(folder, log, Work);
  if (!system.Start()) {
    return 2;
  }
  vm& stopped = *system.vms().front();
  std::vector<line_socket> sessions;
  for (size_t i = 0; i < kClients; ++i) {
    sessions.push_back(line_socket::Connect(stopped.front()));
    if (!StartSession(sessions.back(), kDrawings, kKey)) {
      return 2;
    }
  }
  const int64_t stopped_at = NowMs();
  if (trouble) {
    log.Add("SIGTERM to VM " + stopped.name());
    stopped.Signal(SIGTERM);
  }
  totals found;
  std::vector<std::thread> clients;
  for (size_t i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      Pause(kFirstClient + kBetweenClients * i);
      RunTransaction(sessions[i], log, stopped_at, found);
    });
  }
  while (trouble && stopped.Lives() && NowMs() - stopped_at < kGraceS * 1'000) {
    Pause(milliseconds(5));
  }
  if (trouble) {
    log.Add("VM " + stopped.name() + (stopped.Lives() ? " runs" : " ended") +
            " " + std::to_string(NowMs() - stopped_at) + " ms after SIGTERM");
    stopped.Signal(SIGKILL);
  }
  for (std::thread& each : clients) {
    each.join();
  }
  log.Add(std::to_string(found.complete) + " transactions complete, " +
          std::to_string(found.cut) + " late statements cut");
  system.Stop();
  return found.cut > 0 ? 1 : 0;
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
