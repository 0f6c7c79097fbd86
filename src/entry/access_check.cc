// Checks of key and route against the current configuration.
#include "src/entry/access_check.h"

namespace tarragondale::entry {
namespace {

failure Forbidden() {
  return {result_code::kRouteForbidden,
          "the key's organisation may not use this route"};
}

result<const config::route_row*> FindRoute(
    const config::configuration& configuration,
    std::string_view name) {
  const auto route = configuration.routes.find(name);
  if (route == configuration.routes.end()) {
    return failure{result_code::kRouteUnknown, "no route has this name"};
  }
  return &route->second;
}

failure Stale() {
  return {result_code::kConfigurationStale,
          "this VM can't tell whether its keys are current"};
}

}  // namespace

result<access_grant> CheckAccess(const config::configuration& configuration,
                                 bool current,
                                 std::string_view route,
                                 const std::optional<std::string>& bearer) {
  const result<const config::route_row*> row = FindRoute(configuration, route);
  if (!row) {
    return row.error();
  }
  access_grant grant;
  grant.route = route;
  if ((*row)->open) {
    grant.open = true;
    return grant;
  }
  if (!current) {
    return Stale();
  }
  const result<const config::key_record*> key =
      config::VerifyBearer(configuration, bearer);
  if (!key) {
    return key.error();
  }
  grant.organisation = (*key)->organisation;
  grant.key_id = (*key)->id;
  grant.key_digest = (*key)->digest;
  if (!(*row)->organisations.contains(grant.organisation)) {
    return Forbidden();
  }
  return grant;
}

status CheckKind(const config::route_row& route, wire::request_kind kind) {
  const bool allowed = kind == wire::request_kind::kRead ? route.allows_reads
                                                         : route.allows_writes;
  if (allowed) {
    return std::nullopt;
  }
  return failure{result_code::kKindForbidden,
                 "the route takes no requests of kind " +
                     std::string(wire::RequestKindName(kind))};
}

status RecheckAccess(const config::configuration& configuration,
                     bool current,
                     const access_grant& grant) {
  const result<const config::route_row*> row =
      FindRoute(configuration, grant.route);
  if (!row) {
    return row.error();
  }
  if (grant.open) {
    // An open route that became keyed no longer serves requests without key.
    return (*row)->open ? status() : status(Forbidden());
  }
  if (!current) {
    return Stale();
  }
  const auto key = configuration.keys.find(grant.key_id);
  if (key == configuration.keys.end() ||
      key->second.organisation != grant.organisation ||
      key->second.digest != grant.key_digest) {
    return failure{result_code::kKeyInvalid, "the key was withdrawn"};
  }
  if (!(*row)->open && !(*row)->organisations.contains(grant.organisation)) {
    return Forbidden();
  }
  return std::nullopt;
}

}  // namespace tarragondale::entry
