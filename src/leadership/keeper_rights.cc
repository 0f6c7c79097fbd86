// Primary leases: granted, renewed and given up.
#include <algorithm>

#include "src/leadership/keeper_implementation.h"

namespace tarragondale::leadership {

namespace {

// Number of relays that read a changed record immediately.
constexpr int kFirstReaders = 2;
// Other VMs read a changed record themselves if no read was reported by then.
constexpr duration kChangeNewsLimit = milliseconds(400);

}  // namespace

void keeper::implementation::SeeRecord(const std::string& group,
                                       const primary_record& record) {
  primary_record& known = records_[group];
  if (record.epoch <= known.epoch) {
    return;
  }
  const primary_record former = std::exchange(known, record);
  ++records_version_;
  confirmed_.erase(group);
  Note(log_level::kInfo,
       "group {}: record changed to epoch {}, member {}, term {}{}; it was "
       "epoch {}, member {}",
       group, record.epoch, record.member, record.term,
       record.moving ? ", moving" : "", former.epoch, former.member);
  if (members_ && !members_->contains(record.member)) {
    unlisted_since_.try_emplace(record.member, now_);
  }
  if (!record.moving) {
    StopOld(group, record.epoch);
    ConfirmChange();
    return PublishRights();
  }
  const bool failing = view_.health(former.member).failing_since.has_value();
  stopping_[group] = {record.epoch, now_ + (failing ? options_.failed_stop
                                                    : options_.planned_stop)};
  PublishRights();
  ContinueStopping();
}

// A few VMs read a changed record immediately and report the read to the
// others.
void keeper::implementation::ConfirmChange() {
  const bool first = relay_.relays && relay_.rank < kFirstReaders;
  if (first || HoldsDuty()) {
    next_confirm_ = now_;
    confirm_again_ = true;
    KeepConfirmed();
  } else {
    next_confirm_ = std::max(next_confirm_, now_ + kChangeNewsLimit);
  }
}

// Ends all work under older epochs, and gives up their primary lease.
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

// A read that was sent before this VM was registered grants no primary lease,
// since a controller would not wait for this VM to give it up.
void keeper::implementation::ConfirmGroup(const std::string& group,
                                          int64_t epoch,
                                          time_point sent) {
  const auto record = records_.find(group);
  if (record == records_.end() || record->second.epoch != epoch ||
      record->second.moving || !registered_ || sent < registered_at_) {
    return;
  }
  const auto [confirmed, first] = confirmed_.try_emplace(group, sent);
  confirmed->second = std::max(confirmed->second, sent);
  news_ = news_ || first;
}

interactive::primary_right keeper::implementation::RightOf(
    const std::string& group,
    const zone_covers& covers) const {
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
    if (const auto extension = ExtensionOf(group, covers)) {
      until = std::max(until, *extension);
    }
    right.until = std::min(until, registration_.renewed +
                                      options_.registration_lifetime) -
                  options_.right_margin;
  }
  return right;
}

// Writes the stopped epochs to this VM's registration if the failover
// controller has not been heard recently, since digests may not reach it
// either.
void keeper::implementation::TellStore() {
  const auto silence = DutySilence(now_);
  const bool heard = silence && *silence < options_.duty_silence;
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

// A primary lease whose record was read recently lasts longer than any
// extension.
bool keeper::implementation::NeedsExtension() const {
  const duration recent = options_.right_lifetime - options_.extension_lifetime;
  return std::any_of(records_.begin(), records_.end(), [&](const auto& each) {
    const auto confirmed = confirmed_.find(each.first);
    return confirmed != confirmed_.end() && now_ - confirmed->second > recent;
  });
}

void keeper::implementation::PublishRights() {
  std::map<std::string, interactive::primary_right, std::less<>> rights;
  RefreshDifferences();
  const zone_covers covers = NeedsExtension()
                                 ? CoversOfAllZones().value_or(zone_covers())
                                 : zone_covers();
  for (const auto& [group, record] : records_) {
    rights[group] = RightOf(group, covers);
  }
  if (rights != rights_) {
    rights_ = std::move(rights);
    actions_.push_back(set_rights{rights_});
  }
}

}  // namespace tarragondale::leadership
