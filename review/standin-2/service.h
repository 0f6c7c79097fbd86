// A loopback server that serves each connection on a thread, and one that
// speaks HTTP with JSON bodies.
#ifndef TARRAGONDALE_REVIEW_STANDIN_2_SERVICE_H_
#define TARRAGONDALE_REVIEW_STANDIN_2_SERVICE_H_

#include <atomic>
#include <nlohmann/json.hpp>
#include <string>

#include "review/standin-2/lines.h"

namespace tarragondale::review {

/// @brief Runs until the process ends: its threads are detached, so it must not
/// be destroyed before.
class service {
 public:
  service() = default;
  virtual ~service() = default;
  service(const service&) = delete;
  service& operator=(const service&) = delete;

  void Start();
  uint16_t port() const { return listener_.port(); }
  std::string address() const { return LoopbackAddress(port()); }

 protected:
  virtual void Serve(line_socket& socket) = 0;

 private:
  listener listener_;
};

class http_service : public service {
 public:
  struct answer {
    int status = 200;
    nlohmann::json body = nlohmann::json::object();
  };
  struct request {
    std::string method;
    std::string path;
    std::string query;
    std::string body;
  };

 protected:
  virtual answer Handle(const request& call) = 0;

 private:
  void Serve(line_socket& socket) override;
};

/// @brief The value of a parameter of a query, decoded; empty if there is none.
std::string Parameter(const std::string& query, const std::string& name);

}  // namespace tarragondale::review

#endif  // TARRAGONDALE_REVIEW_STANDIN_2_SERVICE_H_
