// What the session broker sends to members in evacuated availability zones.
//
// Such a member gets no new statement, except a primary: it is used until it is
// replaced, for `evacuation_limit` at most, and only if another member could
// replace it. Open transactions go on until then. After the limit, nothing is
// sent to any member of the zone but status checks.
#include <xxhash.h>

#include <algorithm>
#include <array>

#include "src/interactive/broker_implementation.h"

namespace tarragondale::interactive {
namespace {

using step = member_statement::step;

// Named in refusals. Only the operators know when an evacuation ends, so this
// is merely the earliest time at which another try makes sense.
constexpr duration kRetryAfter = seconds(1);
// Ranks a primary in an evacuated zone behind all other candidates.
constexpr duration kEvacuatedPenalty = seconds(10);

bool Awaits(const link& on, step first, step second) {
  return std::any_of(on.awaited.begin(), on.awaited.end(),
                     [&](const awaited_answer& each) {
                       return each.what == first || each.what == second;
                     });
}

// Depends on the statement only, so that it is the same at each attempt.
uint64_t HashOf(const session& of, uint64_t seed) {
  const std::array<uint64_t, 2> identity = {
      of.id,
      static_cast<uint64_t>(of.current->arrived.time_since_epoch().count())};
  return XXH3_64bits_withSeed(identity.data(), sizeof(identity), seed);
}

}  // namespace

void session_broker::implementation::ApplyEvacuations(
    const members_changed& event) {
  zone_set evacuated = event.evacuated_zones;
  for (const auto& [id, record] : *event.value) {
    if (record.evacuated) {
      evacuated.insert(record.availability_zone);
    }
  }
  if (evacuated.empty() && !evacuations_.active()) {
    return;
  }
  const evacuation_state::changes made = evacuations_.Set(evacuated, now_);
  for (const std::string& zone : made.started) {
    Log(log_level::kWarning,
        "zone {}: evacuation starts; {} transactions and statements of this VM "
        "run there and may go on for {} ms",
        zone, CountWork(zone), ToMs(options_.evacuation_limit));
  }
  for (const std::string& zone : made.ended) {
    Log(log_level::kWarning,
        "zone {}: evacuation ends; its members get their full share of new "
        "statements in {} ms",
        zone, ToMs(options_.evacuation_return));
  }
  SweepEvacuations();
}

// Called before anything else is done at a new time, so that nothing is sent to
// members of a zone after its limit.
void session_broker::implementation::EnforceEvacuationLimits() {
  if (evacuations_.active() && evacuations_.TakePassedLimits(now_)) {
    SweepEvacuations();
    dispatch_needed_ = true;
  }
}

void session_broker::implementation::SweepEvacuations() {
  if (!evacuations_.active()) {
    return;
  }
  evacuations_.Expire(now_);
  struct affected_link {
    link_id id = 0;
    bool usable = false;
    bool past_limit = false;
  };
  std::vector<affected_link> affected;
  for (const auto& [id, of] : pool_.members()) {
    if (!IsEvacuated(of)) {
      continue;
    }
    const bool usable = MayUseEvacuated(of);
    const bool past_limit =
        evacuations_.IsPastLimit(of.record.availability_zone, now_);
    for (const link_id each : of.links) {
      affected.push_back({each, usable, past_limit});
    }
  }
  for (const affected_link& each : affected) {
    EndEvacuatedWork(each.id, each.usable, each.past_limit);
  }
  LogCompletedEvacuations();
}

// Closes a link to a member in an evacuated zone unless something on it may go
// on: any transaction before the limit, and always a commit or a statement
// outside a transaction that awaits its answer, since these are at the member
// already. `usable`: the member may still get new statements.
void session_broker::implementation::EndEvacuatedWork(link_id id,
                                                      bool usable,
                                                      bool past_limit) {
  const link* const on = pool_.FindLink(id);
  if (on == nullptr || on->check) {
    return;
  }
  const bool unused = !on->open || on->idle();
  const bool beginning = Awaits(*on, step::kBegin, step::kBeginReadOnly);
  const bool in_transaction =
      on->begun && on->owner != 0 && !Awaits(*on, step::kCommit, step::kCommit);
  const bool ends =
      (!usable && (unused || beginning)) || (past_limit && in_transaction);
  if (ends) {
    FailLink(id, "the member's availability zone is evacuated");
  }
}

// An evacuation is complete once none of the zone's members is used as a
// primary, at the latest after the limit, and nothing runs there. A primary
// that is promoted there nevertheless makes it incomplete again.
void session_broker::implementation::LogCompletedEvacuations() {
  for (auto& [name, zone] : evacuations_.zones()) {
    if (!zone.since) {
      continue;
    }
    const bool complete = !HasUsedPrimary(name) && CountWork(name) == 0;
    if (complete == zone.complete) {
      continue;
    }
    zone.complete = complete;
    Log(log_level::kWarning, "zone {}: evacuation is {} on this VM after {} ms",
        name, complete ? "complete" : "incomplete again",
        ToMs(now_ - *zone.since));
  }
}

bool session_broker::implementation::HasUsedPrimary(
    std::string_view availability_zone) const {
  return std::any_of(
      primary_leases_.begin(), primary_leases_.end(), [&](const auto& each) {
        const member* const primary = pool_.Find(each.second.member);
        return primary != nullptr &&
               primary->record.availability_zone == availability_zone &&
               MayUseEvacuated(*primary);
      });
}

bool session_broker::implementation::IsEvacuated(const member& of) const {
  return evacuations_.IsEvacuated(of.record.availability_zone);
}

bool session_broker::implementation::AreAllEvacuated(
    std::string_view group) const {
  bool any = false;
  for (const std::string& id : pool_.OfGroup(group)) {
    const member& each = *pool_.Find(id);
    if (each.listed && !IsEvacuated(each)) {
      return false;
    }
    any = any || each.listed;
  }
  return any;
}

// Whether a member in an evacuated zone may still get new statements. If no
// member elsewhere can replace the primary, refusals can't be avoided by
// waiting.
bool session_broker::implementation::MayUseEvacuated(const member& of) const {
  return IsPrimary(of) &&
         !evacuations_.IsPastLimit(of.record.availability_zone, now_) &&
         !AreAllEvacuated(of.record.group);
}

void session_broker::implementation::ExcludeEvacuated(
    session& of,
    std::vector<candidate>& from) {
  if (!evacuations_.active()) {
    return;
  }
  const size_t before = from.size();
  std::erase_if(from, [&](const candidate& each) {
    return IsEvacuated(*each.to) &&
           !(each.as_primary && MayUseEvacuated(*each.to));
  });
  if (from.size() < before) {
    of.current->last_reason = "members are in evacuated availability zones";
  }
  for (candidate& each : from) {
    if (IsEvacuated(*each.to)) {
      each.cost += kEvacuatedPenalty;
    }
  }
  // A statement that no other member can run isn't withheld: the operators
  // expect the zone to serve it.
  const uint64_t hash = HashOf(of, options_.seed);
  const auto withheld = [&](const candidate& each) {
    return evacuations_.IsWithheld(each.to->record.availability_zone, hash,
                                   now_);
  };
  if (!std::all_of(from.begin(), from.end(), withheld)) {
    std::erase_if(from, withheld);
  }
}

// Refuses a statement without candidates if none is to be expected while the
// evacuation lasts.
void session_broker::implementation::RefuseIfEvacuated(session& of) {
  if (!evacuations_.active()) {
    return;
  }
  const std::string& group = of.current->settings.group;
  std::string reason;
  if (AreAllEvacuated(group)) {
    reason = "all members are in evacuated availability zones";
  } else {
    const primary_lease* const lease = ValidLease(group);
    const member* const primary = lease == nullptr || lease->closing
                                      ? nullptr
                                      : pool_.Find(lease->member);
    const bool unusable = primary != nullptr && IsEvacuated(*primary) &&
                          !MayUseEvacuated(*primary);
    if (!unusable || (!of.current->primary_only && HasReplicaElsewhere(of))) {
      return;
    }
    reason = fmt::format(
        "primary {} is in the evacuated availability zone {} and not replaced",
        primary->record.id, primary->record.availability_zone);
  }
  FailStatement(of, result_code::kDatabaseUnavailable,
                fmt::format("it has not run; {}; retry after {} ms", reason,
                            ToMs(kRetryAfter)));
}

// Whether a replica outside evacuated zones may run the current read, perhaps
// after it has caught up.
bool session_broker::implementation::HasReplicaElsewhere(
    const session& of) const {
  const active_statement& queued = *of.current;
  const auto history = positions_.find(queued.settings.group);
  const bool position_known =
      history != positions_.end() &&
      history->second
          .Covering(queued.arrived - queued.settings.max_staleness +
                    options_.staleness_margin)
          .has_value();
  const auto& ids = pool_.OfGroup(queued.settings.group);
  return position_known &&
         std::any_of(ids.begin(), ids.end(), [&](const std::string& id) {
           const member& each = *pool_.Find(id);
           return each.listed && !each.record.draining && !IsEvacuated(each) &&
                  !IsPrimary(each) &&
                  std::find(queued.excluded.begin(), queued.excluded.end(),
                            id) == queued.excluded.end();
         });
}

size_t session_broker::implementation::CountWork(
    std::string_view availability_zone) const {
  return static_cast<size_t>(std::count_if(
      pool_.links().begin(), pool_.links().end(), [&](const auto& each) {
        const link& on = each.second;
        return on.busy() && pool_.Find(on.member)->record.availability_zone ==
                                availability_zone;
      }));
}

std::map<std::string, zone_evacuation, std::less<>>
session_broker::implementation::Evacuations() const {
  std::map<std::string, zone_evacuation, std::less<>> result;
  for (const auto& [name, zone] : evacuations_.zones()) {
    result[name] = {zone.since, zone.complete, CountWork(name)};
  }
  return result;
}

}  // namespace tarragondale::interactive
