// The gateway: which members this VM serves, and routing of events to them.
#include <map>
#include <set>
#include <utility>

#include "src/pool/member_gateway.h"

namespace tarragondale::pool {

class gateway::implementation {
 public:
  explicit implementation(gateway_options options) {
    context_.options = options;
  }

  std::vector<action> Step(time_point now, const event& input) {
    std::visit([this, now](const auto& value) { Handle(now, value); }, input);
    RemoveReleased(now);
    FinishDrain(now);
    context_.metrics.queued = 0;
    for (const auto& [name, member] : members_) {
      context_.metrics.queued += member->QueueLength();
    }
    return std::exchange(context_.actions, {});
  }

  std::optional<time_point> NextDeadline() const {
    std::optional<time_point> next;
    for (const auto& [name, member] : members_) {
      const auto at = member->NextDeadline();
      if (at && (!next || *at < *next)) {
        next = at;
      }
    }
    return next;
  }

  const gateway_metrics& metrics() const { return context_.metrics; }

 private:
  using member_name = std::pair<std::string, std::string>;  // Group, member.

  void Handle(time_point now, const request_arrived& event) {
    if (member_gateway* const member =
            Find(event.request.group, event.request.member)) {
      member->OnRequest(now, event);
      return;
    }
    ++context_.metrics.requests;
    ++context_.metrics.answers;
    ++context_.metrics.answers_not_run;
    // Long enough for a change of the fleet to reach the entry.
    constexpr int64_t kNotOwnerRetryMs = 100;
    wire::execute_answer answer;
    answer.id = event.request.id;
    answer.code = result_code::kNotOwner;
    answer.reason = "this VM is not the gateway of the member";
    answer.retry_after_ms = kNotOwnerRetryMs;
    context_.actions.emplace_back(send_answer{event.sender, std::move(answer)});
  }

  void Handle(time_point now, const cancel_arrived& event) {
    if (member_gateway* const member =
            Find(event.request.group, event.request.member)) {
      member->OnCancel(now, event.request.id);
    }
  }

  void Handle(time_point now, const interest_arrived& event) {
    const std::set<std::string> groups(event.interest.groups.begin(),
                                       event.interest.groups.end());
    for (const auto& [name, member] : members_) {
      if (groups.contains(name.first)) {
        member->OnInterest(now, event.sender);
      }
    }
  }

  void Handle(time_point now, const configuration_changed& event) {
    if (configuration_ == nullptr || event.configuration == nullptr ||
        event.configuration->version >= configuration_->version) {
      configuration_ = event.configuration;
    }
    Place(now);
  }

  void Handle(time_point now, const fleet_changed& event) {
    view_ = event.view;
    Place(now);
    if (view_ != nullptr) {
      for (const auto& [name, member] : members_) {
        member->OnFleet(now, *view_);
      }
    }
  }

  void Handle(time_point now, const database::driver_event& event) {
    const database::connection_id id =
        std::visit([](const auto& value) { return value.connection; }, event);
    const auto owner = context_.owners.find(id);
    if (owner == context_.owners.end()) {
      ++context_.metrics.events_dropped;
      return;
    }
    owner->second->OnDriverEvent(now, event);
  }

  void Handle(time_point /*now*/, const drain_started& /*event*/) {
    context_.draining = true;
  }

  void Handle(time_point now, const tick& /*event*/) {
    for (const auto& [name, member] : members_) {
      member->OnTick(now);
    }
  }

  member_gateway* Find(const std::string& group, const std::string& member) {
    const auto found = members_.find({group, member});
    return found == members_.end() ? nullptr : found->second.get();
  }

  // Takes over and gives up members as placement says.
  void Place(time_point now) {
    if (configuration_ == nullptr || view_ == nullptr) {
      return;
    }
    std::set<member_name> kept;
    for (const auto& [pool_name, pool] : configuration_->pools) {
      for (const config::member_row& member : pool.members) {
        const member_name name(pool.group, member.name);
        const auto owner = fleet::PlaceRole(
            *view_, fleet::GatewayRole(pool.group, member.name),
            {member.availability_zone, member.region});
        if (owner == view_->self && kept.insert(name).second) {
          Keep(now, name, pool, member);
        }
      }
    }
    for (const auto& [name, member] : members_) {
      if (!kept.contains(name)) {
        member->Release(now);
      }
    }
  }

  void Keep(time_point now,
            const member_name& name,
            const config::pool_row& pool,
            const config::member_row& member) {
    const auto found = members_.find(name);
    if (found != members_.end()) {
      found->second->Resume();
      found->second->Configure(now, pool, member);
    } else if (!context_.draining) {
      auto added = std::make_unique<member_gateway>(context_, pool, member);
      added->OnTick(now);
      members_.emplace(name, std::move(added));
    }
  }

  void RemoveReleased(time_point now) {
    for (auto it = members_.begin(); it != members_.end();) {
      if (it->second->Released(now)) {
        it->second->CloseAll(now);
        it = members_.erase(it);
      } else {
        ++it;
      }
    }
  }

  void FinishDrain(time_point now) {
    if (!context_.draining || drained_) {
      return;
    }
    for (const auto& [name, member] : members_) {
      if (!member->Quiet()) {
        return;
      }
    }
    for (const auto& [name, member] : members_) {
      member->CloseAll(now);
    }
    members_.clear();
    drained_ = true;
    context_.actions.emplace_back(drained{});
  }

  gateway_context context_;
  config::configuration_ptr configuration_;
  fleet::fleet_view_ptr view_;
  std::map<member_name, std::unique_ptr<member_gateway>> members_;
  bool drained_ = false;
};

gateway::gateway(gateway_options options)
    : implementation_(std::make_unique<implementation>(options)) {}

gateway::~gateway() = default;

std::vector<action> gateway::Step(time_point now, const event& input) {
  return implementation_->Step(now, input);
}

std::optional<time_point> gateway::NextDeadline() const {
  return implementation_->NextDeadline();
}

const gateway_metrics& gateway::metrics() const {
  return implementation_->metrics();
}

}  // namespace tarragondale::pool
