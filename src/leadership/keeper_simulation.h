// Simulates several VMs with a store, database members and a network that may
// fail, in virtual time. For tests; deterministic for a given seed.
#ifndef TARRAGONDALE_SRC_LEADERSHIP_KEEPER_SIMULATION_H_
#define TARRAGONDALE_SRC_LEADERSHIP_KEEPER_SIMULATION_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "src/leadership/keyspace_double.h"
#include "tarragondale/leadership.h"

namespace tarragondale::leadership {

class keeper_simulation {
 public:
  static constexpr duration kStep = milliseconds(5);
  static constexpr duration kPromotionTime = milliseconds(300);
  static constexpr int kZoneRelays = 2;

  struct vm {
    std::string name;
    std::unique_ptr<keeper> mind;
    bool alive = true;
    time_point frozen_until;
    bool store_cut = false;    ///< The VM can't reach the store.
    bool peers_cut = false;    ///< The VM can't reach any other VM.
    bool deaf_watch = false;   ///< The watch delivers no changes.
    bool members_cut = false;  ///< The VM can't reach any member.
    time_point members_cut_at;
    std::string region = "r";
    int64_t incarnation = 0;
    std::map<std::string, interactive::primary_right, std::less<>> rights;
    size_t open_work = 0;  ///< Statements that run on the primary.
    time_point next_digest;
    struct heard {
      uint64_t last_received = 0;
      uint64_t last_sent = 0;
      std::map<uint64_t, time_point> sent;
    };
    std::map<std::string, heard> peers;
  };

  struct member {
    std::string id;
    bool alive = true;
    bool listed = true;
    bool draining = false;
    interactive::member_status status;
  };

  /// @param relaying Number of VMs that are relays; see `relays`.
  /// @param regions Number of regions; all members are in the first one.
  explicit keeper_simulation(uint64_t seed,
                             int vms = 5,
                             int relaying = 0,
                             int regions = 1)
      : relays(relaying), random_(seed) {
    store_.announce = [this](const item& changed, bool removed) {
      Announce(changed, removed);
    };
    for (const char* id : {"a", "b", "c"}) {
      members_[id] = {id, true, true, false, {id[0] == 'a', 1, {1, 100}}};
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
  /// Number of VMs that are relays for the others; 0: all VMs exchange digests
  /// directly.
  int relays = 0;
  /// Moves every follower this many relays further, as if it had selected
  /// another relay.
  int turned = 0;
  bool regions_cut = false;      ///< VMs can't reach VMs of other regions.
  int synchronous_replicas = 0;  ///< Setting of VMs that start from now on.
  /// Fraction of store calls whose answer is lost.
  double lost_answers = 0;
  /// Fraction of the calls with a lost answer that run seconds later.
  double late_writes = 0;
  /// Fraction of promotions whose answer is lost.
  double lost_promotions = 0;
  /// If it returns a delay for a store call, the call runs after that delay and
  /// its answer is lost.
  std::function<std::optional<duration>(vm&, const store::keyspace::call&)>
      delay_call;
  int promotions() const { return promotions_; }
  const std::vector<std::string>& violations() const { return violations_; }

  void Start(vm& of) {
    options chosen;
    // The clock of a new process may be behind that of the previous one.
    chosen.self = {of.name, "127.0.0.1:1", ZoneOf(of), of.region,
                   ++last_incarnation_};
    chosen.seed = random_();
    of.alive = true;
    of.rights.clear();
    of.peers.clear();
    of.open_work = 0;
    vm* const self = &of;
    of.mind = std::make_unique<keeper>(
        chosen,
        broker_view{.primary_work = [self](std::string_view,
                                           int64_t) { return self->open_work; },
                    .health =
                        [this, self](std::string_view id) {
                          return HealthOf(*self, id);
                        }});
    of.incarnation = chosen.self.incarnation;
    Step(of, relay_changed{Relays(of), std::max(0, IndexOf(of))});
    PublishMembers(of);
    auto catalogue = std::make_shared<interactive::catalogue>();
    catalogue->groups["g"] = {"g", 16, synchronous_replicas};
    Step(of, catalogue_changed{catalogue});
    Load(of);
  }

  /// @brief Ends the VM's process without a shutdown; `Start` begins a new one.
  void Kill(vm& of) {
    of.alive = false;
    of.rights.clear();
  }

  /// @brief Cuts the VM off from everything except the store.
  void Isolate(vm& of) {
    of.peers_cut = true;
    of.members_cut = true;
    of.members_cut_at = now_;
  }
  void KillMember(const std::string& id) {
    members_.at(id).alive = false;
    failing_since_[id] = now_;
  }
  void ReviveMember(const std::string& id) {
    members_.at(id).alive = true;
    failing_since_.erase(id);
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
        if (Runs(*each)) {
          if (now_ >= each->mind->NextDeadline()) {
            Step(*each, tick{});
          }
          if (now_ >= each->next_digest) {
            SendDigests(*each);
          }
        }
      }
      Check();
    }
  }

  /// @brief Makes the member the primary, as a promotion that takes effect.
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

  bool HoldsRight(const vm& of) const {
    const auto right = of.rights.find("g");
    return of.alive && right != of.rights.end() &&
           !right->second.member.empty() && now_ < right->second.until;
  }

  bool AllServe() const {
    return std::all_of(vms_.begin(), vms_.end(), [&](const auto& each) {
      return HoldsRight(*each) && each->rights.at("g").member == primary_ &&
             !each->rights.at("g").closing;
    });
  }

  bool Chance(double part) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < part;
  }
  size_t Pick(size_t count) {
    return std::uniform_int_distribution<size_t>(0, count - 1)(random_);
  }

 private:
  using item = keyspace_double::item;
  using call_status = store::keyspace::call_status;

  bool Runs(const vm& of) const { return of.alive && now_ >= of.frozen_until; }

  void Later(duration after, std::function<void()> what) {
    due_.emplace(now_ + after, std::move(what));
  }

  void RunDue() {
    while (!due_.empty() && due_.begin()->first <= now_) {
      const auto what = std::move(due_.begin()->second);
      due_.erase(due_.begin());
      what();
    }
  }

  // Delivers an event unless the VM's process has ended or was replaced. A
  // paused VM receives it when it resumes.
  void Deliver(vm& to, int64_t incarnation, event what) {
    if (!to.alive || to.incarnation != incarnation) {
      return;
    }
    if (now_ < to.frozen_until) {
      Later(std::chrono::duration_cast<duration>(to.frozen_until - now_),
            [this, &to, incarnation, what = std::move(what)] {
              Deliver(to, incarnation, what);
            });
      return;
    }
    Step(to, what);
  }

  void Step(vm& of, const event& what) {
    for (action& each : of.mind->Step(now_, what)) {
      std::visit([&](auto& action) { Do(of, action); }, each);
    }
  }

  // --- Actions ---

  void Do(vm& of, const call_store& action) {
    const time_point sent = now_;
    const int64_t incarnation = of.incarnation;
    const bool reaches = store_up && !of.store_cut;
    const auto answer = [this, &of, incarnation, sent,
                         tag = action.tag](store::keyspace::reply reply) {
      Deliver(of, incarnation, store_answered{tag, sent, std::move(reply)});
    };
    if (!reaches) {
      return Later(milliseconds(200),
                   [answer] { answer({.status = call_status::kRefused}); });
    }
    const std::optional<duration> delayed =
        delay_call ? delay_call(of, action.call) : std::nullopt;
    const bool lost = delayed || Chance(lost_answers);
    const duration delay =
        delayed ? *delayed
                : (lost && Chance(late_writes) ? duration(milliseconds(2'500))
                                               : duration(milliseconds(5)));
    Later(delay, [this, answer, lost, call = action.call] {
      store::keyspace::reply reply = store_.Execute(call, now_);
      if (!lost) {
        Later(milliseconds(5), [answer, reply] { answer(reply); });
      }
    });
    if (lost) {
      Later(seconds(1),
            [answer] { answer({.status = call_status::kUnknown}); });
    }
  }
  void Do(vm& of, const set_rights& action) { of.rights = action.by_group; }
  void Do(vm& of, const stop_primary_work& action) {
    of.open_work = 0;
    of.rights.erase(action.group);
  }
  void Do(vm& of, const send_digests& /*action*/) { SendDigests(of); }
  void Do(vm& of, const check_member& action) {
    const int64_t incarnation = of.incarnation;
    Later(milliseconds(10), [this, &of, incarnation, id = action.member] {
      const auto found = members_.find(id);
      member_checked checked{id, std::nullopt};
      if (found != members_.end() && found->second.alive) {
        checked.status = found->second.status;
      }
      Deliver(of, incarnation, checked);
    });
  }
  void Do(vm& /*machine*/, const demote_member& action) {
    member& told = members_.at(action.member);
    if (told.alive && told.status.term < action.term) {
      told.status.primary = false;
      told.status.term = action.term;
    }
  }
  void Do(vm& of, const promote_member& action) {
    if (action.token < last_token_) {
      violations_.push_back("fencing token of a promotion decreased");
    }
    last_token_ = std::max(last_token_, action.token);
    const int64_t incarnation = of.incarnation;
    promotion_answered answered{action.group, action.member,
                                promotion_result::kAccepted, ""};
    member& chosen = members_.at(action.member);
    if (!chosen.alive) {
      answered.result = promotion_result::kRefused;
    } else if (primary_ != action.member) {
      Later(kPromotionTime, [this, id = action.member] { Promote(id); });
    }
    if (Chance(lost_promotions)) {
      answered.result = promotion_result::kUnknown;
    }
    Later(milliseconds(10), [this, &of, incarnation, answered] {
      Deliver(of, incarnation, answered);
    });
  }
  void Do(vm& /*machine*/, const fleet_known& /*action*/) {}
  void Do(vm& of, const note& action) {
    if (trace) {
      printf("%8.3f %s %s\n",
             static_cast<double>(ToMs(now_.time_since_epoch())) / 1e3,
             of.name.c_str(), action.text.c_str());
    }
  }

  // --- Store ---

  void Announce(const item& changed, bool removed) {
    for (const auto& each : vms_) {
      vm& to = *each;
      // Followers receive changes through their relays.
      const bool reached = Relays(to) || !to.peers_cut;
      if (to.store_cut || to.deaf_watch || !store_up || !reached) {
        missed_.insert(to.name);
        continue;
      }
      Later(milliseconds(5),
            [this, &to, incarnation = to.incarnation, changed, removed] {
              Deliver(to, incarnation, item_seen{changed, removed});
            });
    }
  }

  // --- Network between VMs ---

  int IndexOf(const vm& of) const {
    return static_cast<int>(
        std::find_if(vms_.begin(), vms_.end(),
                     [&](const auto& each) { return each.get() == &of; }) -
        vms_.begin());
  }
  bool Relays(const vm& of) const {
    return relays == 0 || IndexOf(of) < relays;
  }
  bool Follows(const vm& from, const vm& to) const {
    return !Relays(from) && IndexOf(to) == (IndexOf(from) + turned) % relays;
  }
  // Each zone has `kZoneRelays` relays.
  std::string ZoneOf(const vm& of) const {
    return relays == 0
               ? (of.region == "r0" ? "z" : "z-" + of.region)
               : "z" + std::to_string((IndexOf(of) % relays) / kZoneRelays);
  }
  // A follower also exchanges digests with the other relays of its zone.
  bool Asks(const vm& from, const vm& to) const {
    return !Relays(from) && Relays(to) && ZoneOf(from) == ZoneOf(to);
  }

  void SendDigests(vm& from) {
    from.next_digest =
        now_ + milliseconds(from.mind->NeedsDigests(now_) ? 250 : 500);
    for (const auto& each : vms_) {
      vm& to = *each;
      const bool exchanges = Relays(from) && Relays(to);
      const bool reports = Follows(from, to) || Asks(from, to);
      if (to.name != from.name && (exchanges || reports)) {
        SendDigest(from, to);
      }
    }
    // A VM that missed changes reloads all items once it can.
    if (missed_.contains(from.name) && store_up && !from.store_cut &&
        !from.deaf_watch) {
      missed_.erase(from.name);
      Load(from);
    }
  }

  void SendDigest(vm& from, vm& to) {
    wire::fleet_digest digest;
    digest.incarnation = from.incarnation;
    digest.leaving = from.mind->leaving();
    if (const auto confirmed = from.mind->confirmed_at()) {
      digest.confirmed_age_ms = ToMs(now_ - *confirmed) + 1;
    }
    for (const auto& [group, state] : from.mind->Groups()) {
      const int64_t failing_ms = FailingMs(from, state.record.member);
      digest.primaries.push_back({group,
                                  state.record.member,
                                  state.record.term,
                                  state.record.epoch,
                                  state.record.moving,
                                  state.changing,
                                  state.stopped_epoch,
                                  {},
                                  -1,
                                  failing_ms < 0 ? 0 : -1,
                                  failing_ms,
                                  state.followers_reaching,
                                  state.followers_failing});
    }
    digest.watching = Relays(from);
    digest.follows = Follows(from, to);
    vouched told = from.mind->Vouched(now_);
    digest.stops = from.mind->Stops(now_, !Relays(to));
    digest.coverage = std::move(told.coverage);
    digest.duty_age_ms = told.duty_age_ms;
    vm::heard& known = from.peers[to.name];
    digest.sequence = ++known.last_sent;
    digest.echo = known.last_received;
    known.sent[digest.sequence] = now_;
    if (from.peers_cut || to.peers_cut ||
        (regions_cut && from.region != to.region) || Chance(0.02)) {
      return;
    }
    const duration delay = milliseconds(5 + static_cast<int64_t>(Pick(12)));
    Later(delay, [this, &to, incarnation = to.incarnation, &from, digest] {
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
    if (now_ < to.frozen_until) {
      Later(std::chrono::duration_cast<duration>(to.frozen_until - now_),
            [this, &to, incarnation, &from, digest] {
              Receive(to, incarnation, from, digest);
            });
      return;
    }
    vm::heard& known = to.peers[from.name];
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

  void Load(vm& of) {
    if (!store_up || of.store_cut) {
      missed_.insert(of.name);
      return;
    }
    std::vector<item> all;
    for (const auto& [key, value] : store_.items()) {
      all.push_back(value);
    }
    Step(of, items_loaded{std::move(all)});
  }

  // --- Members ---

  void PublishMembers(vm& to) {
    auto directory = std::make_shared<interactive::member_directory>();
    for (const auto& [id, each] : members_) {
      if (each.listed) {
        (*directory)[id] = {id, "g",           "127.0.0.1:1",       "z",
                            2,  each.draining, each.status.primary, 1};
      }
    }
    Step(to, members_changed{directory});
  }

  // Time at which the VM's connections to the member began to fail; empty: they
  // work.
  std::optional<time_point> FailingSince(const vm& of,
                                         std::string_view id) const {
    const auto failing = failing_since_.find(std::string(id));
    if (failing != failing_since_.end()) {
      return failing->second;
    }
    return of.members_cut ? std::optional(of.members_cut_at) : std::nullopt;
  }

  interactive::member_health HealthOf(const vm& of, std::string_view id) const {
    interactive::member_health health;
    if (const auto failing = FailingSince(of, id)) {
      health.failing_since = failing;
      health.failures = 3;
    } else {
      health.last_answer = now_;
    }
    return health;
  }

  int64_t FailingMs(const vm& of, const std::string& id) const {
    const auto failing = FailingSince(of, id);
    return failing ? ToMs(now_ - *failing) : -1;
  }

  // --- Invariant ---

  // No VM may hold a primary lease for a member that is not the primary.
  void Check() {
    for (const auto& each : vms_) {
      if (HoldsRight(*each) && each->rights.at("g").member != primary_) {
        violations_.push_back(
            each->name + " holds a lease for " + each->rights.at("g").member +
            " while " + primary_ + " is the primary, at " +
            std::to_string(ToMs(now_.time_since_epoch())) + " ms");
      }
    }
  }

 public:
  bool trace = false;

 private:
  std::mt19937_64 random_;
  time_point now_ = TimeFromMs(1'000'000);
  std::multimap<time_point, std::function<void()>> due_;
  std::vector<std::unique_ptr<vm>> vms_;
  std::map<std::string, member> members_;
  std::map<std::string, time_point> failing_since_;
  std::string primary_;
  int64_t term_ = 1;
  int64_t last_token_ = 0;
  int promotions_ = 0;
  int64_t last_incarnation_ = 0;
  keyspace_double store_;
  std::set<std::string> missed_;
  std::vector<std::string> violations_;
};

}  // namespace tarragondale::leadership

#endif  // TARRAGONDALE_SRC_LEADERSHIP_KEEPER_SIMULATION_H_
