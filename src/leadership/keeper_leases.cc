// Registration, controller role, and confirmation of the primaries' records.
#include <algorithm>
#include <utility>

#include "src/leadership/keeper_implementation.h"

namespace tarragondale::leadership {

using store::keyspace::call_status;

namespace {

// Claims of the vacant controller role are spread at random to avoid conflicts,
// over a span of this much for each VM, within bounds: about the time in which
// a claim becomes known to other VMs.
constexpr int64_t kClaimSpreadMs = 60;
constexpr int64_t kClaimJitterMs = 150;
constexpr int64_t kLongestClaimJitterMs = 6'000;
// Minimum interval between two reads of the records by this VM.
constexpr duration kConfirmPause = milliseconds(250);

}  // namespace

// --- Registration ---

void keeper::implementation::KeepRegistration() {
  if (registration_.calling || now_ < registration_.next_call) {
    return;
  }
  if (registration_.lease != 0 &&
      now_ >= registration_.renewed + options_.registration_lifetime) {
    registration_.lease = 0;
    registered_ = false;
  }
  registration_.calling = true;
  if (registration_.lease == 0) {
    Call(call_kind::kGrantRegistration,
         store::keyspace::grant_call{std::chrono::duration_cast<milliseconds>(
             options_.registration_lifetime)});
  } else if (!registered_) {
    store::keyspace::transaction_call write;
    write.writes.push_back({.key = VmKey(self_.name),
                            .value = EncodeVm(self_),
                            .lease = registration_.lease});
    Call(call_kind::kWriteRegistration, std::move(write));
  } else {
    Call(call_kind::kRenewRegistration,
         store::keyspace::renew_call{registration_.lease});
  }
}

void keeper::implementation::OnRegistrationAnswer(call_kind kind,
                                                  const store_answered& event) {
  registration_.calling = false;
  const bool done = event.reply.status == call_status::kDone;
  if (kind == call_kind::kEndRegistration) {
    registration_ = {};
    return;
  }
  if (event.reply.status == call_status::kNotFound) {
    Note(log_level::kWarning,
         "this VM's registration ended in the store; registering again");
    registration_ = {};
    registered_ = false;
    confirmed_.clear();
    PublishRights();
    return KeepRegistration();
  }
  if (!done) {
    registration_.next_call = now_ + options_.store_retry;
    return;
  }
  if (kind == call_kind::kGrantRegistration) {
    registration_.lease = event.reply.lease;
    registration_.renewed = event.sent;
    registration_.next_call = now_;
    return KeepRegistration();
  }
  if (kind == call_kind::kWriteRegistration) {
    registered_ = true;
    registered_at_ = now_;
    next_confirm_ = now_;
    if (!duty_) {
      DelayClaim();
    }
    Note(log_level::kInfo, "registered with incarnation {}", self_.incarnation);
    KeepConfirmed();
  } else {
    registration_.renewed = std::max(registration_.renewed, event.sent);
  }
  registration_.next_call = now_ + options_.registration_interval;
}

// --- Controller role ---

bool keeper::implementation::HoldsDuty() const {
  return holding_ && now_ < duty_lease_.renewed + options_.duty_lifetime -
                                options_.duty_margin;
}

void keeper::implementation::KeepDuty() {
  if (duty_lease_.calling || now_ < duty_lease_.next_call) {
    return;
  }
  if (holding_) {
    if (now_ >= duty_lease_.renewed + options_.duty_lifetime) {
      Note(log_level::kWarning,
           "lost the failover controller role: its lease could not be "
           "renewed");
      holding_ = false;
      duty_lease_ = {};
      return;
    }
    duty_lease_.calling = true;
    Call(call_kind::kRenewDuty, store::keyspace::renew_call{duty_lease_.lease});
    return;
  }
  const bool own_former = duty_ && duty_->holder == self_.name &&
                          duty_->incarnation != self_.incarnation;
  if (draining_ || !registered_ || (duty_ && !own_former) ||
      now_ < next_claim_) {
    return;
  }
  duty_lease_.calling = true;
  if (duty_lease_.lease == 0) {
    Call(call_kind::kGrantDuty,
         store::keyspace::grant_call{
             std::chrono::duration_cast<milliseconds>(options_.duty_lifetime)});
    return;
  }
  store::keyspace::transaction_call claim;
  claim.conditions.push_back({DutyKey(), duty_ ? duty_->token : 0});
  claim.writes.push_back(
      {.key = DutyKey(),
       .value = EncodeDuty({self_.name, self_.incarnation, 0}),
       .lease = duty_lease_.lease});
  Call(call_kind::kClaimDuty, std::move(claim));
}

void keeper::implementation::OnDutyAnswer(call_kind kind,
                                          const store_answered& event) {
  if (kind == call_kind::kEndDuty) {
    return;
  }
  duty_lease_.calling = false;
  const auto& reply = event.reply;
  if (reply.status == call_status::kDone) {
    if (kind == call_kind::kGrantDuty) {
      duty_lease_.lease = reply.lease;
      duty_lease_.renewed = event.sent;
      duty_lease_.next_call = now_;
      return KeepDuty();
    }
    if (kind == call_kind::kRenewDuty) {
      duty_lease_.renewed = std::max(duty_lease_.renewed, event.sent);
    } else {
      SeeDuty(duty_record{self_.name, self_.incarnation, reply.revision});
    }
    duty_lease_.next_call = now_ + options_.duty_interval;
    return;
  }
  if (reply.status == call_status::kNotFound) {
    // The lease expired; another VM may be the controller already.
    if (holding_) {
      Note(log_level::kWarning,
           "lost the failover controller role: its lease ended in the "
           "store");
    }
    holding_ = false;
    duty_lease_ = {};
  } else if (reply.status == call_status::kConflict) {
    for (const auto& item : reply.items) {
      SeeItem(item);
    }
  }
  duty_lease_.next_call = now_ + options_.store_retry;
}

void keeper::implementation::SeeDuty(const std::optional<duty_record>& record) {
  if (record && duty_ && record->token < duty_->token) {
    return;
  }
  const bool was_free = !duty_;
  duty_ = record;
  const bool own = duty_ && duty_->holder == self_.name &&
                   duty_->incarnation == self_.incarnation;
  if (own && !holding_ && duty_lease_.lease != 0) {
    holding_ = true;
    Note(log_level::kInfo,
         "became the failover controller with fencing token {}", duty_->token);
  } else if (!own && holding_) {
    holding_ = false;
    duty_lease_ = {};
    Note(log_level::kWarning, "the failover controller role is now held by {}",
         duty_ ? duty_->holder : "nobody");
  }
  if (!duty_ && !was_free) {
    DelayClaim();
  }
}

void keeper::implementation::EndDuty() {
  Call(call_kind::kEndDuty, store::keyspace::revoke_call{duty_lease_.lease});
  duty_lease_ = {};
  holding_ = false;
}

// Relays and VMs that others know of already claim earlier, since they can
// replace primaries sooner.
void keeper::implementation::DelayClaim() {
  const int64_t spread =
      std::clamp(kClaimSpreadMs * static_cast<int64_t>(vms_.size()),
                 kClaimJitterMs, kLongestClaimJitterMs);
  std::uniform_int_distribution<int64_t> jitter(0, spread);
  next_claim_ = now_ + milliseconds(jitter(random_));
  if (!relay_.relays) {
    next_claim_ += options_.follower_claim_delay;
  }
  if (now_ - registered_at_ < options_.registration_lifetime) {
    next_claim_ += options_.young_claim_delay;
  }
  if (UnjudgedPrimary()) {
    next_claim_ += options_.unjudged_claim_delay;
  }
}

// --- Confirmation ---

void keeper::implementation::KeepConfirmed() {
  if (confirming_ || now_ < next_confirm_ || !registered_) {
    return;
  }
  if (!confirm_again_ && IsConfirmedRecently()) {
    return;
  }
  confirming_ = true;
  confirm_again_ = false;
  Call(call_kind::kConfirm, store::keyspace::range_call{PrimaryPrefix(), ""});
}

// A read of the records by one VM serves every VM to which it is reported in
// time.
bool keeper::implementation::IsConfirmedRecently() const {
  const duration limit = relay_.relays
                             ? std::min(options_.relayed_confirm_limit,
                                        options_.confirm_interval +
                                            options_.confirm_step * relay_.rank)
                             : options_.follower_confirm_limit;
  return !records_.empty() &&
         std::all_of(records_.begin(), records_.end(), [&](const auto& each) {
           const auto confirmed = confirmed_.find(each.first);
           return each.second.moving || (confirmed != confirmed_.end() &&
                                         now_ - confirmed->second < limit);
         });
}

void keeper::implementation::OnConfirmed(const store_answered& event) {
  confirming_ = false;
  if (event.reply.status != call_status::kDone) {
    next_confirm_ = now_ + options_.store_retry;
    return;
  }
  for (const store::keyspace::item& item : event.reply.items) {
    SeeItem(item);
    ConfirmGroup(item.key.substr(PrimaryPrefix().size()), item.revision,
                 event.sent);
  }
  if (event.reply.more) {
    confirming_ = true;
    Call(call_kind::kConfirm,
         store::keyspace::range_call{PrimaryPrefix(),
                                     event.reply.items.back().key});
  } else {
    confirmed_at_ = std::max(confirmed_at_.value_or(event.sent), event.sent);
    next_confirm_ = now_;
    if (!confirm_again_) {
      next_confirm_ +=
          records_.empty() ? options_.confirm_interval : kConfirmPause;
    }
    // Other VMs skip their own reads if this one is reported in time.
    actions_.push_back(send_digests{std::exchange(news_, false)});
  }
  PublishRights();
  ContinueHandovers();
}

void keeper::implementation::PublishFleet() {
  if (!fleet_dirty_) {
    return;
  }
  fleet_dirty_ = false;
  fleet_known known;
  for (const auto& [name, vm] : vms_) {
    known.vms.push_back(vm);
  }
  actions_.push_back(std::move(known));
}

}  // namespace tarragondale::leadership
