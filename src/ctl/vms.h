// Calls to the admin interface of VMs and to the list of VMs.
#ifndef TARRAGONDALE_SRC_CTL_VMS_H_
#define TARRAGONDALE_SRC_CTL_VMS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "tarragondale/base.h"

namespace tarragondale::ctl {

/// @brief Entry of the list of VMs.
struct listed_vm {
  std::string name;
  std::string http_address;
  bool leaving = false;
};

/// @brief Decodes `[{"name", "http_address", "state", ...}]`; the state is
/// `live` or `leaving`. Failure: `invalid_field`.
result<std::vector<listed_vm>> DecodeVmList(std::string_view json);

/// @brief What `GET /v1/admin/status` says; see docs/ctl.md.
struct vm_status {
  struct group_status {
    std::string group;
    std::string primary;
    int64_t term = 0;
    std::string text;  ///< Members in one line.
  };
  std::string name;
  std::string state;
  int64_t configuration_version = 0;
  std::string availability_zone;
  std::vector<group_status> groups;
};

/// @brief Decodes a status. Unknown fields are ignored, so that the tool reads
/// newer VMs. Failure: `invalid_field`.
result<vm_status> DecodeStatus(std::string_view json);

/// @brief One line for operators.
std::string StatusLine(const vm_status& status);

}  // namespace tarragondale::ctl

#endif  // TARRAGONDALE_SRC_CTL_VMS_H_
