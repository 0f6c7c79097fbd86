// Keeps sessions on hosts in the allowed regions of route and organisation.
#include <fmt/format.h>

#include <algorithm>

#include "tarragondale/hosting.h"

namespace tarragondale::hosting {

using interactive::region_set;
using interactive::session_id;
using interactive::transaction_state;

namespace {

const region_set& NoRegions() {
  static const region_set none;
  return none;
}

// Whether a host that keeps to `told` also keeps to `present`.
bool Covers(const region_set& told, const region_set& present) {
  return present.empty() ||
         (!told.empty() && std::includes(present.begin(), present.end(),
                                         told.begin(), told.end()));
}

}  // namespace

const region_set& forwarder::RouteRegions(const session& of) const {
  const interactive::route* const route = RouteOf(of);
  // Regions of a removed route stay in force where the session is attached.
  return route == nullptr ? of.route_regions : route->allowed_regions;
}

const region_set& forwarder::OrganisationRegions(const session& of) const {
  const auto found = catalogue_->organisations.find(of.organisation);
  return found == catalogue_->organisations.end()
             ? NoRegions()
             : found->second.allowed_regions;
}

interactive::placement_rules forwarder::RulesOf(const session& of) const {
  interactive::placement_rules rules;
  rules.Add(RouteRegions(of));
  rules.Add(OrganisationRegions(of));
  return rules;
}

bool forwarder::KeepsToRegions(const session& of) const {
  return of.host.empty() ||
         (RulesOf(of).AllowsHostIn(of.host_region, of.host == self_) &&
          Covers(of.route_regions, RouteRegions(of)) &&
          Covers(of.organisation_regions, OrganisationRegions(of)));
}

// If the allowed regions have changed since the session was attached, detaches
// it, so that its next statement attaches it with the present ones. This rolls
// back an open transaction, which therefore stays attached if the host keeps to
// the present regions anyway. Waits until all statements that were sent are
// answered.
void forwarder::UpdateRegions(session_id id, session& of) {
  const bool unanswered =
      !of.waiting.empty() && of.waiting.front().sequence != 0;
  const bool changed = of.route_regions != RouteRegions(of) ||
                       of.organisation_regions != OrganisationRegions(of);
  const bool keeps = KeepsToRegions(of);
  if (of.host.empty() || unanswered || (!changed && keeps) ||
      (keeps && of.state != transaction_state::kIdle)) {
    return;
  }
  ++moved_by_regions_;
  actions_.emplace_back(interactive::log_message{
      log_level::kInfo,
      fmt::format("session {}, organisation {}, detached from VM {} in region "
                  "{:?}: the allowed regions changed; configuration version {}",
                  id, of.organisation, of.host, of.host_region,
                  catalogue_->version)});
  Detach(id, of);
}

}  // namespace tarragondale::hosting
