// Accepts callers and carries their lines to and from the session broker.
#ifndef TARRAGONDALE_SRC_RUNTIME_LINE_CALLER_SERVER_H_
#define TARRAGONDALE_SRC_RUNTIME_LINE_CALLER_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "src/runtime/line/connection.h"
#include "src/runtime/listener.h"
#include "tarragondale/interactive.h"

namespace tarragondale::runtime {

/// @brief Used by one thread.
class caller_server {
 public:
  using handler = std::function<void(const interactive::event&)>;

  caller_server(boost::asio::io_context& context, handler on_event);

  /// @brief Listens on `address` (IP:port). Failure: `setting_invalid`.
  status Listen(const std::string& address);
  void StopListening();

  void Accept(interactive::session_id session);
  void Answer(const interactive::answer_caller& answer);
  /// @brief Closes a session. Statements that have arrived and were not read
  /// yet are refused as not run, unless an earlier one has no answer, for which
  /// the caller would take the refusal.
  void Close(interactive::session_id session);

  size_t connections() const { return callers_.size(); }

 private:
  struct caller {
    std::shared_ptr<line_connection> connection;
    bool started = false;   ///< It named a database.
    bool accepted = false;  ///< The broker took the session.
    /// Statements that the broker has received and not answered.
    size_t unanswered = 0;
    time_point connected;
  };

  void Add(boost::asio::ip::tcp::socket socket);
  void OnLine(interactive::session_id session, const std::string& line);
  void OnClosed(interactive::session_id session);
  void Reject(interactive::session_id session, result_code code);
  static void RefuseArrived(const caller& from);
  void SweepSilent();

  boost::asio::io_context& context_;
  handler on_event_;
  listener listener_;
  boost::asio::steady_timer sweep_;
  std::unordered_map<interactive::session_id, caller> callers_;
  interactive::session_id last_ = 0;
};

}  // namespace tarragondale::runtime

#endif  // TARRAGONDALE_SRC_RUNTIME_LINE_CALLER_SERVER_H_
