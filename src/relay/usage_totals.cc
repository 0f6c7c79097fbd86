// Totals of the operations that VMs admit.
#include <algorithm>

#include "tarragondale/relay.h"

namespace tarragondale::relay {
namespace {

using wire::usage_scope;

// Two digest intervals. A receiver adds how long it waits for this VM's report
// until it withholds the part of VMs that are not counted.
constexpr duration kReportLifetime = milliseconds(1'000);
// The entry of a VM that has not reported for this long is dropped: the VM
// follows another relay or is gone.
constexpr duration kReporterLifetime = seconds(60);

// Whether a report that this VM received in scope `reported` is included in one
// that it builds in scope `asked`. Relays report themselves and their followers
// to each other (`kFollowers`), and all VMs to a follower (`kFleet`).
bool Counts(usage_scope reported, usage_scope asked) {
  switch (asked) {
    case usage_scope::kOwn:
      return false;
    case usage_scope::kFollowers:
      return reported == usage_scope::kOwn;
    case usage_scope::kFleet:
      return reported != usage_scope::kFleet;
  }
  return false;
}

}  // namespace

std::vector<usage_totals::increment> usage_totals::Take(
    std::string_view vm,
    int64_t incarnation,
    usage_scope scope,
    int64_t counted_vms,
    const std::vector<wire::organisation_usage>& usage_list,
    time_point now) {
  const auto found = reporters_.find(vm);
  const bool first = found == reporters_.end();
  const bool new_scope = !first && found->second.scope != scope;
  reporter& from = reporters_[std::string(vm)];
  if (new_scope) {
    RetainTotals(from);
    from.by_organisation.clear();
  } else if (!first && incarnation > from.incarnation) {
    for (auto& [name, each] : from.by_organisation) {
      each.reported = 0;  // The counters of a new process start at 0.
    }
  }
  from.incarnation = incarnation;
  from.scope = scope;
  from.counted_vms = counted_vms;
  from.last_heard = now;
  std::vector<increment> increments;
  for (const wire::organisation_usage& each : usage_list) {
    usage& known = from.by_organisation[each.organisation];
    const bool counts = !first && !new_scope && each.admitted > known.reported;
    const uint64_t operations = counts ? each.admitted - known.reported : 0;
    known.reported = std::max(known.reported, each.admitted);
    known.operations += operations;
    known.demand_per_s = static_cast<double>(each.demand_per_s);
    increments.push_back({each.organisation, operations, known.demand_per_s});
  }
  return increments;
}

std::vector<wire::organisation_usage> usage_totals::Report(
    const std::vector<wire::organisation_usage>& own,
    usage_scope scope,
    std::string_view receiver) const {
  if (scope == usage_scope::kOwn) {
    return own;
  }
  std::map<std::string, wire::organisation_usage, std::less<>> totals;
  const auto of = [&](const std::string& name) -> wire::organisation_usage& {
    wire::organisation_usage& total = totals[name];
    total.organisation = name;
    return total;
  };
  for (const wire::organisation_usage& each : own) {
    of(each.organisation) = each;
  }
  for (const auto& [reported, by_organisation] : retained_totals_) {
    if (Counts(reported, scope)) {
      for (const auto& [name, operations] : by_organisation) {
        of(name).admitted += operations;
      }
    }
  }
  for (const auto& [name, from] : reporters_) {
    if (name == receiver || !Counts(from.scope, scope)) {
      continue;
    }
    for (const auto& [organisation, each] : from.by_organisation) {
      wire::organisation_usage& total = of(organisation);
      total.admitted += each.operations;
      total.demand_per_s += static_cast<int64_t>(each.demand_per_s);
    }
  }
  std::vector<wire::organisation_usage> report;
  for (auto& [name, total] : totals) {
    if (total.admitted > 0 || total.demand_per_s > 0) {
      report.push_back(std::move(total));
    }
  }
  return report;
}

int64_t usage_totals::CountedVms(usage_scope scope,
                                 std::string_view receiver) const {
  int64_t counted = 1;
  for (const auto& [name, from] : reporters_) {
    if (name != receiver && Counts(from.scope, scope)) {
      counted += from.counted_vms;
    }
  }
  return counted;
}

// Keeps the operations of a VM whose entry is dropped or reset, since totals
// must never decrease.
void usage_totals::RetainTotals(const reporter& of) {
  for (const auto& [name, each] : of.by_organisation) {
    retained_totals_[of.scope][name] += each.operations;
  }
}

void usage_totals::Forget(std::string_view vm) {
  const auto found = reporters_.find(vm);
  if (found != reporters_.end()) {
    RetainTotals(found->second);
    reporters_.erase(found);
  }
}

void usage_totals::Expire(time_point now) {
  for (auto next = reporters_.begin(); next != reporters_.end();) {
    reporter& from = next->second;
    const duration silent =
        std::chrono::duration_cast<duration>(now - from.last_heard);
    if (silent > kReporterLifetime) {
      RetainTotals(from);
      next = reporters_.erase(next);
      continue;
    }
    if (silent > kReportLifetime) {
      from.counted_vms = 0;
      for (auto& [name, each] : from.by_organisation) {
        each.demand_per_s = 0;
      }
    }
    ++next;
  }
}

}  // namespace tarragondale::relay
