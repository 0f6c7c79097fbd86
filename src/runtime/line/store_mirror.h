// Copy of the store's keys, kept current by a watch.
#ifndef TARRAGONDALE_SRC_RUNTIME_LINE_STORE_MIRROR_H_
#define TARRAGONDALE_SRC_RUNTIME_LINE_STORE_MIRROR_H_

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "src/runtime/line/http_channel.h"
#include "tarragondale/store/keyspace.h"

namespace tarragondale::runtime {

/// @brief Loads all keys, then follows changes, and loads anew when the
/// store's history does not reach back. Stops while the VM follows a relay.
/// Used by one thread.
class store_mirror {
 public:
  struct handlers {
    /// All keys, read page by page; keys that are missing are gone.
    std::function<void(const std::vector<store::keyspace::item>&,
                       int64_t revision)>
        loaded;
    std::function<void(const std::vector<store::keyspace::change>&,
                       int64_t revision)>
        changed;
    /// The store answers (again), or does not (any more), with the reason.
    std::function<void(bool reachable, const std::string& reason)> reachable;
  };

  store_mirror(boost::asio::io_context& context,
               http_channel& channel,
               uint64_t seed,
               handlers handlers);

  void Start() { Load(); }
  void Stop();

  /// @brief Makes no more calls until `Resume`.
  void Pause();
  /// @brief Watches from a revision that is known by other ways; loads all
  /// keys if it is 0.
  void Resume(int64_t revision);
  bool paused() const { return paused_; }

  /// @brief Changes up to this revision are known by other ways.
  void Advance(int64_t revision) { revision_ = std::max(revision_, revision); }

  /// @brief The store is known to have reached this revision. If the watch does
  /// not deliver it soon, its connection is silent, and all is loaded anew,
  /// unless a load goes on already.
  void Expect(int64_t revision);

  /// @brief Changes up to this revision are known.
  int64_t revision() const { return revision_; }

  /// @brief Whether the last call was answered.
  bool reachable() const { return reachable_; }
  /// @brief Sets whether the store answers, as other calls show while the
  /// mirror is paused.
  void SetReachable(bool reachable, const std::string& reason);

 private:
  void Load();
  void LoadPage(std::string after);
  void Watch();
  void WatchLater();
  void CheckWatch(int64_t awaited);
  void RetryLater(bool load);

  http_channel& channel_;
  handlers handlers_;
  boost::asio::steady_timer timer_;
  std::mt19937_64 random_;
  std::vector<store::keyspace::item> loading_;
  int64_t revision_ = 0;    ///< Changes up to here are known.
  int64_t expected_ = 0;    ///< The store has reached this revision.
  int64_t first_page_ = 0;  ///< Revision of the load's first page.
  bool checking_ = false;
  bool loading_now_ = false;
  bool paused_ = false;
  time_point quick_from_;  ///< Watches follow each other faster from then on.
  boost::asio::steady_timer check_timer_;
  /// Answers to calls of an older generation are ignored.
  uint64_t generation_ = 0;
  bool reachable_ = false;
  bool stopped_ = false;
};

}  // namespace tarragondale::runtime

#endif  // TARRAGONDALE_SRC_RUNTIME_LINE_STORE_MIRROR_H_
