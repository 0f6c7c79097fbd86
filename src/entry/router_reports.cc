// Reports of members and the interest in them.
#include <set>
#include <utility>

#include "src/entry/router.h"

namespace tarragondale::entry {
namespace {

constexpr seconds kInterestInterval{1};
// Reports of a group are asked for this long after its last request.
constexpr seconds kGroupInUse{60};

}  // namespace

void request_router::implementation::On(const report_arrived& arrived) {
  const std::string& group = arrived.report.group;
  members_.Report(now_, arrived.sender, arrived.report, PoolOfGroup(group));
  RouteWaiting(group);
}

void request_router::implementation::RouteWaiting(const std::string& group) {
  const auto waiting = waiting_.find(group);
  if (waiting == waiting_.end()) {
    return;
  }
  const waiting_set snapshot = waiting->second;
  for (const auto& [sequence, exchange] : snapshot) {
    const auto found = pending_.find(exchange);
    if (found != pending_.end()) {
      Route(found->second);
    }
  }
}

const config::pool_row* request_router::implementation::PoolOfGroup(
    std::string_view group) const {
  const auto found = pool_of_group_.find(group);
  return found == pool_of_group_.end() ? nullptr : found->second;
}

void request_router::implementation::UseGroup(const config::pool_row& pool) {
  const auto [use, first] = group_use_.try_emplace(pool.group, now_);
  use->second = now_;
  if (first) {
    SendInterest({&pool});
  }
}

void request_router::implementation::SendInterest(
    const std::vector<const config::pool_row*>& pools) {
  std::map<std::string, std::set<std::string>> groups_of_vm;
  for (const config::pool_row* const pool : pools) {
    for (const config::member_row& member : pool->members) {
      const std::string& vm = members_.GatewayOf(pool->group, member);
      if (!vm.empty()) {
        groups_of_vm[vm].insert(pool->group);
      }
    }
  }
  for (const auto& [vm, groups] : groups_of_vm) {
    actions_.emplace_back(send_interest{vm, {{groups.begin(), groups.end()}}});
  }
}

bool request_router::implementation::NeedsMaintenance() const {
  return !group_use_.empty() || !transactions_.empty() || !abandoned_.empty();
}

// Work of each second: interest, and forgetting what is not used any more.
void request_router::implementation::Maintain() {
  std::erase_if(group_use_, [this](const auto& use) {
    return now_ - use.second > kGroupInUse;
  });
  std::vector<const config::pool_row*> pools;
  for (const auto& [group, last_use] : group_use_) {
    if (const config::pool_row* const pool = PoolOfGroup(group)) {
      pools.push_back(pool);
    }
  }
  SendInterest(pools);
  std::erase_if(abandoned_, [this](const auto& entry) {
    return now_ > entry.second.expires;
  });
  transactions_.TakeIf([this](const open_transaction& transaction) {
    return now_ - transaction.last_use > options_.transaction_retention;
  });
  next_maintenance_.reset();
  if (NeedsMaintenance()) {
    next_maintenance_ = now_ + kInterestInterval;
  }
}

}  // namespace tarragondale::entry
