// Stand-in of one database service: a primary and its replicas.
#ifndef TARRAGONDALE_REVIEW_STANDIN_GROUP_H_
#define TARRAGONDALE_REVIEW_STANDIN_GROUP_H_

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "review/standin/net.h"
#include "review/standin/store.h"

namespace review {

struct group_options {
  std::string service;
  int64_t replica_lag_ms = 20;
  int64_t promote_ms = 300;
  /// Of a read, a write or a commit: mean, spread of its logarithm, maximum.
  double work_ms = 5;
  double work_spread = 0;
  double work_most_ms = 1000;
  int slots = 2;
  int queue = 16;  ///< Statements that wait for a slot; more get `BUSY`.
  int max_connections = 16;
};

/// @brief A commit that wrote, or a single write.
struct commit {
  int64_t at_ms = 0;
  std::string statement;
  std::string member;
  int64_t term = 0;
  /// Another member was already leading a higher term.
  bool superseded = false;
};

/// @brief The members of a service. Their entries in the store are kept
/// current. Thread-safe.
class group {
 public:
  group(group_options options, store& directory);
  ~group();
  group(const group&) = delete;
  group& operator=(const group&) = delete;

  /// @brief Starts a member. The first one leads term 1; others start with the
  /// log of the member that leads.
  void Start(const std::string& id,
             const std::string& address,
             const std::string& zone);
  /// @brief The member reports that it is draining, and goes on serving.
  void Drain(const std::string& id);
  /// @brief The member ends, and its entry is removed.
  void Leave(const std::string& id);
  /// @brief As `POST /promotion`: false if the member is not running.
  bool Promote(const std::string& id);

  std::vector<commit> Commits();
  /// @brief Statements of clients that reached a member, with the name of who
  /// had opened the connection.
  std::map<std::string, std::string> Arrived();
  std::string Leader();

 private:
  struct entry {
    int64_t term = 0;
    int64_t at_ms = 0;
    std::string statement;
    std::string item;
    std::string data;
  };
  struct member {
    std::string id;
    std::string address;
    std::string zone;
    bool draining = false;
    bool primary = false;
    int64_t term = 0;
    int64_t leads_since_ms = 0;
    int64_t born = 0;
    int64_t sequence = 0;
    int64_t next_beat_ms = 0;
    std::vector<entry> log;
    int running = 0;
    int waiting = 0;
    int connections = 0;
    std::unique_ptr<server> listener;
  };
  struct promotion {
    std::string id;
    int64_t at_ms = 0;
  };
  struct session {
    std::map<std::string, std::string> prepared;
    std::vector<entry> pending;
    bool open = false;
    bool read_only = false;
    bool failed = false;
    int64_t term = 0;  ///< Of the member at the begin of the transaction.
    std::string who;   ///< Opened the connection.
  };
  struct reply {
    std::vector<std::string> rows;
    std::string result = "DONE -";
  };

  void Serve(const std::string& id, int socket);
  reply Run(const std::string& id,
            session& of,
            const std::string& statement,
            std::string text);
  reply Work(const std::string& id,
             session& of,
             const std::string& statement,
             const std::string& text);
  reply RunData(member& at,
                session& of,
                const std::string& statement,
                const std::string& text);
  void Commit(member& at, const std::vector<entry>& writes);
  void Step();
  void Follow(member& replica, const member& leader) const;
  member* Find(const std::string& id);
  member* LeaderOf();
  int64_t NewestTerm() const;
  static std::string Position(const member& of);
  int64_t DrawWorkMs();
  void Beat(member& of);

  const group_options options_;
  store& directory_;
  std::mutex mutex_;
  std::condition_variable slot_free_;
  std::map<std::string, std::unique_ptr<member>> members_;
  std::vector<std::unique_ptr<server>> ended_;
  std::vector<promotion> promotions_;
  std::vector<commit> commits_;
  std::map<std::string, std::string> arrived_;
  int64_t last_signature_ = 0;
  std::mt19937_64 random_{7};
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace review

#endif  // TARRAGONDALE_REVIEW_STANDIN_GROUP_H_
