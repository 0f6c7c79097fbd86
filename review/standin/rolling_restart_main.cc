// All VMs of a fleet are restarted in turn, two seconds apart. The fleet is one
// VM larger than the largest in which each VM runs its own callers' sessions.
#include <csignal>
#include <memory>
#include <thread>

#include "review/standin/world.h"

namespace review {
namespace {

constexpr int kVms = 17;
constexpr int kSessionsPerVm = 15;
constexpr int kRestarts = kVms;
constexpr int64_t kGapMs = 2'000;  // roll_term: gap_s of the site files.
constexpr int64_t kGraceMs = 6'000;
constexpr int64_t kTimeoutMs = 800;
constexpr int64_t kLossSlackMs = 200;
constexpr int64_t kPatienceMs = 12'000;

// A long session that is mostly idle; it comes back after a close, to a VM that
// is ready.
void UseSession(world& in, int number) {
  int vm = 1 + number % kVms;
  auto session = std::make_unique<client>("vm-" + std::to_string(vm),
                                          in.Front(vm), in.seen);
  while (!in.clients_stop) {
    if (session->open()) {
      session->Send("READ t" + std::to_string(number), kPatienceMs);
      SleepMs(500 + 37 * (number % 20));
      continue;
    }
    vm = 1 + (vm + 5) % kVms;
    if (HttpGet(in.Address(10 + vm, 8460), "/tarragondale/readiness") == 200) {
      session = std::make_unique<client>("vm-" + std::to_string(vm),
                                         in.Front(vm), in.seen);
      session->Open("tickets", "key-1");
    }
    SleepMs(50);
  }
}

struct stop {
  int vm = 0;
  int process = 0;
  int64_t at_ms = 0;
  bool killed = false;
};

int Judge(world& in, const std::vector<stop>& stops) {
  int lost = 0;
  int served = 0;
  for (const outcome& each : in.seen.All()) {
    served += each.result == "DONE" ? 1 : 0;
    if (each.result != "closed" ||
        each.ended_ms - each.sent_ms <= kLossSlackMs) {
      continue;
    }
    for (const stop& of : stops) {
      if (each.vm == "vm-" + std::to_string(of.vm) &&
          each.ended_ms > of.at_ms &&
          each.ended_ms <= of.at_ms + kGraceMs + 1'000) {
        ++lost;
        record::Line("LOST: " + each.id + " " + each.text + " at " + each.vm +
                     " sent " + std::to_string(each.sent_ms - of.at_ms) +
                     " ms after SIGTERM; its connection ended after " +
                     std::to_string(each.ended_ms - each.sent_ms) +
                     " ms without an answer");
      }
    }
  }
  int hung = 0;
  for (const stop& of : stops) {
    hung += of.killed ? 1 : 0;
  }
  record::Line("verdict: " + std::to_string(lost) + " requests lost, " +
               std::to_string(hung) + " of " + std::to_string(stops.size()) +
               " VMs still ran after graceS, " + std::to_string(served) +
               " requests served");
  if (served < 100) {
    return kNotRun;
  }
  return lost > 0 ? kBroken : kHeld;
}

int Play(world& in) {
  group& members = in.service;
  members.Start("i-1a", in.MemberAddress(1), "taoyuan");
  members.Start("i-2b", in.MemberAddress(2), "kaohsiung");
  members.Start("i-3c", in.MemberAddress(3), "hsinchu");
  in.PutConfiguration(7, {{"tickets", "read_your_writes", kTimeoutMs}},
                      {{"lots", {"key-1"}}});
  if (!in.StartVms()) {
    return kNotRun;
  }
  SleepMs(5'000);
  std::vector<std::thread> clients;
  clients.reserve(kVms * kSessionsPerVm);
  for (int i = 0; i < kVms * kSessionsPerVm; ++i) {
    clients.emplace_back([&in, i] { UseSession(in, i); });
  }
  SleepMs(8'000);
  std::vector<stop> stops;
  const int64_t start = NowMs();
  while (NowMs() < start + kRestarts * kGapMs + kGraceMs + 1'000) {
    const auto begun = static_cast<int>(stops.size());
    if (in.trouble && begun < kRestarts && NowMs() >= start + begun * kGapMs) {
      const int vm = begun + 1;
      stops.push_back({vm, in.ProcessOf(vm), NowMs()});
      record::Line("SIGTERM to vm-" + std::to_string(vm));
      kill(stops.back().process, SIGTERM);
    }
    for (stop& each : stops) {
      if (!each.killed && NowMs() >= each.at_ms + kGraceMs &&
          in.ProcessOf(each.vm) == each.process) {
        record::Line("vm-" + std::to_string(each.vm) +
                     " still runs graceS after SIGTERM: SIGKILL");
        each.killed = true;
        kill(each.process, SIGKILL);
      }
    }
    SleepMs(10);
  }
  in.clients_stop = true;
  for (std::thread& each : clients) {
    each.join();
  }
  return Judge(in, stops);
}

}  // namespace
}  // namespace review

int main(int count, char** arguments) {
  if (count != 5) {
    return review::kNotRun;
  }
  review::group_options options;
  options.service = "orders-db-1";
  options.replica_lag_ms = 60;
  options.work_ms = 14;
  options.slots = 3;
  options.max_connections = 57;
  review::world in(arguments, review::kVms, options);
  return review::Play(in);
}
