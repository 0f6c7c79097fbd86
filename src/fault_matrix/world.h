// One group of three members and six VMs in three zones, with the faults that
// a cell injects.
#ifndef SRC_FAULT_MATRIX_WORLD_H_
#define SRC_FAULT_MATRIX_WORLD_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "src/fault_matrix/fake_member.h"
#include "src/fault_matrix/history.h"
#include "src/fault_matrix/simulation.h"
#include "src/fault_matrix/vm_host.h"

namespace tarragondale::fault_matrix {

inline constexpr char kGroup[] = "g";

/// @brief Moments of a failover at which a fault can be injected.
enum class step : uint8_t {
  kTrigger,
  kSuspected,
  kStarted,
  kFenceSent,
  kFenceTaken,
  kPromoteSent,
  kPromoteTaken,
  kPromoted,
  kFollowTaken,
  kCompleted
};
inline constexpr size_t kSteps = 10;
std::string StepName(step at);

class world {
 public:
  explicit world(uint64_t seed);

  /// @brief Calls `observer` at each step of a failover.
  void Observe(std::function<void(step)> observer) {
    observer_ = std::move(observer);
  }
  void Reached(step at) {
    if (observer_) {
      observer_(at);
    }
  }

  vm_host* FindVm(const std::string& name);
  fake_member* FindMember(const std::string& address);
  std::vector<fake_member*> Members();
  std::vector<std::unique_ptr<vm_host>>& vms() { return vms_; }
  fake_member* Primary();    ///< The one of the highest term.
  vm_host* CoordinatorVm();  ///< A VM that holds the role.

  void Notice(const group::notice& what);
  void Sent(const wire::statement& statement);
  void Took(const wire::statement& statement);

  /// @brief Cuts a member from all VMs and members, or restores it.
  void CutMember(const std::string& member, bool cut);
  void CutFromMembers(const std::string& node, bool cut);
  void CutFromVms(const std::string& node, bool cut);
  /// @brief Gives all VMs a new pool row.
  void SetPool(const config::pool_row& changed);
  /// @brief The fleet detects that a VM is gone, or that it is back.
  void SetGone(const std::string& vm, bool gone);
  fleet::fleet_view_ptr View(const std::string& self,
                             const std::set<std::string>& gone) const;
  const std::set<std::string>& gone() const { return gone_; }

  /// @brief True if two members are alive, reach each other and can be reached.
  bool MajorityReachable();

  simulation sim;
  network net;
  history past;
  config::pool_row pool;
  config::configuration_ptr configuration;
  uint64_t last_write = 0;
  bool crash_is_silent = true;  ///< Else connections are refused.
  std::vector<group::notice> notices;
  int started = 0;  ///< Failovers that began fencing.
  int cleared = 0;

 private:
  bool Usable(const fake_member& member) const;
  void SetViews();

  std::map<std::string, std::unique_ptr<fake_member>> members_;
  std::map<std::string, fake_member*> by_address_;
  std::vector<std::unique_ptr<vm_host>> vms_;
  std::set<std::string> gone_;  ///< VMs that the fleet knows to be gone.
  std::function<void(step)> observer_;
};

}  // namespace tarragondale::fault_matrix

#endif  // SRC_FAULT_MATRIX_WORLD_H_
