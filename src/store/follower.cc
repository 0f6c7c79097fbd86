// Keeps the newest valid configuration of the store.
#include "tarragondale/store/follower.h"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <iterator>
#include <mutex>
#include <thread>

namespace tarragondale::store {

version_rules::decision version_rules::Load(const snapshot& loaded) {
  rows_ = loaded.rows;
  return Decide();
}

version_rules::decision version_rules::Apply(const watch_message& message) {
  decision all;
  // Each version is decided on its own, so that one that is refused does not
  // take the next one with it, and the state between two versions is not used.
  for (const watch_event& event : message.events) {
    if (event.deleted) {
      rows_.Delete(event.row.key);
    } else {
      rows_.Put(event.row);
    }
    if (event.row.key != kVersionKey) {
      continue;
    }
    decision next = Decide();
    if (next.publish) {
      all.publish = std::move(next.publish);
    }
    std::move(next.failures.begin(), next.failures.end(),
              std::back_inserter(all.failures));
  }
  return all;
}

version_rules::decision version_rules::Decide() {
  decision made;
  const int64_t offered = rows_.value().version;
  if (offered == version() || refused_ == offered) {
    return made;
  }
  for (const auto& [key, fault] : rows_.invalid()) {
    made.failures.push_back(fault);
  }
  if (offered < version()) {
    made.failures.push_back(
        {result_code::kStoreRowInvalid,
         fmt::format("the store went back from version {} to {}", version(),
                     offered)});
  } else if (made.failures.empty()) {
    made.failures = config::CheckConfiguration(rows_.value());
  }
  if (made.failures.empty()) {
    in_force_ = std::make_shared<const config::configuration>(rows_.value());
    made.publish = in_force_;
    refused_.reset();
  } else {
    refused_ = offered;
  }
  return made;
}

class follower::impl {
 public:
  impl(follower_options options, follower_handlers handlers)
      : options_(std::move(options)),
        handlers_(std::move(handlers)),
        load_client_(options_.client),
        poll_client_(options_.client),
        // Keys, pools, routes and version lie side by side; the audit trail and
        // the groups come before them and are left out.
        watcher_(options_.client,
                 {kKeysPrefix, std::string(kVersionKey) + '\0', 0},
                 {[this] { return Load(); },
                  [this](const watch_message& message) { Apply(message); },
                  [this](const failure& cause) { Report(cause); }}),
        poll_thread_([this] { Poll(); }) {}

  ~impl() { Stop(); }

  config::configuration_ptr Newest() const {
    const std::lock_guard lock(mutex_);
    return newest_;
  }

  std::optional<store_answer> LastAnswer() const {
    const std::lock_guard lock(mutex_);
    return last_answer_;
  }

  void Stop() {
    {
      const std::lock_guard lock(mutex_);
      stopped_ = true;
    }
    wake_.notify_all();
    load_client_.Stop();
    poll_client_.Stop();
    watcher_.Stop();
    if (poll_thread_.joinable()) {
      poll_thread_.join();
    }
  }

 private:
  std::optional<int64_t> Load() {
    configuration_store store(load_client_);
    const auto loaded = store.Load();
    if (!loaded) {
      Report(loaded.error());
      return std::nullopt;
    }
    Take(rules_.Load(*loaded));
    return loaded->revision + 1;
  }

  void Apply(const watch_message& message) { Take(rules_.Apply(message)); }

  void Take(const version_rules::decision& made) {
    for (const failure& each : made.failures) {
      Report(each);
    }
    seen_version_ = rules_.offered();
    if (made.publish) {
      {
        const std::lock_guard lock(mutex_);
        newest_ = made.publish;
      }
      if (handlers_.version) {
        handlers_.version(made.publish);
      }
    }
  }

  void Report(const failure& cause) {
    if (handlers_.trouble) {
      const std::lock_guard lock(report_mutex_);
      handlers_.trouble(cause);
    }
  }

  // Runs on the poll thread.
  void Poll() {
    int64_t behind = 0;  // Version that the last poll saw and the watch lacked.
    std::unique_lock lock(mutex_);
    while (!stopped_) {
      lock.unlock();
      const time_point sent = std::chrono::steady_clock::now();
      const auto version = ReadVersion();
      if (version && *version > seen_version_) {
        if (behind != 0) {
          watcher_.Restart();
        }
        behind = behind == 0 ? *version : 0;
      } else {
        behind = 0;
      }
      lock.lock();
      if (version) {
        last_answer_ = store_answer{sent, *version};
      }
      wake_.wait_for(lock, options_.poll_interval, [this] { return stopped_; });
    }
  }

  std::optional<int64_t> ReadVersion() {
    const auto answer = poll_client_.Range({kVersionKey, "", 0, 0});
    if (!answer) {
      return std::nullopt;
    }
    if (answer->rows.empty()) {
      return 0;
    }
    const auto row = DecodeVersion(answer->rows[0].value);
    return row ? row->version : 0;
  }

  const follower_options options_;
  const follower_handlers handlers_;
  client load_client_;
  client poll_client_;
  mutable std::mutex mutex_;
  std::mutex report_mutex_;
  std::condition_variable wake_;
  config::configuration_ptr newest_;
  std::optional<store_answer> last_answer_;
  bool stopped_ = false;
  version_rules rules_;  ///< On the watch's thread only.
  std::atomic<int64_t> seen_version_{0};
  watcher watcher_;
  std::thread poll_thread_;
};

follower::follower(follower_options options, follower_handlers handlers)
    : impl_(std::make_unique<impl>(std::move(options), std::move(handlers))) {}

follower::~follower() = default;

config::configuration_ptr follower::Newest() const {
  return impl_->Newest();
}

std::optional<follower::store_answer> follower::LastAnswer() const {
  return impl_->LastAnswer();
}

void follower::Stop() {
  impl_->Stop();
}

}  // namespace tarragondale::store
