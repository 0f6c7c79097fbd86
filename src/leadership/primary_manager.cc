// The primary manager's interface and the handling of its events.
#include <algorithm>

#include "src/leadership/primary_manager_implementation.h"

namespace tarragondale::leadership {
namespace {

// The last digest of a VM that is not registered is dropped after this time:
// twice `registration_lifetime`, the longest time that a primary lease lasts.
constexpr duration kPeerLifetime = seconds(30);

}  // namespace

primary_manager::primary_manager(options options, broker_view view)
    : implementation_(std::make_unique<implementation>(std::move(options),
                                                       std::move(view))) {}

primary_manager::~primary_manager() = default;

std::vector<action> primary_manager::Step(time_point now, const event& input) {
  return implementation_->Step(now, input);
}

time_point primary_manager::NextDeadline() const {
  return implementation_->NextDeadline();
}

std::map<std::string, group_state, std::less<>> primary_manager::Groups()
    const {
  return implementation_->Groups();
}

peer_summary primary_manager::PeerSummary(time_point now) const {
  return implementation_->PeerSummary(now);
}

std::vector<wire::stop_notice> primary_manager::StopNotices(
    time_point now,
    bool relayed) const {
  return implementation_->StopNotices(now, relayed);
}

std::optional<time_point> primary_manager::confirmed_at() const {
  return implementation_->confirmed_at();
}

bool primary_manager::NeedsFrequentDigests(time_point now) const {
  return implementation_->NeedsFrequentDigests(now);
}

int64_t primary_manager::incarnation() const {
  return implementation_->incarnation();
}

bool primary_manager::leaving() const {
  return implementation_->leaving();
}

bool primary_manager::left() const {
  return implementation_->left();
}

std::vector<action> primary_manager::implementation::Step(time_point now,
                                                          const event& input) {
  now_ = std::max(now_, now);
  actions_.clear();
  std::visit([this](const auto& each) { On(each); }, input);
  return std::move(actions_);
}

void primary_manager::implementation::On(const item_seen& event) {
  NoticeEra(event.now.revision);
  if (!event.removed) {
    ApplyItem(event.now);
  } else if (store::keyspace::EraOf(event.now.revision) ==
             store_era_.value_or(0)) {
    ApplyRemoval(event.now.key);
  }
}

void primary_manager::implementation::On(const items_loaded& event) {
  bool controller_listed = false;
  std::set<std::string> vms;
  NoticeEra(event.revision);
  for (const store::keyspace::item& item : event.items) {
    controller_listed = controller_listed || item.key == ControllerKey();
    if (item.key.starts_with(VmPrefix())) {
      vms.insert(item.key.substr(VmPrefix().size()));
    }
    ApplyItem(item);
  }
  if (!controller_listed) {
    ApplyController(std::nullopt);
  }
  std::vector<std::string> ended;
  for (const auto& [name, vm] : vms_) {
    if (!vms.contains(name)) {
      ended.push_back(name);
    }
  }
  for (const std::string& name : ended) {
    ApplyRemoval(VmKey(name));
  }
  PublishFleet();
}

void primary_manager::implementation::ApplyItem(
    const store::keyspace::item& item) {
  if (store::keyspace::EraOf(item.revision) < store_era_.value_or(0)) {
    return;  // Read before the store was restored.
  }
  const auto invalid = [&](const failure& problem) {
    Log(log_level::kWarning, "{}; ignoring it", problem.reason);
  };
  if (item.key.starts_with(PrimaryPrefix())) {
    ApplyPrimary(item);
  } else if (item.key.starts_with(VmPrefix())) {
    const auto record = DecodeVm(item);
    if (!record) {
      return invalid(record.error());
    }
    ApplyVm(item.key.substr(VmPrefix().size()), *record);
  } else if (item.key == ControllerKey()) {
    const auto record = DecodeController(item);
    if (!record) {
      return invalid(record.error());
    }
    ApplyController(*record);
  }
}

// Returns the record; empty if it is not valid.
std::optional<primary_record> primary_manager::implementation::ApplyPrimary(
    const store::keyspace::item& item) {
  const std::string group = item.key.substr(PrimaryPrefix().size());
  const auto record = DecodePrimary(item);
  if (store::keyspace::EraOf(item.revision) == store_era_) {
    int64_t& stored = stored_revisions_[group];
    stored = std::max(stored, item.revision);
  }
  if (!record) {
    Log(log_level::kWarning, "{}; ignoring it", record.error().reason);
    return std::nullopt;
  }
  ApplyRecord(group, *record);
  return *record;
}

void primary_manager::implementation::ApplyVm(const std::string& name,
                                              const vm_registration& record) {
  if (name == self_.name && registered_at_ == time_point() &&
      record.incarnation >= self_.incarnation) {
    // Incarnations are taken from the clock. An earlier process of this VM,
    // whose clock was ahead, registered with the same or a higher one, so this
    // process takes the next.
    self_.incarnation = record.incarnation + 1;
  }
  vm_registration& known = vms_[name];
  fleet_dirty_ = fleet_dirty_ || known.incarnation != record.incarnation ||
                 known.peer_address != record.peer_address;
  known = record;
  unregistered_.erase(name);
  lost_vms_.erase(name);
}

void primary_manager::implementation::ApplyRemoval(std::string_view key) {
  if (key.starts_with(VmPrefix())) {
    const std::string name(key.substr(VmPrefix().size()));
    if (!lost_vms_.contains(name) && vms_.erase(name) > 0) {
      fleet_dirty_ = true;
      unregistered_[name] = now_;
    }
  } else if (key == ControllerKey()) {
    ApplyController(std::nullopt);
  }
}

void primary_manager::implementation::On(const store_answered& event) {
  const auto found = calls_.find(event.tag);
  if (found == calls_.end()) {
    return;
  }
  const pending_call call = std::move(found->second);
  calls_.erase(found);
  NoticeEra(event.reply.revision);
  if (!call.era || call.era == store_era_) {
    return OnAnswer(call, event);
  }
  if (EndsWithEra(call.kind)) {
    return;
  }
  // The conditions of a write may have named revisions that were given out
  // again, and a list may lack what was lost.
  store_answered answered = event;
  answered.reply.status = store::keyspace::call_status::kUnknown;
  OnAnswer(call, answered);
}

void primary_manager::implementation::OnAnswer(const pending_call& call,
                                               const store_answered& event) {
  switch (call.kind) {
    case call_kind::kGrantRegistration:
    case call_kind::kWriteRegistration:
    case call_kind::kRenewRegistration:
    case call_kind::kRevokeRegistration:
      return OnRegistrationAnswer(call.kind, event);
    case call_kind::kGrantControllerLease:
    case call_kind::kClaimController:
    case call_kind::kRenewControllerLease:
    case call_kind::kRevokeControllerLease:
      return OnControllerAnswer(call.kind, event);
    case call_kind::kConfirm:
      return OnConfirmed(event);
    case call_kind::kCreateRecord:
    case call_kind::kWriteMoving:
    case call_kind::kListVms:
    case call_kind::kPublish:
      return OnHandoverAnswer(call, event);
    case call_kind::kWriteStoppedEpochs:
      // Not retried: if the write fails, the controller waits until the primary
      // lease has expired.
      break;
  }
}

void primary_manager::implementation::On(const members_changed& event) {
  directory_ = event.value;
  members_ = event.value;
  if (listed_members_) {
    auto merged = std::make_shared<interactive::member_directory>(*event.value);
    merged->insert(listed_members_->begin(), listed_members_->end());
    members_ = std::move(merged);
  }
  std::erase_if(unlisted_since_, [&](const auto& each) {
    return members_->contains(each.first);
  });
  for (const auto& [group, record] : records_) {
    if (!members_->contains(record.member)) {
      unlisted_since_.try_emplace(record.member, now_);
    }
  }
}

void primary_manager::implementation::On(
    const configuration_snapshot_changed& event) {
  catalogue_ = event.value;
}

void primary_manager::implementation::On(const digest_arrived& event) {
  peer& from = peers_[event.vm];
  if (event.digest.incarnation < from.digest.incarnation) {
    return;  // A late digest from an earlier process of the VM.
  }
  if (event.digest.incarnation > from.digest.incarnation) {
    from.made_after.reset();
    from.echoes_since.reset();
  }
  from.digest = event.digest;
  from.differing_version = 0;
  from.heard = now_;
  if (event.echo_sent) {
    from.echoes_since = from.echoes_since.value_or(now_);
    from.made_after =
        std::max(from.made_after.value_or(*event.echo_sent), *event.echo_sent);
  }
  NoticeEra(event.digest.store_revision);
  for (const wire::primary_state& state : event.digest.primaries) {
    NoticeEra(state.epoch);
    ApplyRecord(state.group,
                {state.member, state.term, state.moving, "", state.epoch});
  }
  // A sender that has not confirmed its records since the store was restored
  // tells no age.
  if (event.echo_sent && event.digest.confirmed_age_ms >= 0) {
    // The read was sent `confirmed_age_ms` before the digest was made, and the
    // digest was made after this VM sent the one that it echoes.
    const time_point sent =
        *event.echo_sent - milliseconds(event.digest.confirmed_age_ms);
    for (const wire::primary_state& state : event.digest.primaries) {
      if (!state.moving &&
          store::keyspace::EraOf(state.epoch) >= store_era_.value_or(0)) {
        ConfirmGroup(state.group, state.epoch, sent);
      }
    }
    // Also correct if this VM knows a newer epoch of a record than the sender:
    // that epoch was written after the read, so this VM's record was not
    // outdated at the time of the read.
    confirmed_at_ = std::max(confirmed_at_.value_or(sent), sent);
  }
  if (std::exchange(newly_confirmed_, false) && relay_.relays) {
    actions_.push_back(send_digests{true});
  }
  PublishPrimaryLeases();
  ContinueHandovers();
}

void primary_manager::implementation::On(const member_checked& event) {
  if (!event.status) {
    return;
  }
  const auto demoted = demotions_.find(event.member);
  if (demoted != demotions_.end() && !event.status->primary) {
    Log(log_level::kInfo, "member {} is not primary any more", event.member);
    demotions_.erase(demoted);
  }
  const auto record = members_
                          ? members_->find(event.member)
                          : interactive::member_directory::const_iterator{};
  if (!members_ || record == members_->end()) {
    return;
  }
  const auto conflict = primary_conflicts_.find(record->second.group);
  if (conflict != primary_conflicts_.end() &&
      conflict->second.member == event.member && !event.status->primary &&
      now_ - conflict->second.since >= options_.primary_conflict_timeout) {
    conflict->second.confirmed = true;
  }
  const auto move = handovers_.find(record->second.group);
  if (move != handovers_.end()) {
    move->second.statuses[event.member] = {*event.status, now_};
    ContinueHandovers();
  }
}

void primary_manager::implementation::On(const promotion_answered& event) {
  --promotion_calls_;
  if (leaving_ && MayResign()) {
    return ResignAsController();
  }
  const auto found = handovers_.find(event.group);
  if (found == handovers_.end() || found->second.chosen != event.member ||
      found->second.machine.state() != chart::handover::state::kPromoting) {
    return;
  }
  handover& move = found->second;
  move.call_pending = false;
  switch (event.result) {
    case promotion_result::kAccepted:
      Fire(event.group, move, chart::handover::event::kAccepted, event.reason);
      break;
    case promotion_result::kRefused:
      move.refused.insert(event.member);
      Fire(event.group, move, chart::handover::event::kRefused, event.reason);
      break;
    case promotion_result::kUnknown:
      Log(log_level::kWarning,
          "promotion of {} in group {} has an unknown result: {}", event.member,
          event.group, event.reason);
      move.next_call = now_ + options_.promote_retry;
      break;
  }
}

void primary_manager::implementation::On(const drain_started& /*event*/) {
  draining_ = true;
  if (is_controller_ && handovers_.empty() && MayResign()) {
    ResignAsController();
  }
}

void primary_manager::implementation::On(const leave_started& /*event*/) {
  if (leaving_) {
    return;
  }
  leaving_ = true;
  draining_ = true;
  confirmed_.clear();
  for (const auto& [group, record] : records_) {
    actions_.push_back(stop_primary_work{group, record.epoch + 1});
  }
  PublishPrimaryLeases();
  actions_.push_back(send_digests{});
  if (MayResign()) {
    ResignAsController();
  }
  if (registration_.lease != 0) {
    Call(call_kind::kRevokeRegistration,
         store::keyspace::revoke_call{registration_.lease});
  }
}

bool primary_manager::implementation::left() const {
  const bool resigning =
      std::any_of(calls_.begin(), calls_.end(), [](const auto& each) {
        return each.second.kind == call_kind::kRevokeControllerLease;
      });
  return leaving_ && registration_.lease == 0 && promotion_calls_ == 0 &&
         !resigning;
}

void primary_manager::implementation::On(const tick& /*event*/) {
  next_tick_ = now_ + options_.tick_interval;
  PublishFleet();
  if (leaving_) {
    return;
  }
  std::erase_if(peers_, [&](const auto& each) {
    return !vms_.contains(each.first) &&
           now_ - each.second.heard > kPeerLifetime;
  });
  std::erase_if(unregistered_, [&](const auto& each) {
    return now_ - each.second > options_.registration_lifetime;
  });
  DropLostEntries();
  MaintainRegistration();
  MaintainController();
  MaintainConfirmation();
  ContinuePendingStops();
  PublishPrimaryLeases();
  if (IsController()) {
    WatchPrimaries();
    ResignIfUndecided();
  }
  ContinueHandovers();
  ContinueDemotions();
}

uint64_t primary_manager::implementation::Call(call_kind kind,
                                               store::keyspace::call call,
                                               std::string group) {
  calls_[++last_tag_] = {kind, std::move(group), store_era_};
  actions_.push_back(call_store{last_tag_, std::move(call)});
  return last_tag_;
}

std::string primary_manager::implementation::Writer() const {
  return fmt::format("{}/{}", self_.name, self_.incarnation);
}

}  // namespace tarragondale::leadership
