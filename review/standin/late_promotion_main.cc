// The failover controller is cut off from the platform while it replaces a
// primary that is leaving. Another VM takes over and finishes the replacement.
// Then the cut ends.
#include <set>
#include <thread>

#include "review/standin/world.h"

namespace review {
namespace {

constexpr int kVms = 3;
constexpr int kClientsPerVm = 2;
// core_cut of the site file: 5.5 s, one machine.
constexpr int64_t kCutMs = 5'500;
// After the controller marked the record; it promotes 200 to 400 ms after that.
constexpr int64_t kCutDelayMs = 100;
// drainMs and a little longer.
constexpr int64_t kDrainMs = 8'000;

void WriteOrders(world& in, int vm) {
  client session("vm-" + std::to_string(vm), in.Front(vm), in.seen);
  int64_t number = 0;
  while (!in.clients_stop) {
    if (!session.open() && !session.Open("orders", "key-1")) {
      SleepMs(100);
      continue;
    }
    ++number;
    session.Send("WRITE o" + std::to_string(number % 50) + " disc" +
                     std::to_string(number),
                 3000);
    SleepMs(40);
  }
}

// Counts what the rule ONE forbids.
int Judge(world& in) {
  int lower_tokens = 0;
  int64_t highest = 0;
  for (const promotions::request& each : in.platform_promotions.Requests()) {
    if (each.token < highest) {
      ++lower_tokens;
      record::Line("ONE: the promotion of " + each.id + " by " + each.holder +
                   " at " + std::to_string(each.at_ms) + " ms has token " +
                   std::to_string(each.token) + " after " +
                   std::to_string(highest));
    }
    highest = std::max(highest, each.token);
  }
  std::set<std::string> acknowledged;
  for (const outcome& each : in.seen.All()) {
    if (each.result == "DONE") {
      acknowledged.insert(each.id);
    }
  }
  int stale_commits = 0;
  for (const commit& each : in.service.Commits()) {
    if (each.superseded && acknowledged.contains(each.statement)) {
      ++stale_commits;
      record::Line("ONE: write " + each.statement +
                   " was committed at the old primary " + each.member +
                   " in term " + std::to_string(each.term) + " at " +
                   std::to_string(each.at_ms) + " ms, and acknowledged");
    }
  }
  record::Line(
      "verdict: " + std::to_string(lower_tokens) +
      " promotions with a lower token than seen before, " +
      std::to_string(stale_commits) +
      " acknowledged writes committed at an old primary after a promote");
  return lower_tokens + stale_commits > 0 ? kBroken : kHeld;
}

bool Served(world& in, int64_t since_ms) {
  int served = 0;
  for (const outcome& each : in.seen.All()) {
    served += each.sent_ms >= since_ms && each.result == "DONE" ? 1 : 0;
  }
  return served > 20;
}

int VmOf(const std::string& holder) {
  return holder.back() - '0';
}

int Play(world& in) {
  group& members = in.service;
  members.Start("i-1a", in.MemberAddress(1), "taoyuan");
  members.Start("i-2b", in.MemberAddress(2), "kaohsiung");
  members.Start("i-3c", in.MemberAddress(3), "hsinchu");
  in.PutConfiguration(7, {{"orders", "primary"}}, {{"lots", {"key-1"}}});
  if (!in.StartVms()) {
    return kNotRun;
  }
  std::vector<std::thread> clients;
  clients.reserve(kVms * kClientsPerVm);
  for (int i = 0; i < kVms * kClientsPerVm; ++i) {
    clients.emplace_back([&in, i] { WriteOrders(in, 1 + i % kVms); });
  }
  const auto end = [&](int verdict) {
    in.clients_stop = true;
    for (std::thread& each : clients) {
      each.join();
    }
    return verdict;
  };
  if (!WaitFor(20'000, [&] { return Served(in, 0); })) {
    return end(kNotRun);
  }
  // A release of the primary.
  members.Start("i-4d", in.MemberAddress(4), "taoyuan");
  SleepMs(1000);
  members.Drain("i-1a");
  if (!WaitFor(10'000, [&] { return members.Leader() != "i-1a"; })) {
    return end(kNotRun);
  }
  if (!WaitFor(10'000, [&, now = NowMs()] { return Served(in, now); })) {
    return end(kNotRun);
  }
  SleepMs(kDrainMs);
  members.Leave("i-1a");

  // Another release begins with the primary.
  members.Start("i-5e", in.MemberAddress(5), "taoyuan");
  SleepMs(1000);
  const std::string old_primary = members.Leader();
  const int controller = VmOf(in.platform_promotions.Requests().back().holder);
  std::atomic<int64_t> marked{0};
  in.platform_store.OnConditional([&marked] {
    int64_t none = 0;
    marked.compare_exchange_strong(none, NowMs());
  });
  members.Drain(old_primary);
  const int64_t drained = NowMs();
  const bool begun = WaitFor(5'000, [&] { return marked != 0; });
  in.platform_store.OnConditional({});
  if (!begun) {
    return end(kNotRun);
  }
  SleepMs(std::max<int64_t>(0, marked + kCutDelayMs - NowMs()));
  if (in.trouble) {
    record::Line("cut: vm-" + std::to_string(controller) +
                 " is partitioned from the platform");
    in.store_doors[static_cast<size_t>(controller)]->Cut();
    in.promotion_doors[static_cast<size_t>(controller)]->Cut();
  }
  const int64_t cut = NowMs();
  // The release goes on with the next member.
  SleepMs(drained + 1'500 - NowMs());
  members.Start("i-6f", in.MemberAddress(6), "kaohsiung");
  SleepMs(1000);
  members.Drain("i-2b");
  SleepMs(cut + kCutMs - NowMs());
  if (in.trouble) {
    record::Line("the cut ends");
    in.store_doors[static_cast<size_t>(controller)]->Heal();
    in.promotion_doors[static_cast<size_t>(controller)]->Heal();
  }
  SleepMs(std::max<int64_t>(0, drained + kDrainMs - NowMs()));
  members.Leave(old_primary);
  SleepMs(3'000);
  return end(Judge(in));
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
  review::world in(arguments, review::kVms, options);
  return review::Play(in);
}
