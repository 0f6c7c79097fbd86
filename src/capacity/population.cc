// Synthetic configurations and fleets.
#include "src/capacity/population.h"

#include <fmt/format.h>

#include <algorithm>

namespace tarragondale::capacity {
namespace {

constexpr int kMembers = 3;
constexpr int64_t kIncarnation = 1'790'000'000'000'000;
constexpr char kSalt[] = "0123456789abcdef";

std::string Zone(int index) {
  return fmt::format("zone-{}", index % kZones);
}

std::string Region(int index) {
  return fmt::format("region-{}", index % kZones % kRegions);
}

std::string KeyId(int organisation, int key) {
  return fmt::format("{:015x}{}", organisation, key);
}

config::pool_row MakePool(int index) {
  config::pool_row pool;
  pool.name = GroupName(index);
  pool.group = GroupName(index);
  pool.database = "orders";
  pool.slots = 5;
  pool.connections = 60;
  for (int member = 0; member < kMembers; ++member) {
    const int place = index * kMembers + member;
    pool.members.push_back({fmt::format("m{}", member + 1),
                            fmt::format("10.{}.{}.{}:5432", 64 + place / 65'536,
                                        place / 256 % 256, place % 256),
                            Zone(place), Region(place), false});
  }
  pool.version = 1;
  return pool;
}

}  // namespace

std::string VmName(int index) {
  return fmt::format("vm-{:05}", index);
}

std::string RouteName(int index) {
  return fmt::format("orders-eu-{:05}", index);
}

std::string GroupName(int index) {
  return fmt::format("orders-{:05}", index);
}

std::string OrganisationName(int index) {
  return fmt::format("organisation-{:05}", index);
}

std::string BearerOf(int organisation) {
  return KeyId(organisation, 0) + "." + kSecret;
}

configuration_size SizeFor(int vms) {
  configuration_size size;
  size.groups = std::max(2, size.groups * vms / kTargetVms);
  size.organisations = std::max(1, size.organisations * vms / kTargetVms);
  return size;
}

config::configuration MakeConfiguration(const configuration_size& size) {
  config::configuration made;
  made.version = 1;
  for (int i = 0; i < size.groups; ++i) {
    config::pool_row pool = MakePool(i);
    config::route_row route;
    route.name = RouteName(i);
    route.pool = pool.name;
    route.allows_writes = true;
    route.version = 1;
    made.pools.emplace(pool.name, std::move(pool));
    made.routes.emplace(route.name, std::move(route));
  }
  const std::string digest = HexEncode(Sha256(kSalt + std::string(kSecret)));
  for (int i = 0; i < size.organisations; ++i) {
    const std::string name = OrganisationName(i);
    for (int j = 0; j < size.routes_per_organisation; ++j) {
      const int route = (i * size.routes_per_organisation + j) % size.groups;
      made.routes.at(RouteName(route)).organisations[name] = {9'400, 18'800};
    }
    for (int j = 0; j < size.keys_per_organisation; ++j) {
      config::key_record key{KeyId(i, j), name, HexEncode(kSalt), digest, 1};
      made.keys.emplace(key.id, key);
    }
  }
  return made;
}

wire::vm_record MakeVm(int index) {
  return {VmName(index),
          fmt::format("10.0.{}.{}:7400", index / 256, index % 256),
          fmt::format("10.0.{}.{}:8080", index / 256, index % 256),
          Zone(index),
          Region(index),
          kIncarnation,
          wire::vm_state::kAlive,
          1};
}

fleet::fleet_view_ptr MakeView(int vms) {
  auto view = std::make_shared<fleet::fleet_view>();
  view->self = VmName(0);
  for (int i = 0; i < vms; ++i) {
    view->vms.push_back(MakeVm(i));
  }
  return view;
}

wire::member_report MakeReport(int member) {
  constexpr int64_t kPosition = 1'000'000'000;
  return {.member = fmt::format("m{}", member + 1),
          .reachable = true,
          .role = member == 0 ? wire::member_role::kPrimary
                              : wire::member_role::kReplica,
          .term = 12,
          .promised_term = 12,
          .last_term = 12,
          .position = kPosition,
          .term_start = kPosition / 2,
          .age_ms = member == 0 ? 0 : 8,
          .queue_length = 3,
          .service_time_us = 900};
}

}  // namespace tarragondale::capacity
