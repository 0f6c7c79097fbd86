// A VM is shut down (SIGTERM) while its clients are in transactions that read.
#include <csignal>
#include <thread>

#include "review/standin/world.h"

namespace review {
namespace {

constexpr int kVms = 4;
constexpr int kClientsPerVm = 40;
constexpr int64_t kGraceMs = 6'000;
// drawing-view of the site bluemahoe-orders.
constexpr int64_t kTimeoutMs = 3'000;
constexpr int64_t kDeadlineMs = 6'000;
// "up to 12 statements"
constexpr int kReads = 12;
constexpr int64_t kPauseMs = 10;
// A request may be cut if it was sent no later than this after SIGTERM and the
// member was still at work in the last sixth of graceS.
constexpr int64_t kEarlyMs = 3'000;

// Transactions of twelve reads, one after the other, as long as the session
// lives.
void ViewDrawings(world& in, int vm, int number) {
  client session("vm-" + std::to_string(vm), in.Front(vm), in.seen);
  while (!in.clients_stop) {
    if (!session.open() && !session.Open("drawings", "key-1")) {
      SleepMs(100);
      continue;
    }
    const int64_t until = NowMs() + kDeadlineMs;
    if (session.Send("BEGIN READ", kDeadlineMs).state != "T") {
      SleepMs(100);
      continue;
    }
    bool failed = false;
    for (int i = 0; i < kReads && session.open() && !failed; ++i) {
      SleepMs(kPauseMs);
      failed = NowMs() >= until ||
               session.Send("READ d" + std::to_string(number * kReads + i),
                            until - NowMs())
                       .state != "T";
    }
    if (session.open()) {
      session.Send(failed ? "ROLLBACK" : "COMMIT", kDeadlineMs);
    }
  }
}

// Counts requests that the rule LOST forbids to lose.
int Judge(world& in, int64_t term_ms) {
  const auto arrived = in.service.Arrived();
  int lost = 0;
  int excused = 0;
  for (const outcome& each : in.seen.All()) {
    const bool around = each.vm == "vm-1" && each.ended_ms >= term_ms &&
                        each.ended_ms <= term_ms + kGraceMs + 1'000;
    if (!around || each.result != "closed" || !arrived.contains(each.id) ||
        each.ended_ms - each.sent_ms >= kTimeoutMs) {
      continue;
    }
    if (each.sent_ms <= term_ms + kEarlyMs &&
        each.ended_ms >= term_ms + kGraceMs * 5 / 6) {
      ++excused;
      continue;
    }
    ++lost;
    record::Line("LOST: " + each.id + " " + each.text + " sent " +
                 std::to_string(each.sent_ms - term_ms) +
                 " ms after SIGTERM was passed on to a member; its connection "
                 "ended " +
                 std::to_string(each.ended_ms - term_ms) +
                 " ms after SIGTERM without an answer");
  }
  record::Line("verdict: " + std::to_string(lost) + " requests lost, " +
               std::to_string(excused) + " excused");
  return lost > 0 ? kBroken : kHeld;
}

int Play(world& in) {
  group& members = in.service;
  members.Start("i-1a", in.MemberAddress(1), "taoyuan");
  members.Start("i-2b", in.MemberAddress(2), "kaohsiung");
  members.Start("i-3c", in.MemberAddress(3), "hsinchu");
  in.PutConfiguration(7, {{"drawings", "bounded_staleness", kTimeoutMs}},
                      {{"lots", {"key-1"}}});
  if (!in.StartVms()) {
    return kNotRun;
  }
  std::vector<std::thread> clients;
  clients.reserve(kVms * kClientsPerVm);
  for (int i = 0; i < kVms * kClientsPerVm; ++i) {
    clients.emplace_back([&in, i] { ViewDrawings(in, 1 + i % kVms, i); });
  }
  SleepMs(8'000);
  const int64_t term = NowMs();
  const int process = in.ProcessOf(1);
  if (in.trouble) {
    record::Line("SIGTERM to vm-1");
    kill(process, SIGTERM);
  }
  SleepMs(kGraceMs);
  if (in.trouble && in.ProcessOf(1) == process) {
    kill(process, SIGKILL);
  }
  SleepMs(1'500);
  in.clients_stop = true;
  for (std::thread& each : clients) {
    each.join();
  }
  int served = 0;
  for (const outcome& each : in.seen.All()) {
    served += each.result == "DONE" ? 1 : 0;
  }
  return served < 200 ? kNotRun : Judge(in, term);
}

}  // namespace
}  // namespace review

int main(int count, char** arguments) {
  if (count != 5) {
    return review::kNotRun;
  }
  review::group_options options;
  options.service = "orders-db-1";
  options.replica_lag_ms = 8;
  options.promote_ms = 600;
  options.work_ms = 55;
  options.work_spread = 0.7;
  options.work_most_ms = 410;
  options.slots = 5;
  options.queue = 40;
  options.max_connections = 60;
  review::world in(arguments, review::kVms, options);
  return review::Play(in);
}
