// Keeps statements on members in the allowed regions of route and organisation.
#include <algorithm>

#include "src/interactive/broker_implementation.h"

namespace tarragondale::interactive {

placement_rules session_broker::implementation::RulesOf(
    const session& of) const {
  placement_rules rules;
  // A removed route stays in force for the current statement and transaction.
  const route* settings = RouteOf(of);
  if (settings == nullptr && of.current) {
    settings = &of.current->settings;
  }
  if (settings != nullptr) {
    rules.Add(settings->allowed_regions);
  }
  const auto owner = configuration_->organisations.find(of.organisation);
  if (owner != configuration_->organisations.end()) {
    rules.Add(owner->second.allowed_regions);
  }
  rules.Add(of.entry_route_regions);
  rules.Add(of.entry_organisation_regions);
  return rules;
}

bool session_broker::implementation::AllowsMember(const placement_rules& rules,
                                                  const member& of) const {
  return !rules.restricted() ||
         rules.AllowsMemberIn(RegionOfZone(options_.region_of_zone,
                                           of.record.availability_zone));
}

void session_broker::implementation::EraseMisplaced(
    session& of,
    std::vector<candidate>& from) {
  const placement_rules rules = RulesOf(of);
  if (!rules.restricted()) {
    return;
  }
  active_statement& queued = *of.current;
  const link* const opening =
      queued.opening_link == 0 ? nullptr : pool_.FindLink(queued.opening_link);
  std::erase_if(from, [&](const candidate& each) {
    if (AllowsMember(rules, *each.to)) {
      return false;
    }
    const std::string& id = each.to->record.id;
    queued.last_reason =
        fmt::format("member {} is not in an allowed region", id);
    if (opening != nullptr && opening->member == id) {
      queued.opening_link = 0;  // Lets a link to another member be opened.
    }
    return true;
  });
}

bool session_broker::implementation::RefuseMisplaced(session& of) {
  const placement_rules rules = RulesOf(of);
  if (!rules.restricted()) {
    return false;
  }
  const active_statement& queued = *of.current;
  const std::string& group = queued.settings.group;
  size_t listed = 0;
  size_t allowed = 0;
  for (const std::string& id : pool_.OfGroup(group)) {
    const member& each = *pool_.Find(id);
    listed += each.listed ? 1 : 0;
    allowed += each.listed && AllowsMember(rules, each) ? 1 : 0;
  }
  const primary_lease* const lease = ValidLease(group);
  const member* const primary =
      lease == nullptr || lease->closing ? nullptr : pool_.Find(lease->member);
  std::optional<placement_refusal> why;
  std::string reason;
  if (listed > 0 && allowed == 0) {
    why = placement_refusal::kNoMember;
    reason =
        fmt::format("none of the {} members of group {} is", listed, group);
  } else if (queued.primary_only && primary != nullptr &&
             !AllowsMember(rules, *primary)) {
    why = placement_refusal::kPrimary;
    reason =
        fmt::format("the primary {} of group {} is not", lease->member, group);
  }
  if (!why) {
    return false;
  }
  ++metrics_.placement_refused[*why];
  FailStatement(
      of, result_code::kDatabaseUnavailable,
      fmt::format("it has not run; {} in a region that the route or the "
                  "organisation allows; configuration version {}",
                  reason, configuration_->version));
  return true;
}

bool session_broker::implementation::FailMisplacedTransaction(session& of,
                                                              const link& on) {
  const member& by = *pool_.Find(on.member);
  if (AllowsMember(RulesOf(of), by)) {
    return false;
  }
  ++metrics_.placement_refused[placement_refusal::kTransaction];
  of.current->link = 0;  // The statement itself was not sent.
  // Closing the link rolls the transaction back without another statement to
  // the member.
  FailLink(on.id, fmt::format("the transaction was rolled back; its member {} "
                              "is not in a region that the route or the "
                              "organisation allows; configuration version {}",
                              by.record.id, configuration_->version));
  return true;
}

}  // namespace tarragondale::interactive
