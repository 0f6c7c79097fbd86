// JSON of the list of VMs and of their status.
#include "src/ctl/vms.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

namespace tarragondale::ctl {
namespace {

using nlohmann::json;

template <typename Read>
auto Decode(std::string_view text, const char* what, Read read)
    -> result<decltype(read(json()))> {
  try {
    return read(json::parse(text));
  } catch (const json::exception& error) {
    return failure{result_code::kInvalidField,
                   fmt::format("{}: {}", what, error.what())};
  }
}

std::string MemberText(const json& member) {
  const std::string age = member.contains("age_ms")
                              ? fmt::format(" {} ms", member["age_ms"].dump())
                              : "";
  return fmt::format("{} {} {}{}{}", member.at("member").get<std::string>(),
                     member.value("role", "unknown"),
                     member.value("position", int64_t{0}), age,
                     member.value("reachable", true) ? "" : " unreachable");
}

vm_status::group_status ReadGroup(const json& value) {
  vm_status::group_status group;
  group.group = value.at("group").get<std::string>();
  group.primary = value.value("primary", "");
  group.term = value.value("term", int64_t{0});
  for (const json& member : value.value("members", json::array())) {
    group.text += (group.text.empty() ? "" : ", ") + MemberText(member);
  }
  return group;
}

}  // namespace

result<std::vector<listed_vm>> DecodeVmList(std::string_view text) {
  return Decode(text, "list of VMs", [](const json& value) {
    std::vector<listed_vm> vms;
    for (const json& vm : value) {
      vms.push_back({vm.at("name").get<std::string>(),
                     vm.at("http_address").get<std::string>(),
                     vm.at("state").get<std::string>() == "leaving"});
    }
    return vms;
  });
}

result<vm_status> DecodeStatus(std::string_view text) {
  return Decode(text, "status", [](const json& value) {
    vm_status decoded;
    decoded.name = value.at("name").get<std::string>();
    decoded.state = value.at("state").get<std::string>();
    decoded.configuration_version =
        value.at("configuration_version").get<int64_t>();
    decoded.availability_zone = value.value("availability_zone", "");
    for (const json& group : value.value("groups", json::array())) {
      decoded.groups.push_back(ReadGroup(group));
    }
    return decoded;
  });
}

std::string StatusLine(const vm_status& status) {
  std::string line =
      fmt::format("{} {} {} version {}", status.name, status.state,
                  status.availability_zone, status.configuration_version);
  for (const auto& group : status.groups) {
    line += fmt::format("; {}: primary {} term {} ({})", group.group,
                        group.primary.empty() ? "none" : group.primary,
                        group.term, group.text);
  }
  return line;
}

}  // namespace tarragondale::ctl
