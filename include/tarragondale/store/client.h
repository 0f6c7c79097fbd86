// Client of the key-value service: synchronous calls with a time limit, and a
// watch on a thread of its own.
#ifndef TARRAGONDALE_STORE_CLIENT_H_
#define TARRAGONDALE_STORE_CLIENT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "tarragondale/store/messages.h"

namespace tarragondale::store {

/// @brief Calls that configuration edits need; replaced in tests.
class key_value_store {
 public:
  key_value_store() = default;
  key_value_store(const key_value_store&) = delete;
  key_value_store& operator=(const key_value_store&) = delete;
  virtual ~key_value_store() = default;

  /// @brief Failure: `store_unavailable`; a read has no effect to lose.
  virtual result<range_answer> Range(const range_request& request) = 0;

  /// @brief Failures: `store_unavailable` if nothing took effect,
  /// `store_answer_lost` if the transaction may have taken effect.
  virtual result<txn_answer> Txn(const txn_request& request) = 0;
};

struct client_options {
  std::vector<std::string> endpoints;  ///< IP:port, tried in order.
  milliseconds timeout{1000};          ///< Of one call with all endpoints.
};

/// @brief Calls run on the caller's thread and take at most `timeout`. One
/// call at a time: calls of several threads wait for each other.
class client final : public key_value_store {
 public:
  explicit client(client_options options);
  ~client() override;

  result<range_answer> Range(const range_request& request) override;
  result<txn_answer> Txn(const txn_request& request) override;

  /// @brief Failures as for `Txn`.
  result<lease_answer> GrantLease(int64_t ttl_s);
  /// @brief Failures as for `Txn`; `row_not_found` if the lease has ended.
  result<lease_answer> KeepLeaseAlive(int64_t id);
  /// @brief Failures as for `Txn`.
  status RevokeLease(int64_t id);

  /// @brief Ends the running call and all later ones with a failure. From any
  /// thread.
  void Stop();

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

/// @brief What a watch tells its owner, on the watch's thread.
struct watch_handlers {
  /// Loads what is watched and returns the first revision to watch; empty if
  /// that failed, and then it is called again after a pause. Called at the
  /// start, after a compaction and after `Restart`.
  std::function<std::optional<int64_t>()> load;
  /// Events in order, each once between two loads.
  std::function<void(const watch_message&)> events;
  /// The watch broke and will be resumed. May be empty.
  std::function<void(const failure&)> trouble;
};

/// @brief A watch that resumes after the last revision that it delivered.
class watcher {
 public:
  /// @brief Starts the thread. `request.start_revision` is ignored.
  watcher(client_options options,
          watch_request request,
          watch_handlers handlers);
  /// @brief Stops; see `Stop`.
  ~watcher();
  watcher(const watcher&) = delete;
  watcher& operator=(const watcher&) = delete;

  /// @brief Closes the connection and loads again, for example when the
  /// connection is silent although the store has new revisions. From any
  /// thread.
  void Restart();

  /// @brief Closes the connection and joins the thread; returns at once unless
  /// a handler is running. Never call it from a handler.
  void Stop();

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace tarragondale::store

#endif  // TARRAGONDALE_STORE_CLIENT_H_
