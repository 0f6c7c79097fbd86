// Watch on a thread of its own.
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <thread>

#include "src/store/connection.h"
#include "tarragondale/store/client.h"

namespace tarragondale::store {
namespace {

constexpr milliseconds kFirstPause{50};
constexpr milliseconds kLongestPause{1000};
constexpr unsigned kHttpOk = 200;

}  // namespace

class watcher::impl {
 public:
  impl(client_options options, watch_request request, watch_handlers handlers)
      : options_(std::move(options)),
        request_(std::move(request)),
        handlers_(std::move(handlers)),
        thread_([this] { Run(); }) {}

  ~impl() { Stop(); }

  void Restart() {
    reload_ = true;
    connection_.Interrupt();
  }

  void Stop() {
    connection_.Stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

 private:
  void Run() {
    if (options_.endpoints.empty()) {
      Trouble({result_code::kStoreUnavailable, "no endpoint is configured"});
      return;
    }
    milliseconds pause = kFirstPause;
    size_t endpoint = 0;
    while (!connection_.stopped()) {
      if (reload_.exchange(false) && !Load()) {
        reload_ = true;
      } else if (Follow(options_.endpoints[endpoint])) {
        pause = kFirstPause;
      }
      endpoint = (endpoint + 1) % options_.endpoints.size();
      connection_.Pause(pause);
      pause = std::min(pause * 2, kLongestPause);
    }
  }

  bool Load() {
    const auto first = handlers_.load();
    if (first) {
      request_.start_revision = *first;
    }
    return first.has_value();
  }

  // Watches until the connection ends. True if the service took the watch, so
  // that the next attempt needs only the shortest pause.
  bool Follow(const std::string& endpoint) {
    connection_.Close();
    connection_start_ = request_.start_revision;
    const time_point deadline =
        std::chrono::steady_clock::now() + options_.timeout;
    if (auto failed = connection_.Open(endpoint, deadline)) {
      return Trouble(*failed);
    }
    if (auto failed =
            connection_.Send("/v3/watch", EncodeWatch(request_), deadline)) {
      return Trouble(*failed);
    }
    const auto head = connection_.ReceiveHead(deadline);
    if (!head) {
      return Trouble(head.error());
    }
    if (*head != kHttpOk) {
      return Trouble({result_code::kStoreUnavailable,
                      fmt::format("{}: status {}", endpoint, *head)});
    }
    bool taken = false;
    while (!connection_.stopped() && !reload_) {
      const auto line = connection_.ReceiveLine();
      if (!line) {
        Trouble(line.error());
        break;
      }
      const auto message = DecodeWatchMessage(*line);
      if (!message) {
        Trouble(message.error());
        return false;
      }
      if (!Deliver(*message)) {
        break;
      }
      taken = true;
    }
    return taken;
  }

  // False if the watch has ended.
  bool Deliver(const watch_message& message) {
    if (message.compact_revision > 0) {
      reload_ = true;
      return false;
    }
    if (message.cancelled) {
      Trouble({result_code::kStoreUnavailable,
               fmt::format("the watch was cancelled: {}", message.reason)});
      reload_ = true;
      return false;
    }
    if (message.events.empty()) {
      return true;
    }
    watch_message fresh = message;
    // A service may repeat events after a resume. Events of one revision may
    // come in several messages, so the limit is that of the whole connection.
    std::erase_if(fresh.events, [this](const watch_event& event) {
      return event.row.mod_revision < connection_start_;
    });
    if (!fresh.events.empty()) {
      request_.start_revision = fresh.events.back().row.mod_revision + 1;
      handlers_.events(fresh);
    }
    return true;
  }

  bool Trouble(const failure& cause) {
    if (handlers_.trouble && !connection_.stopped() && !reload_) {
      handlers_.trouble(cause);
    }
    return false;
  }

  const client_options options_;
  watch_request request_;
  const watch_handlers handlers_;
  connection connection_;
  int64_t connection_start_ = 0;
  std::atomic<bool> reload_{true};
  std::thread thread_;
};

watcher::watcher(client_options options,
                 watch_request request,
                 watch_handlers handlers)
    : impl_(std::make_unique<impl>(std::move(options),
                                   std::move(request),
                                   std::move(handlers))) {}

watcher::~watcher() = default;

void watcher::Restart() {
  impl_->Restart();
}

void watcher::Stop() {
  impl_->Stop();
}

}  // namespace tarragondale::store
