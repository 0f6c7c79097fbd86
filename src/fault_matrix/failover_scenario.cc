// Cells of the failover path: a trigger and up to two faults, each at one step
// of the failover.
#include <algorithm>
#include <array>
#include <random>

#include "src/fault_matrix/faults.h"
#include "src/fault_matrix/scenario.h"

namespace tarragondale::fault_matrix {
namespace {

constexpr duration kSettle = milliseconds(1200);
constexpr duration kWarmUpLimit = seconds(5);
constexpr duration kRecoveryLimit = seconds(9);
constexpr duration kWatchTime = milliseconds(2500);
constexpr duration kCellLimit = seconds(40);
constexpr duration kCheckInterval = milliseconds(50);

struct planned_fault {
  size_t kind;
  step when;
};

struct plan {
  size_t trigger;
  std::vector<planned_fault> faults;
  uint64_t seed;
};

class failover_cell {
 public:
  explicit failover_cell(const plan& what) : plan_(what), world_(what.seed) {
    world_.crash_is_silent = what.seed % 2 == 0;
  }

  cell_result Run() {
    WarmUp();
    if (world_.past.violations().empty()) {
      Trigger();
      Watch();
      Finish();
    }
    result_.violations = world_.past.violations();
    result_.cleared_suspicions = static_cast<size_t>(world_.cleared);
    return result_;
  }

 private:
  void RunFor(duration span) {
    const time_point end = world_.sim.now() + span;
    while (world_.sim.RunOne(end)) {
    }
  }

  void WarmUp() {
    const time_point limit = world_.sim.now() + kWarmUpLimit;
    while (world_.past.acknowledged() == 0 && world_.sim.now() < limit) {
      RunFor(kCheckInterval);
    }
    RunFor(kSettle);
    if (world_.past.acknowledged() == 0) {
      world_.past.Violate("no write was acknowledged at the start");
    }
    world_.started = 0;
    world_.cleared = 0;
  }

  void Trigger() {
    begin_ = world_.sim.now();
    begin_term_ = world_.past.highest_promoted();
    ++active_;  // Until the trigger and its faults are applied.
    world_.Observe([this](step at) { Inject(at); });
    Apply(Triggers()[plan_.trigger]);
    Inject(step::kTrigger);
    --active_;
  }

  void Inject(step at) {
    for (size_t i = 0; i < plan_.faults.size(); ++i) {
      if (plan_.faults[i].when == at && !injected_[i]) {
        injected_[i] = true;
        const fault& kind = Faults()[plan_.faults[i].kind];
        ++active_;
        world_.sim.After(duration(0), [this, &kind] {
          Apply(kind);
          --active_;
        });
      }
    }
  }

  void Apply(const fault& kind) {
    std::function<void()> undo = kind.apply(world_);
    if (undo) {
      ++active_;
      world_.sim.After(kind.lasts, [this, undo = std::move(undo)] {
        undo();
        --active_;
        last_end_ = world_.sim.now();
      });
    }
  }

  // A primary that is cut for a while may serve on when it is back.
  bool MustChange() const {
    return Triggers()[plan_.trigger].name == "primary crashes";
  }

  bool Recovered() const {
    const history& past = world_.past;
    constexpr duration kLately = milliseconds(300);
    return past.last_acknowledged() > begin_ &&
           world_.sim.now() - past.last_acknowledged() < kLately &&
           (!MustChange() || past.last_acknowledged_term() > begin_term_);
  }

  void Watch() {
    time_point usable_since = begin_;
    last_end_ = begin_;
    while (world_.sim.now() - begin_ < kCellLimit) {
      RunFor(kCheckInterval);
      if (!world_.MajorityReachable()) {
        usable_since = world_.sim.now();
      }
      const time_point ack = world_.past.last_acknowledged();
      NoteOutage(ack);
      if (world_.sim.now() - std::max(usable_since, ack) > kRecoveryLimit) {
        world_.past.Violate("no recovery within 9 s with a majority reachable");
        return;
      }
      if (active_ == 0 && Recovered() &&
          world_.sim.now() - std::max(begin_, last_end_) > kWatchTime) {
        return;
      }
    }
    world_.past.Violate("no recovery at all");
  }

  void NoteOutage(time_point ack) {
    if (ack != last_ack_ && last_ack_ >= begin_ - kCheckInterval * 2) {
      longest_ = std::max(
          longest_, std::chrono::duration_cast<duration>(ack - last_ack_));
    }
    last_ack_ = ack;
  }

  void Finish() {
    const fake_member* const primary = world_.Primary();
    world_.past.CheckEnd([&](uint64_t write) { return primary->Holds(write); });
    result_.outage = longest_;
    const bool harmless =
        Triggers()[plan_.trigger].harmless &&
        std::all_of(plan_.faults.begin(), plan_.faults.end(),
                    [](const auto& at) { return Faults()[at.kind].harmless; });
    if (harmless && world_.started > 0) {
      world_.past.Violate("failover without cause");
    }
  }

  const plan& plan_;
  world world_;
  cell_result result_;
  std::array<bool, 2> injected_{};
  int active_ = 0;
  time_point begin_;
  int64_t begin_term_ = 0;
  time_point last_end_;
  time_point last_ack_;
  duration longest_{0};
};

std::string Describe(const plan& what) {
  std::string text(Triggers()[what.trigger].name);
  for (const planned_fault& at : what.faults) {
    text +=
        ", " + std::string(Faults()[at.kind].name) + " at " + StepName(at.when);
  }
  return text;
}

cell MakeCell(plan what) {
  std::string row(Triggers()[what.trigger].name);
  row += what.faults.empty()
             ? ", alone"
             : ", " + std::string(Faults()[what.faults[0].kind].name);
  row += what.faults.size() == 2 ? ", and another" : "";
  const std::string name =
      Describe(what) + ", seed " + std::to_string(what.seed);
  return {row, name, [what] { return failover_cell(what).Run(); }};
}

void AddPairs(const scenario_options& options,
              size_t trigger,
              std::mt19937_64& random,
              std::vector<cell>& cells) {
  const size_t kinds = Faults().size();
  // Without an event only a suspicion may follow.
  constexpr size_t kNoEventSteps = 2;
  const size_t steps = Triggers()[trigger].harmless ? kNoEventSteps : kSteps;
  for (size_t a = 0; a < kinds; ++a) {
    for (size_t b = a; b < kinds; ++b) {
      for (int i = 0; i < options.pair_samples; ++i) {
        const auto at = static_cast<step>(random() % steps);
        const auto then = static_cast<step>(random() % steps);
        cells.push_back(
            MakeCell({trigger, {{a, at}, {b, then}}, random() % 1000000}));
      }
    }
  }
}

}  // namespace

std::vector<cell> FailoverCells(const scenario_options& options) {
  std::mt19937_64 random(options.seed);
  std::vector<cell> cells;
  for (size_t trigger = 0; trigger < Triggers().size(); ++trigger) {
    constexpr int kAlone = 20;
    for (int i = 0; i < kAlone; ++i) {
      cells.push_back(MakeCell({trigger, {}, random() % 1000000}));
    }
    for (size_t kind = 0; kind < Faults().size(); ++kind) {
      for (size_t at = 0; at < kSteps; ++at) {
        cells.push_back(MakeCell(
            {trigger, {{kind, static_cast<step>(at)}}, random() % 1000000}));
      }
    }
    AddPairs(options, trigger, random, cells);
  }
  return cells;
}

}  // namespace tarragondale::fault_matrix
