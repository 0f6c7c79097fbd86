// One VM of the fault matrix: a real coordinator and reach responder, a fake
// driver, and a simple gateway that polls, reports and writes.
#ifndef SRC_FAULT_MATRIX_VM_HOST_H_
#define SRC_FAULT_MATRIX_VM_HOST_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "src/fault_matrix/fake_member.h"
#include "tarragondale/group.h"

namespace tarragondale::fault_matrix {

class world;

class vm_host {
 public:
  vm_host(world& owner, std::string name, uint64_t run);

  void Start();
  void SetView(fleet::fleet_view_ptr view);
  void SetPool(const config::pool_row& pool);
  void RequestSwitchover(const std::string& target = "");

  /// @brief Runs `work` on this VM; later if it is paused, never if it died.
  void Deliver(simulation::callback work);

  void Pause(bool paused);
  void Die() { alive_ = false; }
  void JumpClock(duration by) { clock_offset_ += by; }
  /// @brief All open connections to members stop answering.
  void SilenceConnections();
  /// @brief Drops the next `count` answers of members to the coordinator.
  void LoseAnswers(int count) { lose_answers_ = count; }

  const std::string& name() const { return name_; }
  bool alive() const { return alive_; }
  bool paused() const { return paused_; }
  const group::coordinator& coordinator() const { return coordinator_; }

 private:
  struct link {
    fake_member* member = nullptr;
    bool silent = false;
  };
  /// The gateway's connection to one member.
  struct gateway_link {
    uint64_t generation = 0;
    bool waiting = false;
    time_point sent;
    time_point answered;
    bool writing = false;
    wire::member_report report;
  };

  time_point Now() const;
  void StepCoordinator(const group::event& happened);
  void StepResponder(const group::reach_event& happened);
  void Perform(const group::action& wanted);
  void Perform(const group::reach_action& wanted);
  void Drive(const database::command& command, bool for_coordinator);
  void Open(const database::open_connection& command, bool for_coordinator);
  void Query(const database::send_query& command, bool for_coordinator);
  void Happen(const database::driver_event& happened, bool for_coordinator);
  void Tick();
  void RunGateway();
  void PollMember(fake_member& member, gateway_link& at);
  void WriteTo(fake_member& member, gateway_link& at);
  void AwaitReplication(fake_member& member,
                        uint64_t write,
                        log_position at,
                        time_point deadline);
  void FinishWrite(const std::string& member);
  void Rpc(fake_member& member,
           const simulation::callback& at_member,
           const simulation::callback& at_vm);

  world& world_;
  std::string name_;
  group::coordinator coordinator_;
  group::reach_responder responder_;
  fleet::fleet_view_ptr view_;
  bool alive_ = true;
  bool paused_ = false;
  duration clock_offset_{0};
  int lose_answers_ = 0;
  std::deque<simulation::callback> held_;  ///< Work that waits for a resume.
  std::map<database::connection_id, link> links_;
  std::map<std::string, gateway_link> gateways_;
  std::map<std::string, time_point> interested_;  ///< VM and until when.
};

}  // namespace tarragondale::fault_matrix

#endif  // SRC_FAULT_MATRIX_VM_HOST_H_
