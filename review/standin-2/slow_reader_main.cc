// Case 7: a planned stop while clients read large answers over ordinary links.
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "review/standin-2/fleet.h"

namespace tarragondale::review {
namespace {

constexpr milliseconds kWork(55);  // The mean of the site's drawing-view.
constexpr const char* kItem = "shoulder-drawing";
constexpr size_t kItemBytes = 900'000;  // Below the limit of a message.
constexpr size_t kClients = 8;
// So that some answer is always on its way.
constexpr milliseconds kBetweenClients(90);
// A client takes this much at once, and then rests: 10 Mbit/s.
constexpr size_t kPiece = 12'500;
constexpr milliseconds kRest(10);
constexpr int kReceiveBuffer = 32 << 10;
constexpr milliseconds kBeforeStop(1'500);
constexpr milliseconds kAfterStop(8'000);

struct outcome {
  int complete = 0;
  int cut = 0;  ///< Run by a member, and the answer is not complete.
};

class reader {
 public:
  reader(group& members, record& log, uint16_t front)
      : members_(members),
        log_(log),
        socket_(line_socket::Connect(front, kReceiveBuffer)) {}

  bool Start() { return StartSession(socket_, kDrawings, kKey); }

  // Reads the item again and again until the connection ends or `end`.
  outcome Read(time_point end) {
    outcome found;
    while (std::chrono::steady_clock::now() < end) {
      const std::string id = NewId();
      const auto sent = std::chrono::steady_clock::now();
      if (!socket_.Send("QUERY " + id + " READ " + kItem + "\r\n")) {
        return found;
      }
      log_.Add("client sent " + id);
      const size_t received = ReadAnswer();
      const auto took = std::chrono::duration_cast<milliseconds>(
          std::chrono::steady_clock::now() - sent);
      const std::string text = id + ": " + std::to_string(received) +
                               " bytes after " + std::to_string(took.count()) +
                               " ms";
      if (complete_) {
        ++found.complete;
        log_.Add("client has the answer to " + text);
        continue;
      }
      // Not counted: what no member ran, or what reached the route's timeout.
      const bool counts = members_.HasRun(id) && took < kDrawingsTimeout;
      found.cut += counts ? 1 : 0;
      log_.Add("the connection ended within the answer to " + text +
               (counts ? "; a member ran it" : "; not counted"));
      return found;
    }
    return found;
  }

 private:
  size_t ReadAnswer() {
    size_t received = 0;
    std::string tail;
    complete_ = false;
    while (!complete_) {
      const std::string piece = socket_.Some(kPiece);
      if (piece.empty()) {
        break;
      }
      received += piece.size();
      tail += piece;
      constexpr size_t kTail = 200;
      tail.erase(0, tail.size() > kTail ? tail.size() - kTail : 0);
      complete_ =
          tail.ends_with("\r\n") && tail.find("\r\nREADY ") < tail.size();
      Pause(kRest);
    }
    return received;
  }

  group& members_;
  record& log_;
  line_socket socket_;
  bool complete_ = false;
};

int Run(const std::string& folder, record& log, bool trouble) {
  static deployment system(folder, log, [] { return kWork; });
  system.members().Load(kItem, std::string(kItemBytes, 'd'));
  if (!system.Start()) {
    return 2;
  }
  vm& stopped = *system.vms().front();
  std::atomic<int> complete{0};
  std::atomic<int> cut{0};
  std::atomic<bool> started{true};
  const auto end = std::chrono::steady_clock::now() + kBeforeStop + kAfterStop;
  std::vector<std::thread> clients;
  for (size_t i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      Pause(kBetweenClients * i);
      reader each(system.members(), log, stopped.front());
      if (!each.Start()) {
        started = false;
        return;
      }
      const outcome found = each.Read(end);
      complete += found.complete;
      cut += found.cut;
    });
  }
  Pause(kBeforeStop);
  if (trouble) {
    log.Add("SIGTERM to VM " + stopped.name());
    stopped.Signal(SIGTERM);
    const int64_t sent = NowMs();
    while (stopped.Lives() && NowMs() - sent < kGraceS * 1'000) {
      Pause(milliseconds(5));
    }
    log.Add("VM " + stopped.name() + (stopped.Lives() ? " runs" : " ended") +
            " " + std::to_string(NowMs() - sent) + " ms after SIGTERM");
    stopped.Signal(SIGKILL);
  }
  for (std::thread& each : clients) {
    each.join();
  }
  log.Add(std::to_string(complete) + " answers complete, " +
          std::to_string(cut) + " cut after a member ran them");
  system.Stop();
  if (!started || complete == 0) {
    return 2;
  }
  return cut > 0 ? 1 : 0;
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
