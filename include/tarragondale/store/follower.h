// Keeps the newest valid configuration of the store.
#ifndef TARRAGONDALE_STORE_FOLLOWER_H_
#define TARRAGONDALE_STORE_FOLLOWER_H_

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "tarragondale/store/configuration_store.h"

namespace tarragondale::store {

/// @brief Decides which version is in force. Pure.
class version_rules {
 public:
  struct decision {
    config::configuration_ptr publish;  ///< Null: nothing new.
    std::vector<failure> failures;      ///< Rows or versions refused.
  };

  /// @brief Replaces all rows after a full load.
  decision Load(const snapshot& loaded);
  /// @brief Applies the events of one or more revisions.
  decision Apply(const watch_message& message);

  /// @brief Version in force; 0: none yet.
  int64_t version() const { return in_force_ ? in_force_->version : 0; }
  /// @brief Version of the rows, in force or refused.
  int64_t offered() const { return rows_.value().version; }

 private:
  decision Decide();

  row_set rows_;
  config::configuration_ptr in_force_;
  std::optional<int64_t> refused_;  ///< Version reported as refused.
};

struct follower_handlers {
  /// Each new version, rising; on the watch's thread.
  std::function<void(config::configuration_ptr)> version;
  /// Rows or versions refused, and trouble with the store. May be empty; called
  /// on the follower's threads, one call at a time.
  std::function<void(const failure&)> trouble;
};

struct follower_options {
  client_options client;
  /// Interval of reads of the version row. They show that the store answers
  /// and find a watch whose connection is silent.
  milliseconds poll_interval{1000};
};

/// @brief Follows the configuration with a watch on one thread and reads of
/// the version row on another.
class follower {
 public:
  follower(follower_options options, follower_handlers handlers);
  /// @brief Stops; see `Stop`.
  ~follower();
  follower(const follower&) = delete;
  follower& operator=(const follower&) = delete;

  /// @brief Version in force; null before the first load.
  config::configuration_ptr Newest() const;

  /// @brief When the last read that the store answered was sent, and the
  /// version that it showed; empty: never. The configuration is current as of
  /// that time if `Newest()` has this version.
  struct store_answer {
    time_point sent;
    int64_t version = 0;
  };
  std::optional<store_answer> LastAnswer() const;

  /// @brief Ends both threads; returns at once unless a handler is running.
  void Stop();

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace tarragondale::store

#endif  // TARRAGONDALE_STORE_FOLLOWER_H_
