// How primary leases are granted, renewed, extended and given up.
#include <algorithm>

#include "src/leadership/primary_manager_implementation.h"

namespace tarragondale::leadership {

namespace {

// Number of relays that read a changed record immediately.
constexpr int kImmediateReaders = 2;
// The other VMs wait this long for a reported read of a changed record before
// they read it themselves.
constexpr duration kChangeReportTimeout = milliseconds(400);

}  // namespace

void primary_manager::implementation::ApplyRecord(
    const std::string& group,
    const primary_record& record) {
  primary_record& known = records_[group];
  if (record.epoch <= known.epoch) {
    return;
  }
  const primary_record former = std::exchange(known, record);
  ++records_version_;
  confirmed_.erase(group);
  Log(log_level::kInfo,
      "group {}: record changed to epoch {}, member {}, term {}{}; it was "
      "epoch {}, member {}",
      group, record.epoch, record.member, record.term,
      record.moving ? ", moving" : "", former.epoch, former.member);
  if (members_ && !members_->contains(record.member)) {
    unlisted_since_.try_emplace(record.member, now_);
  }
  if (!record.moving) {
    StopOlderEpochs(group, record.epoch);
    ScheduleConfirmation();
    return PublishPrimaryLeases();
  }
  const bool failing = view_.health(former.member).failing_since.has_value();
  pending_stops_[group] = {
      record.epoch, now_ + (failing ? options_.failing_primary_stop_timeout
                                    : options_.healthy_primary_stop_timeout)};
  PublishPrimaryLeases();
  ContinuePendingStops();
}

// Schedules this VM's read of a changed record. The controller and the first
// `kImmediateReaders` relays read it immediately and report the read to the
// other VMs, which read it themselves only if no report arrives within
// `kChangeReportTimeout`.
void primary_manager::implementation::ScheduleConfirmation() {
  const bool first = relay_.relays && relay_.rank < kImmediateReaders;
  if (first || IsController()) {
    next_confirm_ = now_;
    confirm_again_ = true;
    MaintainConfirmation();
  } else {
    next_confirm_ = std::max(next_confirm_, now_ + kChangeReportTimeout);
  }
}

// Ends all work under epochs below `epoch`, and gives up the primary lease of
// such an epoch.
void primary_manager::implementation::StopOlderEpochs(const std::string& group,
                                                      int64_t epoch) {
  pending_stops_.erase(group);
  int64_t& stopped = stopped_[group];
  if (stopped >= epoch) {
    return;
  }
  stopped = epoch;
  primary_leases_.erase(group);
  actions_.push_back(stop_primary_work{group, epoch});
}

void primary_manager::implementation::ContinuePendingStops() {
  std::vector<std::pair<std::string, int64_t>> ready;
  for (const auto& [group, stop] : pending_stops_) {
    if (now_ >= stop.deadline || view_.primary_work(group, stop.epoch) == 0) {
      ready.emplace_back(group, stop.epoch);
    }
  }
  for (const auto& [group, epoch] : ready) {
    StopOlderEpochs(group, epoch);
  }
  if (!ready.empty()) {
    PublishPrimaryLeases();
    actions_.push_back(send_digests{});
    WriteStoppedEpochs();
  }
}

// Notes that a read sent at `sent` found the group's record at `epoch`, so that
// `PublishPrimaryLeases` grants or renews the primary lease. Ignored if this VM
// knows another epoch or the record is moving. Also ignored if the read was
// sent before this VM was registered, since a controller might then not wait
// for this VM to give up the lease.
void primary_manager::implementation::ConfirmGroup(const std::string& group,
                                                   int64_t epoch,
                                                   time_point sent) {
  const auto record = records_.find(group);
  if (record == records_.end() || record->second.epoch != epoch ||
      record->second.moving || !registered_ || sent < registered_at_) {
    return;
  }
  const auto [confirmed, first] = confirmed_.try_emplace(group, sent);
  confirmed->second = std::max(confirmed->second, sent);
  newly_confirmed_ = newly_confirmed_ || first;
}

interactive::primary_lease primary_manager::implementation::PrimaryLeaseOf(
    const std::string& group,
    const coverage_by_zone& covers) const {
  const primary_record& record = records_.at(group);
  if (record.moving) {
    const auto former = primary_leases_.find(group);
    if (former == primary_leases_.end() || !pending_stops_.contains(group)) {
      return {"", record.epoch, time_point::min(), true};
    }
    interactive::primary_lease new_lease = former->second;
    new_lease.closing = true;
    return new_lease;
  }
  interactive::primary_lease new_lease{record.member, record.epoch,
                                       time_point::min(), false};
  const auto confirmed = confirmed_.find(group);
  if (confirmed != confirmed_.end() && !leaving_) {
    time_point until = confirmed->second + options_.primary_lease_lifetime;
    if (const auto extension = ExtensionOf(group, covers)) {
      until = std::max(until, *extension);
    }
    new_lease.until = std::min(until, registration_.renewed +
                                          options_.registration_lifetime) -
                      options_.primary_lease_margin;
  }
  return new_lease;
}

// Writes the stopped epochs to this VM's registration if no recent digest of
// the failover controller is known, since this VM's digests may not reach it
// either.
void primary_manager::implementation::WriteStoppedEpochs() {
  const auto silence = ControllerSilence(now_);
  const bool heard = silence && *silence < options_.controller_silence_timeout;
  if (!registered_ || !controller_ || controller_->holder == self_.name ||
      heard) {
    return;
  }
  vm_registration registration = self_;
  for (const auto& [group, epoch] : stopped_) {
    registration.stopped[group] = epoch;
  }
  store::keyspace::transaction_call write;
  write.writes.push_back({.key = VmKey(self_.name),
                          .value = EncodeVm(registration),
                          .lease = registration_.lease});
  Call(call_kind::kWriteStoppedEpochs, std::move(write));
}

// Whether an extension can make any primary lease longer. It can't if the last
// read was sent at most `primary_lease_lifetime` - `extension_lifetime` ago:
// the lease then lasts at least as long as any extension.
bool primary_manager::implementation::NeedsExtension() const {
  const duration recent =
      options_.primary_lease_lifetime - options_.extension_lifetime;
  return std::any_of(records_.begin(), records_.end(), [&](const auto& each) {
    const auto confirmed = confirmed_.find(each.first);
    return confirmed != confirmed_.end() && now_ - confirmed->second > recent;
  });
}

void primary_manager::implementation::PublishPrimaryLeases() {
  std::map<std::string, interactive::primary_lease, std::less<>> new_leases;
  RefreshDifferences();
  const coverage_by_zone covers =
      NeedsExtension() ? CoverageByZone().value_or(coverage_by_zone())
                       : coverage_by_zone();
  for (const auto& [group, record] : records_) {
    new_leases[group] = PrimaryLeaseOf(group, covers);
  }
  if (new_leases != primary_leases_) {
    primary_leases_ = std::move(new_leases);
    actions_.push_back(set_primary_leases{primary_leases_});
  }
}

}  // namespace tarragondale::leadership
