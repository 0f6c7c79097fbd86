// Shares of the statements for cold members.
#include "src/interactive/cold_allowance.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <functional>

#include "tarragondale/fleet.h"

namespace tarragondale::interactive {
namespace {

// Four fifths of the promised bound of 1.5 x rate + 5 statements in any second.
// The rest is for VMs whose view of the fleet is older.
constexpr double kPlannedRate = 1.2;
constexpr double kPlannedBurst = 4;
// Members whose last statement is older are forgotten; by then their tokens are
// back.
constexpr duration kMemberRetention = seconds(120);
// Slots that are searched for the next one of this VM. Statements wait for less
// than one slot.
constexpr int64_t kSearchedSlots = 2;
// Slots of which the senders are kept.
constexpr size_t kKnownSlots = 4;

duration Seconds(double value) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(value));
}

// The `count` names with the highest weights for `role`.
std::vector<std::string> Ranked(const std::string& role,
                                const std::vector<std::string>& names,
                                size_t count) {
  std::vector<std::pair<uint64_t, std::string>> ranked;
  ranked.reserve(names.size());
  for (const std::string& name : names) {
    ranked.emplace_back(fleet::RendezvousWeight(role, name), name);
  }
  std::sort(ranked.begin(), ranked.end(), std::greater<>());
  std::vector<std::string> first;
  for (size_t i = 0; i < std::min(count, ranked.size()); ++i) {
    first.push_back(ranked[i].second);
  }
  return first;
}

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

double cold_allowance::PlannedPerSecond(double rate) {
  return kPlannedRate * rate + kPlannedBurst;
}

void cold_allowance::SetSenders(const cold_senders& senders, time_point now) {
  if (senders == senders_) {
    return;
  }
  for (const std::string& name : senders_.vms) {
    seen_[name] = now;
  }
  for (const std::string& name : senders.vms) {
    seen_[name] = now;
  }
  std::erase_if(
      seen_, [&](const auto& each) { return now - each.second > kRetention; });
  incomplete_until_ =
      !senders.candidates.empty() && 2 * senders.vms.size() < seen_.size()
          ? now + kRetention
          : time_point();
  // From all VMs to hosts or back, the shares don't add up: all wait.
  const bool other_kind =
      senders.candidates.empty() != senders_.candidates.empty();
  senders_ = senders;
  changed_ = now;
  for (auto& [member, of] : members_) {
    of.slots.clear();
  }
  for (auto& [group, of] : groups_) {
    of.sends = of.sends && !other_kind;
    Update(group, of);
  }
}

std::vector<std::string> cold_allowance::SendersOf(
    const std::string& group) const {
  if (senders_.candidates.empty()) {
    std::vector<std::string> all;
    for (const auto& [name, time] : seen_) {
      all.push_back(name);
    }
    return all;
  }
  std::vector<std::string> hosts;
  for (const auto& [region, names] : senders_.candidates) {
    for (std::string& name : Ranked(group, names, senders_.hosts)) {
      hosts.push_back(std::move(name));
    }
  }
  return hosts;
}

void cold_allowance::Update(const std::string& group, group_state& of) {
  of.senders = SendersOf(group);
  const bool sends = senders_.vms.contains(senders_.self) &&
                     Contains(of.senders, senders_.self);
  if (sends && !of.sends) {
    of.since = changed_;
  }
  of.sends = sends;
  // Without hosts, VMs that left count for `kRetention`.
  of.largest = senders_.candidates.empty()
                   ? of.senders.size()
                   : std::max(of.largest, of.senders.size());
}

const cold_allowance::group_state& cold_allowance::GroupOf(
    const std::string& group) {
  const auto [found, added] = groups_.try_emplace(group);
  if (added) {
    Update(group, found->second);
  }
  return found->second;
}

cold_allowance::share cold_allowance::ShareOf(double rate, size_t senders) {
  const double planned = PlannedPerSecond(rate);
  share own;
  const auto count = static_cast<double>(std::max<size_t>(1, senders));
  if (count <= planned) {
    own.per_second = static_cast<size_t>(planned / count);
    own.rate = rate / count;
    return own;
  }
  own.per_slot = static_cast<size_t>(planned / 2);
  own.rate = std::min(1.0, rate / static_cast<double>(own.per_slot));
  // Whole intervals, so that the rate also holds over many slots.
  const duration interval = Seconds(1 / own.rate);
  own.slot = interval * ((kMinSlot + interval - duration(1)) / interval);
  return own;
}

cold_allowance::member_state& cold_allowance::StateOf(const std::string& member,
                                                      const share& own,
                                                      time_point now) {
  const auto [found, added] = members_.try_emplace(member);
  member_state& of = found->second;
  const auto most = static_cast<double>(own.per_second);
  if (of.per_slot != own.per_slot) {
    of.per_slot = own.per_slot;
    of.slots.clear();
  }
  if (added) {
    of.tokens = most;
  } else {
    const std::chrono::duration<double> passed = now - of.refilled;
    of.tokens = std::min(most, of.tokens + own.rate * passed.count());
  }
  of.refilled = now;
  while (!of.sent.empty() && now - of.sent.front() >= seconds(1)) {
    of.sent.pop_front();
  }
  return of;
}

bool cold_allowance::InSlot(const std::string& member,
                            int64_t slot,
                            const share& own,
                            const group_state& of) {
  std::map<int64_t, bool>& known = members_.at(member).slots;
  if (known.size() > kKnownSlots) {
    known.clear();
  }
  const auto [found, added] = known.try_emplace(slot, false);
  if (added) {
    found->second = Contains(
        Ranked(fmt::format("{}/{}", member, slot), of.senders, own.per_slot),
        senders_.self);
  }
  return found->second;
}

std::optional<time_point> cold_allowance::NextAt(const std::string& member,
                                                 const std::string& group,
                                                 double rate,
                                                 time_point cold_until,
                                                 time_point now) {
  const group_state& of = GroupOf(group);
  if (!of.sends) {
    return std::nullopt;
  }
  const share own = ShareOf(rate, of.largest);
  const member_state& state = StateOf(member, own, now);
  time_point next = std::max({now, of.since + kSettleTime, incomplete_until_});
  if (state.sent.size() >= own.per_second) {
    next = std::max(
        next, state.sent[state.sent.size() - own.per_second] + seconds(1));
  }
  if (state.tokens < 1) {
    // One unit later, since the conversion rounds down.
    next = std::max(next,
                    now + Seconds((1 - state.tokens) / own.rate) + duration(1));
  }
  if (own.per_slot == 0) {
    return next;
  }
  for (int64_t i = 0; i < kSearchedSlots && next < cold_until; ++i) {
    const int64_t slot = (cold_until - next) / own.slot;
    if (InSlot(member, slot, own, of)) {
      return next;
    }
    next = cold_until - slot * own.slot + duration(1);
  }
  return std::nullopt;
}

void cold_allowance::Spend(const std::string& member,
                           const std::string& group,
                           double rate,
                           time_point now) {
  member_state& state =
      StateOf(member, ShareOf(rate, GroupOf(group).largest), now);
  state.tokens -= 1;
  state.sent.push_back(now);
  std::erase_if(members_, [&](const auto& each) {
    return now - each.second.refilled > kMemberRetention;
  });
}

}  // namespace tarragondale::interactive
