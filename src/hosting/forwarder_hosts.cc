// Choice of the host of a session, and of another one when hosts are lost or
// return sessions.
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "tarragondale/hosting.h"

namespace tarragondale::hosting {

using interactive::session_id;
using interactive::transaction_state;

bool forwarder::IsAvoided(const std::string& host,
                          const std::string& group) const {
  return avoided_hosts_.contains(host) || HasReturned(host, group);
}

bool forwarder::HasReturned(const std::string& host,
                            const std::string& group) const {
  return avoided_for_group_.contains({host, group});
}

forwarder::choice forwarder::ChooseHost(time_point now, const session& of) {
  const interactive::route* const route = RouteOf(of);
  if (route == nullptr) {
    return {self_};  // This VM's broker reports that the route is gone.
  }
  const std::string& group = route->group;
  const auto has_ended = [&](const auto& each) { return now >= each.second; };
  std::erase_if(avoided_hosts_, has_ended);
  std::erase_if(avoided_for_group_, has_ended);
  const auto is_avoided = [&](const std::string& host) {
    return IsAvoided(host, group);
  };
  const auto rules = RulesOf(of);
  const auto hosts = plan_.HostsOf(group, of.organisation, rules);
  const auto first = std::find_if_not(hosts.begin(), hosts.end(), is_avoided);
  if (first != hosts.end()) {
    return {*first};
  }
  const bool out_of_reach = std::any_of(
      hosts.begin(), hosts.end(),
      [&](const std::string& host) { return HasReturned(host, group); });
  if (out_of_reach) {
    const auto others = plan_.HostsElsewhere(group, of.organisation, rules);
    const auto other =
        std::find_if_not(others.begin(), others.end(), is_avoided);
    if (other != others.end()) {
      return {*other, true};
    }
  }
  // Without hosts, this VM runs the session itself. If all hosts are avoided,
  // the preferred one is tried, since it may have recovered.
  const auto running = std::find_if(
      hosts.begin(), hosts.end(),
      [&](const std::string& host) { return !avoided_hosts_.contains(host); });
  if (running != hosts.end()) {
    return {*running};
  }
  return {hosts.empty() ? self_ : hosts.front()};
}

// Detaches an idle session from a host that is avoided by now, or that belongs
// to another region, if a better one is not avoided. A statement that is sent
// to a lost host has an unknown outcome.
void forwarder::LeaveAvoidedHost(time_point now, session_id id, session& of) {
  const interactive::route* const route = RouteOf(of);
  const bool idle = of.state == transaction_state::kIdle &&
                    !of.waiting.empty() && of.waiting.front().sequence == 0;
  if (of.host.empty() || route == nullptr || !idle ||
      !(of.elsewhere || IsAvoided(of.host, route->group))) {
    return;
  }
  const choice better = ChooseHost(now, of);
  if (better.host == of.host || IsAvoided(better.host, route->group) ||
      (better.elsewhere && !IsAvoided(of.host, route->group))) {
    return;
  }
  actions_.emplace_back(interactive::log_message{
      log_level::kInfo, fmt::format("session {} leaves VM {} for VM {}", id,
                                    of.host, better.host)});
  Detach(id, of);
}

// Handles a session that its host returned without running its statements,
// usually since the host does not reach the primary. Another host gets the
// session if the first statement can still wait there for as long as hosts let
// statements wait; otherwise the statement is refused.
void forwarder::OnReturned(time_point now, session_id id, session& of) {
  const interactive::route* const route = RouteOf(of);
  if (route != nullptr) {
    avoided_for_group_[{of.host, route->group}] = now + options_.host_cooldown;
    const duration limit = std::chrono::duration_cast<duration>(
        route->statement_timeout * options_.return_timeout_fraction);
    if (of.state == transaction_state::kIdle &&
        now - of.waiting.front().arrived > limit) {
      const std::string statement = of.waiting.front().statement.id;
      of.waiting.pop_front();
      Refuse(id, of, statement,
             fmt::format("it has not run; VM {} does not reach the primary of "
                         "group {}; retry after {} ms",
                         of.host, route->group, ToMs(options_.return_retry)));
    }
  }
  OnDetached(now, id, 0, "the host returned the session");
}

void forwarder::Refuse(session_id id,
                       const session& of,
                       std::string_view statement,
                       std::string reason) {
  actions_.emplace_back(interactive::log_message{
      log_level::kInfo,
      fmt::format("statement {} of session {}, organisation {} refused: {}",
                  statement, id, of.organisation, reason)});
  actions_.emplace_back(
      interactive::answer_caller{.session = id,
                                 .code = result_code::kDatabaseUnavailable,
                                 .reason = std::move(reason),
                                 .kept_bytes = of.kept_bytes});
}

}  // namespace tarragondale::hosting
