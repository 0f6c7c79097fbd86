// A version of the configuration removes a route on which sessions are open and
// idle. Later a VM is shut down (SIGTERM), and such a session sends a
// statement. The fleet is large enough for sessions to run on hosts.
#include <csignal>
#include <thread>

#include "review/standin/world.h"

namespace review {
namespace {

constexpr int kVms = 18;
constexpr int kClients = 8;
constexpr int64_t kGraceMs = 6'000;
constexpr int64_t kTimeoutMs = 800;
constexpr int64_t kLossSlackMs = 200;
// configApplyMs of such fleets, and a little more.
constexpr int64_t kApplyMs = 6'000;
// The balancer asks once a second and takes a VM out after two misses.
constexpr int64_t kBalancerMs = 2'000;
constexpr int64_t kLateStatementMs = 1'000;
constexpr int64_t kPauseMs = 10;
constexpr int64_t kPatienceMs = 12'000;

// One operation for each session, as long as the balancer leads here.
void ReadTickets(world& in, const std::atomic<int64_t>& closes_at) {
  while (!in.clients_stop && NowMs() < closes_at) {
    client session("vm-1", in.Front(1), in.seen);
    if (session.Open("tickets", "key-1")) {
      session.Send("READ t1", kPatienceMs);
    }
    SleepMs(kPauseMs);
  }
}

int Judge(world& in, int64_t term) {
  int lost = 0;
  int served = 0;
  for (const outcome& each : in.seen.All()) {
    served += each.result == "DONE" ? 1 : 0;
    if (each.result == "closed" && each.ended_ms > term &&
        each.ended_ms <= term + kGraceMs + 1'000 &&
        each.ended_ms - each.sent_ms > kLossSlackMs) {
      ++lost;
      record::Line("LOST: " + each.id + " " + each.text + " at " + each.vm +
                   " sent " + std::to_string(each.sent_ms - term) +
                   " ms after SIGTERM; its connection ended after " +
                   std::to_string(each.ended_ms - each.sent_ms) +
                   " ms without an answer");
    }
  }
  record::Line("verdict: " + std::to_string(lost) + " requests lost, " +
               std::to_string(served) + " served");
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
  const route tickets{"tickets", "read_your_writes", kTimeoutMs};
  const route archive{"archive", "read_your_writes", kTimeoutMs};
  in.PutConfiguration(7, {tickets, archive}, {{"lots", {"key-1"}}});
  if (!in.StartVms()) {
    return kNotRun;
  }
  SleepMs(5'000);
  std::atomic<int64_t> closes_at{INT64_MAX};
  std::vector<std::thread> clients;
  clients.reserve(kClients);
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&in, &closes_at] { ReadTickets(in, closes_at); });
  }
  client idle("vm-1", in.Front(1), in.seen);
  const bool served = idle.Open("archive", "key-1");
  in.PutConfiguration(8, {tickets}, {{"lots", {"key-1"}}});
  SleepMs(kApplyMs);
  const int64_t term = NowMs();
  const int process = in.ProcessOf(1);
  if (in.trouble) {
    closes_at = term + kBalancerMs;
    record::Line("SIGTERM to vm-1");
    kill(process, SIGTERM);
  }
  std::thread last([&] {
    SleepMs(kLateStatementMs);
    if (served && idle.open()) {
      idle.Send("READ a2", kPatienceMs);
    }
  });
  SleepMs(kGraceMs);
  if (in.trouble) {
    const bool runs = in.ProcessOf(1) == process;
    record::Line(runs ? "vm-1 still runs graceS after SIGTERM: SIGKILL"
                      : "vm-1 has ended within graceS");
    if (runs) {
      kill(process, SIGKILL);
    }
  }
  SleepMs(1'500);
  in.clients_stop = true;
  last.join();
  for (std::thread& each : clients) {
    each.join();
  }
  return served ? Judge(in, term) : kNotRun;
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
