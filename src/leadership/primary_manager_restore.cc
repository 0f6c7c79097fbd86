// How the primary manager goes on after the store was restored from a copy.
#include <algorithm>

#include "src/leadership/primary_manager_implementation.h"

namespace tarragondale::leadership {

using store::keyspace::EraOf;

// A revision of a newer era shows that the store was restored: it has lost what
// it acknowledged since its copy was made, and ended all leases.
void primary_manager::implementation::NoticeEra(int64_t revision) {
  const int64_t era = EraOf(revision);
  if (store_era_ && era <= *store_era_) {
    return;
  }
  const bool first = !store_era_;
  store_era_ = era;
  if (first) {
    return;
  }
  Log(log_level::kWarning,
      "the store was restored and is in era {}; registering again, and {} "
      "records are to be confirmed",
      era, records_.size());
  stored_revisions_.clear();
  listed_era_.reset();
  confirmed_at_.reset();
  confirmed_.clear();
  confirming_ = false;
  next_confirm_ = now_;
  KeepLostEntries();
  // A former controller that does not know of the restore may act for a while.
  // The next one promotes only after that VM has given up its primary leases,
  // and so has heard of the restore, or after they expired. By then its lease
  // as the controller has expired, too.
  is_controller_ = false;
  controller_.reset();
  controller_lease_ = {};
  may_reclaim_ = true;
  DelayClaim();
  registration_ = {};
  registered_ = false;
  PublishPrimaryLeases();
  if (!leaving_) {
    MaintainRegistration();
  }
}

// Whether nothing waits any more for the answer to such a call if the store was
// restored after it was sent: leases have ended even if the store has one of
// the same number now, and a read that began before grants nothing.
bool primary_manager::implementation::EndsWithEra(call_kind kind) {
  switch (kind) {
    case call_kind::kCreateRecord:
    case call_kind::kWriteMoving:
    case call_kind::kPublish:
    case call_kind::kListVms:
      return false;
    default:
      return true;
  }
}

bool primary_manager::implementation::IsOfFormerEra(
    const primary_record& record) const {
  return EraOf(record.epoch) < store_era_.value_or(0);
}

bool primary_manager::implementation::AllRecordsAreOfPresentEra() const {
  return std::none_of(records_.begin(), records_.end(), [&](const auto& each) {
    return IsOfFormerEra(each.second) &&
           (!catalogue_ || catalogue_->groups.contains(each.first));
  });
}

// The revision that a write of the group's record has to name: a restored store
// may hold an older one than this VM knows, or none.
int64_t primary_manager::implementation::StoredRevision(
    const std::string& group) const {
  const auto record = records_.find(group);
  if (record != records_.end() && !IsOfFormerEra(record->second)) {
    return record->second.epoch;
  }
  const auto stored = stored_revisions_.find(group);
  return stored == stored_revisions_.end() ? 0 : stored->second;
}

// Members and VMs write their entries again. Until they have had the time to, a
// missing entry says nothing: a fleet that seems to shrink would give each VM a
// larger share of the rates. But a VM that has not registered again may hold
// primary leases that no list of VMs shows.
void primary_manager::implementation::KeepLostEntries() {
  listed_members_ = members_;
  for (const auto& [name, vm] : vms_) {
    lost_vms_.insert(name);
    unregistered_[name] = now_;
  }
  lost_entries_end_ = now_ + options_.unlisted_timeout;
}

void primary_manager::implementation::DropLostEntries() {
  if (now_ < lost_entries_end_) {
    return;
  }
  if (listed_members_) {
    listed_members_.reset();
    On(members_changed{directory_});
  }
  for (const std::string& name : std::exchange(lost_vms_, {})) {
    vms_.erase(name);
    fleet_dirty_ = true;
  }
}

}  // namespace tarragondale::leadership
