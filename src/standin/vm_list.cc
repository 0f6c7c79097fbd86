// Serves GET /v1/vms.
#include "src/standin/vm_list.h"

namespace tarragondale::standin {
namespace {

using json = nlohmann::json;

constexpr int kNotFound = 404;

std::optional<std::string> CheckVm(const json& vm) {
  if (!vm.is_object()) {
    return "a VM is not an object";
  }
  for (const char* const name : {"name", "http_address", "peer_address",
                                 "availability_zone", "region", "state"}) {
    if (!vm.contains(name) || !vm[name].is_string()) {
      return std::string("a VM has no text ") + name;
    }
  }
  if (vm["state"] != "live" && vm["state"] != "leaving") {
    return "the state of a VM is neither live nor leaving";
  }
  return std::nullopt;
}

}  // namespace

vm_list::vm_list(reactor& loop, const std::string& host)
    : http_(loop, host, [this](const http_request& request) {
        return Handle(request);
      }) {
  versions_.push_back({time_point::min(), json::array()});
}

std::optional<std::string> vm_list::Replace(const json& vms) {
  if (!vms.is_array()) {
    return "the list of VMs is not an array";
  }
  for (const json& vm : vms) {
    if (auto problem = CheckVm(vm)) {
      return problem;
    }
  }
  versions_.push_back({std::chrono::steady_clock::now(), vms});
  return std::nullopt;
}

http_answer vm_list::Handle(const http_request& request) {
  if (request.method != "GET" || request.path != "/v1/vms") {
    return {kNotFound, R"({"error":"not found"})"};
  }
  const time_point shown = std::chrono::steady_clock::now() - lag_;
  while (versions_.size() > 1 && versions_[1].time <= shown) {
    versions_.pop_front();
  }
  return {200, versions_.front().vms.dump()};
}

}  // namespace tarragondale::standin
