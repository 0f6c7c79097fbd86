// Returns hosted sessions to their entry VMs while this VM does not reach the
// primary that they need.
//
// Load pattern: a primary is cut off from most VMs for seconds. Statements at
// hosts that don't reach it would wait for most of their timeout and then fail,
// although other hosts could run them.
#include <algorithm>

#include "src/interactive/broker_implementation.h"

namespace tarragondale::interactive {

bool session_broker::implementation::IsSuspect(const member& of) const {
  // A busy member, unlike one that is cut off, answers on other connections.
  const std::optional<time_point>& answered = of.health.last_answer;
  const std::optional<time_point> opening = pool_.LoadOf(of).opening_since;
  const bool failing =
      of.health.failing_since &&
      (!answered || now_ - *answered > options_.unresponsive_check_delay);
  const bool unanswered = opening &&
                          now_ - *opening > options_.unresponsive_check_delay &&
                          (!answered || *answered < *opening);
  return failing || unanswered;
}

bool session_broker::implementation::MayReturn(const session& of) const {
  return of.hosted && now_ >= of.may_return_at;
}

bool session_broker::implementation::IsOutOfReach(const session& of,
                                                  const route& settings,
                                                  bool primary_only,
                                                  time_point arrived) const {
  const auto found = primary_leases_.find(settings.group);
  if (found == primary_leases_.end() || found->second.member.empty() ||
      found->second.closing) {
    return false;  // The primary is being replaced, which affects all VMs.
  }
  const member* const primary = pool_.Find(found->second.member);
  if (primary == nullptr || primary->unavailable_since ||
      IsEvacuated(*primary)) {
    return false;  // As above.
  }
  const bool expired = now_ >= found->second.until;
  return (expired || IsSuspect(*primary)) &&
         (primary_only || !HasReachableReplica(of, settings, arrived));
}

bool session_broker::implementation::HasReachableReplica(
    const session& of,
    const route& settings,
    time_point arrived) const {
  const auto history = positions_.find(settings.group);
  if (history == positions_.end() ||
      !history->second.Covering(arrived - settings.max_staleness +
                                options_.staleness_margin)) {
    return false;
  }
  const placement_rules rules = RulesOf(of);
  const std::vector<std::string>& ids = pool_.OfGroup(settings.group);
  return std::any_of(ids.begin(), ids.end(), [&](const std::string& id) {
    const member& each = *pool_.Find(id);
    return each.listed && !each.record.draining && !IsPrimary(each) &&
           !IsEvacuated(each) && !IsSuspect(each) && AllowsMember(rules, each);
  });
}

bool session_broker::implementation::ReturnIfOutOfReach(session& of,
                                                        const route& settings,
                                                        bool primary_only,
                                                        time_point arrived) {
  if (!MayReturn(of) || !IsOutOfReach(of, settings, primary_only, arrived)) {
    return false;
  }
  ++metrics_.sessions_returned;
  Log(log_level::kInfo,
      "session {}, organisation {} returns to its entry VM: this VM does not "
      "reach primary {} of group {}",
      of.id, of.organisation,
      primary_leases_.find(settings.group)->second.member, settings.group);
  actions_.push_back(return_session{of.id});
  EndSession(of.id);
  return true;
}

bool session_broker::implementation::GiveUpIfOutOfReach(session& of) {
  const active_statement& waiting = *of.current;
  if (!MayReturn(of)) {
    return false;
  }
  if (!of.open) {
    return ReturnIfOutOfReach(of, waiting.settings, waiting.primary_only,
                              waiting.arrived);
  }
  if (!IsOutOfReach(of, waiting.settings, waiting.primary_only,
                    waiting.arrived)) {
    return false;
  }
  FailStatement(
      of, result_code::kDatabaseUnavailable,
      fmt::format("it has not run; this VM does not reach the "
                  "primary of group {}; retry after {} ms",
                  waiting.settings.group, ToMs(options_.member_backoff)));
  return true;
}

}  // namespace tarragondale::interactive
