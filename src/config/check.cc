// Checks a whole configuration for contradictions.
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <set>

#include "tarragondale/config.h"

namespace tarragondale::config {
namespace {

constexpr size_t kNameLength = 63;
// Connections kept for status, fencing and coordination by other VMs.
constexpr int kReservedConnections = 2;
constexpr size_t kSaltDigits = 32;
constexpr size_t kDigestDigits = 64;

constexpr std::string_view kNameRule = "1 to 63 characters of a-z, 0-9 and -";

// PostgreSQL database names of organisations often contain underscores.
bool IsDatabaseName(std::string_view text) {
  std::string plain(text);
  std::replace(plain.begin(), plain.end(), '_', '-');
  return IsName(plain);
}

class checker {
 public:
  explicit checker(const configuration& value) : value_(value) {}

  std::vector<failure> Run() {
    for (const auto& [name, route] : value_.routes) {
      place_ = fmt::format("routes/{}", name);
      CheckIdentity(name, route.name);
      CheckRoute(route);
    }
    for (const auto& [name, pool] : value_.pools) {
      place_ = fmt::format("pools/{}", name);
      CheckIdentity(name, pool.name);
      CheckPool(pool);
    }
    for (const auto& [id, key] : value_.keys) {
      place_ = fmt::format("keys/{}", id);
      CheckIdentity(id, key.id);
      CheckKey(key);
    }
    return std::move(failures_);
  }

 private:
  template <typename... Args>
  void Fail(fmt::format_string<Args...> format, Args&&... args) {
    failures_.push_back(
        {result_code::kTableInvalid,
         fmt::format("{}: {}", place_,
                     fmt::format(format, std::forward<Args>(args)...))});
  }

  void CheckName(std::string_view field, std::string_view text) {
    if (!IsName(text)) {
      Fail("{}: {:?} is not {}", field, text, kNameRule);
    }
  }

  void CheckIdentity(std::string_view row, std::string_view name) {
    CheckName("name", name);
    if (row != name) {
      Fail("name: {:?} differs from the row's name", name);
    }
  }

  void CheckRoute(const route_row& route) {
    if (!value_.pools.contains(route.pool)) {
      Fail("pool: no pool {:?}", route.pool);
    }
    if (!route.allows_reads && !route.allows_writes) {
      Fail("kinds: must contain read or write");
    }
    if (route.organisations.empty() && !route.open) {
      Fail("organisations: must not be empty unless the route is open");
    }
    if (!route.organisations.empty() && route.open) {
      Fail("organisations: must be empty on an open route, which needs no key");
    }
    for (const auto& [name, limit] : route.organisations) {
      CheckLimit(route, name, limit);
    }
  }

  void CheckLimit(const route_row& route,
                  const std::string& name,
                  const organisation_limit& limit) {
    CheckName("organisations", name);
    if (!std::isfinite(limit.rate) || limit.rate <= 0) {
      Fail("organisations.{}.rate: {} is not above 0", name, limit.rate);
    }
    if (!std::isfinite(limit.burst) || limit.burst < 1) {
      Fail("organisations.{}.burst: {} is less than 1", name, limit.burst);
    }
    const auto [first, inserted] = limits_.try_emplace(name, &route, limit);
    if (!inserted && !(first->second.second == limit)) {
      const auto& [other, expected] = first->second;
      Fail(
          "organisations.{}: rate {} and burst {} differ from {} and {} in "
          "routes/{}",
          name, limit.rate, limit.burst, expected.rate, expected.burst,
          other->name);
    }
  }

  void CheckPool(const pool_row& pool) {
    CheckName("group", pool.group);
    if (!IsDatabaseName(pool.database)) {
      Fail("database: {:?} is not 1 to 63 characters of a-z, 0-9, - and _",
           pool.database);
    }
    CheckSizes(pool);
    CheckMembers(pool);
    const auto [first, inserted] = groups_.try_emplace(pool.group, &pool);
    if (!inserted) {
      CheckSameGroup(pool, *first->second);
    }
  }

  void CheckSizes(const pool_row& pool) {
    if (pool.slots < 1) {
      Fail("slots: {} is less than 1", pool.slots);
    }
    if (pool.slots > pool.connections) {
      Fail("slots: {} is above connections, {}", pool.slots, pool.connections);
    }
    if (GatewayConnections(pool.connections) < 1) {
      Fail("connections: {} leave a gateway none: half of connections less {}",
           pool.connections, kReservedConnections);
    }
  }

  void CheckMembers(const pool_row& pool) {
    if (pool.members.empty()) {
      Fail("members: must not be empty");
    }
    std::set<std::string_view> names;
    std::set<std::string_view> addresses;
    for (const member_row& member : pool.members) {
      CheckName("members", member.name);
      CheckName(fmt::format("members.{}.availability_zone", member.name),
                member.availability_zone);
      CheckName(fmt::format("members.{}.region", member.name), member.region);
      if (!names.insert(member.name).second) {
        Fail("members: {:?} stands twice", member.name);
      }
      if (!IsAddress(member.address)) {
        Fail("members.{}.address: {:?} is not IP:port", member.name,
             member.address);
      } else if (!addresses.insert(member.address).second) {
        Fail("members.{}.address: {} stands twice", member.name,
             member.address);
      } else {
        CheckAddressOwner(pool, member);
      }
    }
  }

  // A database in two groups would be fenced by two coordinators and receive
  // the connections of two gateways.
  void CheckAddressOwner(const pool_row& pool, const member_row& member) {
    const auto [owner, inserted] =
        addresses_.try_emplace(member.address, pool.group);
    if (!inserted && owner->second != pool.group) {
      Fail("members.{}.address: {} belongs to group {}", member.name,
           member.address, owner->second);
    }
  }

  // One gateway serves a member for all pools of its group, so the pools must
  // agree on members and on the limits of each member.
  void CheckSameGroup(const pool_row& pool, const pool_row& other) {
    auto own = pool.members;
    auto others = other.members;
    const auto by_name = [](const member_row& a, const member_row& b) {
      return a.name < b.name;
    };
    std::sort(own.begin(), own.end(), by_name);
    std::sort(others.begin(), others.end(), by_name);
    if (own != others) {
      Fail("members: differ from pools/{}, which has the same group",
           other.name);
    }
    if (pool.slots != other.slots || pool.connections != other.connections) {
      Fail("slots, connections: differ from pools/{}, which has the same group",
           other.name);
    }
  }

  void CheckKey(const key_record& key) {
    CheckName("organisation", key.organisation);
    if (key.salt.size() != kSaltDigits || !HexDecode(key.salt)) {
      Fail("salt: must be {} hexadecimal digits", kSaltDigits);
    }
    if (key.digest.size() != kDigestDigits || !HexDecode(key.digest)) {
      Fail("digest: must be {} hexadecimal digits", kDigestDigits);
    }
  }

  const configuration& value_;
  std::string place_;
  std::vector<failure> failures_;
  std::map<std::string, std::pair<const route_row*, organisation_limit>>
      limits_;
  std::map<std::string, const pool_row*> groups_;
  std::map<std::string, std::string> addresses_;
};

void WarnOfPool(const pool_row& pool, std::vector<std::string>& warnings) {
  const size_t count = pool.members.size();
  if (count == 1) {
    warnings.push_back(
        fmt::format("pools/{}: one member; there is no failover", pool.name));
  } else if (count % 2 == 0 && count > 0) {
    warnings.push_back(
        fmt::format("pools/{}: {} members tolerate no more failures than {}",
                    pool.name, count, count - 1));
  }
  if (count > 0 &&
      std::all_of(pool.members.begin(), pool.members.end(),
                  [](const member_row& member) { return member.leaving; })) {
    warnings.push_back(
        fmt::format("pools/{}: all members are leaving", pool.name));
  }
  const int share = GatewayConnections(pool.connections);
  if (share < pool.slots) {
    warnings.push_back(fmt::format(
        "pools/{}: a gateway may open {} connections, fewer than the {} slots",
        pool.name, share, pool.slots));
  }
  if (pool.acknowledge == acknowledge_mode::kPrimary) {
    warnings.push_back(fmt::format(
        "pools/{}: acknowledge primary: a failover may lose answered writes",
        pool.name));
  }
}

}  // namespace

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kNameLength &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
         });
}

int GatewayConnections(int connections) {
  return std::max(0, (connections - kReservedConnections) / 2);
}

std::vector<failure> CheckConfiguration(const configuration& value) {
  return checker(value).Run();
}

std::vector<std::string> ConfigurationWarnings(const configuration& value) {
  std::vector<std::string> warnings;
  std::set<std::string, std::less<>> listed;
  for (const auto& [name, route] : value.routes) {
    for (const auto& [organisation, limit] : route.organisations) {
      listed.insert(organisation);
    }
  }
  for (const auto& [name, pool] : value.pools) {
    WarnOfPool(pool, warnings);
  }
  // Not an error: keys may be granted before the route is opened, and an
  // organisation must be removable from its last route without delay.
  for (const auto& [id, key] : value.keys) {
    if (!listed.contains(key.organisation)) {
      warnings.push_back(fmt::format("keys/{}: no route lists organisation {}",
                                     id, key.organisation));
    }
  }
  return warnings;
}

}  // namespace tarragondale::config
