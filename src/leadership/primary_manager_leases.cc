// This VM's registration, the controller role, and confirmation: the regular
// linearizable reads of the primary records.
#include <algorithm>
#include <utility>

#include "src/leadership/primary_manager_implementation.h"

namespace tarragondale::leadership {

using store::keyspace::call_status;

namespace {

// To avoid conflicts, each VM delays its claim of the vacant controller role by
// a random time. The longest delay is this value times the number of VMs,
// within the bounds below. The value is about the time until a claim becomes
// known to the other VMs.
constexpr int64_t kClaimSpreadPerVmMs = 60;
constexpr int64_t kMinClaimSpreadMs = 150;
constexpr int64_t kMaxClaimSpreadMs = 6'000;
// Minimum interval between a successful read of the records by this VM and its
// next one, unless an event such as a changed record requires one immediately.
constexpr duration kMinConfirmInterval = milliseconds(250);

}  // namespace

// --- Registration ---

void primary_manager::implementation::MaintainRegistration() {
  if (registration_.call_pending || now_ < registration_.next_call) {
    return;
  }
  if (registration_.lease != 0 &&
      now_ >= registration_.renewed + options_.registration_lifetime) {
    registration_.lease = 0;
    registered_ = false;
  }
  registration_.call_pending = true;
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

void primary_manager::implementation::OnRegistrationAnswer(
    call_kind kind,
    const store_answered& event) {
  registration_.call_pending = false;
  const bool done = event.reply.status == call_status::kDone;
  if (kind == call_kind::kRevokeRegistration) {
    registration_ = {};
    return;
  }
  if (event.reply.status == call_status::kNotFound) {
    Log(log_level::kWarning,
        "this VM's registration ended in the store; registering again");
    registration_ = {};
    registered_ = false;
    confirmed_.clear();
    PublishPrimaryLeases();
    return MaintainRegistration();
  }
  if (!done) {
    registration_.next_call = now_ + options_.store_retry;
    return;
  }
  if (kind == call_kind::kGrantRegistration) {
    registration_.lease = event.reply.lease;
    registration_.renewed = event.sent;
    registration_.next_call = now_;
    return MaintainRegistration();
  }
  if (kind == call_kind::kWriteRegistration) {
    registered_ = true;
    registered_at_ = now_;
    lost_vms_.erase(self_.name);
    next_confirm_ = now_;
    if (!controller_) {
      DelayClaim();
    }
    Log(log_level::kInfo, "registered with incarnation {}", self_.incarnation);
    MaintainConfirmation();
  } else {
    registration_.renewed = std::max(registration_.renewed, event.sent);
  }
  registration_.next_call = now_ + options_.registration_interval;
}

// --- Controller role ---

bool primary_manager::implementation::IsController() const {
  return is_controller_ && now_ < controller_lease_.renewed +
                                      options_.controller_lease_lifetime -
                                      options_.controller_lease_margin;
}

void primary_manager::implementation::MaintainController() {
  if (controller_lease_.call_pending || now_ < controller_lease_.next_call) {
    return;
  }
  if (is_controller_) {
    if (now_ >=
        controller_lease_.renewed + options_.controller_lease_lifetime) {
      Log(log_level::kWarning,
          "lost the failover controller role: its lease could not be "
          "renewed");
      is_controller_ = false;
      controller_lease_ = {};
      return;
    }
    controller_lease_.call_pending = true;
    Call(call_kind::kRenewControllerLease,
         store::keyspace::renew_call{controller_lease_.lease});
    return;
  }
  const bool own_former =
      controller_ && controller_->holder == self_.name &&
      (may_reclaim_ || controller_->incarnation != self_.incarnation);
  if (draining_ || !registered_ || (controller_ && !own_former) ||
      now_ < next_claim_) {
    return;
  }
  controller_lease_.call_pending = true;
  if (controller_lease_.lease == 0) {
    Call(call_kind::kGrantControllerLease,
         store::keyspace::grant_call{std::chrono::duration_cast<milliseconds>(
             options_.controller_lease_lifetime)});
    return;
  }
  store::keyspace::transaction_call claim;
  claim.conditions.push_back(
      {ControllerKey(), controller_ ? controller_->token : 0});
  claim.writes.push_back(
      {.key = ControllerKey(),
       .value = EncodeController({self_.name, self_.incarnation, 0}),
       .lease = controller_lease_.lease});
  Call(call_kind::kClaimController, std::move(claim));
}

void primary_manager::implementation::OnControllerAnswer(
    call_kind kind,
    const store_answered& event) {
  if (kind == call_kind::kRevokeControllerLease) {
    return;
  }
  controller_lease_.call_pending = false;
  const auto& reply = event.reply;
  if (reply.status == call_status::kDone) {
    if (kind == call_kind::kGrantControllerLease) {
      controller_lease_.lease = reply.lease;
      controller_lease_.renewed = event.sent;
      controller_lease_.next_call = now_;
      return MaintainController();
    }
    if (kind == call_kind::kRenewControllerLease) {
      controller_lease_.renewed =
          std::max(controller_lease_.renewed, event.sent);
    } else {
      ApplyController(
          controller_record{self_.name, self_.incarnation, reply.revision});
    }
    controller_lease_.next_call = now_ + options_.controller_renewal_interval;
    return;
  }
  if (reply.status == call_status::kNotFound) {
    // The lease has expired, so another VM may already be the controller.
    if (is_controller_) {
      Log(log_level::kWarning,
          "lost the failover controller role: its lease ended in the "
          "store");
    }
    is_controller_ = false;
    controller_lease_ = {};
  } else if (reply.status == call_status::kConflict) {
    for (const auto& item : reply.items) {
      ApplyItem(item);
    }
  }
  controller_lease_.next_call = now_ + options_.store_retry;
}

void primary_manager::implementation::ApplyController(
    const std::optional<controller_record>& record) {
  if (record && controller_ && record->token < controller_->token) {
    return;
  }
  const bool was_vacant = !controller_;
  controller_ = record;
  const bool own = controller_ && controller_->holder == self_.name &&
                   controller_->incarnation == self_.incarnation;
  if (own && !is_controller_ && controller_lease_.lease != 0) {
    is_controller_ = true;
    may_reclaim_ = false;
    Log(log_level::kInfo,
        "became the failover controller with fencing token {}",
        controller_->token);
  } else if (!own && is_controller_) {
    is_controller_ = false;
    controller_lease_ = {};
    Log(log_level::kWarning, "the failover controller role is now held by {}",
        controller_ ? controller_->holder : "nobody");
  }
  if (!controller_ && !was_vacant) {
    DelayClaim();
  }
}

// Whether this VM holds the controller's lease and no promotion that it called
// for can still arrive. Once the lease is revoked, the next controller may
// promote another member at any time.
bool primary_manager::implementation::MayResign() const {
  return controller_lease_.lease != 0 && promotion_calls_ == 0;
}

void primary_manager::implementation::ResignAsController() {
  Call(call_kind::kRevokeControllerLease,
       store::keyspace::revoke_call{controller_lease_.lease});
  controller_lease_ = {};
  is_controller_ = false;
}

// Sets the earliest time at which this VM claims the vacant controller role.
// Relays, and VMs registered long enough for all others to know them, claim
// earlier, since they can replace primaries sooner. A VM that can't decide
// whether a primary has failed waits `undecided_claim_delay` longer.
void primary_manager::implementation::DelayClaim() {
  const int64_t spread =
      std::clamp(kClaimSpreadPerVmMs * static_cast<int64_t>(vms_.size()),
                 kMinClaimSpreadMs, kMaxClaimSpreadMs);
  std::uniform_int_distribution<int64_t> jitter(0, spread);
  next_claim_ = now_ + milliseconds(jitter(random_));
  if (!relay_.relays) {
    next_claim_ += options_.follower_claim_delay;
  }
  if (now_ - registered_at_ < options_.registration_lifetime) {
    next_claim_ += options_.new_vm_claim_delay;
  }
  if (UndecidedPrimary()) {
    next_claim_ += options_.undecided_claim_delay;
  }
}

// --- Confirmation ---

void primary_manager::implementation::MaintainConfirmation() {
  if (confirming_ || now_ < next_confirm_ || !registered_) {
    return;
  }
  // After a restore of the store, the controller has to know what was lost.
  const bool listed = listed_era_ == store_era_;
  if (!confirm_again_ && listed && IsConfirmedRecently()) {
    return;
  }
  confirming_ = true;
  confirm_again_ = false;
  Call(call_kind::kConfirm, store::keyspace::range_call{PrimaryPrefix(), ""});
}

// Whether this VM need not read the records itself, because every record that
// is not moving and was written in the store's present era was confirmed by a
// recent read, sent by this VM or reported by another one. False if no record
// is known.
bool primary_manager::implementation::IsConfirmedRecently() const {
  const duration limit = relay_.relays
                             ? std::min(options_.relayed_confirm_limit,
                                        options_.confirm_interval +
                                            options_.confirm_step * relay_.rank)
                             : options_.follower_confirm_limit;
  return !records_.empty() &&
         std::all_of(records_.begin(), records_.end(), [&](const auto& each) {
           const auto confirmed = confirmed_.find(each.first);
           return each.second.moving || IsOfFormerEra(each.second) ||
                  (confirmed != confirmed_.end() &&
                   now_ - confirmed->second < limit);
         });
}

void primary_manager::implementation::OnConfirmed(const store_answered& event) {
  confirming_ = false;
  if (event.reply.status != call_status::kDone) {
    next_confirm_ = now_ + options_.store_retry;
    return;
  }
  for (const store::keyspace::item& item : event.reply.items) {
    const auto record = ApplyPrimary(item);
    if (record && !IsOfFormerEra(*record)) {
      ConfirmGroup(item.key.substr(PrimaryPrefix().size()), record->epoch,
                   event.sent);
    }
  }
  if (event.reply.more) {
    confirming_ = true;
    Call(call_kind::kConfirm,
         store::keyspace::range_call{PrimaryPrefix(),
                                     event.reply.items.back().key});
  } else {
    listed_era_ = store_era_;
    if (AllRecordsAreOfPresentEra()) {
      confirmed_at_ = std::max(confirmed_at_.value_or(event.sent), event.sent);
    }
    next_confirm_ = now_;
    if (!confirm_again_) {
      next_confirm_ +=
          records_.empty() ? options_.confirm_interval : kMinConfirmInterval;
    }
    // Other VMs skip their own reads if this one is reported in time.
    actions_.push_back(send_digests{std::exchange(newly_confirmed_, false)});
  }
  PublishPrimaryLeases();
  ContinueHandovers();
}

void primary_manager::implementation::PublishFleet() {
  if (!fleet_dirty_) {
    return;
  }
  fleet_dirty_ = false;
  publish_fleet known;
  for (const auto& [name, vm] : vms_) {
    known.vms.push_back(vm);
  }
  actions_.push_back(std::move(known));
}

}  // namespace tarragondale::leadership
