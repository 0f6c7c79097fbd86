// Membership protocol: probes, suspicion, refutation and gossip.
#include <algorithm>
#include <bit>

#include "tarragondale/fleet.h"

namespace tarragondale::fleet {
namespace {

using wire::vm_state;

// Returns true if `update` takes precedence over `known`: its incarnation is
// higher, or the incarnations are equal and its state comes later in the
// declaration of `vm_state`.
bool Supersedes(const wire::vm_record& update, const wire::vm_record& known) {
  if (update.incarnation != known.incarnation) {
    return update.incarnation > known.incarnation;
  }
  return update.state > known.state;
}

// Returns the event of the lifecycle chart that leads to `state`, or nothing
// for the initial state `kJoining`.
std::optional<chart::vm_lifecycle::event> EventForState(vm_state state) {
  using enum chart::vm_lifecycle::event;
  switch (state) {
    case vm_state::kJoining:
      return std::nullopt;
    case vm_state::kAlive:
      return kJoined;
    case vm_state::kSuspect:
      return kSilent;
    case vm_state::kLeaving:
      return kLeft;
    case vm_state::kDead:
      return kFailed;
  }
  return std::nullopt;
}

// Records with incarnation 0 come from the platform's list of VMs, which does
// not tell whether a VM is in service.
bool InService(const wire::vm_record& record) {
  return record.incarnation > 0 && (record.state == vm_state::kAlive ||
                                    record.state == vm_state::kSuspect ||
                                    record.state == vm_state::kLeaving);
}

}  // namespace

membership::membership(membership_options options,
                       wire::vm_record self,
                       uint64_t seed)
    : options_(options), self_(std::move(self)), random_(seed) {
  self_.state = vm_state::kJoining;
}

std::vector<action> membership::Step(time_point now, const event& event) {
  now_ = now;
  actions_.clear();
  std::visit([this](const auto& typed) { On(typed); }, event);
  if (view_dirty_) {
    PublishView();
  }
  return std::move(actions_);
}

void membership::On(const probe_arrived& event) {
  const wire::probe& probe = event.message;
  MergeAll(probe.gossip);
  if (probe.target != self_.name) {
    if (peers_.contains(probe.target)) {
      wire::probe relayed = probe;
      relayed.freshness = freshness_;
      relayed.gossip = Gossip();
      Send(probe.target, std::move(relayed));
    }
    return;
  }
  actions_.emplace_back(vm_heard{event.sender, probe.freshness});
  Send(event.sender, wire::probe_answer{probe.sequence, self_.name,
                                        probe.origin, freshness_, Gossip()});
}

void membership::On(const probe_answer_arrived& event) {
  const wire::probe_answer& answer = event.message;
  MergeAll(answer.gossip);
  actions_.emplace_back(vm_heard{event.sender, answer.freshness});
  if (answer.origin != self_.name) {
    wire::probe_answer relayed = answer;
    relayed.freshness = freshness_;
    relayed.gossip = Gossip();
    Send(answer.origin, std::move(relayed));
    return;
  }
  std::erase_if(open_probes_, [&](const open_probe& probe) {
    return probe.sequence == answer.sequence && probe.target == answer.target;
  });
}

void membership::On(const seeds_changed& event) {
  for (const wire::vm_record& seed : event.vms) {
    if (seed.name != self_.name && !peers_.contains(seed.name)) {
      peer& added = peers_[seed.name];
      added.record = seed;
      added.record.incarnation = 0;
      added.record.state = vm_state::kJoining;
      added.lifecycle = {};
      added.state_since = now_;
    }
  }
}

void membership::On(const became_ready& /*event*/) {
  if (self_.state == vm_state::kJoining) {
    self_.state = vm_state::kAlive;
    AnnounceSelf();
  }
}

void membership::On(const freshness_changed& event) {
  // The new version is not announced as a change of this VM's record: an edit
  // of the configuration changes the version of every VM, so the traffic would
  // grow with the fleet. Each message contains the sender's own record anyway.
  self_.configuration_version = event.applied_version;
  freshness_ = event.freshness;
}

void membership::On(const leave_started& /*event*/) {
  if (self_.state != vm_state::kLeaving) {
    self_.state = vm_state::kLeaving;
    AnnounceSelf();
    // Probes carry gossip, so these inform up to `indirect_probers` VMs
    // immediately. The others learn of it by further gossip.
    for (int i = 0; i < options_.indirect_probers; ++i) {
      ProbeNext();
    }
  }
}

void membership::On(const tick& /*event*/) {
  CheckOpenProbes();
  ExpireStates();
  if (now_ >= next_probe_) {
    ProbeNext();
    next_probe_ = now_ + options_.probe_interval;
  }
  if (now_ >= next_dead_probe_) {
    ProbeOneDead();
    next_dead_probe_ = now_ + options_.dead_probe_interval;
  }
  next_tick_ = std::min(next_probe_, now_ + options_.probe_timeout / 2);
}

void membership::Merge(const wire::vm_record& record) {
  if (record.name == self_.name) {
    Refute(record);
    return;
  }
  const auto [found, added] = peers_.try_emplace(record.name);
  peer& known = found->second;
  if (!added && !Supersedes(record, known.record)) {
    // If the incarnations are equal, a higher configuration version is stored,
    // but not gossiped as a change.
    if (record.incarnation == known.record.incarnation) {
      known.record.configuration_version = std::max(
          known.record.configuration_version, record.configuration_version);
    }
    return;
  }
  ReplaceSameAddress(record);
  const bool same_incarnation =
      !added && record.incarnation == known.record.incarnation;
  if (!same_incarnation) {
    known.lifecycle = {};
  }
  const vm_state state = record.state;
  known.record = record;
  known.record.state = static_cast<vm_state>(known.lifecycle.state());
  SetState(known, state);
}

void membership::MergeAll(const std::vector<wire::vm_record>& records) {
  for (const wire::vm_record& record : records) {
    Merge(record);
  }
}

void membership::Refute(const wire::vm_record& record) {
  const bool worse =
      record.state == vm_state::kSuspect || record.state == vm_state::kDead ||
      (record.state == vm_state::kLeaving && self_.state != vm_state::kLeaving);
  if (record.incarnation < self_.incarnation ||
      (record.incarnation == self_.incarnation && !worse)) {
    return;
  }
  ++metrics_.refutations;
  self_.incarnation = record.incarnation + 1;
  AnnounceSelf();
}

void membership::ReplaceSameAddress(const wire::vm_record& record) {
  // A replacement VM may reuse the address of a former VM with another name.
  // The former VM, which has the lower incarnation, is then dead.
  for (auto& [name, other] : peers_) {
    if (name != record.name && other.record.incarnation > 0 &&
        other.record.peer_address == record.peer_address &&
        other.record.incarnation < record.incarnation &&
        other.record.state != vm_state::kDead) {
      SetState(other, vm_state::kDead);
    }
  }
}

void membership::SetState(peer& peer, vm_state state) {
  const auto event = EventForState(state);
  if (event && !peer.lifecycle.Fire(*event)) {
    return;  // The chart does not allow this transition.
  }
  peer.record.state = static_cast<vm_state>(peer.lifecycle.state());
  peer.state_since = now_;
  peer.sends_left = SendsForChange();
  view_dirty_ = true;
  if (state == vm_state::kSuspect) {
    ++metrics_.suspicions;
  } else if (state == vm_state::kDead) {
    ++metrics_.deaths;
  }
}

void membership::AnnounceSelf() {
  self_sends_left_ = SendsForChange();
  view_dirty_ = true;
}

void membership::CheckOpenProbes() {
  std::vector<std::string> failed;
  for (open_probe& probe : open_probes_) {
    const duration waited =
        std::chrono::duration_cast<duration>(now_ - probe.sent);
    if (waited >= options_.probe_interval) {
      failed.push_back(probe.target);
    } else if (waited >= options_.probe_timeout && !probe.relayed) {
      SendIndirectProbes(probe);
    }
  }
  std::erase_if(open_probes_, [&](const open_probe& probe) {
    return now_ - probe.sent >= options_.probe_interval;
  });
  for (const std::string& target : failed) {
    const auto found = peers_.find(target);
    if (found == peers_.end()) {
      continue;
    }
    // A leaving VM that no longer answers has exited.
    const vm_state state = found->second.record.state;
    if (state == vm_state::kLeaving) {
      SetState(found->second, vm_state::kDead);
    } else if (state < vm_state::kSuspect) {
      SetState(found->second, vm_state::kSuspect);
    }
  }
}

void membership::ExpireStates() {
  for (auto& [name, peer] : peers_) {
    if (peer.record.state == vm_state::kSuspect &&
        now_ - peer.state_since >= options_.suspicion_timeout) {
      SetState(peer, vm_state::kDead);
    }
  }
  std::erase_if(peers_, [&](const auto& item) {
    return item.second.record.state == vm_state::kDead &&
           now_ - item.second.state_since >= options_.tombstone_time;
  });
}

void membership::ProbeNext() {
  // Each round probes once every VM that was not dead at its start and is not
  // dead when its turn comes. The order is random in each round, so that the
  // probes of all VMs are spread evenly (SWIM, section 4.3).
  while (true) {
    if (probe_order_.empty()) {
      for (const auto& [name, peer] : peers_) {
        if (peer.record.state != vm_state::kDead) {
          probe_order_.push_back(name);
        }
      }
      std::shuffle(probe_order_.begin(), probe_order_.end(), random_);
      if (probe_order_.empty()) {
        return;
      }
    }
    const std::string name = std::move(probe_order_.back());
    probe_order_.pop_back();
    const auto found = peers_.find(name);
    if (found != peers_.end() &&
        found->second.record.state != vm_state::kDead) {
      SendProbe(found->second);
      return;
    }
  }
}

void membership::ProbeOneDead() {
  std::vector<const peer*> dead;
  for (const auto& [name, peer] : peers_) {
    if (peer.record.state == vm_state::kDead) {
      dead.push_back(&peer);
    }
  }
  if (!dead.empty()) {
    SendProbe(*dead[random_() % dead.size()]);
  }
}

void membership::SendProbe(const peer& peer) {
  ++metrics_.probes_sent;
  open_probes_.push_back({++last_sequence_, peer.record.name, now_, false});
  wire::probe probe{last_sequence_, peer.record.name, self_.name, freshness_,
                    Gossip()};
  // Includes the target's record, so that the target can refute a false
  // suspicion.
  probe.gossip.push_back(peer.record);
  Send(peer.record.name, std::move(probe));
}

void membership::SendIndirectProbes(open_probe& probe) {
  probe.relayed = true;
  std::vector<std::string> indirect_probers;
  for (const auto& [name, peer] : peers_) {
    if (name != probe.target && peer.record.state == vm_state::kAlive) {
      indirect_probers.push_back(name);
    }
  }
  std::shuffle(indirect_probers.begin(), indirect_probers.end(), random_);
  indirect_probers.resize(std::min(
      indirect_probers.size(), static_cast<size_t>(options_.indirect_probers)));
  for (const std::string& prober : indirect_probers) {
    ++metrics_.indirect_probes_sent;
    Send(prober, wire::probe{probe.sequence, probe.target, self_.name,
                             freshness_, Gossip()});
  }
}

std::vector<wire::vm_record> membership::Gossip() {
  std::vector<wire::vm_record> records;
  // This VM's own record is always included: it makes this VM known to the
  // receiver and contains this VM's configuration version.
  records.push_back(self_);
  self_sends_left_ = std::max(0, self_sends_left_ - 1);
  for (auto& [name, peer] : peers_) {
    if (records.size() > static_cast<size_t>(options_.gossip_records)) {
      break;
    }
    if (peer.sends_left > 0) {
      --peer.sends_left;
      records.push_back(peer.record);
    }
  }
  if (!peers_.empty()) {
    auto next = peers_.upper_bound(anti_entropy_cursor_);
    if (next == peers_.end()) {
      next = peers_.begin();
    }
    anti_entropy_cursor_ = next->first;
    if (next->second.record.incarnation > 0) {
      records.push_back(next->second.record);
    }
  }
  return records;
}

int membership::SendsForChange() const {
  const auto log2_vms = std::bit_width(peers_.size() + 1);
  return options_.gossip_factor * static_cast<int>(log2_vms);
}

void membership::Send(std::string_view vm, wire::message_body body) {
  const auto found = peers_.find(vm);
  if (found != peers_.end()) {
    actions_.emplace_back(send_message{
        found->first, found->second.record.peer_address, std::move(body)});
  }
}

void membership::PublishView() {
  view_dirty_ = false;
  auto view = std::make_shared<fleet_view>();
  view->self = self_.name;
  for (const auto& [name, peer] : peers_) {
    if (InService(peer.record)) {
      view->vms.push_back(peer.record);
    }
  }
  if (InService(self_)) {
    const auto place = std::lower_bound(
        view->vms.begin(), view->vms.end(), self_,
        [](const auto& a, const auto& b) { return a.name < b.name; });
    view->vms.insert(place, self_);
  }
  actions_.emplace_back(view_changed{std::move(view)});
}

}  // namespace tarragondale::fleet
