// Rights to use primaries: had, renewed and given up.
#include <algorithm>

#include "src/leadership/keeper_implementation.h"

namespace tarragondale::leadership {

void keeper::implementation::SeeRecord(const std::string& group,
                                       const primary_record& record) {
  primary_record& known = records_[group];
  if (record.epoch <= known.epoch) {
    return;
  }
  const primary_record former = std::exchange(known, record);
  confirmed_.erase(group);
  Note(log_level::kInfo,
       "group {}: record epoch {}, member {}, term {}{}; was epoch {}, member "
       "{}",
       group, record.epoch, record.member, record.term,
       record.moving ? ", moving" : "", former.epoch, former.member);
  if (members_ && !members_->contains(record.member)) {
    unlisted_since_.try_emplace(record.member, now_);
  }
  if (!record.moving) {
    StopOld(group, record.epoch);
    next_confirm_ = now_;
    confirm_again_ = true;
    KeepConfirmed();
    return PublishRights();
  }
  const bool failing = view_.health(former.member).failing_since.has_value();
  stopping_[group] = {record.epoch, now_ + (failing ? options_.failed_stop
                                                    : options_.planned_stop)};
  PublishRights();
  ContinueStopping();
}

// Ends all work under older epochs, and with it the older rights.
void keeper::implementation::StopOld(const std::string& group, int64_t epoch) {
  stopping_.erase(group);
  int64_t& stopped = stopped_[group];
  if (stopped >= epoch) {
    return;
  }
  stopped = epoch;
  rights_.erase(group);
  actions_.push_back(stop_primary_work{group, epoch});
}

void keeper::implementation::ContinueStopping() {
  std::vector<std::pair<std::string, int64_t>> ready;
  for (const auto& [group, stop] : stopping_) {
    if (now_ >= stop.deadline || view_.primary_work(group, stop.epoch) == 0) {
      ready.emplace_back(group, stop.epoch);
    }
  }
  for (const auto& [group, epoch] : ready) {
    StopOld(group, epoch);
  }
  if (!ready.empty()) {
    PublishRights();
    actions_.push_back(send_digests{});
    TellStore();
  }
}

// A read that was sent before this VM was registered gives no right: the VM
// that changes a primary would not wait for this one.
void keeper::implementation::ConfirmGroup(const std::string& group,
                                          int64_t epoch,
                                          time_point sent) {
  const auto record = records_.find(group);
  if (record == records_.end() || record->second.epoch != epoch ||
      record->second.moving || !registered_ || sent < registered_at_) {
    return;
  }
  time_point& confirmed = confirmed_.try_emplace(group, sent).first->second;
  confirmed = std::max(confirmed, sent);
}

interactive::primary_right keeper::implementation::RightOf(
    const std::string& group) const {
  const primary_record& record = records_.at(group);
  if (record.moving) {
    const auto former = rights_.find(group);
    if (former == rights_.end() || !stopping_.contains(group)) {
      return {"", record.epoch, time_point::min(), true};
    }
    interactive::primary_right right = former->second;
    right.closing = true;
    return right;
  }
  interactive::primary_right right{record.member, record.epoch,
                                   time_point::min(), false};
  const auto confirmed = confirmed_.find(group);
  if (confirmed != confirmed_.end() && !leaving_) {
    time_point until = confirmed->second + options_.right_lifetime;
    if (const auto extension = ExtensionOf(group, record.epoch)) {
      until = std::max(until, *extension);
    }
    right.until = std::min(until, registration_.renewed +
                                      options_.registration_lifetime) -
                  options_.right_margin;
  }
  return right;
}

// How long the right lasts by what the other VMs say: each of them knew of no
// change, and was not about to make one, when it made its last digest.
std::optional<time_point> keeper::implementation::ExtensionOf(
    const std::string& group,
    int64_t epoch) const {
  std::optional<time_point> oldest;
  const auto covers = [&](const peer& other) {
    const auto& states = other.digest.primaries;
    const bool unchanged = std::any_of(
        states.begin(), states.end(), [&](const wire::primary_state& state) {
          return state.group == group && state.epoch == epoch &&
                 !state.moving && !state.changing;
        });
    if (!unchanged || !other.made_after) {
      return false;
    }
    oldest = std::min(oldest.value_or(*other.made_after), *other.made_after);
    return true;
  };
  for (const auto& [name, vm] : vms_) {
    const auto other = peers_.find(name);
    if (name != self_.name &&
        (other == peers_.end() || !covers(other->second))) {
      return std::nullopt;
    }
  }
  // VMs that were heard but whose registration is not known here.
  for (const auto& [name, other] : peers_) {
    const bool counts = !vms_.contains(name) && !other.digest.leaving &&
                        now_ - other.heard < options_.registration_lifetime;
    if (counts && !covers(other)) {
      return std::nullopt;
    }
  }
  if (!oldest) {
    return std::nullopt;
  }
  return *oldest + options_.extension_lifetime;
}

// The VM with the duty may not hear this one, but the store may.
void keeper::implementation::TellStore() {
  const auto holder = duty_ ? peers_.find(duty_->holder) : peers_.end();
  const bool heard = holder != peers_.end() &&
                     now_ - holder->second.heard < options_.report_lifetime;
  if (!registered_ || !duty_ || duty_->holder == self_.name || heard) {
    return;
  }
  vm_registration told = self_;
  for (const auto& [group, epoch] : stopped_) {
    told.stopped[group] = epoch;
  }
  store::keyspace::transaction_call write;
  write.writes.push_back({.key = VmKey(self_.name),
                          .value = EncodeVm(told),
                          .lease = registration_.lease});
  Call(call_kind::kTellStopped, std::move(write));
}

void keeper::implementation::PublishRights() {
  std::map<std::string, interactive::primary_right, std::less<>> rights;
  for (const auto& [group, record] : records_) {
    rights[group] = RightOf(group);
  }
  if (rights != rights_) {
    rights_ = std::move(rights);
    actions_.push_back(set_rights{rights_});
  }
}

}  // namespace tarragondale::leadership
