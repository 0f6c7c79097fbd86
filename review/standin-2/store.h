// Stand-ins of the platform: its store, and the interface that promotes
// members. The store is always up and answers at once.
#ifndef TARRAGONDALE_REVIEW_STANDIN_2_STORE_H_
#define TARRAGONDALE_REVIEW_STANDIN_2_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "review/standin-2/service.h"

namespace tarragondale::review {

class store : public http_service {
 public:
  /// @brief Writes a key without a lease, as the operator and members do.
  void Put(const std::string& key, const nlohmann::json& value);

 private:
  struct lease {
    time_point end;
    milliseconds lifetime{0};
  };

  answer Handle(const request& call) override;
  answer Key(const request& call);
  answer Range(const request& call);
  answer Watch(const request& call, std::unique_lock<std::mutex>& lock);
  answer Transact(const nlohmann::json& body);
  answer Grant(const nlohmann::json& body);
  answer Keep(int64_t id);
  answer End(int64_t id);
  void Write(const std::string& key, const std::string& base64, int64_t id);
  void Erase(const std::string& key);
  void EndLeases();

  std::mutex mutex_;
  std::condition_variable changed_;
  int64_t revision_ = 1;
  int64_t last_lease_ = 0;
  std::map<std::string, nlohmann::json> items_;
  std::vector<nlohmann::json> events_;
  std::map<int64_t, lease> leases_;
};

/// @brief Accepts each promotion and passes it on.
class promotions : public http_service {
 public:
  using handler =
      std::function<void(const std::string& group, const std::string& member)>;
  explicit promotions(handler on_call) : on_call_(std::move(on_call)) {}

 private:
  answer Handle(const request& call) override;

  handler on_call_;
};

}  // namespace tarragondale::review

#endif  // TARRAGONDALE_REVIEW_STANDIN_2_STORE_H_
