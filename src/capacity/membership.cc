// Cost of the membership protocol for each VM: full fleets up to 200 VMs, and
// one VM with scripted peers up to the target.
#include <fmt/format.h>

#include <functional>
#include <map>

#include "src/capacity/population.h"
#include "src/capacity/roles.h"
#include "src/capacity/scripted_fleet.h"

namespace tarragondale::capacity {
namespace {

constexpr int kFullSizes[] = {9, 50, 200};
constexpr int kScriptedSizes[] = {9, 50, 200, 1'000, 4'700};
constexpr churn kNoChurn{};
constexpr churn kTargetChurn{84, 4'400};
constexpr duration kLatency = milliseconds(1);
constexpr duration kWarmUp = seconds(30);
// Until a VM that learned a record of each VM has told them all as often as
// the protocol demands: 3 * bit_width(n + 1) sends for each record, 24 records
// a second.
duration DrainTime(int vms) {
  return seconds(30 + 2 * vms);
}
constexpr duration kMeasured = seconds(30);
constexpr duration kScriptedMeasured = seconds(300);
constexpr duration kJoinLimit = seconds(7'200);

struct traffic {
  uint64_t messages = 0;
  uint64_t bytes = 0;
  double codec_us = 0;

  // Encodes and decodes, as sender and receiver do.
  void Count(const wire::message& message) {
    const cpu_timer timer;
    const std::string bytes_sent = wire::Encode(message);
    const bool decoded = static_cast<bool>(wire::Decode(bytes_sent));
    codec_us += timer.Microseconds();
    ++messages;
    bytes += decoded ? bytes_sent.size() : 0;
  }
};

// All VMs of a fleet in virtual time.
class full_fleet {
 public:
  full_fleet(int vms, uint64_t seed) {
    std::vector<wire::vm_record> seeds;
    seeds.reserve(static_cast<size_t>(vms));
    for (int i = 0; i < vms; ++i) {
      seeds.push_back(MakeVm(i));
    }
    for (int i = 0; i < vms; ++i) {
      const auto& added = machines_.emplace_back(std::make_unique<machine>(
          fleet::membership({}, seeds[static_cast<size_t>(i)],
                            seed + static_cast<uint64_t>(i))));
      index_[VmName(i)] = added.get();
      Step(*added, fleet::seeds_changed{seeds});
      Step(*added, fleet::became_ready{});
    }
  }

  void RunFor(duration span) {
    const time_point end = now_ + span;
    while (now_ < end) {
      now_ += kLatency;
      const auto due = std::move(in_flight_);
      in_flight_.clear();
      for (const auto& [target, message] : due) {
        Deliver(*target, message);
      }
      for (const auto& one : machines_) {
        if (one->membership.NextDeadline() <= now_) {
          Step(*one, fleet::tick{});
        }
      }
    }
  }

  double cpu_us = 0;
  traffic sent;

 private:
  struct machine {
    explicit machine(fleet::membership made) : membership(std::move(made)) {}
    fleet::membership membership;
  };

  void Step(machine& target, const fleet::event& event) {
    const cpu_timer timer;
    std::vector<fleet::action> actions = target.membership.Step(now_, event);
    cpu_us += timer.Microseconds();
    for (fleet::action& action : actions) {
      if (auto* const send = std::get_if<fleet::send_message>(&action)) {
        const auto found = index_.find(send->vm);
        if (found == index_.end()) {
          continue;
        }
        wire::message message{target.membership.self().name,
                              std::move(send->body)};
        sent.Count(message);
        in_flight_.emplace_back(found->second, std::move(message));
      }
    }
  }

  void Deliver(machine& target, const wire::message& message) {
    if (const auto* probe = std::get_if<wire::probe>(&message.body)) {
      Step(target, fleet::probe_arrived{message.sender, *probe});
    } else if (const auto* answer =
                   std::get_if<wire::probe_answer>(&message.body)) {
      Step(target, fleet::probe_answer_arrived{message.sender, *answer});
    }
  }

  std::vector<std::unique_ptr<machine>> machines_;
  std::map<std::string, machine*, std::less<>> index_;
  std::vector<std::pair<machine*, wire::message>> in_flight_;
  time_point now_ = TimeFromMs(0);
};

void MeasureFull(int vms, uint64_t seed, figure_list& figures) {
  const int64_t before = LiveBytes();
  full_fleet fleet(vms, seed);
  fleet.RunFor(DrainTime(vms) / 2);
  const std::string suffix = fmt::format("@{}", vms);
  const std::string conditions =
      fmt::format("full fleet of {}, quiet after {} s, seed {}", vms,
                  ToMs(DrainTime(vms)) / 2'000, seed);
  figures.Add("membership.full_state" + suffix,
              static_cast<double>(LiveBytes() - before) / vms, "bytes/VM",
              conditions);
  fleet.cpu_us = 0;
  fleet.sent = {};
  fleet.RunFor(kMeasured);
  const double vm_seconds =
      vms * std::chrono::duration<double>(kMeasured).count();
  figures.Add("membership.full_cpu" + suffix, fleet.cpu_us / vm_seconds, "us/s",
              conditions);
  figures.Add("membership.full_messages_sent" + suffix,
              static_cast<double>(fleet.sent.messages) / vm_seconds, "1/s",
              conditions);
  figures.Add("membership.full_bytes_sent" + suffix,
              static_cast<double>(fleet.sent.bytes) / vm_seconds, "bytes/s",
              conditions);
}

// One VM with scripted peers.
class measured_vm {
 public:
  measured_vm(int vms, churn rates, uint64_t seed)
      : peers_(vms, rates, seed),
        membership_({}, MakeVm(0), seed),
        base_(LiveBytes()) {
    Step(fleet::became_ready{});
    Step(fleet::seeds_changed{peers_.Records()});
  }

  // Learns all VMs at once, as a VM that has run for long knows them.
  void LearnAll() {
    Step(fleet::probe_arrived{
        VmName(1), {1, VmName(0), VmName(1), {1, 10}, peers_.Records()}});
  }

  void RunUntil(time_point end, const std::function<bool()>& stop = {}) {
    while (now_ < end && !(stop && stop())) {
      const time_point tick =
          std::max(now_, std::min(membership_.NextDeadline(), end));
      if (const auto next = peers_.Next(tick)) {
        now_ = next->at;
        received.Count(next->message);
        Deliver(next->message);
      } else {
        now_ = tick;
        if (now_ < end) {
          Step(fleet::tick{});
        }
      }
    }
  }

  time_point now() const { return now_; }
  int64_t State() const { return LiveBytes() - base_; }
  size_t view_size() const { return view_ ? view_->vms.size() : 0; }
  int changes() const { return peers_.changes(); }
  const fleet::membership_metrics& metrics() const {
    return membership_.metrics();
  }

  double cpu_us = 0;
  int views = 0;
  traffic sent;
  traffic received;

 private:
  void Step(const fleet::event& event) {
    const cpu_timer timer;
    std::vector<fleet::action> actions = membership_.Step(now_, event);
    cpu_us += timer.Microseconds();
    for (fleet::action& action : actions) {
      if (auto* const send = std::get_if<fleet::send_message>(&action)) {
        sent.Count({VmName(0), send->body});
        peers_.Take(now_, send->vm, send->body);
      } else if (auto* const view = std::get_if<fleet::view_changed>(&action)) {
        view_ = std::move(view->view);
        ++views;
      }
    }
  }

  void Deliver(const wire::message& message) {
    if (const auto* probe = std::get_if<wire::probe>(&message.body)) {
      Step(fleet::probe_arrived{message.sender, *probe});
    } else if (const auto* answer =
                   std::get_if<wire::probe_answer>(&message.body)) {
      Step(fleet::probe_answer_arrived{message.sender, *answer});
    }
  }

  scripted_fleet peers_;
  fleet::membership membership_;
  int64_t base_;
  fleet::fleet_view_ptr view_;
  time_point now_ = TimeFromMs(0);
};

void MeasureRunning(int vms,
                    const std::string& name,
                    churn rates,
                    duration warm_up,
                    uint64_t seed,
                    figure_list& figures) {
  measured_vm vm(vms, rates, seed);
  vm.LearnAll();
  vm.RunUntil(vm.now() + warm_up);
  vm.cpu_us = 0;
  vm.views = 0;
  vm.sent = vm.received = {};
  const int changes = vm.changes();
  vm.RunUntil(vm.now() + kScriptedMeasured);
  const double time = std::chrono::duration<double>(kScriptedMeasured).count();
  const std::string suffix = fmt::format("@{}", vms);
  const std::string conditions = fmt::format(
      "one VM, {} scripted peers, {}, {:.0f} s after {} s, {} VMs changed, "
      "seed "
      "{}",
      vms - 1, name, time, ToMs(warm_up) / 1'000, vm.changes() - changes, seed);
  const auto add = [&](const std::string& what, double value,
                       const std::string& unit) {
    figures.Add("membership." + name + "_" + what + suffix, value, unit,
                conditions);
  };
  add("state", static_cast<double>(vm.State()), "bytes");
  add("cpu", vm.cpu_us / time, "us/s");
  add("codec_cpu", (vm.sent.codec_us + vm.received.codec_us) / 2 / time,
      "us/s");
  add("messages_sent", static_cast<double>(vm.sent.messages) / time, "1/s");
  add("messages_received", static_cast<double>(vm.received.messages) / time,
      "1/s");
  add("bytes_sent", static_cast<double>(vm.sent.bytes) / time, "bytes/s");
  add("bytes_received", static_cast<double>(vm.received.bytes) / time,
      "bytes/s");
  add("views", vm.views / time, "1/s");
}

// Time in which a new VM that has only the platform's list learns the fleet.
void MeasureJoin(int vms, uint64_t seed, figure_list& figures) {
  measured_vm vm(vms, kNoChurn, seed);
  constexpr double kMost = 0.99;
  constexpr double kSecondsPerMs = 0.001;
  const auto knows = [&](double share) {
    return [&vm, vms, share] {
      return static_cast<double>(vm.view_size()) >= share * vms;
    };
  };
  for (const auto& [name, share] :
       {std::pair("99", kMost), std::pair("all", 1.0)}) {
    vm.RunUntil(TimeFromMs(0) + kJoinLimit, knows(share));
    figures.Add(
        fmt::format("membership.join_{}@{}", name, vms),
        static_cast<double>(ToMs(vm.now().time_since_epoch())) * kSecondsPerMs,
        "s",
        fmt::format("new VM with the platform's list, {} scripted peers, "
                    "knows {} VMs, {} views published, seed {}",
                    vms - 1, vm.view_size(), vm.views, seed));
  }
}

}  // namespace

void MeasureMembership(uint64_t seed, figure_list& figures) {
  for (const int vms : kFullSizes) {
    MeasureFull(vms, seed, figures);
  }
  for (const int vms : kScriptedSizes) {
    MeasureRunning(vms, "joined", kNoChurn, kWarmUp, seed, figures);
    MeasureRunning(vms, "quiet", kNoChurn, DrainTime(vms), seed, figures);
    MeasureRunning(vms, "churn", kTargetChurn, DrainTime(vms), seed, figures);
    MeasureJoin(vms, seed, figures);
  }
}

}  // namespace tarragondale::capacity
