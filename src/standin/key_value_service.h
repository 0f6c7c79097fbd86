// The key-value service: the JSON mapping of the etcd v3 API over HTTP.
#ifndef SRC_STANDIN_KEY_VALUE_SERVICE_H_
#define SRC_STANDIN_KEY_VALUE_SERVICE_H_

#include <nlohmann/json.hpp>
#include <string>

#include "src/standin/http_service.h"
#include "src/standin/key_value_state.h"

namespace tarragondale::standin {

class key_value_service {
 public:
  using json = nlohmann::json;

  key_value_service(reactor& loop, const std::string& host);

  /// @brief Starts to listen. Throws if the port is taken.
  void Open(uint16_t port);

  http_service& http() { return http_; }
  endpoint& listener() { return http_.listener(); }
  int64_t revision() const { return state_.revision(); }

 private:
  http_answer Handle(const http_request& request);
  json Dispatch(const std::string& path, const json& body);

  json Range(const json& body) const;
  json Put(const json& body);
  json DeleteRange(const json& body);
  json Transaction(const json& body);
  json Operation(const json& operation);
  json Compact(const json& body);
  json GrantLease(const json& body);
  json KeepLease(const json& body);
  json RevokeLease(const json& body);
  json Header() const;
  void CheckTransaction(const json& operations) const;
  /// @brief Ends a request that may have changed keys.
  json Finish(json answer);

  task<void> Watch(const http_request& request,
                   chunk_writer& writer,
                   const bool& closed);
  json WatchEvents(const key_range& range, int64_t& next) const;
  task<void> ExpireLeases();

  reactor& loop_;
  key_value_state state_;
  signal changed_;         ///< Keys changed or a watch ended.
  signal leases_changed_;  ///< `NextExpiry` may be sooner.
  http_service http_;
};

}  // namespace tarragondale::standin

#endif  // SRC_STANDIN_KEY_VALUE_SERVICE_H_
