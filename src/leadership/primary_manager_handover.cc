// Replacement of a group's primary by the failover controller.
#include <algorithm>

#include "src/leadership/primary_manager_implementation.h"

namespace tarragondale::leadership {

using handover_event = chart::handover::event;
using handover_state = chart::handover::state;
using store::keyspace::call_status;

namespace {

constexpr duration kCreateInterval = milliseconds(300);
// How long demotion requests are sent to a replaced primary.
constexpr duration kDemotionPeriod = seconds(40);
// A status of the old primary that arrives sooner than this after the last
// primary lease ended is ignored, since it may have been taken before the last
// commits. Longer than a status call on a new connection takes.
constexpr duration kStatusMargin = milliseconds(80);

}  // namespace

// --- When to replace a primary ---

void primary_manager::implementation::WatchPrimaries() {
  if (!members_ || !catalogue_ || draining_) {
    return;
  }
  const bool may_create = now_ >= next_create_;
  for (const auto& [group, limits] : catalogue_->groups) {
    const auto found = records_.find(group);
    if (found == records_.end()) {
      if (may_create) {
        CreateRecord(group);
      }
      continue;
    }
    if (handovers_.contains(group)) {
      continue;
    }
    const primary_record record = found->second;
    if (IsOfFormerEra(record)) {
      Revalidate(group, record);
      continue;
    }
    if (record.moving) {
      StartHandover(group, record, false,
                    "another VM left a handover unfinished");
      continue;
    }
    bool planned = false;
    if (IsSuperseded(group, record.member)) {
      StartHandover(group, record, false, "another member is primary");
    } else if (auto reason = ReasonToReplace(group, record, planned)) {
      StartHandover(group, record, planned, std::move(*reason));
    }
  }
}

// Replaces or keeps the primary of a record that was written before the store
// was restored. Waits until all records were read in the present era, since the
// write has to name the revision that the store has.
void primary_manager::implementation::Revalidate(const std::string& group,
                                                 const primary_record& record) {
  if (listed_era_ != store_era_) {
    return;
  }
  StartHandover(group, record, true, "the store was restored");
  handovers_.at(group).revalidates = !record.moving;
}

// Creates a group's first record. It names the member that the directory lists
// as primary; without exactly one such member, no record is created yet.
void primary_manager::implementation::CreateRecord(const std::string& group) {
  const interactive::member_record* primary = nullptr;
  for (const interactive::member_record* each : MembersOf(group)) {
    if (each->claims_primary) {
      if (primary != nullptr) {
        return;  // Ambiguous; retried once the directory has settled.
      }
      primary = each;
    }
  }
  if (primary == nullptr) {
    return;
  }
  next_create_ = now_ + kCreateInterval;
  WriteRecord(call_kind::kCreateRecord, group, 0, {primary->id, 0, false});
}

// Writes a group's record if it still has the epoch `epoch` (0: it doesn't
// exist) and the controller record is unchanged. The latter keeps a write that
// reaches the store late from overwriting what the next controller has written.
void primary_manager::implementation::WriteRecord(call_kind kind,
                                                  const std::string& group,
                                                  int64_t epoch,
                                                  primary_record record) {
  record.writer = Writer();
  store::keyspace::transaction_call write;
  record.epoch = store::keyspace::RevisionInEra(store_era_.value_or(0), 0);
  write.conditions.push_back({PrimaryKey(group), epoch});
  write.conditions.push_back(
      {ControllerKey(), controller_ ? controller_->token : 0});
  write.writes.push_back(
      {.key = PrimaryKey(group), .value = EncodePrimary(record)});
  Call(kind, std::move(write), group);
}

// Starts by marking the record as moving. If it is moving already, it is
// written again: the new epoch makes late writes of the unfinished handover
// fail.
void primary_manager::implementation::StartHandover(
    const std::string& group,
    const primary_record& record,
    bool planned,
    std::string reason) {
  handover& move = handovers_[group];
  move.from = record.member;
  move.from_term = record.term;
  move.planned = planned;
  move.reason = std::move(reason);
  move.started = now_;
  move.state_since = now_;
  Log(log_level::kWarning, "group {}: replacing primary {} (epoch {}, {}): {}",
      group, record.member, record.epoch, planned ? "planned" : "failed",
      move.reason);
  move.former_epoch = record.epoch;
  move.maybe_promoted = record.moving;
  move.call_pending = true;
  WriteRecord(call_kind::kWriteMoving, group, StoredRevision(group),
              {record.member, record.term, true});
}

// --- Steps of a handover ---

void primary_manager::implementation::ContinueHandovers() {
  std::vector<std::string> groups;
  for (const auto& [group, move] : handovers_) {
    groups.push_back(group);
  }
  for (const std::string& group : groups) {
    handover& move = handovers_.at(group);
    const auto record = records_.find(group);
    if (!IsController()) {
      Fire(group, move, handover_event::kFailed,
           "this VM is no longer the failover controller");
    } else if (move.epoch != 0 && record->second.epoch > move.epoch &&
               move.machine.state() != handover_state::kPublishing) {
      Fire(group, move, handover_event::kFailed,
           "another VM changed the record");
    }
    switch (move.machine.state()) {
      case handover_state::kRecording:
        if (record != records_.end() && record->second.moving &&
            record->second.epoch > move.former_epoch && !move.call_pending) {
          move.epoch = record->second.epoch;
          move.recorded = now_;
          Fire(group, move, handover_event::kRecorded,
               "the record was read back as moving");
        } else if (!move.call_pending &&
                   now_ - move.state_since > options_.promote_retry) {
          Fire(group, move, handover_event::kFailed,
               "the change was not recorded");
        }
        break;
      case handover_state::kStopping:
        ContinueStop(group, move);
        break;
      case handover_state::kChoosing:
        ContinueChoice(group, move);
        break;
      case handover_state::kPromoting:
        ContinuePromotion(group, move);
        break;
      case handover_state::kConfirming:
        ContinueConfirmation(move);
        if (move.machine.state() == handover_state::kConfirming &&
            now_ - move.state_since > options_.promotion_confirm_timeout) {
          Fire(group, move, handover_event::kTimedOut,
               "the member is not primary yet");
        } else if (move.new_term != 0) {
          Fire(group, move, handover_event::kEffective,
               "the member is primary");
          ContinuePublication(group, move);
        }
        break;
      case handover_state::kPublishing:
        ContinuePublication(group, move);
        break;
      case handover_state::kDone:
      case handover_state::kAbandoned:
        break;
    }
    if (handovers_.at(group).machine.InFinalState()) {
      FinishHandover(group);
    }
  }
}

void primary_manager::implementation::ContinueStop(const std::string& group,
                                                   handover& move) {
  CheckMembers(group, move);
  if (!move.awaited_vms && !move.call_pending) {
    move.call_pending = true;
    Call(call_kind::kListVms, store::keyspace::range_call{VmPrefix(), ""},
         group);
  }
  if (AllStopped(group, move)) {
    Fire(group, move, handover_event::kStopped,
         "no VM holds a primary lease any more");
    ContinueChoice(group, move);
  }
}

// Whether no VM can hold a primary lease of an epoch below `move.epoch` any
// more. Considers this VM, the VMs in the list of registrations that was read
// after the record was marked as moving, and those whose registration ended at
// most `registration_lifetime` ago. If the list has not been read, this VM must
// have given up its lease and `registration_lifetime` must have passed since
// this VM learned of the mark.
bool primary_manager::implementation::AllStopped(const std::string& group,
                                                 const handover& move) const {
  const auto own = stopped_.find(group);
  if (own == stopped_.end() || own->second < move.epoch) {
    return false;
  }
  if (!move.awaited_vms) {
    return now_ - move.recorded >= options_.registration_lifetime;
  }
  const auto stopped = [&](const std::string& name) {
    return name == self_.name || HasStopped(name, group, move.epoch) ||
           PrimaryLeaseExpired(name, move);
  };
  return std::all_of(move.awaited_vms->begin(), move.awaited_vms->end(),
                     stopped) &&
         std::all_of(
             unregistered_.begin(), unregistered_.end(), [&](const auto& each) {
               return now_ - each.second > options_.registration_lifetime ||
                      stopped(each.first);
             });
}

bool primary_manager::implementation::HasStopped(const std::string& name,
                                                 const std::string& group,
                                                 int64_t epoch) const {
  const auto vm = vms_.find(name);
  const int64_t incarnation = vm == vms_.end() ? 0 : vm->second.incarnation;
  if (vm != vms_.end()) {
    const auto reported = vm->second.stopped.find(group);
    if (reported != vm->second.stopped.end() && reported->second >= epoch) {
      return true;
    }
  }
  for (const auto& [relay, each] : peers_) {
    const auto& stop_notices = each.digest.stop_notices;
    const bool reported_by_relay = std::any_of(
        stop_notices.begin(), stop_notices.end(), [&](const auto& notice) {
          return notice.vm == name && notice.incarnation >= incarnation &&
                 (notice.group.empty() ||
                  (notice.group == group && notice.epoch >= epoch));
        });
    if (reported_by_relay) {
      return true;
    }
  }
  const auto heard = peers_.find(name);
  if (heard == peers_.end() || heard->second.digest.incarnation < incarnation) {
    return false;
  }
  if (heard->second.digest.leaving) {
    return true;
  }
  const auto& states = heard->second.digest.primaries;
  return std::any_of(
      states.begin(), states.end(), [&](const wire::primary_state& state) {
        return state.group == group && state.stopped_epoch >= epoch;
      });
}

// Whether the VM's primary lease must have expired. A lease that is based on a
// read expires within `primary_lease_lifetime` after this VM learned that the
// record was marked as moving. A VM that does not know of this VM may also
// extend its lease without a report of this VM. It can do so until it receives
// a digest of this VM; from then on it extends the lease only while it receives
// further ones. An extension lasts for `extension_lifetime` at most. In any
// case, none that was made without knowing of this VM outlasts
// `registration_lifetime` after this VM registered.
bool primary_manager::implementation::PrimaryLeaseExpired(
    const std::string& name,
    const handover& move) const {
  time_point end = move.recorded + options_.primary_lease_lifetime;
  const auto heard = peers_.find(name);
  const time_point known = registered_at_ + options_.registration_lifetime;
  if (heard == peers_.end() || !heard->second.echoes_since) {
    end = std::max(end, known);
  } else {
    end = std::max(end, std::min(known, *heard->second.echoes_since +
                                            options_.extension_lifetime));
  }
  return now_ >= end;
}

void primary_manager::implementation::CheckMembers(const std::string& group,
                                                   handover& move) {
  if (now_ < move.next_call) {
    return;
  }
  move.next_call = now_ + options_.status_interval;
  for (const interactive::member_record* each : MembersOf(group)) {
    actions_.push_back(check_member{each->id});
  }
}

primary_manager::implementation::survey
primary_manager::implementation::SurveyMembers(const std::string& group,
                                               handover& move) const {
  survey found;
  // The old primary's term counts as soon as it is known, unlike what it has
  // received.
  const auto from = move.statuses.find(move.from);
  if (from != move.statuses.end() && from->second.at >= move.state_since &&
      from->second.status.primary) {
    move.from_term = std::max(move.from_term, from->second.status.term);
  }
  for (const interactive::member_record* each : MembersOf(group)) {
    const bool eligible = each->id != move.from && !each->draining &&
                          !each->evacuated && !move.refused.contains(each->id);
    found.candidates += eligible ? 1 : 0;
    const auto known = move.statuses.find(each->id);
    if (known == move.statuses.end() || known->second.at < move.state_since) {
      (each->id == move.from ? found.from_known : found.others_known) = false;
      continue;
    }
    const interactive::member_status& status = known->second.status;
    if (each->id == move.from) {
      if (known->second.at >= move.state_since + kStatusMargin) {
        found.from = status;
      }
      continue;
    }
    if (status.primary && status.term > move.from_term && move.from_term > 0 &&
        status.term > found.leader_term) {
      found.leader = each->id;
      found.leader_term = status.term;
    }
    found.newest = std::max(found.newest, status.received);
    if (!eligible) {
      continue;
    }
    ++found.answered;
    if (!found.best || status.received > found.best->received) {
      found.best_member = each->id;
      found.best = status;
    }
  }
  return found;
}

// If an unfinished handover promoted a member (`found.leader`), and all members
// answered, accepts that member as the new primary, since no other one can have
// been promoted later. If some have not answered within `choice_timeout`,
// promotes that member again, unless it refused a promotion. Returns true if
// the member was accepted or is being promoted.
bool primary_manager::implementation::AdoptLeader(const std::string& group,
                                                  handover& move,
                                                  const survey& found,
                                                  duration waited) {
  if (found.leader.empty()) {
    return false;
  }
  if (found.others_known && found.from_known) {
    move.chosen = found.leader;
    move.new_term = found.leader_term;
    Fire(group, move, handover_event::kAlreadyPrimary, found.leader);
    return true;
  }
  if (waited > options_.choice_timeout &&
      !move.refused.contains(found.leader) && !IsEvacuated(found.leader)) {
    Promote(group, move, found.leader, found.leader_term,
            "the member is primary, but not all members answer");
    return true;
  }
  return false;
}

// Whether the best candidate may be promoted. All candidates and, in a planned
// handover, the old primary must have answered, and the best candidate must
// have received everything that the old primary is known to have. This is no
// longer required after `catch_up_timeout` if the old primary answered, or
// after `choice_timeout` if it did not. If commits are synchronous, all members
// but the old primary must also have answered and none of them may have
// received more, until `synchronous_timeout` has passed.
bool primary_manager::implementation::MayPromote(const std::string& group,
                                                 const handover& move,
                                                 const survey& found,
                                                 duration waited) const {
  const auto limits = catalogue_->groups.find(group);
  const bool synchronous = limits != catalogue_->groups.end() &&
                           limits->second.synchronous_replicas > 0;
  if (synchronous && waited < options_.synchronous_timeout &&
      (!found.others_known || found.best->received < found.newest)) {
    // A commit that the old primary acknowledged may be held by only some of
    // the members, so any one of them may be the only one that still has it.
    return false;
  }
  const bool caught_up =
      !found.from || found.best->received >= found.from->received;
  if ((!found.from || !caught_up) && MustCatchUp(group, move, waited)) {
    return false;
  }
  const bool complete =
      found.answered == found.candidates && (found.from || !move.planned);
  return (complete && caught_up) ||
         waited >
             (found.from ? options_.catch_up_timeout : options_.choice_timeout);
}

// Keeps the primary of a record of a former era if it answers that it leads. If
// not all others answer, one of them may have been promoted, and the primary is
// promoted again. Returns true if the primary is kept or is being promoted.
bool primary_manager::implementation::KeepPrimary(const std::string& group,
                                                  handover& move,
                                                  const survey& found,
                                                  duration waited) {
  if (!move.revalidates || !found.from || !found.from->primary) {
    return false;
  }
  if (found.others_known) {
    move.chosen = move.from;
    move.new_term = found.from->term;
    Fire(group, move, handover_event::kRestored, "it is still primary");
    return true;
  }
  if (waited > options_.choice_timeout && !IsEvacuated(move.from)) {
    Promote(group, move, move.from, found.from->term,
            "it is still primary, but not all members answer");
    return true;
  }
  return false;
}

void primary_manager::implementation::ContinueChoice(const std::string& group,
                                                     handover& move) {
  CheckMembers(group, move);
  const survey found = SurveyMembers(group, move);
  const duration waited =
      std::chrono::duration_cast<duration>(now_ - move.state_since);
  if (AdoptLeader(group, move, found, waited) ||
      KeepPrimary(group, move, found, waited)) {
    return;
  }
  if (found.best) {
    if (MayPromote(group, move, found, waited)) {
      Promote(group, move, found.best_member,
              found.best->primary ? found.best->term : 0,
              fmt::format("{} of {} candidates answered, position {}.{}",
                          found.answered, found.candidates,
                          found.best->received.term,
                          found.best->received.position));
    }
    return;
  }
  if (waited <= options_.restore_timeout) {
    return;
  }
  if (!found.from || !found.from->primary || IsEvacuated(move.from)) {
    // An evacuated primary stays unused until a member elsewhere answers or
    // the evacuation ends.
    move.refused.clear();
  } else if (move.maybe_promoted) {
    Promote(group, move, move.from, found.from->term,
            "no other member answers");
  } else {
    move.chosen = move.from;
    move.new_term = found.from->term;
    Fire(group, move, handover_event::kRestored, "no other member answers");
  }
}

// Promotes `member`. `claimed_term` is the term in which it already claims to
// be primary, or 0 if it makes no such claim. A member that makes the claim is
// promoted anyway, because a member that does not answer may have superseded
// it. If it is still the primary, the promotion has no effect.
void primary_manager::implementation::Promote(const std::string& group,
                                              handover& move,
                                              std::string member,
                                              int64_t claimed_term,
                                              std::string_view why) {
  move.chosen = std::move(member);
  move.claimed_term = claimed_term;
  move.new_term = 0;
  Fire(group, move, handover_event::kChosen, why);
  ContinuePromotion(group, move);
}

void primary_manager::implementation::ContinuePromotion(
    const std::string& group,
    handover& move) {
  // After an unknown result, the same member is promoted again and no other,
  // since the earlier promotion may still take effect.
  if (move.call_pending || now_ < move.next_call) {
    return;
  }
  move.call_pending = true;
  move.maybe_promoted = true;
  ++promotion_calls_;
  Log(log_level::kWarning, "group {}: promoting {} with fencing token {}",
      group, move.chosen, controller_->token);
  actions_.push_back(
      promote_member{group, move.chosen, self_.name, controller_->token});
}

void primary_manager::implementation::ContinueConfirmation(handover& move) {
  const auto status = move.statuses.find(move.chosen);
  if (status != move.statuses.end() && status->second.at >= move.state_since &&
      status->second.status.primary) {
    const int64_t term = status->second.status.term;
    const bool risen = term > std::max(move.from_term, move.claimed_term);
    const bool unchanged = term == move.claimed_term &&
                           now_ - move.state_since > options_.promotion_timeout;
    if (risen || unchanged) {
      move.new_term = term;
      return;
    }
  }
  if (now_ >= move.next_call) {
    move.next_call = now_ + options_.tick_interval;
    actions_.push_back(check_member{move.chosen});
  }
}

void primary_manager::implementation::ContinuePublication(
    const std::string& group,
    handover& move) {
  const primary_record& record = records_.at(group);
  if (record.epoch > move.epoch) {
    const bool own = !record.moving && record.member == move.chosen;
    return Fire(group, move,
                own ? handover_event::kPublished : handover_event::kFailed,
                "the record changed");
  }
  if (move.call_pending || now_ < move.next_call) {
    return;
  }
  move.call_pending = true;
  WriteRecord(call_kind::kPublish, group, move.epoch,
              {move.chosen, move.new_term, false});
}

// --- Replies of the store ---

void primary_manager::implementation::OnHandoverAnswer(
    const pending_call& call,
    const store_answered& event) {
  const auto& reply = event.reply;
  for (const store::keyspace::item& item : reply.items) {
    if (call.kind != call_kind::kListVms) {
      ApplyItem(item);
    }
  }
  if (call.kind == call_kind::kCreateRecord) {
    next_confirm_ = now_;
    MaintainConfirmation();
    return;
  }
  const auto found = handovers_.find(call.group);
  if (found == handovers_.end()) {
    return;
  }
  handover& move = found->second;
  move.call_pending = false;
  switch (call.kind) {
    case call_kind::kWriteMoving:
      if (reply.status == call_status::kDone) {
        move.epoch = reply.revision;
        move.recorded = now_;
        ApplyRecord(call.group, {move.from, move.from_term, true, Writer(),
                                 reply.revision});
        Fire(call.group, move, handover_event::kRecorded, "written");
        actions_.push_back(send_digests{});
      } else if (reply.status == call_status::kUnknown) {
        move.state_since = now_;
        next_confirm_ = now_;
        confirm_again_ = true;
        MaintainConfirmation();
      } else {
        Fire(call.group, move, handover_event::kFailed, reply.reason);
      }
      break;
    case call_kind::kListVms:
      if (reply.status == call_status::kDone) {
        std::set<std::string>& names = move.awaited_vms.emplace();
        for (const store::keyspace::item& item : reply.items) {
          ApplyItem(item);
          names.insert(item.key.substr(VmPrefix().size()));
        }
      }
      break;
    case call_kind::kPublish:
      if (reply.status == call_status::kDone) {
        ApplyRecord(call.group, {move.chosen, move.new_term, false, Writer(),
                                 reply.revision});
        actions_.push_back(send_digests{});
      } else {
        move.next_call = now_ + options_.store_retry;
      }
      break;
    default:
      break;
  }
  ContinueHandovers();
}

void primary_manager::implementation::Fire(const std::string& group,
                                           handover& move,
                                           handover_event event,
                                           std::string_view why) {
  const std::string before(move.machine.StateName());
  if (!move.machine.Fire(event)) {
    return;
  }
  move.state_since = now_;
  move.next_call = now_;
  move.call_pending = false;
  Log(log_level::kInfo,
      "group {}: change of primary {}{} from state {} to {}: {}", group,
      move.from, move.chosen.empty() ? "" : fmt::format(" to {}", move.chosen),
      before, move.machine.StateName(), why);
}

void primary_manager::implementation::FinishHandover(const std::string& group) {
  const handover& move = handovers_.at(group);
  Log(log_level::kWarning,
      "group {}: change of primary {} to {} ended as {} after {} ms", group,
      move.from, move.chosen.empty() ? "none" : move.chosen,
      move.machine.StateName(), ToMs(now_ - move.started));
  if (move.machine.state() == handover_state::kDone &&
      move.chosen != move.from) {
    demotions_[move.from] = {move.new_term, now_, now_ + kDemotionPeriod};
  }
  handovers_.erase(group);
  primary_conflicts_.erase(group);
}

// Asks each replaced primary to step down, until it answers that it is not
// primary or `kDemotionPeriod` has passed since the handover. If it is not in
// the directory, stops after four times `unlisted_timeout`.
void primary_manager::implementation::ContinueDemotions() {
  for (auto next = demotions_.begin(); next != demotions_.end();) {
    auto& [member, demotion] = *next;
    if (now_ > demotion.until || (members_ && !members_->contains(member) &&
                                  now_ + kDemotionPeriod - demotion.until >
                                      options_.unlisted_timeout * 4)) {
      next = demotions_.erase(next);
      continue;
    }
    if (now_ >= demotion.next) {
      demotion.next = now_ + options_.demote_interval;
      actions_.push_back(demote_member{member, demotion.term});
    }
    ++next;
  }
}

std::vector<const interactive::member_record*>
primary_manager::implementation::MembersOf(std::string_view group) const {
  std::vector<const interactive::member_record*> found;
  if (members_) {
    for (const auto& [id, record] : *members_) {
      if (record.group == group) {
        found.push_back(&record);
      }
    }
  }
  return found;
}

}  // namespace tarragondale::leadership
