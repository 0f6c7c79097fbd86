// Starts and operates the parts of a deployment.
#include "src/measure/cluster.h"

#include <fmt/format.h>

#include <algorithm>
#include <thread>

#include "tarragondale/store.h"

namespace tarragondale::measure {
namespace {

using nlohmann::json;

constexpr auto kDeployments = std::to_array<deployment>({
    {"lin-shun-fa",
     {{{"taoyuan", "north-tw"},
       {"hsinchu", "north-tw"},
       {"kaohsiung", "south-tw"}}},
     2,
     16,
     milliseconds(1),
     milliseconds(8)},
    {"blue-mahoe",
     {{{"kgn-a", "kingston"},
       {"kgn-b", "kingston"},
       {"mobay-a", "montego-bay"}}},
     5,
     60,
     milliseconds(1),
     milliseconds(8)},
});

constexpr std::array<std::string_view, 3> kSuffixes = {"a", "b", "c"};
constexpr int kOrganisations = 8;
// Far above the offered load, so that admission never limits a run.
constexpr double kOrganisationRate = 20'000;
constexpr size_t kSecretBytes = 32;
constexpr milliseconds kCallLimit{2000};
constexpr milliseconds kReadyLimit{20'000};
constexpr milliseconds kPollInterval{20};
constexpr unsigned kHttpOk = 200;
constexpr unsigned kHttpRedirect = 300;
constexpr char kSchema[] =
    "CREATE TABLE orders(id TEXT NOT NULL, item TEXT NOT NULL);"
    "CREATE TABLE counters(id TEXT PRIMARY KEY, value INTEGER NOT NULL)";

std::string GroupName(int group) {
  return fmt::format("g{}", group);
}

std::string MemberName(int group, size_t member) {
  return fmt::format("g{}-{}", group, kSuffixes[member]);
}

int64_t Number(const json& cell) {
  return cell.is_string() ? std::stoll(cell.get<std::string>())
                          : cell.get<int64_t>();
}

template <typename Done>
bool WaitFor(milliseconds limit, Done done) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!done()) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

}  // namespace

const deployment* FindDeployment(std::string_view name) {
  const auto* const found =
      std::find_if(kDeployments.begin(), kDeployments.end(),
                   [&](const deployment& each) { return each.name == name; });
  return found == kDeployments.end() ? nullptr : found;
}

result<std::unique_ptr<cluster>> cluster::Start(
    const cluster_options& options) {
  std::unique_ptr<cluster> made(new cluster());
  made->sizes_ = options.sizes;
  made->operator_key_ = HexEncode(RandomBytes(kSecretBytes));
  for (const auto& step :
       {made->StartParts(options), made->StartDaemons(),
        made->WriteConfiguration(options), made->WaitReady(options.groups)}) {
    if (step) {
      return *step;
    }
  }
  for (int group = 0; group < options.groups; ++group) {
    made->SetReplicationDelays(group);
  }
  return made;
}

status cluster::StartParts(const cluster_options& options) {
  standin::server_options parts;
  parts.store_port = 0;
  parts.vm_list_port = 0;
  for (int group = 0; group < options.groups; ++group) {
    standin::group_options made;
    made.name = GroupName(group);
    made.limits.slots = sizes_->slots;
    made.limits.connections = sizes_->connections;
    made.initial_sql = kSchema;
    for (size_t member = 0; member < kSuffixes.size(); ++member) {
      made.members.push_back({MemberName(group, member)});
    }
    parts.groups.push_back(std::move(made));
  }
  auto started = standin::server::Start(parts);
  if (!started) {
    return started.error();
  }
  parts_ = std::move(*started);
  Control("POST", "/v1/parts/store/slow",
          {{"delay_ms", sizes_->zone_delay.count()}});
  return {};
}

status cluster::StartDaemons() {
  const std::string token_key = RandomBytes(kSecretBytes);
  json vms = json::array();
  for (int i = 0; i < kDaemons; ++i) {
    const zone& place = sizes_->zones[static_cast<size_t>(i) % 3];
    config::settings settings;
    settings.vm_name = fmt::format("vm-{}", i + 1);
    settings.availability_zone = place.name;
    settings.region = place.region;
    settings.http_address = "127.0.0.1:0";
    settings.peer_address = "127.0.0.1:0";
    settings.store_endpoints = {parts_->Address("store")};
    settings.store_region = sizes_->zones[0].region;
    settings.vm_list_url = "http://" + parts_->Address("vm_list") + "/v1/vms";
    settings.token_key = token_key;
    settings.operator_key_digest = Sha256(operator_key_);
    auto started = runtime::daemon::Start(settings);
    if (!started) {
      return started.error();
    }
    daemons_.push_back(std::move(*started));
    vms.push_back({{"name", settings.vm_name},
                   {"http_address",
                    fmt::format("127.0.0.1:{}", daemons_.back()->http_port())},
                   {"peer_address",
                    fmt::format("127.0.0.1:{}", daemons_.back()->peer_port())},
                   {"availability_zone", place.name},
                   {"region", place.region},
                   {"state", "live"}});
  }
  Control("POST", "/v1/vms", {{"vms", std::move(vms)}});
  return {};
}

status cluster::WriteConfiguration(const cluster_options& options) {
  store::edit_change change;
  std::map<std::string, config::organisation_limit, std::less<>> limits;
  for (int i = 0; i < kOrganisations; ++i) {
    const std::string name = fmt::format("organisation-{}", i + 1);
    auto granted = config::GrantKey(name);
    if (!granted) {
      return granted.error();
    }
    change.keys.push_back(granted->record);
    keys_.push_back(granted->bearer);
    limits[name] = {kOrganisationRate, kOrganisationRate};
  }
  for (int group = 0; group < options.groups; ++group) {
    config::pool_row pool;
    pool.name = pool.group = pool.database = GroupName(group);
    pool.slots = sizes_->slots;
    pool.connections = sizes_->connections;
    pool.acknowledge = options.acknowledge;
    for (size_t member = 0; member < kSuffixes.size(); ++member) {
      const zone& place = sizes_->zones[member];
      const std::string name = MemberName(group, member);
      pool.members.push_back({name, parts_->Address(name),
                              std::string(place.name),
                              std::string(place.region), false});
    }
    change.pools.push_back(std::move(pool));
    config::route_row route;
    route.name = route.pool = GroupName(group);
    route.allows_writes = true;
    route.organisations = limits;
    change.routes.push_back(std::move(route));
  }
  store::client client({{parts_->Address("store")}, kCallLimit});
  store::configuration_store rows(client);
  const auto edited = rows.Edit(change, "measure");
  return edited ? status() : edited.error();
}

bool cluster::IsReady(int daemon, int groups) {
  const auto reply =
      store::CallHttp(fmt::format("127.0.0.1:{}", http_port(daemon)), "GET",
                      "/v1/admin/status", operator_key_, "", kCallLimit);
  if (!reply || reply->status != kHttpOk) {
    return false;
  }
  const json body = json::parse(reply->body, nullptr, false);
  const auto alive = [](const json& vm) { return vm["state"] == "alive"; };
  const auto complete = [](const json& group) {
    const json& members = group["members"];
    return !group["primary"].get<std::string>().empty() &&
           members.size() == kSuffixes.size() &&
           std::all_of(members.begin(), members.end(), [](const json& each) {
             return each["reachable"] == true;
           });
  };
  return body["configuration_version"] != 0 && body["vms"].size() == kDaemons &&
         std::all_of(body["vms"].begin(), body["vms"].end(), alive) &&
         body["groups"].size() == static_cast<size_t>(groups) &&
         std::all_of(body["groups"].begin(), body["groups"].end(), complete);
}

status cluster::WaitReady(int groups) {
  for (int i = 0; i < kDaemons; ++i) {
    if (!WaitFor(kReadyLimit, [&] { return IsReady(i, groups); })) {
      return failure{result_code::kInternal,
                     fmt::format("vm-{} is not ready", i + 1)};
    }
  }
  return {};
}

json cluster::Control(std::string_view method,
                      const std::string& path,
                      const json& body) {
  const auto answer = parts_->Control(
      method, path, body.is_null() ? std::string() : body.dump());
  return json::parse(answer.body, nullptr, false);
}

std::vector<member_state> cluster::Members(int group) {
  std::vector<member_state> members;
  for (size_t i = 0; i < kSuffixes.size(); ++i) {
    const std::string name = MemberName(group, i);
    // The row is that of tarragondale_status(): member, role, term,
    // promised_term, promised_coordinator, last_term, position, ...
    const json row = Control("GET", "/v1/parts/" + name + "/status")["rows"][0];
    members.push_back(
        {name, row[1] == "primary", Number(row[2]), Number(row[6])});
  }
  return members;
}

member_state cluster::Primary(int group) {
  member_state best;
  for (const member_state& each : Members(group)) {
    if (each.primary && each.term > best.term) {
      best = each;
    }
  }
  return best;
}

bool cluster::WaitSettled(int group, milliseconds limit) {
  return WaitFor(limit, [&] {
    const auto members = Members(group);
    return std::count_if(members.begin(), members.end(),
                         [](const auto& each) { return each.primary; }) == 1 &&
           std::all_of(members.begin(), members.end(), [&](const auto& each) {
             return each.term == members[0].term &&
                    each.position == members[0].position;
           });
  });
}

void cluster::SetReplicationDelays(int group) {
  const auto members = Members(group);
  const auto primary =
      std::find_if(members.begin(), members.end(),
                   [](const auto& each) { return each.primary; });
  if (primary == members.end()) {
    return;
  }
  const zone& from =
      sizes_->zones[static_cast<size_t>(primary - members.begin())];
  for (size_t i = 0; i < members.size(); ++i) {
    const bool near = sizes_->zones[i].region == from.region;
    const milliseconds delay = near ? sizes_->zone_delay : sizes_->region_delay;
    Control("POST", "/v1/parts/" + members[i].name + "/settings",
            {{"replication_delay_ms", delay.count()}});
  }
}

bool cluster::Switchover(int group, const std::string& member) {
  const json body = {{"group", GroupName(group)}, {"member", member}};
  return WaitFor(kCallLimit, [&] {
    for (int i = 0; i < kDaemons; ++i) {
      const auto reply = store::CallHttp(
          fmt::format("127.0.0.1:{}", http_port(i)), "POST",
          "/v1/admin/switchover", operator_key_, body.dump(), kCallLimit);
      if (reply && reply->status >= kHttpOk && reply->status < kHttpRedirect) {
        return true;
      }
    }
    return false;
  });
}

json cluster::Select(int group, const std::string& sql) {
  return Control("POST", "/v1/parts/" + Primary(group).name + "/select",
                 {{"sql", sql}})["rows"];
}

}  // namespace tarragondale::measure
