// A new version of the configuration takes a key from one tenant and gives it
// to another, while sessions with that key are open. The fleet is large enough
// for sessions to run on other VMs than their callers are connected to.
#include <thread>

#include "review/standin/world.h"

namespace review {
namespace {

constexpr int kVms = 20;
constexpr int64_t kApplyMs = 5'000;  // configApplyMs of such fleets.
constexpr int64_t kTimeoutMs = 800;

void ReadTickets(world& in, int vm) {
  client session("vm-" + std::to_string(vm), in.Front(vm), in.seen);
  while (!in.clients_stop) {
    if (!session.open() && !session.Open("tickets", "key-moved")) {
      SleepMs(100);
      continue;
    }
    session.Send("READ t" + std::to_string(vm), 3'000);
    SleepMs(200);
  }
}

int Play(world& in) {
  group& members = in.service;
  members.Start("i-1a", in.MemberAddress(1), "taoyuan");
  members.Start("i-2b", in.MemberAddress(2), "kaohsiung");
  members.Start("i-3c", in.MemberAddress(3), "hsinchu");
  const std::vector<route> routes = {
      {"tickets", "read_your_writes", kTimeoutMs}};
  in.PutConfiguration(7, routes,
                      {{"red", {"key-red", "key-moved"}}, {"blue", {"key-b"}}});
  if (!in.StartVms()) {
    return kNotRun;
  }
  SleepMs(5'000);
  std::vector<std::thread> clients;
  for (int vm = 1; vm <= kVms; ++vm) {
    clients.emplace_back([&in, vm] { ReadTickets(in, vm); });
  }
  SleepMs(5'000);
  const std::string owner = in.trouble ? "blue" : "red";
  if (in.trouble) {
    in.PutConfiguration(
        8, routes, {{"red", {"key-red"}}, {"blue", {"key-b", "key-moved"}}});
  } else {
    in.PutConfiguration(
        8, routes, {{"red", {"key-red", "key-moved"}}, {"blue", {"key-b"}}});
  }
  const int64_t acknowledged = NowMs();
  SleepMs(kApplyMs + 10'000);
  in.clients_stop = true;
  for (std::thread& each : clients) {
    each.join();
  }
  const auto arrived = in.service.Arrived();
  int foreign = 0;
  int own = 0;
  for (const outcome& each : in.seen.All()) {
    const auto found = arrived.find(each.id);
    if (found == arrived.end() || each.sent_ms <= acknowledged + kApplyMs) {
      continue;
    }
    if (found->second == owner) {
      ++own;
    } else if (++foreign <= 10) {
      record::Line("UNASKED: " + each.id + " of a session at " + each.vm +
                   " was sent " + std::to_string(each.sent_ms - acknowledged) +
                   " ms after the acknowledgement and ran for tenant " +
                   found->second + "; the key belongs to " + owner);
    }
  }
  record::Line("verdict: " + std::to_string(foreign) +
               " requests ran for another tenant than the one that holds the "
               "key, " +
               std::to_string(own) + " for the right one");
  if (own + foreign < 100) {
    return kNotRun;
  }
  return foreign > 0 ? kBroken : kHeld;
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
