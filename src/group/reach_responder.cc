// Answers reach requests of other VMs' coordinators.
#include <utility>

#include "src/group/calls.h"
#include "tarragondale/group.h"

namespace tarragondale::group {

class reach_responder::implementation {
 public:
  explicit implementation(reach_options options)
      : options_(options), calls_(options.first_connection) {}

  std::vector<reach_action> Step(time_point now, const reach_event& happened) {
    actions_.clear();
    commands_.clear();
    std::visit([&](const auto& value) { Handle(now, value); }, happened);
    for (const call_result& ended : calls_.Expire(now, commands_)) {
      Answer(ended);
    }
    for (database::command& command : commands_) {
      actions_.emplace_back(std::move(command));
    }
    return std::exchange(actions_, {});
  }

  std::optional<time_point> NextDeadline() const {
    return calls_.NextDeadline();
  }
  uint64_t dropped() const { return dropped_; }

 private:
  using member_key = std::pair<std::string, std::string>;  // Group, member.
  using waiting_list = std::vector<std::pair<std::string, uint64_t>>;

  void Handle(time_point /*now*/, const tick& /*unused*/) {}

  void Handle(time_point /*now*/, const configuration_changed& change) {
    configuration_ = change.configuration;
  }

  void Handle(time_point /*now*/, const database::driver_event& happened) {
    if (const auto ended = calls_.Handle(happened, commands_)) {
      Answer(*ended);
    }
  }

  void Handle(time_point now, const reach_request_arrived& arrived) {
    const wire::reach_request& request = arrived.request;
    waiting_list& waiting = waiting_[{request.group, request.member}];
    const bool starts = waiting.empty();
    if (waiting.size() >= options_.waiting_per_call ||
        (starts && !StartCall(now, request))) {
      ++dropped_;
      if (starts) {
        waiting_.erase({request.group, request.member});
      }
      return;
    }
    waiting.emplace_back(arrived.sender, request.sequence);
  }

  bool StartCall(time_point now, const wire::reach_request& request) {
    const std::optional<call_target> target = Find(request);
    if (!target || calls_.size() >= options_.calls_at_once) {
      return false;
    }
    calls_.Start(now + options_.call_limit, call_kind::kStatus, *target,
                 StatusStatement(), commands_);
    return true;
  }

  std::optional<call_target> Find(const wire::reach_request& request) const {
    if (!configuration_) {
      return std::nullopt;
    }
    for (const auto& [name, pool] : configuration_->pools) {
      for (const config::member_row& member : pool.members) {
        if (pool.group == request.group && member.name == request.member) {
          return call_target{pool.group, member.name, member.address,
                             pool.database};
        }
      }
    }
    return std::nullopt;
  }

  void Answer(const call_result& ended) {
    wire::member_report report;
    report.member = ended.member;
    if (ended.report) {
      report = *ended.report;
    }
    const auto waiting = waiting_.extract({ended.group, ended.member});
    if (waiting.empty()) {
      return;
    }
    for (const auto& [vm, sequence] : waiting.mapped()) {
      actions_.emplace_back(
          send_reach_answer{vm, {sequence, ended.group, report}});
    }
  }

  reach_options options_;
  config::configuration_ptr configuration_;
  member_calls calls_;
  std::map<member_key, waiting_list> waiting_;  ///< One entry for each call.
  std::vector<reach_action> actions_;
  std::vector<database::command> commands_;
  uint64_t dropped_ = 0;
};

reach_responder::reach_responder(reach_options options)
    : implementation_(std::make_unique<implementation>(options)) {}
reach_responder::reach_responder(reach_responder&&) noexcept = default;
reach_responder& reach_responder::operator=(reach_responder&&) noexcept =
    default;
reach_responder::~reach_responder() = default;

std::vector<reach_action> reach_responder::Step(time_point now,
                                                const reach_event& happened) {
  return implementation_->Step(now, happened);
}

std::optional<time_point> reach_responder::NextDeadline() const {
  return implementation_->NextDeadline();
}

uint64_t reach_responder::dropped() const {
  return implementation_->dropped();
}

}  // namespace tarragondale::group
