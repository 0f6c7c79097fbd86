// Joins the parts of the daemon with the line edge.
#include <sys/stat.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <deque>
#include <functional>
#include <string>
#include <utility>

#include "platform/platform.h"
#include "src/runtime/line/boot_clock.h"
#include "src/runtime/line/caller_server.h"
#include "src/runtime/line/evacuation_metrics.h"
#include "src/runtime/line/fleet_duty.h"
#include "src/runtime/line/hosting_duty.h"
#include "src/runtime/line/http_channel.h"
#include "src/runtime/line/input_budget.h"
#include "src/runtime/line/log_output.h"
#include "src/runtime/line/member_links.h"
#include "src/runtime/line/member_metrics.h"
#include "src/runtime/line/readiness_server.h"
#include "src/runtime/line/store_call.h"
#include "src/runtime/system_sources.h"
#include "tarragondale/interactive.h"
#include "tarragondale/leadership.h"
#include "tarragondale/runtime.h"
#include "tarragondale/telemetry.h"

namespace tarragondale::runtime {

namespace net = boost::asio;

namespace {

constexpr duration kSettingsInterval = seconds(1);
constexpr duration kLogInterval = milliseconds(100);
constexpr duration kStoreLimit = milliseconds(1'000);
// Shorter than `leadership::options::controller_lease_margin`, so that no
// promotion arrives after the controller's lease has expired.
constexpr duration kPromotionLimit = milliseconds(700);
// New work on a leaving member ends this long before its limit, for requests
// that wait and run meanwhile.
constexpr int64_t kLeavingMarginMs = 2'000;
// Descriptors that are not for callers: files, the store, VMs and members.
constexpr int64_t kReservedFiles = 700;
// The shutdown ends this long before the process would be killed.
constexpr duration kGraceMargin = milliseconds(400);
// Sessions are closed this long before the process would be killed, so that it
// can still give its rights and registration up.
constexpr duration kDrainMargin = milliseconds(700);

leadership::vm_registration Registration(const config::settings& settings) {
  return {settings.vm_name,  settings.peer_address, settings.availability_zone,
          settings.region,   UnixMsNow(),           {},
          settings.memory_mb};
}

interactive::broker_options BrokerOptions(const config::settings& settings) {
  interactive::broker_options options;
  options.availability_zone = settings.availability_zone;
  options.region = settings.region;
  options.seed = std::hash<std::string>()(settings.vm_name);
  for (const std::string& zone : settings.zones) {
    const size_t colon = zone.find(':');
    options.region_of_zone[zone.substr(0, colon)] = zone.substr(colon + 1);
  }
  options.max_sessions = static_cast<size_t>(
      std::max<int64_t>(100, settings.open_files - kReservedFiles));
  options.member_drain_timeout = milliseconds(
      std::max<int64_t>(500, settings.leaving_ms - kLeavingMarginMs));
  const duration grace = milliseconds(settings.grace_ms);
  options.drain_transactions = grace / 2;
  options.drain_limit = std::max(grace / 2, grace - kDrainMargin);
  options.drain_notice = std::min(options.drain_notice, grace / 2);
  options.capacity =
      settings.member_capacity == config::capacity_source::kLearned
          ? interactive::member_capacity::kLearned
          : interactive::member_capacity::kReported;
  return options;
}

bool WasAnswered(store::keyspace::call_status status) {
  return status != store::keyspace::call_status::kRefused &&
         status != store::keyspace::call_status::kUnknown;
}

hosting::forwarder_options ForwarderOptions(const config::settings& settings) {
  const interactive::broker_options common = BrokerOptions(settings);
  hosting::forwarder_options options;
  options.max_pending = common.max_pending;
  options.max_sessions = common.max_sessions;
  options.drain_notice = common.drain_notice;
  options.drain_transactions = common.drain_transactions;
  options.drain_limit = common.drain_limit;
  return options;
}

input_limits InputLimits(const config::settings& settings) {
  constexpr int64_t kMiB = 1 << 20;
  const auto total = static_cast<size_t>(settings.memory_mb * kMiB / 100 *
                                         settings.caller_memory_percent);
  return {
      .total_bytes = total,
      .waiting_bytes = static_cast<size_t>(settings.waiting_bytes),
      .waiting_statements = static_cast<size_t>(settings.waiting_statements),
      .unsent_bytes = static_cast<size_t>(settings.unsent_bytes),
      .line_time = milliseconds(settings.line_timeout_ms),
      .answer_time = milliseconds(settings.answer_timeout_ms)};
}

leadership::options KeeperOptions(const config::settings& settings) {
  leadership::options options;
  options.self = Registration(settings);
  options.seed = RandomNumber();
  return options;
}

}  // namespace

// Everything but the transport's ring belongs to the thread that runs
// `context_`.
class line_daemon::implementation {
 public:
  implementation(config::settings settings, std::string path)
      : settings_(std::move(settings)),
        path_(std::move(path)),
        store_channel_(context_, settings_.store_endpoints.front()),
        promotion_channel_(context_, settings_.promotion_address),
        callers_(context_,
                 budget_,
                 {.event =
                      [this](interactive::event event) {
                        hosting_.OnCaller(std::move(event));
                      },
                  .end_hosted =
                      [this](interactive::session_id id) {
                        hosting_.EndHosted(id);
                      }}),
        links_(context_,
               [this](const interactive::event& event) { Post(event); }),
        readiness_(context_,
                   {.ready = [this] { return IsReady(); },
                    .metrics = [this] { return MetricsText(); }}),
        broker_(BrokerOptions(settings_)),
        keeper_options_(KeeperOptions(settings_)),
        keeper_(keeper_options_,
                {.primary_work =
                     [this](std::string_view group, int64_t epoch) {
                       return broker_.CountPrimaryWork(group, epoch);
                     },
                 .health =
                     [this](std::string_view member) {
                       return broker_.HealthOf(member);
                     }}),
        fleet_(
            context_,
            store_channel_,
            settings_,
            broker_,
            keeper_,
            {.broker =
                 [this](interactive::event event) { Post(std::move(event)); },
             .primary_manager =
                 [this](leadership::event event) { Post(std::move(event)); },
             .configuration =
                 [this](interactive::configuration_snapshot_ptr value) {
                   hosting_.SetCatalogue(std::move(value));
                 },
             .other =
                 [this](const std::string& vm, const wire::message_body& body) {
                   hosting_.OnMessage(vm, body);
                 }}),
        hosting_(
            settings_.vm_name,
            keeper_options_.self.incarnation,
            ForwarderOptions(settings_),
            budget_,
            {.broker =
                 [this](interactive::event event) { Post(std::move(event)); },
             .send =
                 [this](const std::string& vm, const wire::message_body& body) {
                   return fleet_.SendTo(vm, body);
                 },
             .accept =
                 [this](const interactive::accept_caller& action) {
                   callers_.Accept(action.session);
                 },
             .answer =
                 [this](const interactive::answer_caller& action) {
                   callers_.Answer(action);
                 },
             .close =
                 [this](interactive::session_id session) {
                   callers_.Close(session);
                 },
             .held = [this] { callers_.Relieve(); }}),
        timer_(context_),
        signals_(context_, SIGTERM, SIGINT, SIGHUP) {
    SetCallerLimits();
  }

  status Start() {
    if (const status problem = readiness_.Listen(settings_.readiness_address)) {
      return problem;
    }
    if (const status problem = callers_.Listen(settings_.caller_address)) {
      return problem;
    }
    if (const status problem = fleet_.Start()) {
      return problem;
    }
    settings_changed_ = SettingsTime();
    Log(log_level::kInfo, log_part::kMain,
        "VM {} starts in {}, region {}, incarnation {}.", settings_.vm_name,
        settings_.availability_zone, settings_.region,
        keeper_options_.self.incarnation);
    WaitForSignal();
    Post(leadership::tick{});
    return std::nullopt;
  }

  bool Run() {
    context_.run();
    fleet_.Stop();
    Log(drained_ ? log_level::kInfo : log_level::kWarning, log_part::kMain,
        "VM {} stops; {} sessions are left.", settings_.vm_name,
        broker_.sessions() + hosting_.forwarded());
    FlushLog();
    return drained_;
  }

 private:
  using any_event = std::variant<interactive::event, leadership::event>;

  // --- Events ---

  void Post(any_event event) {
    inbox_.push_back(std::move(event));
    if (!running_) {
      RunInbox();
    }
  }

  void RunInbox() {
    running_ = true;
    while (!inbox_.empty()) {
      const any_event event = std::move(inbox_.front());
      inbox_.pop_front();
      if (const auto* of_broker = std::get_if<interactive::event>(&event)) {
        Apply(broker_.Step(BootNow(), *of_broker));
      } else {
        Apply(keeper_.Step(BootNow(), std::get<leadership::event>(event)));
      }
    }
    running_ = false;
    ArmTimer();
  }

  void ArmTimer() {
    const time_point due =
        std::min({broker_.NextDeadline().value_or(next_log_),
                  hosting_.NextDeadline().value_or(next_log_),
                  keeper_.NextDeadline(), fleet_.NextDeadline(), next_log_});
    if (timer_armed_ && armed_for_ <= due) {
      return;
    }
    timer_armed_ = true;
    armed_for_ = due;
    timer_.expires_after(std::max(
        duration(0), std::chrono::duration_cast<duration>(due - BootNow())));
    timer_.async_wait([this](boost::system::error_code error) {
      if (!error) {
        OnTimer();
      }
    });
  }

  void OnTimer() {
    timer_armed_ = false;
    const time_point now = BootNow();
    if (now >= keeper_.NextDeadline()) {
      inbox_.emplace_back(leadership::event(leadership::tick{}));
    }
    if (now >= broker_.NextDeadline().value_or(now)) {
      inbox_.emplace_back(interactive::event(interactive::tick{}));
    }
    fleet_.OnTimer(now);
    hosting_.OnTimer(now);
    if (now >= next_log_) {
      next_log_ = now + kLogInterval;
      FlushLog();
    }
    if (now >= next_settings_) {
      next_settings_ = now + kSettingsInterval;
      if (SettingsTime() != settings_changed_) {
        Reload("the file changed");
      }
    }
    RunInbox();
    CheckShutdown();
  }

  // --- Actions of the broker ---

  void Apply(std::vector<interactive::action> actions) {
    for (interactive::action& action : actions) {
      std::visit([this](auto& each) { Do(each); }, action);
    }
  }

  void Do(const interactive::accept_caller& action) {
    callers_.Accept(action.session);
  }
  void Do(const interactive::answer_caller& action) {
    if (!hosting_.TakeAnswer(action)) {
      callers_.Answer(action);
    }
  }
  void Do(const interactive::close_caller& action) {
    if (!hosting_.TakeClose(action.session)) {
      callers_.Close(action.session);
    }
  }
  void Do(const interactive::return_session& action) {
    hosting_.ReturnSession(action.session);
  }
  void Do(const interactive::open_link& action) { links_.Open(action); }
  void Do(const interactive::send_link& action) { links_.Send(action); }
  void Do(const interactive::close_link& action) { links_.Close(action.link); }
  void Do(const interactive::member_checked& action) {
    inbox_.emplace_back(leadership::event(
        leadership::member_checked{action.member, action.status}));
  }
  void Do(const interactive::log_message& action) {
    Log(action.level, log_part::kSession, "{}", action.text);
  }
  void Do(const interactive::drained& /*action*/) { broker_drained_ = true; }

  // --- Actions of the primary manager ---

  void Apply(std::vector<leadership::action> actions) {
    for (leadership::action& action : actions) {
      std::visit([this](auto& each) { Do(each); }, action);
    }
  }

  void Do(const leadership::call_store& action) {
    CallStore(store_channel_, action.call, kStoreLimit,
              [this, tag = action.tag,
               sent = BootNow()](store::keyspace::reply reply) {
                fleet_.ExpectRevision(reply.revision);
                fleet_.OnStoreCall(WasAnswered(reply.status));
                Post(leadership::event(
                    leadership::store_answered{tag, sent, std::move(reply)}));
              });
  }
  void Do(const leadership::set_primary_leases& action) {
    inbox_.emplace_back(interactive::event(
        interactive::primary_leases_changed{action.by_group}));
  }
  // Takes effect before the next action, which may tell others of it.
  void Do(const leadership::stop_primary_work& action) {
    Apply(broker_.StopPrimaryWork(BootNow(), action.group, action.epoch));
  }
  void Do(const leadership::send_digests& action) {
    fleet_.SendDigests(BootNow(), action.to_followers);
  }
  void Do(const leadership::check_member& action) {
    inbox_.emplace_back(
        interactive::event(interactive::check_member{action.member}));
  }
  void Do(const leadership::demote_member& action) {
    inbox_.emplace_back(interactive::event(
        interactive::demote_member{action.member, action.term}));
  }
  void Do(const leadership::promote_member& action) {
    promotion_channel_.Call(
        platform::EncodePromotion(action.group, action.member, action.holder,
                                  action.token),
        kPromotionLimit, [this, action](const http_outcome& outcome) {
          leadership::promotion_answered answered{
              action.group, action.member,
              leadership::promotion_result::kUnknown, outcome.error};
          if (const auto accepted =
                  platform::DecodePromotionStatus(outcome.answer.status)) {
            answered.result = *accepted
                                  ? leadership::promotion_result::kAccepted
                                  : leadership::promotion_result::kRefused;
          }
          if (outcome.answer.status != 0) {
            answered.reason = fmt::format("status {}", outcome.answer.status);
          }
          Post(leadership::event(std::move(answered)));
        });
  }
  void Do(const leadership::publish_fleet& action) {
    fleet_.SetFleet(action.vms);
    hosting_.SetFleet(action.vms);
    interactive::fleet_changed changed;
    changed.vms_per_member = hosting_.vms_per_member();
    changed.senders = hosting_.ColdSenders();
    changed.vms = std::max<int>(1, static_cast<int>(action.vms.size()));
    for (const leadership::vm_registration& vm : action.vms) {
      ++changed.by_zone[vm.availability_zone];
    }
    inbox_.emplace_back(interactive::event(std::move(changed)));
  }
  void Do(const leadership::log_message& action) {
    Log(action.level, log_part::kPrimary, "{}", action.text);
  }

  // --- Readiness, settings, shutdown ---

  void SetCallerLimits() {
    budget_.SetLimits(InputLimits(settings_));
    callers_.SetMaxConnections(BrokerOptions(settings_).max_sessions);
  }

  // A VM that the store never answered has no registration and so no right to
  // a primary; others serve callers better.
  bool IsReady() const {
    const store_view& view = fleet_.view();
    return view.loaded() && view.configuration_snapshot() &&
           !view.members().empty() && !draining_since_;
  }

  std::string MetricsText() {
    const interactive::broker_metrics& metrics = broker_.metrics();
    const auto set = [this](std::string_view name, std::string_view help,
                            uint64_t value) {
      registry_.Gauge(name, help).Set(static_cast<int64_t>(value));
    };
    set("tarragondale_sessions", "Open sessions.", broker_.sessions());
    set("tarragondale_sessions_forwarded",
        "Sessions of this VM's callers that other VMs run.",
        hosting_.forwarded());
    set("tarragondale_sessions_hosted",
        "Sessions of other VMs' callers that run here.", hosting_.hosted());
    set("tarragondale_statements", "Statements of callers.",
        metrics.statements);
    set("tarragondale_done_by_primary", "Statements that a primary ran.",
        metrics.done_by_primary);
    set("tarragondale_done_by_replica", "Statements that a replica ran.",
        metrics.done_by_replica);
    set("tarragondale_links_opened", "Connections opened to members.",
        metrics.links_opened);
    set("tarragondale_links_failed", "Connections to members that failed.",
        metrics.links_failed);
    set("tarragondale_retries", "Statements sent again.", metrics.retries);
    set("tarragondale_lagging", "Reads that a replica was too old for.",
        metrics.lagging);
    set("tarragondale_rate_refused", "Operations beyond a rate.",
        metrics.rate_refused);
    set("tarragondale_rate_paced",
        "Operations that waited for a token of their rate.",
        metrics.rate_paced);
    set("tarragondale_sent_to_cold", "Statements sent to cold members.",
        metrics.sent_to_cold);
    set("tarragondale_cold_refused",
        "Statements refused since a cold member's allowance came too late.",
        metrics.cold_refused);
    set("tarragondale_sessions_returned",
        "Hosted sessions returned since this VM does not reach a primary.",
        metrics.sessions_returned);
    set("tarragondale_sessions_moved_by_regions",
        "Sessions that left their host since the allowed regions changed.",
        hosting_.moved_by_regions());
    for (const auto& [reason, count] : metrics.placement_refused) {
      registry_
          .Gauge("tarragondale_placement_refused",
                 "Statements refused since no allowed region has the member.",
                 {{"reason",
                   std::string(interactive::PlacementRefusalName(reason))}})
          .Set(static_cast<int64_t>(count));
    }
    if (const auto& configuration = fleet_.view().configuration_snapshot()) {
      set("tarragondale_configuration_version",
          "Version of the configuration in force.",
          static_cast<uint64_t>(configuration->version));
    }
    set("tarragondale_store_revision",
        "Newest revision of the store that is known.",
        static_cast<uint64_t>(fleet_.store_revision()));
    set("tarragondale_caller_bytes", "Bytes held for callers.",
        budget_.total());
    set("tarragondale_caller_pauses",
        "Times that a caller was not read any further for a while.",
        budget_.pauses());
    set("tarragondale_readiness_closed",
        "Connections to the readiness address that made room for others.",
        readiness_.closed());
    using limit = input_budget::limit;
    for (const limit reason : {limit::kMemory, limit::kSlowLine, limit::kUnread,
                               limit::kConnections}) {
      registry_
          .Gauge("tarragondale_callers_ended",
                 "Callers that were disconnected or refused, by limit.",
                 {{"limit", std::string(input_budget::LimitName(reason))}})
          .Set(static_cast<int64_t>(budget_.closed(reason)));
    }
    set("tarragondale_log_lines_dropped", "Log lines that were dropped.",
        DroppedLogLines());
    for (const auto& [code, count] : metrics.failures) {
      registry_
          .Gauge("tarragondale_failures", "Failed statements by code.",
                 {{"code", std::string(InfoOf(code).name)}})
          .Set(static_cast<int64_t>(count));
    }
    SetEvacuationMetrics(broker_, registry_);
    return registry_.PrometheusText() +
           MemberMetricsText(broker_.Capacities(BootNow()));
  }

  void WaitForSignal() {
    signals_.async_wait([this](boost::system::error_code error, int number) {
      if (error) {
        return;
      }
      if (number == SIGHUP) {
        Reload("SIGHUP");
      } else if (draining_since_) {
        Finish(false);
        return;
      } else {
        StartDrain(number);
      }
      WaitForSignal();
    });
  }

  void StartDrain(int number) {
    draining_since_ = BootNow();
    Log(log_level::kInfo, log_part::kMain,
        "signal {}: shutdown starts with {} sessions.", number,
        broker_.sessions());
    Post(leadership::event(leadership::drain_started{}));
    Post(interactive::event(interactive::drain_started{}));
    hosting_.StartDrain(*draining_since_);
  }

  void CheckShutdown() {
    if (!draining_since_) {
      return;
    }
    const duration limit = milliseconds(settings_.grace_ms) - kGraceMargin;
    if (broker_drained_ && hosting_.forwarded() == 0 && !leave_posted_) {
      leave_posted_ = true;
      Post(leadership::event(leadership::leave_started{}));
    }
    if (keeper_.left()) {
      Finish(true);
    } else if (BootNow() - *draining_since_ > limit) {
      Finish(broker_.sessions() + hosting_.forwarded() == 0);
    }
  }

  void Finish(bool drained) {
    drained_ = drained;
    callers_.StopListening();
    context_.stop();
  }

  int64_t SettingsTime() const {
    struct stat info {};
    if (stat(path_.c_str(), &info) != 0) {
      return 0;
    }
    return static_cast<int64_t>(info.st_mtim.tv_sec) * 1'000'000'000 +
           info.st_mtim.tv_nsec;
  }

  void Reload(std::string_view why) {
    settings_changed_ = SettingsTime();
    const config::settings_outcome outcome = config::LoadSettings(path_);
    if (!outcome.errors.empty()) {
      Log(log_level::kError, log_part::kConfig,
          "settings are not reloaded ({}): {}.", why,
          outcome.errors.front().reason);
      return;
    }
    std::string in_force;
    std::string after_restart;
    for (const config::setting_info* row :
         config::ChangedSettings(settings_, outcome.value)) {
      if (row->live) {
        config::CopySetting(*row, outcome.value, settings_);
      }
      (row->live ? in_force : after_restart) +=
          fmt::format(" {}.{}", row->section, row->name);
    }
    Log(log_level::kInfo, log_part::kConfig,
        "settings are reloaded ({}); in force:{}; only after a restart:{}.",
        why, in_force.empty() ? " no change" : in_force,
        after_restart.empty() ? " none" : after_restart);
    if (in_force.empty()) {
      return;
    }
    SetLogLevel(settings_.level);
    store_channel_.SetAddress(settings_.store_endpoints.front());
    promotion_channel_.SetAddress(settings_.promotion_address);
    fleet_.SetSeeds(settings_.seed_peers);
    Post(interactive::event(
        interactive::options_changed{BrokerOptions(settings_)}));
    hosting_.SetOptions(ForwarderOptions(settings_));
    SetCallerLimits();
  }

  net::io_context context_{1};
  config::settings settings_;
  const std::string path_;
  int64_t settings_changed_ = 0;
  http_channel store_channel_;
  http_channel promotion_channel_;
  input_budget budget_;
  caller_server callers_;
  member_links links_;
  readiness_server readiness_;
  interactive::session_broker broker_;
  const leadership::options keeper_options_;
  leadership::primary_manager keeper_;
  fleet_duty fleet_;
  hosting_duty hosting_;
  net::steady_timer timer_;
  bool timer_armed_ = false;
  time_point armed_for_;
  net::signal_set signals_;
  telemetry::registry registry_;

  std::deque<any_event> inbox_;
  bool running_ = false;
  time_point next_log_;
  time_point next_settings_;
  std::optional<time_point> draining_since_;
  bool broker_drained_ = false;
  bool leave_posted_ = false;
  bool drained_ = false;
};

line_daemon::line_daemon(std::unique_ptr<implementation> parts)
    : parts_(std::move(parts)) {}

line_daemon::~line_daemon() = default;

result<std::unique_ptr<line_daemon>> line_daemon::Create(
    const config::settings& settings,
    const std::string& path) {
  auto parts = std::make_unique<implementation>(settings, path);
  if (const status problem = parts->Start()) {
    return *problem;
  }
  return std::unique_ptr<line_daemon>(new line_daemon(std::move(parts)));
}

bool line_daemon::Run() {
  return parts_->Run();
}

}  // namespace tarragondale::runtime
