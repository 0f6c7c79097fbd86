// Simulates several VMs with a store, database members and a network that may
// fail, in virtual time. For tests; deterministic for a given seed.
#ifndef TARRAGONDALE_SRC_LEADERSHIP_PRIMARY_MANAGER_SIMULATION_H_
#define TARRAGONDALE_SRC_LEADERSHIP_PRIMARY_MANAGER_SIMULATION_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/leadership/fake_keyspace.h"
#include "tarragondale/leadership.h"

namespace tarragondale::leadership {

class primary_manager_simulation {
 public:
  static constexpr duration kStep = milliseconds(5);
  static constexpr duration kPromotionTime = milliseconds(300);
  static constexpr int kZoneRelays = 2;

  struct vm {
    std::string name;
    std::unique_ptr<primary_manager> manager;
    bool alive = true;
    time_point paused_until;
    bool store_unreachable = false;  ///< The VM can't reach the store.
    bool peers_unreachable = false;  ///< Cut off from all other VMs.
    bool watch_stalled = false;      ///< The watch delivers no changes.
    /// The VM's connections to all members fail; its status checks, promotions
    /// and demotions still reach them.
    bool members_unreachable = false;
    time_point members_unreachable_since;
    std::string region = "r";
    int64_t incarnation = 0;
    std::map<std::string, interactive::primary_lease, std::less<>>
        primary_leases;
    size_t active_statements = 0;  ///< Statements that run on the primary.
    /// Sizes of the fleet as published last, and the smallest since it was set.
    size_t fleet_size = 0;
    size_t smallest_fleet = 0;
    time_point next_digest;
    /// Members that were evacuated in the directory published last.
    std::set<std::string> evacuated_members;
    /// Member whose promotion this VM asked for, until its handover ends.
    std::string promoting;
    struct digest_exchange {
      uint64_t last_received = 0;
      uint64_t last_sent = 0;
      std::map<uint64_t, time_point> sent;
    };
    std::map<std::string, digest_exchange> peers;
  };

  struct member {
    std::string id;
    bool alive = true;
    bool listed = true;
    bool draining = false;
    interactive::member_status status;
    std::string zone = "z";
  };

  /// @param relaying Number of VMs that are relays; see `relays`.
  /// @param regions Number of regions; all members are in the first one.
  explicit primary_manager_simulation(uint64_t seed,
                                      int vms = 5,
                                      int relaying = 0,
                                      int regions = 1)
      : relays(relaying), random_(seed) {
    store_.on_change = [this](const item& changed, bool removed) {
      NotifyWatchers(changed, removed);
    };
    for (const char* id : {"a", "b", "c"}) {
      members_[id] = {id, true, true, false, {id[0] == 'a', 1, {1, 100}}, "z"};
    }
    primary_ = "a";
    for (int i = 0; i < vms; ++i) {
      vms_.push_back(std::make_unique<vm>());
      vms_.back()->name = "vm-" + std::to_string(i);
      vms_.back()->region += std::to_string(i % regions);
      Start(*vms_.back());
    }
  }

  std::vector<std::unique_ptr<vm>>& vms() { return vms_; }
  std::map<std::string, member>& members() { return members_; }
  const std::string& primary() const { return primary_; }
  time_point now() const { return now_; }
  bool store_up = true;
  /// The first `relays` VMs are relays for the others; 0: all VMs exchange
  /// digests directly.
  int relays = 0;
  /// Every follower uses the relay this many places after its initial one, as
  /// if it had selected another.
  int relay_shift = 0;
  bool regions_partitioned = false;  ///< VMs can't reach VMs of other regions.
  /// Setting of the group in the configuration that a VM gets when it starts.
  int synchronous_replicas = 0;
  /// Probability that the answer to a store call is lost. The VM then receives
  /// `kUnknown` after 1 s.
  double lost_answer_probability = 0;
  /// Probability that a call whose answer is lost runs only after 2.5 s.
  double delayed_execution_probability = 0;
  /// Probability that the answer to a promotion is lost. The VM then receives
  /// `kUnknown`.
  double lost_promotion_answer_probability = 0;
  /// Time after which a promotion reaches the platform.
  duration promotion_delay = duration(0);
  /// If this function returns a delay for a store call, the call runs after
  /// that delay and its answer is lost.
  std::function<std::optional<duration>(vm&, const store::keyspace::call&)>
      delay_for_call;
  int promotions() const { return promotions_; }
  /// @brief Promotions that VMs asked for.
  int promotion_calls() const { return promotion_calls_; }
  /// @brief The VM that asked last for a promotion; there must be one.
  vm& VmOfLastPromotion() { return *last_promoting_vm_; }
  const std::vector<std::string>& violations() const { return violations_; }

  void Start(vm& machine) {
    options chosen;
    // The incarnation is a counter because the clock of a new process may be
    // behind that of the previous one.
    chosen.self = {machine.name, "127.0.0.1:1", ZoneOf(machine), machine.region,
                   ++last_incarnation_};
    chosen.seed = random_();
    machine.alive = true;
    machine.primary_leases.clear();
    machine.peers.clear();
    machine.active_statements = 0;
    vm* const self = &machine;
    machine.manager = std::make_unique<primary_manager>(
        chosen, broker_view{.primary_work =
                                [self](std::string_view, int64_t) {
                                  return self->active_statements;
                                },
                            .health =
                                [this, self](std::string_view id) {
                                  return HealthOf(*self, id);
                                }});
    machine.incarnation = chosen.self.incarnation;
    Step(machine,
         relay_changed{IsRelay(machine), std::max(0, IndexOf(machine))});
    PublishMembers(machine);
    auto configuration_snapshot =
        std::make_shared<interactive::configuration_snapshot>();
    configuration_snapshot->groups["g"] = {"g", 16, synchronous_replicas};
    Step(machine, configuration_snapshot_changed{configuration_snapshot});
    Load(machine);
  }

  /// @brief Ends the VM's process without a shutdown; `Start` begins a new one.
  void Kill(vm& machine) {
    machine.alive = false;
    machine.primary_leases.clear();
  }

  /// @brief Shuts the VM down; `Kill` ends its process, once it has left.
  void Leave(vm& machine) {
    Step(machine, drain_started{});
    Step(machine, leave_started{});
  }

  /// @brief Cuts the VM off from all other VMs and lets its connections to all
  /// members fail. It still reaches the store.
  void Isolate(vm& machine) {
    machine.peers_unreachable = true;
    machine.members_unreachable = true;
    machine.members_unreachable_since = now_;
  }
  void KillMember(const std::string& id) {
    members_.at(id).alive = false;
    failing_since_[id] = now_;
  }
  void ReviveMember(const std::string& id) {
    members_.at(id).alive = true;
    failing_since_.erase(id);
  }
  /// @brief Keeps a copy of the store for `RestoreStore`.
  void SaveStore() { store_.Save(); }
  /// @brief The store goes on from its copy. The VMs learn of it when they load
  /// all items, or by the next answer.
  void RestoreStore(bool keep_leases = false) {
    store_.Restore(keep_leases, now_);
    for (const auto& each : vms_) {
      vms_to_reload_.insert(each->name);
    }
  }
  /// @brief Requests or takes back the evacuation of a zone of members. Each VM
  /// learns of it after a random time of at most `slowest`.
  void SetEvacuated(const std::string& zone,
                    bool evacuated,
                    duration slowest = milliseconds(20)) {
    if (evacuated) {
      evacuated_zones_.insert(zone);
    } else {
      evacuated_zones_.erase(zone);
    }
    for (const auto& each : vms_) {
      const auto delay = static_cast<int64_t>(
          RandomIndex(static_cast<size_t>(ToMs(slowest)) + 1));
      RunAfter(milliseconds(delay), [this, &to = *each] {
        if (to.alive) {
          PublishMembers(to);
        }
      });
    }
  }
  bool IsEvacuated(const std::string& id) const {
    return evacuated_zones_.contains(members_.at(id).zone);
  }
  const std::set<std::string>& evacuated_zones() const {
    return evacuated_zones_;
  }
  void PublishMembers() {
    for (const auto& each : vms_) {
      PublishMembers(*each);
    }
  }

  void Run(duration span) {
    for (const time_point end = now_ + span; now_ < end;) {
      now_ += kStep;
      RunDue();
      store_.ExpireLeases(now_);
      for (const auto& each : vms_) {
        if (IsRunning(*each)) {
          if (now_ >= each->manager->NextDeadline()) {
            Step(*each, tick{});
          }
          if (now_ >= each->next_digest) {
            SendDigests(*each);
          }
        }
      }
      CheckInvariant();
    }
  }

  /// @brief Makes the member the primary, as a promotion does when it takes
  /// effect.
  void Promote(const std::string& id) {
    if (primary_ == id || !members_.at(id).alive) {
      return;
    }
    ++promotions_;
    primary_ = id;
    interactive::member_status& status = members_.at(id).status;
    status.primary = true;
    status.term = ++term_;
    status.received.term = term_;
  }

  bool HoldsPrimaryLease(const vm& machine) const {
    const auto held_lease = machine.primary_leases.find("g");
    return machine.alive && held_lease != machine.primary_leases.end() &&
           !held_lease->second.member.empty() &&
           now_ < held_lease->second.until;
  }

  bool AllVmsHoldLease() const {
    return std::all_of(vms_.begin(), vms_.end(), [&](const auto& each) {
      return HoldsPrimaryLease(*each) &&
             each->primary_leases.at("g").member == primary_ &&
             !each->primary_leases.at("g").closing;
    });
  }

  bool RandomBool(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
  }
  size_t RandomIndex(size_t count) {
    return std::uniform_int_distribution<size_t>(0, count - 1)(random_);
  }

 private:
  using item = fake_keyspace::item;
  using call_status = store::keyspace::call_status;

  bool IsRunning(const vm& machine) const {
    return machine.alive && now_ >= machine.paused_until;
  }

  void RunAfter(duration after, std::function<void()> what) {
    scheduled_tasks_.emplace(now_ + after, std::move(what));
  }

  void RunDue() {
    while (!scheduled_tasks_.empty() &&
           scheduled_tasks_.begin()->first <= now_) {
      const auto what = std::move(scheduled_tasks_.begin()->second);
      scheduled_tasks_.erase(scheduled_tasks_.begin());
      what();
    }
  }

  // Delivers an event unless the VM's process has ended or was replaced. A
  // paused VM receives it when it resumes.
  void Deliver(vm& to, int64_t incarnation, event what) {
    if (!to.alive || to.incarnation != incarnation) {
      return;
    }
    if (now_ < to.paused_until) {
      RunAfter(std::chrono::duration_cast<duration>(to.paused_until - now_),
               [this, &to, incarnation, what = std::move(what)] {
                 Deliver(to, incarnation, what);
               });
      return;
    }
    Step(to, what);
  }

  void Step(vm& machine, const event& what) {
    for (action& each : machine.manager->Step(now_, what)) {
      std::visit([&](auto& action) { Perform(machine, action); }, each);
    }
  }

  // --- Actions ---

  void Perform(vm& machine, const call_store& action) {
    const time_point sent = now_;
    const int64_t incarnation = machine.incarnation;
    const bool reaches = store_up && !machine.store_unreachable;
    const auto answer = [this, &machine, incarnation, sent,
                         tag = action.tag](store::keyspace::reply reply) {
      Deliver(machine, incarnation,
              store_answered{tag, sent, std::move(reply)});
    };
    if (!reaches) {
      return RunAfter(milliseconds(200),
                      [answer] { answer({.status = call_status::kRefused}); });
    }
    const std::optional<duration> delayed =
        delay_for_call ? delay_for_call(machine, action.call) : std::nullopt;
    const bool lost = delayed || RandomBool(lost_answer_probability);
    const duration delay =
        delayed ? *delayed
                : (lost && RandomBool(delayed_execution_probability)
                       ? duration(milliseconds(2'500))
                       : duration(milliseconds(5)));
    RunAfter(delay, [this, answer, lost, call = action.call] {
      store::keyspace::reply reply = store_.Execute(call, now_);
      if (!lost) {
        RunAfter(milliseconds(5), [answer, reply] { answer(reply); });
      }
    });
    if (lost) {
      RunAfter(seconds(1),
               [answer] { answer({.status = call_status::kUnknown}); });
    }
  }
  void Perform(vm& machine, const set_primary_leases& action) {
    machine.primary_leases = action.by_group;
  }
  void Perform(vm& machine, const stop_primary_work& action) {
    machine.active_statements = 0;
    machine.primary_leases.erase(action.group);
  }
  void Perform(vm& machine, const send_digests& /*action*/) {
    SendDigests(machine);
  }
  void Perform(vm& machine, const check_member& action) {
    const int64_t incarnation = machine.incarnation;
    RunAfter(milliseconds(10),
             [this, &machine, incarnation, id = action.member] {
               const auto found = members_.find(id);
               member_checked checked{id, std::nullopt};
               if (found != members_.end() && found->second.alive) {
                 checked.status = found->second.status;
               }
               Deliver(machine, incarnation, checked);
             });
  }
  void Perform(vm& /*machine*/, const demote_member& action) {
    member& told = members_.at(action.member);
    if (told.alive && told.status.term < action.term) {
      told.status.primary = false;
      told.status.term = action.term;
    }
  }
  void Perform(vm& machine, const promote_member& action) {
    ++promotion_calls_;
    last_promoting_vm_ = &machine;
    // Only a promotion whose result is unknown is repeated during an evacuation
    // that began after it.
    if (machine.evacuated_members.contains(action.member) &&
        machine.promoting != action.member) {
      violations_.push_back(machine.name + " promotes evacuated member " +
                            action.member);
    }
    machine.promoting = action.member;
    if (promotion_delay > duration(0)) {
      return RunAfter(promotion_delay, [this, &machine, action] {
        ArriveAtPlatform(machine, action);
      });
    }
    ArriveAtPlatform(machine, action);
  }
  void ArriveAtPlatform(vm& machine, const promote_member& action) {
    if (action.token < last_token_) {
      violations_.push_back("fencing token of a promotion decreased");
    }
    last_token_ = std::max(last_token_, action.token);
    const int64_t incarnation = machine.incarnation;
    promotion_answered answered{action.group, action.member,
                                promotion_result::kAccepted, ""};
    member& chosen = members_.at(action.member);
    if (!chosen.alive) {
      answered.result = promotion_result::kRefused;
    } else if (primary_ != action.member) {
      RunAfter(kPromotionTime, [this, id = action.member] { Promote(id); });
    }
    if (RandomBool(lost_promotion_answer_probability)) {
      answered.result = promotion_result::kUnknown;
    }
    RunAfter(milliseconds(10), [this, &machine, incarnation, answered] {
      Deliver(machine, incarnation, answered);
    });
  }
  void Perform(vm& machine, const publish_fleet& action) {
    machine.fleet_size = action.vms.size();
    machine.smallest_fleet =
        std::min(machine.smallest_fleet, machine.fleet_size);
  }
  void Perform(vm& machine, const log_message& action) {
    if (trace) {
      printf("%8.3f %s %s\n",
             static_cast<double>(ToMs(now_.time_since_epoch())) / 1e3,
             machine.name.c_str(), action.text.c_str());
    }
  }

  // --- Store ---

  void NotifyWatchers(const item& changed, bool removed) {
    for (const auto& each : vms_) {
      vm& to = *each;
      // Followers receive changes from relays, so they must reach other VMs.
      const bool reached = IsRelay(to) || !to.peers_unreachable;
      if (to.store_unreachable || to.watch_stalled || !store_up || !reached) {
        vms_to_reload_.insert(to.name);
        continue;
      }
      RunAfter(milliseconds(5),
               [this, &to, incarnation = to.incarnation, changed, removed] {
                 Deliver(to, incarnation, item_seen{changed, removed});
               });
    }
  }

  // --- Network between VMs ---

  int IndexOf(const vm& machine) const {
    return static_cast<int>(
        std::find_if(vms_.begin(), vms_.end(),
                     [&](const auto& each) { return each.get() == &machine; }) -
        vms_.begin());
  }
  bool IsRelay(const vm& machine) const {
    return relays == 0 || IndexOf(machine) < relays;
  }
  bool IsFollowerOf(const vm& from, const vm& to) const {
    return !IsRelay(from) &&
           IndexOf(to) == (IndexOf(from) + relay_shift) % relays;
  }
  // With relays, each zone has `kZoneRelays` of them; otherwise, each region is
  // one zone.
  std::string ZoneOf(const vm& machine) const {
    return relays == 0 ? (machine.region == "r0" ? "z" : "z-" + machine.region)
                       : "z" + std::to_string((IndexOf(machine) % relays) /
                                              kZoneRelays);
  }
  // Whether `from` is a follower and `to` is a relay in the same zone. A
  // follower exchanges digests with every relay of its zone, not only with the
  // relay that it follows.
  bool IsFollowerInZoneOf(const vm& from, const vm& to) const {
    return !IsRelay(from) && IsRelay(to) && ZoneOf(from) == ZoneOf(to);
  }

  void SendDigests(vm& from) {
    from.next_digest =
        now_ +
        milliseconds(from.manager->NeedsFrequentDigests(now_) ? 250 : 500);
    for (const auto& each : vms_) {
      vm& to = *each;
      const bool exchanges = IsRelay(from) && IsRelay(to);
      const bool reports =
          IsFollowerOf(from, to) || IsFollowerInZoneOf(from, to);
      if (to.name != from.name && (exchanges || reports)) {
        SendDigest(from, to);
      }
    }
    // A VM that missed changes reloads all items once it can reach the store
    // and its watch works.
    if (vms_to_reload_.contains(from.name) && store_up &&
        !from.store_unreachable && !from.watch_stalled) {
      vms_to_reload_.erase(from.name);
      Load(from);
    }
  }

  void SendDigest(vm& from, vm& to) {
    wire::fleet_digest digest;
    digest.incarnation = from.manager->incarnation();
    digest.leaving = from.manager->leaving();
    if (const auto confirmed = from.manager->confirmed_at()) {
      digest.confirmed_age_ms = ToMs(now_ - *confirmed) + 1;
    }
    for (const auto& [group, state] : from.manager->Groups()) {
      const int64_t failing_ms = FailingMs(from, state.record.member);
      digest.primaries.push_back({group,
                                  state.record.member,
                                  state.record.term,
                                  state.record.epoch,
                                  state.record.moving,
                                  state.replacing,
                                  state.stopped_epoch,
                                  {},
                                  -1,
                                  failing_ms < 0 ? 0 : -1,
                                  failing_ms,
                                  state.followers_reaching,
                                  state.followers_failing});
    }
    digest.watching = IsRelay(from);
    digest.follows = IsFollowerOf(from, to);
    peer_summary told = from.manager->PeerSummary(now_);
    digest.stop_notices = from.manager->StopNotices(now_, !IsRelay(to));
    digest.coverage = std::move(told.coverage);
    digest.controller_digest_age_ms = told.controller_digest_age_ms;
    vm::digest_exchange& known = from.peers[to.name];
    digest.sequence = ++known.last_sent;
    digest.echo = known.last_received;
    known.sent[digest.sequence] = now_;
    if (from.peers_unreachable || to.peers_unreachable ||
        (regions_partitioned && from.region != to.region) || RandomBool(0.02)) {
      return;
    }
    const duration delay =
        milliseconds(5 + static_cast<int64_t>(RandomIndex(12)));
    RunAfter(delay, [this, &to, incarnation = to.incarnation, &from, digest] {
      Receive(to, incarnation, from, digest);
    });
  }

  void Receive(vm& to,
               int64_t incarnation,
               vm& from,
               const wire::fleet_digest& digest) {
    if (!to.alive || to.incarnation != incarnation) {
      return;
    }
    if (now_ < to.paused_until) {
      RunAfter(std::chrono::duration_cast<duration>(to.paused_until - now_),
               [this, &to, incarnation, &from, digest] {
                 Receive(to, incarnation, from, digest);
               });
      return;
    }
    vm::digest_exchange& known = to.peers[from.name];
    known.last_received = digest.sequence;
    digest_arrived arrived{from.name, digest, std::nullopt};
    const auto echoed = known.sent.find(digest.echo);
    if (digest.echo != 0 && echoed != known.sent.end()) {
      arrived.echo_sent = echoed->second;
    }
    Step(to, arrived);
    if (!digest.watching) {
      SendDigest(to, from);
    }
  }

  void Load(vm& machine) {
    if (!store_up || machine.store_unreachable) {
      vms_to_reload_.insert(machine.name);
      return;
    }
    std::vector<item> all;
    for (const auto& [key, value] : store_.items()) {
      all.push_back(value);
    }
    Step(machine, items_loaded{std::move(all), store_.revision()});
  }

  // --- Members ---

  void PublishMembers(vm& to) {
    auto directory = std::make_shared<interactive::member_directory>();
    for (const auto& [id, each] : members_) {
      if (each.listed) {
        interactive::member_record& record = (*directory)[id];
        record = {id, "g",           "127.0.0.1:1",       each.zone,
                  2,  each.draining, each.status.primary, 1};
        record.evacuated = IsEvacuated(id);
      }
    }
    to.evacuated_members.clear();
    for (const auto& [id, record] : *directory) {
      if (record.evacuated) {
        to.evacuated_members.insert(id);
      }
    }
    Step(to, members_changed{directory});
  }

  // Time at which the VM's connections to the member began to fail; empty if
  // they work.
  std::optional<time_point> FailingSince(const vm& machine,
                                         std::string_view id) const {
    const auto failing = failing_since_.find(std::string(id));
    if (failing != failing_since_.end()) {
      return failing->second;
    }
    return machine.members_unreachable
               ? std::optional(machine.members_unreachable_since)
               : std::nullopt;
  }

  interactive::member_health HealthOf(const vm& machine,
                                      std::string_view id) const {
    interactive::member_health health;
    if (const auto failing = FailingSince(machine, id)) {
      health.failing_since = failing;
      health.failures = 3;
    } else {
      health.last_answer = now_;
    }
    return health;
  }

  int64_t FailingMs(const vm& machine, const std::string& id) const {
    const auto failing = FailingSince(machine, id);
    return failing ? ToMs(now_ - *failing) : -1;
  }

  // --- Invariant ---

  // No VM may hold a primary lease for a member that is not the primary.
  void CheckInvariant() {
    for (const auto& each : vms_) {
      if (!each->promoting.empty() &&
          !(each->alive && each->manager->Groups()["g"].replacing)) {
        each->promoting.clear();
      }
      if (HoldsPrimaryLease(*each) &&
          each->primary_leases.at("g").member != primary_) {
        violations_.push_back(each->name + " holds a lease for " +
                              each->primary_leases.at("g").member + " while " +
                              primary_ + " is the primary, at " +
                              std::to_string(ToMs(now_.time_since_epoch())) +
                              " ms");
      }
    }
  }

 public:
  bool trace = false;

 private:
  std::mt19937_64 random_;
  time_point now_ = TimeFromMs(1'000'000);
  std::multimap<time_point, std::function<void()>> scheduled_tasks_;
  std::vector<std::unique_ptr<vm>> vms_;
  std::map<std::string, member> members_;
  std::set<std::string> evacuated_zones_;
  std::map<std::string, time_point> failing_since_;
  std::string primary_;
  int64_t term_ = 1;
  int64_t last_token_ = 0;
  int promotions_ = 0;
  int promotion_calls_ = 0;
  vm* last_promoting_vm_ = nullptr;
  int64_t last_incarnation_ = 0;
  fake_keyspace store_;
  std::set<std::string> vms_to_reload_;
  std::vector<std::string> violations_;
};

}  // namespace tarragondale::leadership

#endif  // TARRAGONDALE_SRC_LEADERSHIP_PRIMARY_MANAGER_SIMULATION_H_
