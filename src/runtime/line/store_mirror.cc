// Load and watch of the store's keys.
#include "src/runtime/line/store_mirror.h"

#include "src/runtime/line/store_call.h"

namespace tarragondale::runtime {

using store::keyspace::call_status;
using store::keyspace::EraOf;
using store::keyspace::NumberOf;

namespace {

// Without a byte of the answer.
constexpr duration kLoadLimit = milliseconds(1'200);
// An answer that arrived in part so recently is still arriving.
constexpr duration kProgressSpan = milliseconds(400);
// Many changes in a row, as when a fleet registers, are taken together.
constexpr duration kWatchPause = milliseconds(20);
constexpr duration kStartWatchPause = milliseconds(250);
constexpr duration kStartSpan = seconds(2);
// How long the store holds a watch without changes. A connection that went
// silent is noticed within `kWatchLimit`, so that a configuration is in force
// in time even if no other VM can tell of it.
constexpr milliseconds kWatchWait(1'500);
constexpr duration kWatchLimit = milliseconds(2'500);
// How long a known revision may be missing before the watch counts as silent.
// Short enough that a configuration is in force in time.
constexpr duration kExpectedLimit = milliseconds(800);
constexpr int64_t kRetryMinMs = 150;
constexpr int64_t kRetryMaxMs = 400;

}  // namespace

store_mirror::store_mirror(boost::asio::io_context& context,
                           http_channel& channel,
                           uint64_t seed,
                           handlers handlers)
    : channel_(channel),
      handlers_(std::move(handlers)),
      timer_(context),
      random_(seed),
      check_timer_(context) {}

void store_mirror::Stop() {
  stopped_ = true;
  timer_.cancel();
  check_timer_.cancel();
}

void store_mirror::Pause() {
  ++generation_;
  paused_ = true;
  loading_now_ = false;
  timer_.cancel();
}

void store_mirror::Resume(int64_t revision) {
  paused_ = false;
  revision_ = std::max(revision_, revision);
  if (revision_ == 0) {
    return Load();
  }
  ++generation_;
  Watch();
}

void store_mirror::Expect(int64_t revision) {
  expected_ = std::max(expected_, revision);
  if (expected_ <= revision_ || checking_ || stopped_ || paused_) {
    return;
  }
  if (EraOf(expected_) > EraOf(revision_) && revision_ > 0) {
    if (!loading_now_) {
      Log(log_level::kWarning, log_part::kStore,
          "the store was restored: it is in era {}, revision {} is of era {}; "
          "all is loaded anew.",
          EraOf(expected_), NumberOf(revision_), EraOf(revision_));
      Load();
    }
    return;
  }
  checking_ = true;
  check_timer_.expires_after(kExpectedLimit);
  check_timer_.async_wait(
      [this, awaited = expected_](boost::system::error_code error) {
        checking_ = false;
        if (!error) {
          CheckWatch(awaited);
        }
      });
}

// While the store does not answer, its return is awaited anyway.
void store_mirror::CheckWatch(int64_t awaited) {
  const bool watches = !stopped_ && !paused_ && !loading_now_ && reachable_;
  if (!watches || revision_ >= awaited) {
    return;
  }
  if (std::chrono::steady_clock::now() - channel_.last_progress() <
      kProgressSpan) {
    return Expect(expected_);  // A long answer is arriving.
  }
  Log(log_level::kWarning, log_part::kStore,
      "the watch is silent at revision {}, the store is at {}; all is loaded "
      "anew.",
      revision_, awaited);
  Load();
}

void store_mirror::Load() {
  ++generation_;
  timer_.cancel();
  loading_.clear();
  loading_now_ = true;
  if (quick_from_ == time_point()) {
    quick_from_ = std::chrono::steady_clock::now() + kStartSpan;
  }
  first_page_ = 0;
  LoadPage("");
}

// Pages are no snapshot, so the watch starts at the first page's revision and
// repeats changes that later pages may hold already.
void store_mirror::LoadPage(std::string after) {
  CallStore(channel_, store::keyspace::range_call{"", std::move(after)},
            kLoadLimit,
            [this, generation = generation_](store::keyspace::reply reply) {
              if (stopped_ || generation != generation_) {
                return;
              }
              if (reply.status != call_status::kDone) {
                SetReachable(false, reply.reason);
                loading_now_ = false;
                return RetryLater(true);
              }
              SetReachable(true, "");
              if (first_page_ == 0) {
                first_page_ = reply.revision;
              } else if (EraOf(first_page_) != EraOf(reply.revision)) {
                return Load();  // The store was restored between two pages.
              }
              const std::string last =
                  reply.items.empty() ? std::string() : reply.items.back().key;
              std::move(reply.items.begin(), reply.items.end(),
                        std::back_inserter(loading_));
              if (reply.more && !last.empty()) {
                return LoadPage(last);
              }
              revision_ = std::max(revision_, first_page_);
              loading_now_ = false;
              handlers_.loaded(std::exchange(loading_, {}), first_page_);
              WatchLater();
            });
}

void store_mirror::Watch() {
  // A store that did not answer is asked by short calls: a long one that is
  // lost would hide its return.
  CallStore(
      channel_,
      store::keyspace::watch_call{"", revision_,
                                  reachable_ ? kWatchWait : milliseconds(1)},
      reachable_ ? kWatchLimit : kLoadLimit,
      [this, generation = generation_](const store::keyspace::reply& reply) {
        if (stopped_ || generation != generation_) {
          return;
        }
        if (reply.status == call_status::kCompacted) {
          Log(log_level::kInfo, log_part::kStore,
              "changes after revision {} of era {} are not kept ({}); all is "
              "loaded anew.",
              NumberOf(revision_), EraOf(revision_), reply.reason);
          return Load();
        }
        if (reply.status != call_status::kDone) {
          SetReachable(false, reply.reason);
          return RetryLater(false);
        }
        SetReachable(true, "");
        revision_ = std::max(revision_, reply.revision);
        if (!reply.changes.empty()) {
          handlers_.changed(reply.changes, reply.revision);
        }
        reply.changes.empty() ? Watch() : WatchLater();
      });
}

// The handlers may have paused the mirror.
void store_mirror::WatchLater() {
  if (paused_ || stopped_) {
    return;
  }
  const bool starting = std::chrono::steady_clock::now() < quick_from_;
  timer_.expires_after(starting ? kStartWatchPause : kWatchPause);
  timer_.async_wait(
      [this, generation = generation_](boost::system::error_code error) {
        if (!error && !stopped_ && generation == generation_) {
          Watch();
        }
      });
}

void store_mirror::RetryLater(bool load) {
  std::uniform_int_distribution<int64_t> pause(kRetryMinMs, kRetryMaxMs);
  timer_.expires_after(milliseconds(pause(random_)));
  timer_.async_wait([this, load](boost::system::error_code error) {
    if (!error && !stopped_ && !paused_) {
      load ? Load() : Watch();
    }
  });
}

void store_mirror::SetReachable(bool reachable, const std::string& reason) {
  if (reachable_ != reachable) {
    reachable_ = reachable;
    handlers_.reachable(reachable, reason);
  }
}

}  // namespace tarragondale::runtime
