// Start, limit and end of the evacuation of availability zones.
#include "src/interactive/evacuation.h"

#include <algorithm>

namespace tarragondale::interactive {

evacuation_state::changes evacuation_state::Set(const zone_set& evacuated,
                                                time_point now) {
  changes made;
  for (const std::string& name : evacuated) {
    zone& known = zones_[name];
    if (!known.since) {
      known = {.since = now, .ended = std::nullopt};
      made.started.push_back(name);
    }
  }
  for (auto& [name, known] : zones_) {
    if (known.since && !evacuated.contains(name)) {
      known = {.since = std::nullopt, .ended = now};
      made.ended.push_back(name);
    }
  }
  Expire(now);
  return made;
}

void evacuation_state::Expire(time_point now) {
  active_ = std::any_of(zones_.begin(), zones_.end(), [&](const auto& each) {
    return each.second.since ||
           (each.second.ended &&
            now - *each.second.ended < options_.evacuation_return);
  });
}

bool evacuation_state::IsEvacuated(std::string_view name) const {
  const auto found = zones_.find(name);
  return found != zones_.end() && found->second.since;
}

bool evacuation_state::IsPastLimit(std::string_view name,
                                   time_point now) const {
  const auto found = zones_.find(name);
  return found != zones_.end() && found->second.since &&
         now - *found->second.since >= options_.evacuation_limit;
}

std::optional<time_point> evacuation_state::NextLimit() const {
  std::optional<time_point> next;
  for (const auto& [name, each] : zones_) {
    if (each.since && !each.limit_enforced) {
      const time_point limit = *each.since + options_.evacuation_limit;
      next = std::min(next.value_or(limit), limit);
    }
  }
  return next;
}

bool evacuation_state::TakePassedLimits(time_point now) {
  bool taken = false;
  for (auto& [name, each] : zones_) {
    if (!each.limit_enforced && IsPastLimit(name, now)) {
      each.limit_enforced = true;
      taken = true;
    }
  }
  return taken;
}

bool evacuation_state::IsWithheld(std::string_view name,
                                  uint64_t hash,
                                  time_point now) const {
  const auto found = zones_.find(name);
  if (found == zones_.end() || !found->second.ended) {
    return false;
  }
  // The 53 highest bits, which a double holds exactly, as a fraction of 1.
  const double position = static_cast<double>(hash >> 11U) /
                          static_cast<double>(uint64_t{1} << 53U);
  const std::chrono::duration<double> elapsed = now - *found->second.ended;
  const std::chrono::duration<double> span = options_.evacuation_return;
  return elapsed < span && position >= elapsed / span;
}

}  // namespace tarragondale::interactive
