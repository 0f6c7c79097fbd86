// Scripted peers of one VM.
#include "src/capacity/scripted_fleet.h"

#include <algorithm>
#include <cmath>

#include "src/capacity/population.h"

namespace tarragondale::capacity {
namespace {

constexpr double kSecondsPerDay = 86'400;
// Each VM probes one other VM every 500 ms, so each is probed as often.
constexpr double kProbesPerSecond = 2;
constexpr duration kRoundTrip = milliseconds(3);
constexpr duration kSuspicion = milliseconds(1'500);
constexpr duration kLeave = milliseconds(1'000);
// A peer that heard of a change repeats it in 3 log2(n) messages, which takes
// about this long at four messages a second and 4,700 VMs.
constexpr duration kRumourTime = seconds(10);
constexpr size_t kGossipRecords = 6;

}  // namespace

scripted_fleet::scripted_fleet(int vms, churn rates, uint64_t seed)
    : random_(seed), rates_(rates), next_index_(vms) {
  for (int i = 1; i < vms; ++i) {
    peers_.push_back(MakeVm(i));
  }
  const time_point start = TimeFromMs(0);
  Schedule(start, kind::kProbe, kProbesPerSecond);
  Schedule(start, kind::kFailure, rates_.failures_per_day / kSecondsPerDay);
  Schedule(start, kind::kReplacement,
           rates_.replacements_per_day / kSecondsPerDay);
}

std::vector<wire::vm_record> scripted_fleet::Records() const {
  return peers_;
}

void scripted_fleet::Schedule(time_point now, kind what, double rate) {
  if (rate > 0) {
    const double wait = std::exponential_distribution<double>(rate)(random_);
    queue_.push({now + std::chrono::duration_cast<duration>(
                           std::chrono::duration<double>(wait)),
                 what,
                 "",
                 {}});
  }
}

std::optional<scripted_message> scripted_fleet::Next(time_point end) {
  while (queue_.top().at < end) {
    const pending next = queue_.top();
    queue_.pop();
    if (next.what == kind::kFailure) {
      Fail(next.at);
      Schedule(next.at, next.what, rates_.failures_per_day / kSecondsPerDay);
    } else if (next.what == kind::kReplacement) {
      Replace(next.at);
      Schedule(next.at, next.what,
               rates_.replacements_per_day / kSecondsPerDay);
    } else if (next.what == kind::kProbe) {
      Schedule(next.at, next.what, kProbesPerSecond);
      const std::string peer = peers_[RandomPeer()].name;
      return scripted_message{
          next.at,
          {peer,
           wire::probe{
               ++sequence_, VmName(0), peer, {1, 10}, Gossip(next.at, peer)}}};
    } else {
      return scripted_message{
          next.at,
          {next.peer,
           wire::probe_answer{next.probe.sequence, next.probe.target,
                              next.probe.origin, next.probe.freshness,
                              Gossip(next.at, next.peer)}}};
    }
  }
  return std::nullopt;
}

void scripted_fleet::Take(time_point now,
                          const std::string& vm,
                          const wire::message_body& body) {
  const auto* const probe = std::get_if<wire::probe>(&body);
  const auto runs =
      std::any_of(peers_.begin(), peers_.end(),
                  [&](const wire::vm_record& peer) { return peer.name == vm; });
  if (probe != nullptr && probe->target == vm && runs) {
    queue_.push({now + kRoundTrip, kind::kAnswer, vm, *probe});
  }
}

void scripted_fleet::Tell(time_point at,
                          wire::vm_record record,
                          wire::vm_state state) {
  record.state = state;
  rumours_.push_back({at, std::move(record)});
}

void scripted_fleet::Fail(time_point now) {
  ++changes_;
  const size_t index = RandomPeer();
  const wire::vm_record failed = peers_[index];
  peers_[index] = peers_.back();
  peers_.pop_back();
  Tell(now + seconds(1), failed, wire::vm_state::kSuspect);
  Tell(now + seconds(1) + kSuspicion, failed, wire::vm_state::kDead);
  // The platform starts another VM.
  peers_.push_back(MakeVm(next_index_++));
  Tell(now + seconds(1), peers_.back(), wire::vm_state::kAlive);
}

void scripted_fleet::Replace(time_point now) {
  ++changes_;
  wire::vm_record& replaced = peers_[RandomPeer()];
  Tell(now, replaced, wire::vm_state::kLeaving);
  Tell(now + kLeave, replaced, wire::vm_state::kDead);
  replaced = MakeVm(next_index_++);
  Tell(now + kLeave, replaced, wire::vm_state::kAlive);
}

std::vector<wire::vm_record> scripted_fleet::Gossip(time_point now,
                                                    const std::string& peer) {
  std::erase_if(rumours_, [&](const rumour& one) {
    return now - one.known > kRumourTime;
  });
  std::vector<wire::vm_record> records;
  const auto own = std::find_if(
      peers_.begin(), peers_.end(),
      [&](const wire::vm_record& record) { return record.name == peer; });
  if (own != peers_.end()) {
    records.push_back(*own);
  }
  for (const rumour& one : rumours_) {
    if (one.known <= now && records.size() <= kGossipRecords) {
      records.push_back(one.record);
    }
  }
  records.push_back(peers_[RandomPeer()]);
  return records;
}

}  // namespace tarragondale::capacity
