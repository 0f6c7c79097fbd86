// The platform's list of VMs, which lags behind its changes.
#ifndef SRC_STANDIN_VM_LIST_H_
#define SRC_STANDIN_VM_LIST_H_

#include <deque>
#include <nlohmann/json.hpp>
#include <string>

#include "src/standin/http_service.h"

namespace tarragondale::standin {

class vm_list {
 public:
  vm_list(reactor& loop, const std::string& host);

  http_service& http() { return http_; }
  endpoint& listener() { return http_.listener(); }

  /// @brief Replaces the list; callers see it after the lag. Returns the
  /// reason if an entry is malformed.
  std::optional<std::string> Replace(const nlohmann::json& vms);
  void set_lag(milliseconds lag) { lag_ = lag; }
  milliseconds lag() const { return lag_; }
  const nlohmann::json& latest() const { return versions_.back().vms; }

 private:
  struct version {
    time_point time;
    nlohmann::json vms;
  };

  http_answer Handle(const http_request& request);

  std::deque<version> versions_;  ///< Never empty; ordered by time.
  milliseconds lag_{0};
  http_service http_;
};

}  // namespace tarragondale::standin

#endif  // SRC_STANDIN_VM_LIST_H_
