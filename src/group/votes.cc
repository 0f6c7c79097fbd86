// Votes of the vantage points on whether a member can be reached.
#include "src/group/votes.h"

#include <algorithm>

#include "src/group/guards.h"

namespace tarragondale::group {
namespace {

constexpr size_t kVantagePoints = 3;

}  // namespace

std::vector<const wire::vm_record*> VantagePoints(
    const fleet::fleet_view& view) {
  std::vector<const wire::vm_record*> points;
  for (const wire::vm_record& vm : view.vms) {
    if (vm.state == wire::vm_state::kAlive || vm.name == view.self) {
      points.push_back(&vm);
    }
  }
  return points;
}

vote_box::verdict vote_box::Decide(const fleet::fleet_view& view) const {
  const auto points = VantagePoints(view);
  std::set<std::string_view> zones;
  std::set<std::string_view> failed_zones;
  size_t failed = 0;
  size_t reached = 0;
  for (const wire::vm_record* vm : points) {
    zones.insert(vm->availability_zone);
    const auto vote = votes_.find(vm->name);
    if (vote == votes_.end()) {
      continue;
    }
    if (vote->second) {
      ++reached;
    } else {
      ++failed;
      failed_zones.insert(vm->availability_zone);
    }
  }
  const size_t quorum = SuspicionQuorum(points.size());
  const size_t zone_quorum = std::min(quorum, zones.size());
  if (failed >= quorum && failed_zones.size() >= zone_quorum) {
    return verdict::kUnreachable;
  }
  const size_t voters = std::min(points.size(), kVantagePoints);
  return reached + quorum > voters ? verdict::kReached : verdict::kOpen;
}

std::vector<std::string> vote_box::ChooseToAsk(time_point now,
                                               duration limit,
                                               const fleet::fleet_view& view) {
  const auto points = VantagePoints(view);
  std::set<std::string_view> zones;
  size_t active = 0;  // Answered, or asked and not overdue.
  std::vector<const wire::vm_record*> open;
  for (const wire::vm_record* vm : points) {
    const auto asked = asked_.find(vm->name);
    const bool waiting = asked != asked_.end() && now - asked->second < limit;
    if (vm->name == view.self || Has(vm->name) || waiting) {
      ++active;
      zones.insert(vm->availability_zone);
    } else {
      open.push_back(vm);
    }
  }
  std::vector<std::string> chosen;
  while (active < kVantagePoints && !open.empty()) {
    // Never asked before goes first, so that a dead VM does not block.
    const auto best = std::min_element(
        open.begin(), open.end(), [&](const auto* a, const auto* b) {
          const auto rank = [&](const auto* vm) {
            return std::pair(asked_.contains(vm->name),
                             zones.contains(vm->availability_zone));
          };
          return rank(a) < rank(b);
        });
    zones.insert((*best)->availability_zone);
    asked_[(*best)->name] = now;
    chosen.push_back((*best)->name);
    open.erase(best);
    ++active;
  }
  return chosen;
}

bool vote_box::IsAnswer(uint64_t sequence, const std::string& vm) const {
  const auto found = sequences_.find(sequence);
  return found != sequences_.end() && found->second == vm;
}

}  // namespace tarragondale::group
