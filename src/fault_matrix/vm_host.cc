// One VM of the fault matrix.
#include "src/fault_matrix/vm_host.h"

#include <algorithm>

#include "src/fault_matrix/world.h"

namespace tarragondale::fault_matrix {
namespace {

constexpr duration kTickInterval = milliseconds(10);
constexpr duration kPollInterval = milliseconds(100);
constexpr duration kPollLimit = milliseconds(300);
constexpr duration kWriteInterval = milliseconds(40);
constexpr duration kWriteLimit = milliseconds(1000);
constexpr duration kReplicationPoll = milliseconds(10);
constexpr duration kInterestTime = milliseconds(3000);
constexpr duration kOpenTime = milliseconds(12);
// The responder's connections, apart from the coordinator's.
constexpr database::connection_id kResponderConnections =
    group::coordinator_options::kConnectionRange * 2;

}  // namespace

vm_host::vm_host(world& owner, std::string name, uint64_t run)
    : world_(owner),
      name_(std::move(name)),
      coordinator_({.group = kGroup, .run = run, .timing = {}}),
      responder_({.first_connection = kResponderConnections}) {}

time_point vm_host::Now() const {
  return world_.sim.now() + clock_offset_;
}

void vm_host::Start() {
  StepCoordinator(group::pool_changed{world_.pool});
  StepResponder(group::configuration_changed{world_.configuration});
  Tick();
}

void vm_host::SetView(fleet::fleet_view_ptr view) {
  Deliver([this, view = std::move(view)] {
    view_ = view;
    StepCoordinator(group::fleet_changed{view});
  });
}

void vm_host::SetPool(const config::pool_row& pool) {
  Deliver([this, pool] { StepCoordinator(group::pool_changed{pool}); });
}

void vm_host::RequestSwitchover(const std::string& target) {
  Deliver(
      [this, target] { StepCoordinator(group::switchover_requested{target}); });
}

void vm_host::Deliver(simulation::callback work) {
  if (!alive_) {
    return;
  }
  if (paused_) {
    held_.push_back(std::move(work));
    return;
  }
  work();
}

void vm_host::Pause(bool paused) {
  paused_ = paused;
  while (!paused_ && !held_.empty()) {
    const simulation::callback work = std::move(held_.front());
    held_.pop_front();
    Deliver(work);
  }
}

void vm_host::SilenceConnections() {
  for (auto& [id, open] : links_) {
    open.silent = true;
  }
  for (auto& [member, at] : gateways_) {
    // Answers to the old generation are dropped until the poll limit ends it.
    ++at.generation;
  }
}

void vm_host::StepCoordinator(const group::event& happened) {
  for (const group::action& wanted : coordinator_.Step(Now(), happened)) {
    Perform(wanted);
  }
}

void vm_host::StepResponder(const group::reach_event& happened) {
  for (const group::reach_action& wanted : responder_.Step(Now(), happened)) {
    Perform(wanted);
  }
}

void vm_host::Perform(const group::action& wanted) {
  if (const auto* command = std::get_if<database::command>(&wanted)) {
    Drive(*command, true);
  } else if (const auto* ask =
                 std::get_if<group::send_reach_request>(&wanted)) {
    vm_host* const to = world_.FindVm(ask->vm);
    world_.net.Send(name_, ask->vm, [this, to, request = ask->request] {
      to->Deliver([this, to, request] {
        to->StepResponder(group::reach_request_arrived{name_, request});
      });
    });
  } else if (const auto* interest =
                 std::get_if<group::send_interest>(&wanted)) {
    vm_host* const to = world_.FindVm(interest->vm);
    world_.net.Send(name_, interest->vm, [this, to] {
      to->Deliver(
          [this, to] { to->interested_[name_] = to->Now() + kInterestTime; });
    });
  } else {
    world_.Notice(std::get<group::notice>(wanted));
  }
}

void vm_host::Perform(const group::reach_action& wanted) {
  if (const auto* command = std::get_if<database::command>(&wanted)) {
    Drive(*command, false);
    return;
  }
  const auto& send = std::get<group::send_reach_answer>(wanted);
  vm_host* const to = world_.FindVm(send.vm);
  world_.net.Send(name_, send.vm, [this, to, answer = send.answer] {
    to->Deliver([this, to, answer] {
      to->StepCoordinator(group::reach_answer_arrived{name_, answer});
    });
  });
}

void vm_host::Drive(const database::command& command, bool for_coordinator) {
  if (const auto* open = std::get_if<database::open_connection>(&command)) {
    Open(*open, for_coordinator);
  } else if (const auto* query = std::get_if<database::send_query>(&command)) {
    Query(*query, for_coordinator);
  } else {
    links_.erase(std::get<database::close_connection>(command).connection);
  }
}

void vm_host::Open(const database::open_connection& command,
                   bool for_coordinator) {
  fake_member* const member = world_.FindMember(command.address);
  const auto id = command.connection;
  links_[id] = {member, false};
  world_.net.Send(name_, member->name(), [this, member, id, for_coordinator] {
    if (!member->alive() && world_.crash_is_silent) {
      return;
    }
    const bool accepted = member->alive();
    world_.sim.After(kOpenTime, [this, member, id, accepted, for_coordinator] {
      world_.net.Send(
          member->name(), name_, [this, id, accepted, for_coordinator] {
            if (accepted) {
              Happen(database::connection_opened{id}, for_coordinator);
            } else {
              Happen(database::connection_lost{id, "connection refused"},
                     for_coordinator);
            }
          });
    });
  });
}

void vm_host::Query(const database::send_query& command, bool for_coordinator) {
  const auto found = links_.find(command.connection);
  if (found == links_.end() || found->second.silent) {
    return;
  }
  fake_member* const member = found->second.member;
  world_.Sent(command.statement);
  const auto run = [this, member, command, for_coordinator] {
    if (!member->alive()) {
      return;
    }
    database::query_finished done = member->Execute(command.statement);
    done.connection = command.connection;
    done.query = command.query;
    world_.Took(command.statement);
    if (for_coordinator && lose_answers_ > 0) {
      --lose_answers_;
      return;
    }
    world_.net.Send(member->name(), name_, [this, done, for_coordinator] {
      Happen(done, for_coordinator);
    });
  };
  world_.net.Send(name_, member->name(), run);
}

void vm_host::Happen(const database::driver_event& happened,
                     bool for_coordinator) {
  const auto id =
      std::visit([](const auto& value) { return value.connection; }, happened);
  const auto found = links_.find(id);
  if (found == links_.end() || found->second.silent) {
    return;
  }
  Deliver([this, happened, for_coordinator] {
    if (for_coordinator) {
      StepCoordinator(happened);
    } else {
      StepResponder(happened);
    }
  });
}

void vm_host::Tick() {
  if (!alive_) {
    return;
  }
  Deliver([this] {
    // A paused VM ran no ticks; only the last of them matters.
    const auto due = coordinator_.NextDeadline();
    if (due && *due <= Now()) {
      StepCoordinator(group::tick{});
    }
    const auto reach = responder_.NextDeadline();
    if (reach && *reach <= Now()) {
      StepResponder(group::tick{});
    }
    RunGateway();
  });
  world_.sim.After(kTickInterval, [this] { Tick(); });
}

void vm_host::RunGateway() {
  if (!view_) {
    return;
  }
  for (fake_member* member : world_.Members()) {
    const location& where = world_.net.Where(member->name());
    const auto owner =
        fleet::PlaceRole(*view_, fleet::GatewayRole(kGroup, member->name()),
                         {where.zone, where.region});
    gateway_link& at = gateways_[member->name()];
    if (owner && *owner == name_ && (Now() - at.sent >= kPollInterval)) {
      PollMember(*member, at);
    }
    if (owner && *owner == name_ && !at.writing &&
        at.report.role == wire::member_role::kPrimary && at.report.reachable &&
        at.report.promised_term <= at.report.term) {
      WriteTo(*member, at);
    }
  }
}

void vm_host::Rpc(fake_member& member,
                  const simulation::callback& at_member,
                  const simulation::callback& at_vm) {
  fake_member* const to = &member;
  world_.net.Send(name_, to->name(), [this, to, at_member, at_vm] {
    if (!to->alive()) {
      return;
    }
    at_member();
    world_.net.Send(to->name(), name_, [this, at_vm] { Deliver(at_vm); });
  });
}

void vm_host::PollMember(fake_member& member, gateway_link& at) {
  if (at.waiting && Now() - at.sent < kPollLimit) {
    return;
  }
  if (at.waiting) {
    ++at.generation;  // A fresh connection for the next poll.
  }
  at.report.reachable = Now() - at.answered < kPollLimit + kPollInterval;
  at.report.member = member.name();
  if (at.answered != time_point()) {
    for (const auto& [vm, until] : interested_) {
      if (until < Now()) {
        continue;
      }
      vm_host* const to = world_.FindVm(vm);
      world_.net.Send(name_, vm, [this, to, report = at.report] {
        to->Deliver([this, to, report] {
          to->StepCoordinator(group::report_arrived{name_, {kGroup, {report}}});
        });
      });
    }
  }
  at.waiting = true;
  at.sent = Now();
  auto answer = std::make_shared<wire::member_report>();
  fake_member* const asked = &member;
  Rpc(
      member, [asked, answer] { *answer = asked->Status(); },
      [this, asked, answer, generation = at.generation] {
        gateway_link& now_at = gateways_[asked->name()];
        if (now_at.generation != generation) {
          return;
        }
        now_at.waiting = false;
        now_at.answered = Now();
        now_at.report = *answer;
      });
}

void vm_host::WriteTo(fake_member& member, gateway_link& at) {
  at.writing = true;
  fake_member* const to = &member;
  const uint64_t write = ++world_.last_write;
  auto written = std::make_shared<std::optional<log_position>>();
  const time_point deadline = Now() + kWriteLimit;
  Rpc(
      member, [to, write, written] { *written = to->Write(write); },
      [this, to, write, written, deadline] {
        if (*written) {
          AwaitReplication(*to, write, **written, deadline);
        }
      });
  world_.sim.After(kWriteInterval, [this, to] {
    Deliver([this, to] { FinishWrite(to->name()); });
  });
}

void vm_host::AwaitReplication(fake_member& member,
                               uint64_t write,
                               log_position at,
                               time_point deadline) {
  fake_member* const to = &member;
  auto rows = std::make_shared<std::vector<database::replication_row>>();
  Rpc(
      member, [to, rows] { *rows = to->Replication(); },
      [this, to, rows, write, at, deadline] {
        const auto holds = [&](const database::replication_row& row) {
          return row.term == at.term && row.position >= at.position &&
                 row.promised_term <= at.term;
        };
        const auto count = std::count_if(rows->begin(), rows->end(), holds);
        const bool by_primary =
            std::any_of(rows->begin(), rows->end(), [&](const auto& row) {
              return row.member == to->name() && holds(row);
            });
        if (by_primary &&
            static_cast<size_t>(count) * 2 > world_.Members().size()) {
          world_.past.Acknowledged(world_.sim.now(), write, at);
        } else if (Now() < deadline) {
          world_.sim.After(kReplicationPoll, [this, to, write, at, deadline] {
            Deliver([this, to, write, at, deadline] {
              AwaitReplication(*to, write, at, deadline);
            });
          });
        }
      });
}

void vm_host::FinishWrite(const std::string& member) {
  gateways_[member].writing = false;
}

}  // namespace tarragondale::fault_matrix
