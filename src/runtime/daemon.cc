// Joins the threads of the daemon.
#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <mutex>
#include <utility>

#include "src/runtime/control_duty.h"
#include "src/runtime/database_driver.h"
#include "src/runtime/duty_thread.h"
#include "src/runtime/http_server.h"
#include "src/runtime/metrics_text.h"
#include "src/runtime/peer_transport.h"
#include "src/runtime/system_sources.h"
#include "src/runtime/vm_list_reader.h"
#include "tarragondale/entry.h"
#include "tarragondale/pool.h"
#include "tarragondale/runtime.h"
#include "tarragondale/store.h"
#include "tarragondale/telemetry.h"

namespace tarragondale::runtime {
namespace {

constexpr size_t kEntryRing = 65'536;
// New requests are refused above this mark, so that answers always find room.
constexpr size_t kEntryRequestMark = 16'384;
constexpr size_t kGatewayRing = 65'536;
constexpr size_t kControlRing = 65'536;
constexpr duration kVmListInterval = seconds(2);
constexpr duration kLinkSilence = seconds(2);
constexpr duration kLinkIdle = seconds(60);
constexpr duration kMaintainInterval = seconds(1);
constexpr duration kRepeatedLogInterval = seconds(30);
constexpr duration kMetricsInterval = milliseconds(500);
// From the start of a drain until new work is refused: the balancer and the
// other VMs learn meanwhile that this VM leaves.
constexpr duration kDrainGrace = seconds(2);

std::string WithPort(const std::string& address, uint16_t port) {
  return address.substr(0, address.rfind(':') + 1) + std::to_string(port);
}

entry::entry_options EntryOptions(const config::settings& settings,
                                  uint64_t origin) {
  entry::entry_options options;
  options.token_key = settings.token_key;
  options.origin = origin;
  options.seed = RandomNumber();
  options.availability_zone = settings.availability_zone;
  options.region = settings.region;
  options.default_timeout = milliseconds(settings.request_timeout_ms);
  options.max_timeout = milliseconds(settings.request_timeout_ms);
  return options;
}

pool::gateway_options GatewayOptions(const config::settings& settings) {
  pool::gateway_options options;
  options.queue_per_organisation = static_cast<size_t>(settings.queue_length);
  options.answer_bytes = static_cast<size_t>(settings.answer_bytes);
  options.transaction_idle_limit = milliseconds(settings.transaction_idle_ms);
  return options;
}

http_options HttpOptions(const config::settings& settings, uint64_t origin) {
  http_options options;
  options.address = settings.http_address;
  options.origin = origin;
  options.body_bytes = static_cast<size_t>(settings.body_bytes);
  options.header_bytes = static_cast<size_t>(settings.header_bytes);
  options.header_timeout = milliseconds(settings.header_timeout_ms);
  options.idle_timeout = milliseconds(settings.idle_timeout_ms);
  options.caller_connections = static_cast<size_t>(settings.caller_connections);
  options.operator_key_digest = settings.operator_key_digest;
  return options;
}

// The newest view of the fleet, which one thread publishes and others read. A
// lock instead of `std::atomic<std::shared_ptr>`: the one of GCC 12 releases
// its internal lock after a load with relaxed order, which ThreadSanitizer
// reports as a race with the next store.
class published_view {
 public:
  void Set(fleet::fleet_view_ptr view) {
    const std::lock_guard lock(mutex_);
    view_ = std::move(view);
  }
  fleet::fleet_view_ptr Get() const {
    const std::lock_guard lock(mutex_);
    return view_;
  }

 private:
  mutable std::mutex mutex_;
  fleet::fleet_view_ptr view_;
};

}  // namespace

// Every member named `..._duty_` or machine is used by its own thread only;
// threads talk through the `Post` functions of the duty threads.
class daemon::implementation {
 public:
  explicit implementation(config::settings settings)
      : settings_(std::move(settings)),
        origin_(RandomNumber()),
        transport_(
            settings_.vm_name,
            [this](wire::message message) { OnMessage(std::move(message)); }),
        router_(EntryOptions(settings_, origin_)),
        gateway_(GatewayOptions(settings_)),
        http_(HttpOptions(settings_, ~origin_), HttpHandlers()),
        entry_thread_(kEntryRing, EntryFunctions()),
        gateway_thread_(kGatewayRing, GatewayFunctions()),
        control_thread_(kControlRing, ControlFunctions()) {}

  ~implementation() { Stop(); }

  status Start() {
    if (const status problem = transport_.Start(settings_.peer_address)) {
      return problem;
    }
    if (const status problem = http_.Listen()) {
      return problem;
    }
    control_ =
        std::make_unique<control_duty>(ControlOptions(), ControlOutputs());
    gateway_client_ = driver_.AddClient([this](database::driver_event event) {
      PostGateway(std::move(event));
    });
    control_client_ = driver_.AddClient([this](database::driver_event event) {
      PostControl(std::move(event));
    });
    driver_.Start();
    // The threads of the HTTP front end and of control read these members, so
    // they start after the members are set; earlier events wait in the rings.
    StartFollowing();
    entry_thread_.Start();
    gateway_thread_.Start();
    control_thread_.Start();
    if (const status problem = http_.Start()) {
      return problem;
    }
    Log(log_level::kInfo, log_part::kMain,
        "VM {} serves callers on {} and VMs on {}.", settings_.vm_name,
        WithPort(settings_.http_address, http_.port()),
        WithPort(settings_.peer_address, transport_.port()));
    return std::nullopt;
  }

  void StartDrain() {
    if (draining_.exchange(true)) {
      return;
    }
    Log(log_level::kInfo, log_part::kMain, "drain started.");
    http_.StartDrain();
    PostControl(leave_requested{});
    drain_at_ = Now() + kDrainGrace;
  }

  bool IsDrained() const {
    return entry_drained_ && gateway_drained_ &&
           http_.metrics().connections.load(std::memory_order_relaxed) == 0;
  }

  uint16_t http_port() const { return http_.port(); }
  uint16_t peer_port() const { return transport_.port(); }

 private:
  static time_point Now() { return std::chrono::steady_clock::now(); }

  void Stop() {
    if (vm_list_) {
      vm_list_->Stop();
    }
    if (follower_) {
      follower_->Stop();
    }
    control_thread_.Stop();
    gateway_thread_.Stop();
    entry_thread_.Stop();
    driver_.Stop();
    transport_.Stop();
    http_.Stop();
  }

  void StartFollowing() {
    store::follower_handlers handlers;
    handlers.version = [this](config::configuration_ptr configuration) {
      Log(log_level::kInfo, log_part::kConfig, "configuration {} is in force.",
          configuration->version);
      PostEntry(entry::configuration_changed{configuration});
      PostGateway(pool::configuration_changed{configuration});
      PostControl(configuration);
    };
    handlers.trouble = [this](const failure& problem) {
      LogStoreTrouble(problem);
    };
    store::follower_options options;
    options.client.endpoints = settings_.store_endpoints;
    options.client.timeout = milliseconds(settings_.store_timeout_ms);
    follower_ = std::make_unique<store::follower>(options, handlers);
    const auto url = config::ParseHttpUrl(settings_.vm_list_url);
    if (url) {
      vm_list_ = std::make_unique<vm_list_reader>(
          url->address, url->path, kVmListInterval,
          [this](std::vector<wire::vm_record> vms) {
            PostControl(vm_list_read{std::move(vms)});
          });
      vm_list_->Start();
    }
  }

  // An outage repeats the same trouble each second; one line in a while is
  // enough. Called on the follower's threads, one call at a time.
  void LogStoreTrouble(const failure& problem) {
    const time_point now = Now();
    if (problem.code == last_trouble_ && now < next_trouble_log_) {
      return;
    }
    last_trouble_ = problem.code;
    next_trouble_log_ = now + kRepeatedLogInterval;
    Log(log_level::kWarning, log_part::kStore, "{}: {}.",
        InfoOf(problem.code).name, problem.reason);
  }

  // --- Rings ---

  void PostEntry(entry::event event) {
    if (!entry_thread_.Post(std::move(event))) {
      Log(log_level::kError, log_part::kEntry, "the entry's ring is full.");
    }
  }

  bool PostGateway(pool::event event) {
    return gateway_thread_.Post(std::move(event));
  }

  bool PostControl(control_event event) {
    return control_thread_.Post(std::move(event));
  }

  // --- Messages of other VMs, on the receiving thread ---

  void OnMessage(wire::message message) {
    if (auto* const request =
            std::get_if<wire::execute_request>(&message.body)) {
      OnRequest(message.sender, std::move(*request));
    } else if (auto* const answer =
                   std::get_if<wire::execute_answer>(&message.body)) {
      PostEntry(entry::answer_arrived{message.sender, std::move(*answer)});
    } else if (auto* const cancel =
                   std::get_if<wire::cancel_request>(&message.body)) {
      PostGateway(pool::cancel_arrived{message.sender, std::move(*cancel)});
    } else if (auto* const interest =
                   std::get_if<wire::group_interest>(&message.body)) {
      PostGateway(pool::interest_arrived{message.sender, std::move(*interest)});
    } else if (auto* const report =
                   std::get_if<wire::group_report>(&message.body)) {
      PostEntry(entry::report_arrived{message.sender, *report});
      PostControl(std::move(message));
    } else {
      PostControl(std::move(message));
    }
  }

  void OnRequest(const std::string& sender, wire::execute_request request) {
    const request_id id = request.id;
    if (!PostGateway(pool::request_arrived{sender, std::move(request)})) {
      // Nothing of it ran, and the entry must hear that at once.
      wire::execute_answer refusal;
      refusal.id = id;
      refusal.code = result_code::kOverloaded;
      Deliver(sender, std::move(refusal));
    }
  }

  // Sends a message to a VM, or straight to the own threads. False if it has
  // certainly not left.
  bool Deliver(const std::string& vm, wire::message_body body) {
    if (vm == settings_.vm_name) {
      if (auto* const request = std::get_if<wire::execute_request>(&body)) {
        return PostGateway(pool::request_arrived{vm, std::move(*request)});
      }
      OnMessage({vm, std::move(body)});
      return true;
    }
    const fleet::fleet_view_ptr view = view_.Get();
    const wire::vm_record* const record = view ? view->Find(vm) : nullptr;
    return record != nullptr &&
           transport_.Send(vm, record->peer_address, std::move(body));
  }

  // --- Entry ---

  duty_thread<entry::event>::functions EntryFunctions() {
    return {
        .handle = [this](time_point now,
                         const entry::event& event) { StepEntry(now, event); },
        .tick =
            [this](time_point now) {
              StepEntry(now, entry::tick{});
              if (now >= next_entry_metrics_) {
                next_entry_metrics_ = now + kMetricsInterval;
                metrics_.SetEntry(router_.metrics(), router_.in_flight());
              }
            },
        .next_deadline = [this]() -> std::optional<time_point> {
          return std::min(router_.NextDeadline().value_or(next_entry_metrics_),
                          next_entry_metrics_);
        }};
  }

  void StepEntry(time_point now, const entry::event& event) {
    for (entry::action& action : router_.Step(now, event)) {
      if (auto* const answer = std::get_if<entry::answer_caller>(&action)) {
        LogAnswer(*answer);
        http_.Answer(std::move(*answer));
      } else if (auto* const send = std::get_if<entry::send_request>(&action)) {
        const request_id id = send->request.id;
        if (!Deliver(send->vm, std::move(send->request))) {
          StepEntry(now, entry::send_failed{id});
        }
      } else if (auto* const cancel =
                     std::get_if<entry::send_cancel>(&action)) {
        Deliver(cancel->vm, std::move(cancel->request));
      } else if (auto* const interest =
                     std::get_if<entry::send_interest>(&action)) {
        Deliver(interest->vm, std::move(interest->interest));
      } else if (std::holds_alternative<entry::drained>(action)) {
        entry_drained_ = true;
        PostGateway(pool::drain_started{});
      }
    }
  }

  static void LogAnswer(const entry::answer_caller& answer) {
    const result_code_info& info = InfoOf(answer.code);
    const log_level level = info.result == outcome::kUnknown
                                ? log_level::kWarning
                                : log_level::kDebug;
    Log(level, log_part::kEntry, "request {} ends as {}: {}.",
        ToText(answer.id), OutcomeName(info.result), info.name);
  }

  // --- Gateway ---

  duty_thread<pool::event>::functions GatewayFunctions() {
    return {
        .handle = [this](time_point now,
                         const pool::event& event) { StepGateway(now, event); },
        .tick =
            [this](time_point now) {
              StepGateway(now, pool::tick{});
              if (now >= next_gateway_metrics_) {
                next_gateway_metrics_ = now + kMetricsInterval;
                metrics_.SetGateway(gateway_.metrics());
              }
            },
        .next_deadline = [this]() -> std::optional<time_point> {
          return std::min(
              gateway_.NextDeadline().value_or(next_gateway_metrics_),
              next_gateway_metrics_);
        }};
  }

  void StepGateway(time_point now, const pool::event& event) {
    for (pool::action& action : gateway_.Step(now, event)) {
      if (auto* const command = std::get_if<database::command>(&action)) {
        CommandDatabase(gateway_client_, std::move(*command));
      } else if (auto* const answer = std::get_if<pool::send_answer>(&action)) {
        Deliver(answer->vm, std::move(answer->answer));
      } else if (auto* const report = std::get_if<pool::send_report>(&action)) {
        Deliver(report->vm, std::move(report->report));
      } else if (std::holds_alternative<pool::drained>(action)) {
        gateway_drained_ = true;
      }
    }
  }

  bool CommandDatabase(database_driver::client_id client,
                       database::command command) {
    if (driver_.Submit(client, std::move(command))) {
      return true;
    }
    // The time limits of the client find the loss.
    Log(log_level::kError, log_part::kDatabase, "the driver's ring is full.");
    return false;
  }

  // --- Control ---

  control_options ControlOptions() const {
    wire::vm_record self;
    self.name = settings_.vm_name;
    self.peer_address = WithPort(settings_.peer_address, transport_.port());
    self.http_address = WithPort(settings_.http_address, http_.port());
    self.availability_zone = settings_.availability_zone;
    self.region = settings_.region;
    self.incarnation = static_cast<uint64_t>(UnixMsNow());
    return {.self = std::move(self),
            .store_region = settings_.store_region,
            .seed = RandomNumber()};
  }

  control_outputs ControlOutputs() {
    return {
        .send =
            [this](std::string_view vm, std::string_view address,
                   wire::message_body body) {
              if (vm == settings_.vm_name) {
                return Deliver(std::string(vm), std::move(body));
              }
              return transport_.Send(vm, address, std::move(body));
            },
        .publish_view =
            [this](const fleet::fleet_view_ptr& view) {
              view_.Set(view);
              PostEntry(entry::fleet_changed{view});
              PostGateway(pool::fleet_changed{view});
            },
        .publish_currency =
            [this](bool current) {
              PostEntry(entry::currency_changed{current});
            },
        .command_database =
            [this](database::command command) {
              return CommandDatabase(control_client_, std::move(command));
            },
        .on_notice = [this](const group::notice& notice) { OnNotice(notice); }};
  }

  void OnNotice(const group::notice& notice) {
    using kind = group::notice_kind;
    const std::string_view name = group::NoticeKindName(notice.kind);
    registry_
        .Counter("tarragondale_failover_notices_total",
                 "Steps of failovers that this VM coordinated.",
                 {{"kind", std::string(name)}})
        .Add();
    const bool routine = notice.kind == kind::kSuspicionCleared ||
                         notice.kind == kind::kSuspected;
    Log(routine ? log_level::kInfo : log_level::kWarning, log_part::kControl,
        "failover of group {}: {}; member {}, term {}; {}.", notice.group, name,
        notice.member, notice.term, notice.reason);
  }

  duty_thread<control_event>::functions ControlFunctions() {
    return {.handle =
                [this](time_point now, control_event event) {
                  control_->Handle(now, std::move(event));
                },
            .tick = [this](time_point now) { TickControl(now); },
            .next_deadline = [this] { return control_->NextDeadline(); }};
  }

  void TickControl(time_point now) {
    control_->Tick(now);
    if (now >= next_maintenance_) {
      next_maintenance_ = now + kMaintainInterval;
      transport_.Maintain(now, kLinkSilence, kLinkIdle);
    }
    if (const auto answer =
            follower_ ? follower_->LastAnswer() : std::nullopt) {
      if (answer->sent > last_store_answer_) {
        last_store_answer_ = answer->sent;
        control_->Handle(now, store_answered{answer->sent, answer->version});
      }
    }
    if (draining_ && !drain_sent_ && now >= drain_at_.load()) {
      drain_sent_ = true;
      http_.StopAccepting();
      PostEntry(entry::drain_started{});
    }
  }

  // --- HTTP ---

  http_handlers HttpHandlers() {
    http_handlers handlers;
    handlers.submit = [this](entry::caller_request request) {
      return entry_thread_.SizeApprox() < kEntryRequestMark &&
             entry_thread_.Post(std::move(request));
    };
    handlers.caller_gone = [this](uint64_t connection) {
      PostEntry(entry::caller_gone{connection});
    };
    handlers.answered = [this](result_code code, duration span) {
      answer_times_[static_cast<size_t>(InfoOf(code).result)]->Record(span);
    };
    handlers.is_ready = [this] { return control_ && control_->IsReady(); };
    handlers.metrics = [this] {
      return metrics_.Text(http_.metrics(), transport_.metrics()) +
             registry_.PrometheusText();
    };
    handlers.status = [this] { return control_->StatusJson(); };
    handlers.drain = [this] { StartDrain(); };
    handlers.switchover = [this](switchover_request request) {
      return control_->Coordinates(request.group) &&
             PostControl(std::move(request));
    };
    return handlers;
  }

  telemetry::latency_histogram& AnswerTimes(outcome of) {
    return registry_.Histogram("tarragondale_answer_seconds",
                               "Time from a caller's request to its answer.",
                               {{"outcome", std::string(OutcomeName(of))}});
  }

  const config::settings settings_;
  const uint64_t origin_;
  published_view view_;
  metrics_text metrics_;
  telemetry::registry registry_;
  // Time to answer callers, by outcome.
  const std::array<telemetry::latency_histogram*, 3> answer_times_ = {
      &AnswerTimes(outcome::kDone), &AnswerTimes(outcome::kNotRun),
      &AnswerTimes(outcome::kUnknown)};
  std::atomic<bool> draining_{false};
  std::atomic<time_point> drain_at_{time_point::max()};
  std::atomic<bool> entry_drained_{false};
  std::atomic<bool> gateway_drained_{false};
  result_code last_trouble_ = result_code::kOk;
  time_point next_trouble_log_;

  peer_transport transport_;
  entry::request_router router_;
  time_point next_entry_metrics_;
  pool::gateway gateway_;
  time_point next_gateway_metrics_;
  std::unique_ptr<control_duty> control_;
  time_point next_maintenance_;
  time_point last_store_answer_;
  bool drain_sent_ = false;
  database_driver driver_;
  database_driver::client_id gateway_client_ = 0;
  database_driver::client_id control_client_ = 0;
  http_server http_;
  duty_thread<entry::event> entry_thread_;
  duty_thread<pool::event> gateway_thread_;
  duty_thread<control_event> control_thread_;
  std::unique_ptr<store::follower> follower_;
  std::unique_ptr<vm_list_reader> vm_list_;
};

result<std::unique_ptr<daemon>> daemon::Start(
    const config::settings& settings) {
  auto parts = std::make_unique<implementation>(settings);
  if (const status problem = parts->Start()) {
    return *problem;
  }
  return std::unique_ptr<daemon>(new daemon(std::move(parts)));
}

daemon::daemon(std::unique_ptr<implementation> parts)
    : parts_(std::move(parts)) {}

daemon::~daemon() = default;

void daemon::StartDrain() {
  parts_->StartDrain();
}

bool daemon::IsDrained() const {
  return parts_->IsDrained();
}

uint16_t daemon::http_port() const {
  return parts_->http_port();
}

uint16_t daemon::peer_port() const {
  return parts_->peer_port();
}

}  // namespace tarragondale::runtime
