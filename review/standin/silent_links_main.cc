// All open connections between the VMs and the platform go silent for good,
// without a reset; new ones work. Then a key is withdrawn.
#include <thread>

#include "review/standin/world.h"

namespace review {
namespace {

constexpr int kVms = 3;
constexpr int64_t kContactMs = 4'000;
constexpr int64_t kApplyMs = 3'000;
constexpr int64_t kWithdrawDelayMs = 500;

void ReadTickets(world& in, int vm, const std::string& key) {
  client session("vm-" + std::to_string(vm) + " with " + key, in.Front(vm),
                 in.seen);
  while (!in.clients_stop) {
    if (!session.open() && !session.Open("tickets", key)) {
      SleepMs(100);
      continue;
    }
    session.Send("READ t1", 3'000);
    SleepMs(40);
  }
}

int Play(world& in) {
  group& members = in.service;
  members.Start("i-1a", in.MemberAddress(1), "taoyuan");
  members.Start("i-2b", in.MemberAddress(2), "kaohsiung");
  members.Start("i-3c", in.MemberAddress(3), "hsinchu");
  in.PutConfiguration(7, {{"tickets", "read_your_writes", 800}},
                      {{"lots", {"key-1", "key-2"}}});
  if (!in.StartVms()) {
    return kNotRun;
  }
  std::vector<std::thread> clients;
  for (int vm = 1; vm <= kVms; ++vm) {
    clients.emplace_back([&in, vm] { ReadTickets(in, vm, "key-1"); });
    clients.emplace_back([&in, vm] { ReadTickets(in, vm, "key-2"); });
  }
  SleepMs(20'000);
  const int64_t silence = NowMs();
  if (in.trouble) {
    record::Line("open connections to the platform go silent");
    for (int vm = 1; vm <= kVms; ++vm) {
      door& to_store = *in.store_doors[static_cast<size_t>(vm)];
      record::Line("vm-" + std::to_string(vm) + " has " +
                   std::to_string(to_store.open()) +
                   " connections to the store");
      to_store.Silence();
      in.promotion_doors[static_cast<size_t>(vm)]->Silence();
    }
  }
  SleepMs(kWithdrawDelayMs);
  in.PutConfiguration(8, {{"tickets", "read_your_writes", 800}},
                      {{"lots", {"key-1"}}});
  const int64_t acknowledged = NowMs();
  SleepMs(14'000);
  in.clients_stop = true;
  for (std::thread& each : clients) {
    each.join();
  }
  // A machine is in touch again contactMs after the silence began.
  const int64_t from = std::max(acknowledged + kApplyMs, silence + kContactMs);
  int late = 0;
  int64_t last = 0;
  for (const outcome& each : in.seen.All()) {
    if (each.vm.ends_with("key-2") && each.result == "DONE") {
      last = std::max(last, each.sent_ms - silence);
      late += each.sent_ms > from ? 1 : 0;
    }
  }
  record::Line("verdict: " + std::to_string(late) +
               " requests ran with a dropped key; the last one was sent " +
               std::to_string(last) + " ms after the silence began");
  return late > 0 ? kBroken : kHeld;
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
  review::world in(arguments, review::kVms, options);
  return review::Play(in);
}
