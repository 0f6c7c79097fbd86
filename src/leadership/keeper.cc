// The primary manager's interface and the handling of its events.
#include <algorithm>

#include "src/leadership/keeper_implementation.h"

namespace tarragondale::leadership {
namespace {

// Digests of a VM that is not registered are dropped after this time: twice as
// long as its primary leases may have lasted.
constexpr duration kPeerLifetime = seconds(30);

}  // namespace

keeper::keeper(options options, broker_view view)
    : implementation_(std::make_unique<implementation>(std::move(options),
                                                       std::move(view))) {}

keeper::~keeper() = default;

std::vector<action> keeper::Step(time_point now, const event& input) {
  return implementation_->Step(now, input);
}

time_point keeper::NextDeadline() const {
  return implementation_->NextDeadline();
}

std::map<std::string, group_state, std::less<>> keeper::Groups() const {
  return implementation_->Groups();
}

vouched keeper::Vouched(time_point now) const {
  return implementation_->Vouched(now);
}

std::vector<wire::stop_notice> keeper::Stops(time_point now,
                                             bool relayed) const {
  return implementation_->Stops(now, relayed);
}

std::optional<time_point> keeper::confirmed_at() const {
  return implementation_->confirmed_at();
}

bool keeper::NeedsDigests(time_point now) const {
  return implementation_->NeedsDigests(now);
}

int64_t keeper::incarnation() const {
  return implementation_->incarnation();
}

bool keeper::leaving() const {
  return implementation_->leaving();
}

bool keeper::left() const {
  return implementation_->left();
}

std::vector<action> keeper::implementation::Step(time_point now,
                                                 const event& input) {
  now_ = std::max(now_, now);
  actions_.clear();
  std::visit([this](const auto& each) { On(each); }, input);
  return std::move(actions_);
}

void keeper::implementation::On(const item_seen& event) {
  if (event.removed) {
    SeeRemoved(event.now.key);
  } else {
    SeeItem(event.now);
  }
}

void keeper::implementation::On(const items_loaded& event) {
  bool duty_listed = false;
  std::set<std::string> vms;
  for (const store::keyspace::item& item : event.items) {
    duty_listed = duty_listed || item.key == DutyKey();
    if (item.key.starts_with(VmPrefix())) {
      vms.insert(item.key.substr(VmPrefix().size()));
    }
    SeeItem(item);
  }
  if (!duty_listed) {
    SeeDuty(std::nullopt);
  }
  std::vector<std::string> ended;
  for (const auto& [name, vm] : vms_) {
    if (!vms.contains(name)) {
      ended.push_back(name);
    }
  }
  for (const std::string& name : ended) {
    SeeRemoved(VmKey(name));
  }
  PublishFleet();
}

void keeper::implementation::SeeItem(const store::keyspace::item& item) {
  const auto invalid = [&](const failure& problem) {
    Note(log_level::kWarning, "{}; ignoring it", problem.reason);
  };
  if (item.key.starts_with(PrimaryPrefix())) {
    const auto record = DecodePrimary(item);
    if (!record) {
      return invalid(record.error());
    }
    SeeRecord(item.key.substr(PrimaryPrefix().size()), *record);
  } else if (item.key.starts_with(VmPrefix())) {
    const auto record = DecodeVm(item);
    if (!record) {
      return invalid(record.error());
    }
    SeeVm(item.key.substr(VmPrefix().size()), *record);
  } else if (item.key == DutyKey()) {
    const auto record = DecodeDuty(item);
    if (!record) {
      return invalid(record.error());
    }
    SeeDuty(*record);
  }
}

void keeper::implementation::SeeVm(const std::string& name,
                                   const vm_registration& record) {
  if (name == self_.name && !registered_ &&
      record.incarnation >= self_.incarnation) {
    // Registered by an earlier process of this VM whose clock was ahead.
    self_.incarnation = record.incarnation + 1;
  }
  vm_registration& known = vms_[name];
  fleet_dirty_ = fleet_dirty_ || known.incarnation != record.incarnation ||
                 known.peer_address != record.peer_address;
  known = record;
  unregistered_.erase(name);
}

void keeper::implementation::SeeRemoved(std::string_view key) {
  if (key.starts_with(VmPrefix())) {
    const std::string name(key.substr(VmPrefix().size()));
    if (vms_.erase(name) > 0) {
      fleet_dirty_ = true;
      unregistered_[name] = now_;
    }
  } else if (key == DutyKey()) {
    SeeDuty(std::nullopt);
  }
}

void keeper::implementation::On(const store_answered& event) {
  const auto found = calls_.find(event.tag);
  if (found == calls_.end()) {
    return;
  }
  const pending_call call = std::move(found->second);
  calls_.erase(found);
  switch (call.kind) {
    case call_kind::kGrantRegistration:
    case call_kind::kWriteRegistration:
    case call_kind::kRenewRegistration:
    case call_kind::kEndRegistration:
      return OnRegistrationAnswer(call.kind, event);
    case call_kind::kGrantDuty:
    case call_kind::kClaimDuty:
    case call_kind::kRenewDuty:
    case call_kind::kEndDuty:
      return OnDutyAnswer(call.kind, event);
    case call_kind::kConfirm:
      return OnConfirmed(event);
    case call_kind::kCreateRecord:
    case call_kind::kRecordMove:
    case call_kind::kListVms:
    case call_kind::kPublish:
      return OnHandoverAnswer(call, event);
    case call_kind::kTellStopped:
      break;  // If the write fails, the primary lease expires.
  }
}

void keeper::implementation::On(const members_changed& event) {
  members_ = event.value;
  std::erase_if(unlisted_since_, [&](const auto& each) {
    return members_->contains(each.first);
  });
  for (const auto& [group, record] : records_) {
    if (!members_->contains(record.member)) {
      unlisted_since_.try_emplace(record.member, now_);
    }
  }
}

void keeper::implementation::On(const catalogue_changed& event) {
  catalogue_ = event.value;
}

void keeper::implementation::On(const digest_arrived& event) {
  peer& from = peers_[event.vm];
  if (event.digest.incarnation < from.digest.incarnation) {
    return;  // A late digest of an earlier process of the VM.
  }
  if (event.digest.incarnation > from.digest.incarnation) {
    from.made_after.reset();
    from.echoes_since.reset();
  }
  from.digest = event.digest;
  from.differs_version = 0;
  from.heard = now_;
  if (event.echo_sent) {
    from.echoes_since = from.echoes_since.value_or(now_);
    from.made_after =
        std::max(from.made_after.value_or(*event.echo_sent), *event.echo_sent);
  }
  for (const wire::primary_state& state : event.digest.primaries) {
    SeeRecord(state.group,
              {state.member, state.term, state.moving, "", state.epoch});
  }
  if (event.echo_sent && event.digest.confirmed_age_ms >= 0) {
    // The sender's read was sent `confirmed_age_ms` before its digest, and the
    // digest was made after this VM sent the one that it echoes.
    const time_point sent =
        *event.echo_sent - milliseconds(event.digest.confirmed_age_ms);
    for (const wire::primary_state& state : event.digest.primaries) {
      if (!state.moving) {
        ConfirmGroup(state.group, state.epoch, sent);
      }
    }
    // A record of which this VM knows a newer epoch than the sender was written
    // after the read, so nothing can have replaced it by the time of the read.
    confirmed_at_ = std::max(confirmed_at_.value_or(sent), sent);
  }
  if (std::exchange(news_, false) && relay_.relays) {
    actions_.push_back(send_digests{true});
  }
  PublishRights();
  ContinueHandovers();
}

void keeper::implementation::On(const member_checked& event) {
  if (!event.status) {
    return;
  }
  const auto demoted = demotions_.find(event.member);
  if (demoted != demotions_.end() && !event.status->primary) {
    Note(log_level::kInfo, "member {} is not primary any more", event.member);
    demotions_.erase(demoted);
  }
  const auto record = members_
                          ? members_->find(event.member)
                          : interactive::member_directory::const_iterator{};
  if (!members_ || record == members_->end()) {
    return;
  }
  const auto disputed = disputes_.find(record->second.group);
  if (disputed != disputes_.end() && disputed->second.member == event.member &&
      !event.status->primary &&
      now_ - disputed->second.since >= options_.dispute_limit) {
    disputed->second.confirmed = true;
  }
  const auto move = handovers_.find(record->second.group);
  if (move != handovers_.end()) {
    move->second.statuses[event.member] = {*event.status, now_};
    ContinueHandovers();
  }
}

void keeper::implementation::On(const promotion_answered& event) {
  const auto found = handovers_.find(event.group);
  if (found == handovers_.end() || found->second.chosen != event.member ||
      found->second.machine.state() != chart::handover::state::kPromoting) {
    return;
  }
  handover& move = found->second;
  move.calling = false;
  switch (event.result) {
    case promotion_result::kAccepted:
      Fire(event.group, move, chart::handover::event::kAccepted, event.reason);
      break;
    case promotion_result::kRefused:
      move.refused.insert(event.member);
      Fire(event.group, move, chart::handover::event::kRefused, event.reason);
      break;
    case promotion_result::kUnknown:
      Note(log_level::kWarning,
           "promotion of {} in group {} has an unknown result: {}",
           event.member, event.group, event.reason);
      move.next_call = now_ + options_.promote_retry;
      break;
  }
}

void keeper::implementation::On(const drain_started& /*event*/) {
  draining_ = true;
  if (holding_ && handovers_.empty()) {
    EndDuty();
  }
}

void keeper::implementation::On(const leave_started& /*event*/) {
  if (leaving_) {
    return;
  }
  leaving_ = true;
  draining_ = true;
  confirmed_.clear();
  for (const auto& [group, record] : records_) {
    actions_.push_back(stop_primary_work{group, record.epoch + 1});
  }
  PublishRights();
  actions_.push_back(send_digests{});
  if (duty_lease_.lease != 0) {
    EndDuty();
  }
  if (registration_.lease != 0) {
    Call(call_kind::kEndRegistration,
         store::keyspace::revoke_call{registration_.lease});
  }
}

void keeper::implementation::On(const tick& /*event*/) {
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
  KeepRegistration();
  KeepDuty();
  KeepConfirmed();
  ContinueStopping();
  PublishRights();
  if (HoldsDuty()) {
    WatchPrimaries();
    LeaveDutyToOthers();
  }
  ContinueHandovers();
  ContinueDemotions();
}

uint64_t keeper::implementation::Call(call_kind kind,
                                      store::keyspace::call call,
                                      std::string group) {
  calls_[++last_tag_] = {kind, std::move(group)};
  actions_.push_back(call_store{last_tag_, std::move(call)});
  return last_tag_;
}

std::string keeper::implementation::Writer() const {
  return fmt::format("{}/{}", self_.name, self_.incarnation);
}

}  // namespace tarragondale::leadership
