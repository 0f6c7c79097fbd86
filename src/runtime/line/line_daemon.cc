// Joins the parts of the daemon with the line edge.
#include <sys/stat.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <deque>
#include <utility>

#include "platform/platform.h"
#include "src/runtime/line/boot_clock.h"
#include "src/runtime/line/caller_server.h"
#include "src/runtime/line/fleet_exchange.h"
#include "src/runtime/line/http_channel.h"
#include "src/runtime/line/log_output.h"
#include "src/runtime/line/member_links.h"
#include "src/runtime/line/member_listing.h"
#include "src/runtime/line/readiness_server.h"
#include "src/runtime/line/store_call.h"
#include "src/runtime/line/store_mirror.h"
#include "src/runtime/peer_transport.h"
#include "src/runtime/system_sources.h"
#include "tarragondale/interactive.h"
#include "tarragondale/leadership.h"
#include "tarragondale/runtime.h"
#include "tarragondale/telemetry.h"

namespace tarragondale::runtime {

namespace net = boost::asio;

namespace {

constexpr duration kDigestInterval = milliseconds(500);
// Links between VMs come up, and VMs learn of each other, within these first
// digests of a process.
constexpr duration kQuickDigestInterval = milliseconds(100);
constexpr int kQuickDigests = 8;
constexpr duration kMaintainInterval = seconds(1);
constexpr duration kLogInterval = milliseconds(100);
constexpr duration kLinkSilence = seconds(3);
constexpr duration kLinkIdle = seconds(60);
constexpr duration kStoreLimit = milliseconds(1'000);
constexpr duration kPromotionLimit = milliseconds(700);
constexpr duration kCopyInterval = milliseconds(300);
// Messages of other VMs that wait for this thread.
constexpr size_t kPeerRing = 4'096;
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
  return {settings.vm_name, settings.peer_address, settings.availability_zone,
          settings.region, UnixMsNow()};
}

interactive::broker_options BrokerOptions(const config::settings& settings) {
  interactive::broker_options options;
  options.availability_zone = settings.availability_zone;
  options.region = settings.region;
  for (const std::string& zone : settings.zones) {
    const size_t colon = zone.find(':');
    options.region_of_zone[zone.substr(0, colon)] = zone.substr(colon + 1);
  }
  options.max_sessions = static_cast<size_t>(
      std::max<int64_t>(100, settings.open_files - kReservedFiles));
  options.leaving_limit = milliseconds(
      std::max<int64_t>(500, settings.leaving_ms - kLeavingMarginMs));
  const duration grace = milliseconds(settings.grace_ms);
  options.drain_transactions = grace / 2;
  options.drain_limit = std::max(grace / 2, grace - kDrainMargin);
  options.drain_notice = std::min(options.drain_notice, grace / 2);
  return options;
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
        mirror_(context_, store_channel_, RandomNumber(), MirrorHandlers()),
        callers_(context_,
                 [this](const interactive::event& event) { Post(event); }),
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
                       return broker_.PrimaryWork(group, epoch);
                     },
                 .health =
                     [this](std::string_view member) {
                       return broker_.HealthOf(member);
                     }}),
        exchange_(settings_.vm_name, settings_.seed_peers),
        transport_(settings_.vm_name,
                   [this](wire::message message) {
                     OnPeerMessage(std::move(message));
                   }),
        peer_messages_(kPeerRing),
        timer_(context_),
        signals_(context_, SIGTERM, SIGINT, SIGHUP) {}

  status Start() {
    if (const status problem = transport_.Start(settings_.peer_address)) {
      return problem;
    }
    if (const status problem = readiness_.Listen(settings_.readiness_address)) {
      return problem;
    }
    if (const status problem = callers_.Listen(settings_.caller_address)) {
      return problem;
    }
    settings_changed_ = SettingsTime();
    Log(log_level::kInfo, log_part::kMain,
        "VM {} starts in {}, region {}, incarnation {}.", settings_.vm_name,
        settings_.availability_zone, settings_.region,
        keeper_options_.self.incarnation);
    mirror_.Start();
    WaitForSignal();
    Post(leadership::tick{});
    return std::nullopt;
  }

  bool Run() {
    context_.run();
    transport_.Stop();
    Log(drained_ ? log_level::kInfo : log_level::kWarning, log_part::kMain,
        "VM {} stops; {} sessions are left.", settings_.vm_name,
        broker_.sessions());
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
        std::min({broker_.NextDeadline().value_or(next_digest_),
                  keeper_.NextDeadline(), next_digest_, next_log_});
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
    if (now >= next_digest_) {
      SendDigests();
    }
    if (now >= next_log_) {
      next_log_ = now + kLogInterval;
      FlushLog();
    }
    if (now >= next_maintain_) {
      next_maintain_ = now + kMaintainInterval;
      transport_.Maintain(std::chrono::steady_clock::now(), kLinkSilence,
                          kLinkIdle);
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
  void Do(const interactive::answer_caller& action) { callers_.Answer(action); }
  void Do(const interactive::close_caller& action) {
    callers_.Close(action.session);
  }
  void Do(const interactive::open_link& action) { links_.Open(action); }
  void Do(const interactive::send_link& action) { links_.Send(action); }
  void Do(const interactive::close_link& action) { links_.Close(action.link); }
  void Do(const interactive::member_checked& action) {
    inbox_.emplace_back(leadership::event(
        leadership::member_checked{action.member, action.status}));
  }
  void Do(const interactive::decision_note& action) {
    Log(action.level, log_part::kSession, "{}", action.text);
  }
  void Do(const interactive::drained& /*action*/) {
    inbox_.emplace_back(leadership::event(leadership::leave_started{}));
  }

  // --- Actions of the keeper ---

  void Apply(std::vector<leadership::action> actions) {
    for (leadership::action& action : actions) {
      std::visit([this](auto& each) { Do(each); }, action);
    }
  }

  void Do(const leadership::call_store& action) {
    CallStore(store_channel_, action.call, kStoreLimit,
              [this, tag = action.tag,
               sent = BootNow()](store::keyspace::reply reply) {
                mirror_.Expect(reply.revision);
                Post(leadership::event(
                    leadership::store_answered{tag, sent, std::move(reply)}));
              });
  }
  void Do(const leadership::set_rights& action) {
    inbox_.emplace_back(
        interactive::event(interactive::rights_changed{action.by_group}));
  }
  // Takes effect before the next action, which may tell others of it.
  void Do(const leadership::stop_primary_work& action) {
    Apply(broker_.StopPrimaryWork(BootNow(), action.group, action.epoch));
  }
  void Do(const leadership::send_digests& /*action*/) { SendDigests(); }
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
                  platform::DecodePromotionStatus(outcome.status)) {
            answered.result = *accepted
                                  ? leadership::promotion_result::kAccepted
                                  : leadership::promotion_result::kRefused;
          }
          if (outcome.status != 0) {
            answered.reason = fmt::format("status {}", outcome.status);
          }
          Post(leadership::event(std::move(answered)));
        });
  }
  void Do(const leadership::fleet_known& action) {
    exchange_.SetFleet(action.vms);
    interactive::fleet_changed changed;
    changed.vms = std::max<int>(1, static_cast<int>(action.vms.size()));
    for (const leadership::vm_registration& vm : action.vms) {
      ++changed.by_zone[vm.availability_zone];
    }
    inbox_.emplace_back(interactive::event(std::move(changed)));
  }
  void Do(const leadership::note& action) {
    Log(action.level, log_part::kPrimary, "{}", action.text);
  }

  // --- The store's keys ---

  store_mirror::handlers MirrorHandlers() {
    return {.loaded =
                [this](const std::vector<store::keyspace::item>& items) {
                  OnLoaded(items);
                },
            .changed =
                [this](const std::vector<store::keyspace::change>& changes) {
                  OnChanged(changes);
                },
            .reachable =
                [](bool reachable, const std::string& reason) {
                  if (reachable) {
                    Log(log_level::kInfo, log_part::kStore,
                        "the store answers.");
                  } else {
                    Log(log_level::kWarning, log_part::kStore,
                        "the store does not answer: {}.", reason);
                  }
                }};
  }

  void OnLoaded(const std::vector<store::keyspace::item>& items) {
    loaded_ = true;
    listing_.Load(items, mirror_.revision());
    leadership::items_loaded loaded;
    for (const store::keyspace::item& item : items) {
      if (item.key.starts_with(leadership::kKeyPrefix)) {
        loaded.items.push_back(item);
      } else if (item.key == platform::kConfigurationKey) {
        SeeConfiguration(item.value, "the store");
      }
    }
    PublishMembers();
    Post(leadership::event(std::move(loaded)));
  }

  void OnChanged(const std::vector<store::keyspace::change>& changes) {
    bool members_changed = false;
    for (const store::keyspace::change& change : changes) {
      if (change.now.key.starts_with(leadership::kKeyPrefix)) {
        Post(leadership::event(
            leadership::item_seen{change.now, change.removed}));
        continue;
      }
      if (!change.removed && change.now.key == platform::kConfigurationKey) {
        SeeConfiguration(change.now.value, "the store");
      }
      members_changed = listing_.Apply(change) || members_changed;
    }
    if (members_changed) {
      PublishMembers();
    }
  }

  void PublishMembers() {
    auto directory = std::make_shared<const interactive::member_directory>(
        listing_.members());
    Post(interactive::event(interactive::members_changed{directory}));
    Post(leadership::event(leadership::members_changed{directory}));
  }

  // An older version is never applied, wherever it comes from.
  void SeeConfiguration(const std::string& value, std::string_view source) {
    auto decoded = platform::DecodeConfiguration(value);
    if (!decoded) {
      Log(log_level::kError, log_part::kConfig,
          "a configuration from {} is not applied: {}.", source,
          decoded.error().reason);
      return;
    }
    if (catalogue_ && decoded->version <= catalogue_->version) {
      return;
    }
    catalogue_ =
        std::make_shared<const interactive::catalogue>(std::move(*decoded));
    configuration_ = value;
    Log(log_level::kInfo, log_part::kConfig,
        "configuration {} from {} is in force: {} routes, {} groups, {} "
        "organisations.",
        catalogue_->version, source, catalogue_->routes.size(),
        catalogue_->groups.size(), catalogue_->organisations.size());
    Post(interactive::event(interactive::catalogue_changed{catalogue_}));
    Post(leadership::event(leadership::catalogue_changed{catalogue_}));
  }

  // --- Other VMs ---

  // On the transport's thread.
  void OnPeerMessage(wire::message message) {
    if (!peer_messages_.TryPush(std::move(message))) {
      return;  // The next digest says the same and more.
    }
    if (!peer_wake_pending_.exchange(true)) {
      net::post(context_, [this] { TakePeerMessages(); });
    }
  }

  void TakePeerMessages() {
    peer_wake_pending_ = false;
    while (auto message = peer_messages_.TryPop()) {
      if (const auto* digest =
              std::get_if<wire::fleet_digest>(&message->body)) {
        OnDigest(message->sender, *digest);
      } else if (const auto* request =
                     std::get_if<wire::configuration_request>(&message->body)) {
        if (catalogue_ && catalogue_->version > request->version) {
          SendTo(message->sender,
                 wire::configuration_copy{catalogue_->version, configuration_});
        }
      } else if (const auto* copy =
                     std::get_if<wire::configuration_copy>(&message->body)) {
        SeeConfiguration(copy->value, "VM " + message->sender);
      } else if (const auto* request =
                     std::get_if<wire::directory_request>(&message->body)) {
        if (listing_.revision() > request->revision) {
          SendTo(message->sender, listing_.Copy());
        }
      } else if (const auto* copy =
                     std::get_if<wire::directory_copy>(&message->body)) {
        SeeListing(*copy, message->sender);
      }
    }
  }

  // The store's own answers are newer, so copies count only without them.
  void SeeListing(const wire::directory_copy& copy, const std::string& vm) {
    const int64_t known = listing_.revision();
    if (!mirror_.reachable() && listing_.Take(copy)) {
      Log(log_level::kInfo, log_part::kStore,
          "the list of members at revision {} comes from VM {}, was {}.",
          copy.revision, vm, known);
      PublishMembers();
    }
  }

  void OnDigest(const std::string& vm, const wire::fleet_digest& digest) {
    const time_point now = BootNow();
    const auto taken = exchange_.Take(vm, digest, now);
    if (!taken) {
      return;
    }
    for (size_t i = 0; i < taken->operations.size(); ++i) {
      Post(interactive::event(interactive::usage_learned{
          taken->operations[i].first, taken->operations[i].second,
          static_cast<double>(digest.usage[i].demand_per_s), vm}));
    }
    if (taken->echo_sent) {
      for (const wire::primary_state& state : digest.primaries) {
        if (state.position_age_ms >= 0) {
          Post(interactive::event(interactive::position_learned{
              state.group, state.position,
              *taken->echo_sent - milliseconds(state.position_age_ms)}));
        }
      }
    }
    mirror_.Expect(digest.store_revision);
    const int64_t own_version = catalogue_ ? catalogue_->version : 0;
    if (digest.configuration_version > own_version && now >= next_copy_) {
      next_copy_ = now + kCopyInterval;
      SendTo(vm, wire::configuration_request{own_version});
    }
    if (!mirror_.reachable() && now >= next_listing_ &&
        digest.directory_revision > listing_.revision()) {
      next_listing_ = now + kCopyInterval;
      SendTo(vm, wire::directory_request{listing_.revision()});
    }
    Post(leadership::event(
        leadership::digest_arrived{vm, digest, taken->echo_sent}));
  }

  void SendTo(const std::string& vm, wire::message_body body) {
    const std::string address = exchange_.AddressOf(vm);
    if (!address.empty()) {
      transport_.Send(vm, address, std::move(body));
    }
  }

  void SendDigests() {
    const time_point now = BootNow();
    // The first digest to a VM only opens the link.
    next_digest_ =
        now + (quick_digests_ > 0 ? kQuickDigestInterval : kDigestInterval);
    quick_digests_ = std::max(0, quick_digests_ - 1);
    const wire::fleet_digest common = BuildDigest(now);
    for (const fleet_exchange::target& to : exchange_.Targets()) {
      wire::fleet_digest digest = common;
      exchange_.Stamp(to.vm, now, digest);
      transport_.Send(to.vm, to.address, std::move(digest));
    }
  }

  // Ages are rounded up: a receiver may take them for no younger than they are.
  static int64_t AgeMs(time_point now, time_point then) {
    return ToMs(now - then) + 1;
  }

  wire::fleet_digest BuildDigest(time_point now) {
    wire::fleet_digest digest;
    digest.incarnation = keeper_.incarnation();
    digest.peer_address = settings_.peer_address;
    digest.leaving = keeper_.leaving();
    digest.store_revision = mirror_.revision();
    digest.configuration_version = catalogue_ ? catalogue_->version : 0;
    digest.directory_revision = listing_.revision();
    if (const auto confirmed = keeper_.confirmed_at()) {
      digest.confirmed_age_ms = AgeMs(now, *confirmed);
    }
    const auto positions = broker_.Positions();
    for (const auto& [group, state] : keeper_.Groups()) {
      wire::primary_state primary;
      primary.group = group;
      primary.member = state.record.member;
      primary.term = state.record.term;
      primary.epoch = state.record.epoch;
      primary.moving = state.record.moving;
      primary.changing = state.changing;
      primary.stopped_epoch = state.stopped_epoch;
      const auto position = positions.find(group);
      if (position != positions.end()) {
        primary.position = position->second.position;
        primary.position_age_ms = AgeMs(now, position->second.covers);
      }
      const interactive::member_health health =
          broker_.HealthOf(state.record.member);
      if (health.last_answer) {
        primary.answer_age_ms = AgeMs(now, *health.last_answer);
      }
      if (health.failing_since) {
        primary.failing_ms = ToMs(now - *health.failing_since);
      }
      digest.primaries.push_back(std::move(primary));
    }
    for (const auto& [name, usage] : broker_.Usage(now)) {
      digest.usage.push_back(
          {name, usage.admitted, static_cast<int64_t>(usage.demand_per_s)});
    }
    return digest;
  }

  // --- Readiness, settings, shutdown ---

  // A VM that the store never answered has no registration and so no right to
  // a primary; others serve callers better.
  bool IsReady() const {
    return loaded_ && catalogue_ && !listing_.members().empty() &&
           !draining_since_;
  }

  std::string MetricsText() {
    const interactive::broker_metrics& metrics = broker_.metrics();
    const auto set = [this](std::string_view name, std::string_view help,
                            uint64_t value) {
      registry_.Gauge(name, help).Set(static_cast<int64_t>(value));
    };
    set("tarragondale_sessions", "Open sessions.", broker_.sessions());
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
    set("tarragondale_log_lines_dropped", "Log lines that were dropped.",
        DroppedLogLines());
    for (const auto& [code, count] : metrics.failures) {
      registry_
          .Gauge("tarragondale_failures", "Failed statements by code.",
                 {{"code", std::string(InfoOf(code).name)}})
          .Set(static_cast<int64_t>(count));
    }
    return registry_.PrometheusText();
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
  }

  void CheckShutdown() {
    if (!draining_since_) {
      return;
    }
    const duration limit = milliseconds(settings_.grace_ms) - kGraceMargin;
    if (keeper_.left()) {
      Finish(true);
    } else if (BootNow() - *draining_since_ > limit) {
      Finish(broker_.sessions() == 0);
    }
  }

  void Finish(bool drained) {
    drained_ = drained;
    mirror_.Stop();
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
    exchange_.SetSeeds(settings_.seed_peers);
    Post(interactive::event(
        interactive::options_changed{BrokerOptions(settings_)}));
  }

  net::io_context context_{1};
  config::settings settings_;
  const std::string path_;
  int64_t settings_changed_ = 0;
  http_channel store_channel_;
  http_channel promotion_channel_;
  store_mirror mirror_;
  caller_server callers_;
  member_links links_;
  readiness_server readiness_;
  interactive::session_broker broker_;
  const leadership::options keeper_options_;
  leadership::keeper keeper_;
  fleet_exchange exchange_;
  peer_transport transport_;
  ring<wire::message> peer_messages_;
  std::atomic<bool> peer_wake_pending_{false};
  net::steady_timer timer_;
  bool timer_armed_ = false;
  time_point armed_for_;
  net::signal_set signals_;
  telemetry::registry registry_;

  std::deque<any_event> inbox_;
  bool running_ = false;
  bool loaded_ = false;  ///< The store's keys were read once.
  member_listing listing_;
  interactive::catalogue_ptr catalogue_;
  std::string configuration_;  ///< As it lies in the store.
  time_point next_digest_;
  int quick_digests_ = kQuickDigests;
  time_point next_log_;
  time_point next_maintain_;
  time_point next_copy_;     ///< No other configuration is asked for before.
  time_point next_listing_;  ///< No other list of members is asked for before.
  std::optional<time_point> draining_since_;
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
