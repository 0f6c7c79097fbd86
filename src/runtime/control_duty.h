// The control thread's work: membership, currency of the configuration,
// failover coordinators and reach requests.
#ifndef TARRAGONDALE_SRC_RUNTIME_CONTROL_DUTY_H_
#define TARRAGONDALE_SRC_RUNTIME_CONTROL_DUTY_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "src/runtime/request_decoder.h"
#include "tarragondale/base.h"
#include "tarragondale/config.h"
#include "tarragondale/fleet.h"
#include "tarragondale/group.h"
#include "tarragondale/wire.h"

namespace tarragondale::runtime {

/// @brief The store answered a read at `at` and holds `version`.
struct store_answered {
  time_point at;
  int64_t version = 0;
};

/// @brief The platform's list of VMs was read.
struct vm_list_read {
  std::vector<wire::vm_record> vms;
};

struct leave_requested {};

using control_event = std::variant<wire::message,
                                   config::configuration_ptr,
                                   store_answered,
                                   vm_list_read,
                                   switchover_request,
                                   leave_requested,
                                   database::driver_event>;

/// @brief What control needs of the other threads. None may block.
struct control_outputs {
  std::function<bool(std::string_view vm,
                     std::string_view address,
                     wire::message_body body)>
      send;
  std::function<void(fleet::fleet_view_ptr)> publish_view;
  std::function<void(bool current)> publish_currency;
  std::function<bool(database::command)> command_database;
  std::function<void(const group::notice&)> on_notice;
};

struct control_options {
  wire::vm_record self;
  std::string store_region;
  uint64_t seed = 0;  ///< Of probe orders; also names this run.
};

/// @brief Used on the control thread, except `StatusJson` and `IsReady`.
class control_duty {
 public:
  control_duty(control_options options, control_outputs outputs);

  void Handle(time_point now, control_event event);
  void Tick(time_point now);
  std::optional<time_point> NextDeadline() const;

  /// @brief Body of `/v1/admin/status`. Thread-safe.
  std::string StatusJson() const;

  /// @brief True if this VM coordinates the group. Thread-safe.
  bool Coordinates(const std::string& group) const;

  /// @brief True if this VM serves: it has a configuration and is not leaving.
  /// Thread-safe.
  bool IsReady() const;

 private:
  struct coordinated_group {
    group::coordinator machine;
    uint64_t range = 0;  // Range of connection ids, see RangeOf.
  };

  void On(time_point now, const wire::message& event);
  void On(time_point now, const config::configuration_ptr& event);
  void On(time_point now, const store_answered& event);
  void On(time_point now, const vm_list_read& event);
  void On(time_point now, const switchover_request& event);
  void On(time_point now, const leave_requested& event);
  void On(time_point now, const database::driver_event& event);

  void OnReport(time_point now,
                const std::string& sender,
                const wire::group_report& report);
  void FeedMembership(time_point now, const fleet::event& event);
  void FeedCoordinator(time_point now,
                       coordinated_group& coordinated,
                       const group::event& event);
  void FeedReach(time_point now, const group::reach_event& event);
  void OnView(time_point now, fleet::fleet_view_ptr view);
  void PlaceCoordinators(time_point now);
  bool IsPlacedHere(const std::string& group) const;
  void UpdateCurrency(time_point now);
  void SendTo(const std::string& vm, wire::message_body body);
  void PublishStatus();

  const control_options options_;
  const control_outputs outputs_;
  fleet::membership membership_;
  fleet::freshness_tracker currency_;
  group::reach_responder reach_;
  std::map<std::string, coordinated_group, std::less<>> coordinators_;
  uint64_t last_range_ = 0;
  config::configuration_ptr configuration_;
  fleet::fleet_view_ptr view_;
  bool current_ = false;
  bool leaving_ = false;
  time_point next_currency_;
  // Newest report of each member of each group that reached this VM.
  std::map<std::string, std::map<std::string, wire::member_report>> reports_;
  mutable std::mutex status_mutex_;
  std::string status_json_;  // Guarded by status_mutex_.
  mutable std::atomic<time_point> status_asked_{time_point()};
  time_point next_status_;
  bool ready_ = false;                 // Guarded by status_mutex_.
  std::set<std::string> coordinated_;  // Guarded by status_mutex_.
};

}  // namespace tarragondale::runtime

#endif  // TARRAGONDALE_SRC_RUNTIME_CONTROL_DUTY_H_
