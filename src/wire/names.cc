// Names of message types and of the enums in messages.
#include <array>

#include "tarragondale/wire.h"

namespace tarragondale::wire {
namespace {

using namespace std::string_view_literals;

constexpr std::array kRequestKinds = {"read"sv, "write"sv};
constexpr std::array kMemberRoles = {"unknown"sv, "primary"sv, "replica"sv};
constexpr std::array kVmStates = {"joining"sv, "alive"sv, "suspect"sv,
                                  "leaving"sv, "dead"sv};
constexpr std::array kMessageTypes = {
    "execute_request"sv, "execute_answer"sv,   "cancel_request"sv,
    "group_report"sv,    "group_interest"sv,   "probe"sv,
    "probe_answer"sv,    "reach_request"sv,    "reach_answer"sv,
    "fleet_digest"sv,    "store_request"sv,    "store_changes"sv,
    "hosted_open"sv,     "hosted_statement"sv, "hosted_close"sv,
    "hosted_answer"sv,   "hosted_ended"sv,     "host_check"sv,
    "host_alive"sv,      "restricted_open"sv,  "packed_digest"sv};
static_assert(kMessageTypes.size() == std::variant_size_v<message_body>);

template <typename E, size_t N>
std::optional<E> FromName(const std::array<std::string_view, N>& names,
                          std::string_view name) {
  for (size_t i = 0; i < N; ++i) {
    if (names[i] == name) {
      return static_cast<E>(i);
    }
  }
  return std::nullopt;
}

}  // namespace

std::string_view RequestKindName(request_kind kind) {
  return kRequestKinds[static_cast<size_t>(kind)];
}

std::optional<request_kind> RequestKindFromName(std::string_view name) {
  return FromName<request_kind>(kRequestKinds, name);
}

std::string_view MemberRoleName(member_role role) {
  return kMemberRoles[static_cast<size_t>(role)];
}

std::optional<member_role> MemberRoleFromName(std::string_view name) {
  return FromName<member_role>(kMemberRoles, name);
}

std::string_view VmStateName(vm_state state) {
  return kVmStates[static_cast<size_t>(state)];
}

std::optional<vm_state> VmStateFromName(std::string_view name) {
  return FromName<vm_state>(kVmStates, name);
}

std::string_view MessageTypeName(const message_body& body) {
  return kMessageTypes[body.index()];
}

}  // namespace tarragondale::wire
