// The table of settings.
#include <arpa/inet.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>

#include "tarragondale/config/settings.h"

namespace tarragondale::config {
namespace {

using enum setting_type;

constexpr int64_t kMaxTimeoutMs = 3600000;
constexpr int64_t kMaxBytes = 67108864;

constexpr edge_kind kHttp = edge_kind::kHttp;
constexpr edge_kind kLine = edge_kind::kLine;

constexpr bool kLive = true;

constexpr std::array kTable = std::to_array<setting_info>({
    {"vm", "name", kName, &settings::vm_name, "", 0, 0,
     "Name of this VM; unique in the fleet."},
    {"vm", "availability_zone", kName, &settings::availability_zone, "", 0, 0,
     "Zone of this VM."},
    {"vm", "region", kName, &settings::region, "", 0, 0, "Region of the zone."},
    {"vm", "http_address", kAddress, &settings::http_address, "", 0, 0,
     "Where callers and operators connect.", kHttp},
    {"vm", "peer_address", kAddress, &settings::peer_address, "", 0, 0,
     "Where other VMs connect."},
    {"vm", "memory_mb", kInteger, &settings::memory_mb, "MB", 1, 1048576,
     "Memory of this VM. Larger VMs relay for smaller ones.", kLine},
    {"store", "endpoints", kAddressList, &settings::store_endpoints, "", 0, 0,
     "Addresses of the key-value service, tried in order.", std::nullopt,
     kLive},
    {"store", "region", kName, &settings::store_region, "", 0, 0,
     "Region of the key-value service; a VM that reaches no VM there and no "
     "store is cut off.",
     kHttp},
    {"store", "timeout_ms", kInteger, &settings::store_timeout_ms, "ms", 10,
     60000, "Time limit of one call to the key-value service."},
    {"vm_list", "url", kUrl, &settings::vm_list_url, "", 0, 0,
     "The platform's list of VMs.", kHttp},
    {"limits", "body_bytes", kInteger, &settings::body_bytes, "bytes", 1024,
     kMaxBytes, "Largest body of a request."},
    {"limits", "header_bytes", kInteger, &settings::header_bytes, "bytes", 1024,
     1048576, "Largest total size of a request's headers."},
    {"limits", "header_timeout_ms", kInteger, &settings::header_timeout_ms,
     "ms", 100, kMaxTimeoutMs,
     "Time in which a started request must arrive completely."},
    {"limits", "idle_timeout_ms", kInteger, &settings::idle_timeout_ms, "ms",
     100, kMaxTimeoutMs,
     "A caller connection without a request is closed after this time."},
    {"limits", "caller_connections", kInteger, &settings::caller_connections,
     "", 1, 1000000, "Open caller connections of this VM."},
    {"limits", "queue_length", kInteger, &settings::queue_length, "", 1, 100000,
     "Requests of one organisation that wait at a gateway for one member."},
    {"limits", "request_timeout_ms", kInteger, &settings::request_timeout_ms,
     "ms", 10, kMaxTimeoutMs,
     "Deadline of a request that states none, and the longest it may state."},
    {"limits", "answer_bytes", kInteger, &settings::answer_bytes, "bytes", 1024,
     kMaxBytes, "Largest result of one request."},
    {"limits", "transaction_idle_ms", kInteger, &settings::transaction_idle_ms,
     "ms", 100, kMaxTimeoutMs,
     "An interactive transaction without a request is rolled back after this "
     "time."},
    {"session", "token_key", kHex32, &settings::token_key, "", 0, 0,
     "Secret that signs session tokens; the same on all VMs.", kHttp},
    {"admin", "operator_key_digest", kHex32, &settings::operator_key_digest, "",
     0, 0, "SHA-256 of the operator key.", kHttp},
    {"log", "level", kLogLevel, &settings::level, "", 0, 0,
     "Least severe level that is written.", std::nullopt, kLive},
    {"edge", "kind", kEdge, &settings::edge, "", 0, 0,
     "How callers, databases and the platform are met."},
    {"line", "caller_address", kAddress, &settings::caller_address, "", 0, 0,
     "Where callers of the line protocol connect.", kLine},
    {"line", "readiness_address", kAddress, &settings::readiness_address, "", 0,
     0, "Where the balancer asks for readiness, and metrics are served.",
     kLine},
    {"line", "promotion_address", kAddress, &settings::promotion_address, "", 0,
     0, "The platform's interface that promotes database members.", kLine,
     kLive},
    {"line", "seed_peers", kAddressList, &settings::seed_peers, "", 0, 0,
     "Peer addresses of some VMs, asked while the store gives none.", kLine,
     kLive},
    {"line", "zones", kZoneList, &settings::zones, "", 0, 0,
     "All availability zones with their regions.", kLine, kLive},
    {"line", "leaving_ms", kInteger, &settings::leaving_ms, "ms", 1000, 600000,
     "A database member that leaves gets no new work after this time.", kLine,
     kLive},
    {"line", "grace_ms", kInteger, &settings::grace_ms, "ms", 1000, 600000,
     "Time from SIGTERM until the process is killed.", kLine, kLive},
    {"line", "open_files", kInteger, &settings::open_files, "", 256, 1000000,
     "Descriptors that the process may use.", kLine, kLive},
    {"line", "member_capacity", kCapacitySource, &settings::member_capacity, "",
     0, 0,
     "How the load that a database member takes well is found out: from its "
     "busy answers, or also from its response times.",
     kLine},
    {"line", "caller_memory_percent", kInteger,
     &settings::caller_memory_percent, "%", 1, 90,
     "Share of vm.memory_mb for what is held for callers. When it is used up, "
     "the session that holds most is ended.",
     kLine, kLive},
    {"line", "waiting_statements", kInteger, &settings::waiting_statements, "",
     1, 255,
     "A session with so many unanswered statements is not read until one is "
     "answered.",
     kLine, kLive},
    {"line", "waiting_bytes", kInteger, &settings::waiting_bytes, "bytes", 1024,
     kMaxBytes, "The same for the size of a session's unanswered statements.",
     kLine, kLive},
    {"line", "unsent_bytes", kInteger, &settings::unsent_bytes, "bytes", 1024,
     kMaxBytes,
     "A caller with so many unread bytes of answers is not read until it has "
     "read some.",
     kLine, kLive},
    {"line", "line_timeout_ms", kInteger, &settings::line_timeout_ms, "ms", 100,
     kMaxTimeoutMs, "Time in which a line that has begun must be complete.",
     kLine, kLive},
    {"line", "answer_timeout_ms", kInteger, &settings::answer_timeout_ms, "ms",
     100, kMaxTimeoutMs,
     "Time in which a caller must read an answer that waits for it.", kLine,
     kLive},
});

constexpr std::array<std::string_view, 2> kEdges = {"http", "line"};
constexpr std::array<std::string_view, 2> kCapacitySources = {"reported",
                                                              "learned"};
constexpr std::array<std::string_view, 4> kLevels = {"debug", "info", "warning",
                                                     "error"};

}  // namespace

std::span<const setting_info> SettingsTable() {
  return kTable;
}

std::string AllowedText(const setting_info& row) {
  switch (row.type) {
    case kName:
      return "1 to 63 characters of a-z, 0-9 and -";
    case kAddress:
      return "IP:port";
    case kAddressList:
      return "IP:port, separated by commas";
    case kUrl:
      return "http://IP:port/path";
    case kHex32:
      return "64 hexadecimal digits";
    case kLogLevel:
      return fmt::format("{}", fmt::join(kLevels, ", "));
    case kEdge:
      return fmt::format("{}", fmt::join(kEdges, ", "));
    case kZoneList:
      return "zone:region, separated by commas";
    case kCapacitySource:
      return fmt::format("{}", fmt::join(kCapacitySources, ", "));
    case kInteger:
      break;
  }
  return fmt::format("{} to {}{}{}", row.minimum, row.maximum,
                     row.unit.empty() ? "" : " ", row.unit);
}

std::string DefaultText(const setting_info& row) {
  const settings defaults;
  if (const auto* number = std::get_if<int64_t settings::*>(&row.member)) {
    return fmt::to_string(defaults.**number);
  }
  if (const auto* level = std::get_if<log_level settings::*>(&row.member)) {
    return std::string(kLevels[static_cast<size_t>(defaults.**level)]);
  }
  if (const auto* edge = std::get_if<edge_kind settings::*>(&row.member)) {
    return std::string(EdgeName(defaults.**edge));
  }
  if (const auto* source =
          std::get_if<capacity_source settings::*>(&row.member)) {
    return std::string(
        kCapacitySources[static_cast<size_t>(defaults.**source)]);
  }
  return "";
}

std::string_view EdgeName(edge_kind edge) {
  return kEdges[static_cast<size_t>(edge)];
}

std::string RequirementText(const setting_info& row) {
  return row.edge ? fmt::format("required by the edge {}", EdgeName(*row.edge))
                  : "required";
}

std::vector<const setting_info*> ChangedSettings(const settings& before,
                                                 const settings& after) {
  std::vector<const setting_info*> changed;
  for (const setting_info& row : kTable) {
    const bool same = std::visit(
        [&](const auto member) { return before.*member == after.*member; },
        row.member);
    if (!same) {
      changed.push_back(&row);
    }
  }
  return changed;
}

void CopySetting(const setting_info& row, const settings& from, settings& to) {
  std::visit([&](const auto member) { to.*member = from.*member; }, row.member);
}

bool IsAddress(std::string_view text) {
  const auto parts = SplitAddress(text);
  if (!parts || parts->port == 0) {
    return false;
  }
  std::array<unsigned char, sizeof(in6_addr)> bytes{};
  const int family = text.front() == '[' ? AF_INET6 : AF_INET;
  return inet_pton(family, parts->host.c_str(), bytes.data()) == 1;
}

result<http_url> ParseHttpUrl(std::string_view text) {
  constexpr std::string_view kScheme = "http://";
  if (text.starts_with(kScheme)) {
    const std::string_view rest = text.substr(kScheme.size());
    const size_t slash = rest.find('/');
    const std::string_view address = rest.substr(0, slash);
    const std::string_view path =
        slash == std::string_view::npos ? "/" : rest.substr(slash);
    // A space or control character would end the request line early.
    const bool printable = std::all_of(
        path.begin(), path.end(), [](char c) { return c > ' ' && c < '\x7F'; });
    if (IsAddress(address) && printable) {
      return http_url{std::string(address), std::string(path)};
    }
  }
  return failure{result_code::kSettingInvalid,
                 fmt::format("{:?} is not http://IP:port/path", text)};
}

}  // namespace tarragondale::config
