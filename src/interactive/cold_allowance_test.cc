// Tests of the shares of statements for cold members, over whole fleets.
#include "src/interactive/cold_allowance.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <random>

namespace tarragondale::interactive {
namespace {

constexpr size_t kHosts = 4;
constexpr time_point kStart = TimeFromMs(1'000'000);

// The promise to operators.
double Bound(double rate) {
  return rate * 1.5 + 5;
}

// A fleet of which each VM sends to one cold member whenever its share allows.
class sending_fleet {
 public:
  struct vm {
    std::unique_ptr<cold_allowance> allowance;
    duration report_delay{0};  ///< Of the member's report.
    bool cut_off = false;      ///< Sees no changes of the fleet any more.
  };

  sending_fleet(int vms, int regions, bool hosted, double rate, uint32_t seed)
      : rate_(rate), regions_(regions), hosted_(hosted), random_(seed) {
    for (int i = 0; i < vms; ++i) {
      AddSilently();
    }
    for (auto& [name, each] : vms_) {
      Tell(name, each);
    }
  }

  // The member's cold time begins and lasts for `span`.
  void StartMember(duration span) { cold_until_ = now_ + span; }

  void Run(duration span) {
    for (const time_point end = now_ + span; now_ < end;
         now_ += milliseconds(25)) {
      for (auto next = due_.begin(); next != due_.end() && next->first <= now_;
           next = due_.begin()) {
        const auto found = vms_.find(next->second);
        due_.erase(next);
        if (found != vms_.end() && !found->second.cut_off) {
          Tell(found->first, found->second);
        }
      }
      for (auto& [name, each] : vms_) {
        Send(each);
      }
    }
  }

  // A new VM; the others see it within two seconds.
  void Add() {
    const std::string name = AddSilently();
    Tell(name, vms_.at(name));
    TellOthers();
  }
  // A VM that is lost with its process; its registration ends later.
  void Remove() {
    const std::string name = AnyVm();
    vms_.erase(name);
    registered_.erase(name);
    TellOthers();
  }
  void Restart() {
    vm& of = vms_.at(AnyVm());
    of.allowance = std::make_unique<cold_allowance>();
    of.report_delay = Draw(3'500);
    of.cut_off = false;
    due_.emplace(now_ + Draw(500), NameOf(of));
  }
  // Each VM sees only its own registration.
  void ForgetOthers() {
    for (auto& [name, each] : vms_) {
      registered_ = {name};
      Tell(name, each);
    }
  }
  void CutOff() { vms_.at(AnyVm()).cut_off = true; }

  size_t size() const { return vms_.size(); }

  // Largest number of statements in any second.
  size_t Peak() const {
    size_t peak = 0;
    size_t first = 0;
    for (size_t i = 0; i < sent_.size(); ++i) {
      while (sent_[i] - sent_[first] >= seconds(1)) {
        ++first;
      }
      peak = std::max(peak, i - first + 1);
    }
    return peak;
  }
  size_t total() const { return sent_.size(); }

 private:
  std::string AddSilently() {
    const std::string name = fmt::format("vm-{}", ++last_);
    vm& added = vms_[name];
    added.allowance = std::make_unique<cold_allowance>();
    added.report_delay = Draw(3'500);
    registered_.insert(name);
    return name;
  }
  duration Draw(int most_ms) {
    return milliseconds(
        std::uniform_int_distribution<int>(0, most_ms)(random_));
  }
  std::string AnyVm() {
    auto found = vms_.begin();
    std::advance(found, std::uniform_int_distribution<size_t>(
                            0, vms_.size() - 1)(random_));
    return found->first;
  }
  std::string NameOf(const vm& of) const {
    return std::find_if(vms_.begin(), vms_.end(),
                        [&](const auto& each) { return &each.second == &of; })
        ->first;
  }
  void TellOthers() {
    for (const auto& [name, each] : vms_) {
      due_.emplace(now_ + Draw(2'000), name);
    }
  }
  void Tell(const std::string& name, vm& to) {
    cold_senders senders{name, registered_, {}, 0};
    if (hosted_) {
      senders.hosts = kHosts;
      for (const std::string& each : registered_) {
        const int number = std::stoi(each.substr(3));
        senders.candidates[fmt::format("r{}", number % regions_)].push_back(
            each);
      }
    }
    to.allowance->SetSenders(senders, now_);
  }
  void Send(vm& from) {
    const time_point until = cold_until_ + from.report_delay;
    if (now_ >= cold_until_) {
      return;
    }
    while (from.allowance->Admits("m", "g", rate_, until, now_)) {
      from.allowance->Spend("m", "g", rate_, now_);
      sent_.push_back(now_);
    }
  }

  const double rate_;
  const int regions_;
  const bool hosted_;
  std::mt19937 random_;
  time_point now_ = kStart;
  time_point cold_until_ = kStart;
  int last_ = 0;
  std::map<std::string, vm> vms_;
  std::set<std::string> registered_;
  std::multimap<time_point, std::string> due_;
  std::vector<time_point> sent_;
};

// Guards against shares that don't add up to the bound while the fleet stays as
// it is, whatever its size.
TEST(ColdAllowanceTest, SumOfAllVmsStaysWithinTheBound) {
  for (const int vms : {1, 3, 16, 17, 60, 300}) {
    for (const double rate : {0.3, 1.0, 10.0, 200.0}) {
      for (const bool hosted : {false, true}) {
        sending_fleet fleet(vms, 3, hosted, rate, 1);
        fleet.Run(seconds(5));
        fleet.StartMember(seconds(30));
        fleet.Run(seconds(30));
        EXPECT_LE(static_cast<double>(fleet.Peak()), Bound(rate))
            << vms << " VMs, rate " << rate << ", hosted " << hosted;
        // The members get what the rate allows; the first statements may come
        // at once. Hosts that are idle, as here none is, leave more unused.
        EXPECT_LE(static_cast<double>(fleet.total()),
                  30 * rate + Bound(rate) + 1)
            << vms << " VMs, rate " << rate << ", hosted " << hosted;
        EXPECT_GE(static_cast<double>(fleet.total()), 30 * rate * 0.5 - 1)
            << vms << " VMs, rate " << rate << ", hosted " << hosted;
      }
    }
  }
}

// Guards against a sum beyond the bound while VMs start, end, restart and are
// cut off, and see changes of the fleet and reports of the member late.
TEST(ColdAllowanceTest, SumStaysWithinTheBoundWhileTheFleetChanges) {
  EXPECT_TRUE(rc::check([] {
    const int vms = *rc::gen::inRange(1, 120);
    const bool hosted = *rc::gen::arbitrary<bool>();
    const double rate =
        *rc::gen::element(0.5, 2.0, 5.0, 10.0, 15.0, 40.0, 100.0, 400.0);
    sending_fleet fleet(vms, *rc::gen::inRange(1, 4), hosted, rate,
                        *rc::gen::arbitrary<uint32_t>());
    fleet.Run(seconds(5));
    // At most every tenth VM is cut off.
    for (int i = 0; i < vms / 10; ++i) {
      fleet.CutOff();
    }
    fleet.StartMember(seconds(30));
    const auto steps =
        *rc::gen::container<std::vector<int>>(30, rc::gen::inRange(0, 6));
    for (const int step : steps) {
      if (step == 0) {
        fleet.Add();
      } else if (step == 1 && fleet.size() > 1) {
        fleet.Remove();
      } else if (step == 2) {
        fleet.Restart();
      } else if (step == 3 && fleet.size() > 1) {
        fleet.Remove();
        fleet.Add();
      }
      fleet.Run(seconds(1));
    }
    RC_ASSERT(static_cast<double>(fleet.Peak()) <= Bound(rate));
  }));
}

// Guards against a sum beyond the bound when the whole fleet is replaced.
TEST(ColdAllowanceTest, ReplacedFleetStaysWithinTheBound) {
  for (const int vms : {3, 8, 16, 60}) {
    for (const bool hosted : {false, true}) {
      sending_fleet fleet(vms, 2, hosted, 10, 3);
      fleet.Run(seconds(5));
      fleet.StartMember(seconds(60));
      fleet.Run(seconds(5));
      for (int i = 0; i < vms; ++i) {
        fleet.Add();
      }
      fleet.Run(seconds(8));
      for (int i = 0; i < vms; ++i) {
        fleet.Remove();
        fleet.Run(milliseconds(200));
      }
      fleet.Run(seconds(10));
      EXPECT_LE(static_cast<double>(fleet.Peak()), Bound(10))
          << vms << " VMs, hosted " << hosted;
    }
  }
}

// Guards against shares that grow because registrations are missing for a
// while, for example while VMs register again with a restored store.
TEST(ColdAllowanceTest, MissingRegistrationsDoNotRaiseTheShares) {
  for (const bool hosted : {false, true}) {
    sending_fleet fleet(16, 2, hosted, 10, 7);
    fleet.Run(seconds(5));
    fleet.StartMember(seconds(30));
    fleet.Run(seconds(2));
    fleet.ForgetOthers();
    fleet.Run(seconds(20));
    EXPECT_LE(static_cast<double>(fleet.Peak()), Bound(10))
        << "hosted " << hosted;
  }
}

// Guards against a second share after a restart.
TEST(ColdAllowanceTest, RestartedFleetWaits) {
  sending_fleet fleet(4, 1, false, 10, 5);
  fleet.Run(seconds(5));
  fleet.StartMember(seconds(30));
  fleet.Run(seconds(1));
  for (int i = 0; i < 20; ++i) {
    fleet.Restart();
    fleet.Run(milliseconds(100));
  }
  fleet.Run(seconds(10));
  EXPECT_LE(static_cast<double>(fleet.Peak()), Bound(10));
}

// Guards against a share of a VM that the others don't know of, or that none of
// them would choose as a host.
TEST(ColdAllowanceTest, VmsThatAreNoSendersHaveNoShare) {
  cold_allowance unknown;
  EXPECT_FALSE(
      unknown.Admits("m", "g", 10, kStart + seconds(60), kStart + seconds(9)));
  unknown.SetSenders({"vm-3", {"vm-1", "vm-2"}, {}, 0}, kStart);
  EXPECT_FALSE(
      unknown.Admits("m", "g", 10, kStart + seconds(60), kStart + seconds(9)));
  size_t senders = 0;
  cold_senders fleet{"", {}, {}, kHosts};
  for (int i = 0; i < 40; ++i) {
    const std::string name = fmt::format("vm-{}", i);
    fleet.vms.insert(name);
    fleet.candidates["r"].push_back(name);
  }
  for (const std::string& name : fleet.vms) {
    cold_allowance each;
    fleet.self = name;
    each.SetSenders(fleet, kStart);
    senders +=
        each.Admits("m", "g", 10, kStart + seconds(60), kStart + seconds(9))
            ? 1
            : 0;
  }
  EXPECT_EQ(senders, kHosts);
}

// Guards against waiting for a slot that comes after the cold time.
TEST(ColdAllowanceTest, NextTimeIsTheOneThatIsAdmitted) {
  cold_allowance one;
  one.SetSenders({"vm-1", {"vm-1"}, {}, 0}, kStart);
  const time_point until = kStart + seconds(60);
  time_point now = kStart;
  for (int i = 0; i < 200; ++i) {
    const auto next = one.NextAt("m", "g", 0.7, until, now);
    ASSERT_TRUE(next);
    now = *next;
    ASSERT_TRUE(one.Admits("m", "g", 0.7, until, now));
    one.Spend("m", "g", 0.7, now);
  }
}

}  // namespace
}  // namespace tarragondale::interactive
