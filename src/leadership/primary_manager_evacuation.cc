// Primaries in evacuated availability zones.
//
// No member in such a zone is promoted, with one exception: a promotion whose
// result is unknown is repeated, even if the zone is evacuated meanwhile, since
// another member must not be promoted while it may still take effect. The
// member is then replaced in turn.
#include <algorithm>

#include "src/leadership/primary_manager_implementation.h"

namespace tarragondale::leadership {

bool primary_manager::implementation::IsEvacuated(
    const std::string& member) const {
  if (!members_) {
    return false;
  }
  const auto found = members_->find(member);
  return found != members_->end() && found->second.evacuated;
}

// Returns why a primary in an evacuated zone is to be replaced; empty if it is
// in no such zone, or if no member elsewhere could replace it.
std::optional<std::string> primary_manager::implementation::EvacuationToReplace(
    const std::string& group,
    const primary_record& record) const {
  if (!IsEvacuated(record.member)) {
    return std::nullopt;
  }
  const auto members = MembersOf(group);
  const bool replaceable =
      std::any_of(members.begin(), members.end(), [&](const auto* each) {
        return each->id != record.member && !each->draining && !each->evacuated;
      });
  if (!replaceable) {
    return std::nullopt;
  }
  return fmt::format("its availability zone {} is evacuated",
                     members_->at(record.member).availability_zone);
}

// Whether the candidate has to receive all that the old primary has. A leaving
// primary would soon be gone; one that is only evacuated keeps the commits that
// it acknowledged, so they are waited for as long as those of synchronous
// groups. If it stops answering, or most VMs can't reach it, the usual limits
// apply.
bool primary_manager::implementation::MustCatchUp(const std::string& group,
                                                  const handover& move,
                                                  duration waited) const {
  const auto status = move.statuses.find(move.from);
  return waited < options_.synchronous_timeout && IsEvacuated(move.from) &&
         !members_->at(move.from).draining && status != move.statuses.end() &&
         status->second.status.primary &&
         now_ - status->second.at <= options_.choice_timeout &&
         !IsSuspected(ReachabilityOf(group, move.from));
}

}  // namespace tarragondale::leadership
