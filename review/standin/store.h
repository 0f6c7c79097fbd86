// Stand-in of the platform: its metadata store and its promotion interface.
#ifndef TARRAGONDALE_REVIEW_STANDIN_STORE_H_
#define TARRAGONDALE_REVIEW_STANDIN_STORE_H_

#include <condition_variable>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "review/standin/net.h"

namespace review {

/// @brief Keys, leases, watches and conditional transactions.
class store {
 public:
  explicit store(const std::string& address);
  ~store();
  store(const store&) = delete;
  store& operator=(const store&) = delete;

  /// @brief Writes of members and of the operator.
  void Put(const std::string& key, const nlohmann::json& value);
  void Remove(const std::string& key);

  /// @brief Calls `notify` after each transaction under a condition that was
  /// carried out; empty: none.
  void OnConditional(std::function<void()> notify);

 private:
  struct event {
    int64_t revision = 0;
    nlohmann::json body;
  };
  struct lease {
    int64_t ttl_ms = 0;
    int64_t until_ms = 0;
  };

  http_answer Handle(const http_call& call);
  http_answer Range(const http_call& call);
  http_answer Watch(const http_call& call);
  http_answer Transact(const nlohmann::json& body);
  http_answer Grant(const nlohmann::json& body);
  void Write(const std::string& key, const std::string& value, int64_t lease);
  void Erase(const std::string& key);
  void EndLease(int64_t id);
  void Expire();

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, nlohmann::json> items_;
  std::vector<event> events_;
  std::map<int64_t, lease> leases_;
  std::function<void()> on_conditional_;
  int64_t revision_ = 1;
  int64_t last_lease_ = 0;
  std::atomic<bool> stopping_{false};
  std::thread expiry_;
  server server_;
};

/// @brief `POST /promotion`. Requests are carried out when they arrive; fences
/// are not checked (`requireFence` false), only noted.
class promotions {
 public:
  struct request {
    int64_t at_ms = 0;
    std::string service;
    std::string id;
    std::string holder;
    int64_t token = 0;
    int status = 0;
  };

  /// @param promote Designates a member; false if it is not running.
  promotions(const std::string& address,
             std::function<bool(const std::string& service,
                                const std::string& id)> promote);

  std::vector<request> Requests();

 private:
  http_answer Handle(const http_call& call);

  const std::function<bool(const std::string&, const std::string&)> promote_;
  std::mutex mutex_;
  std::vector<request> requests_;
  server server_;
};

}  // namespace review

#endif  // TARRAGONDALE_REVIEW_STANDIN_STORE_H_
