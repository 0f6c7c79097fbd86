// Accepts callers and carries their lines to and from the session broker. Keeps
// what is held for callers within the budget.
#ifndef TARRAGONDALE_SRC_RUNTIME_LINE_CALLER_SERVER_H_
#define TARRAGONDALE_SRC_RUNTIME_LINE_CALLER_SERVER_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "src/runtime/line/connection.h"
#include "src/runtime/line/input_budget.h"
#include "src/runtime/listener.h"
#include "tarragondale/interactive.h"

namespace tarragondale::runtime {

/// @brief Used by one thread.
class caller_server {
 public:
  using limit = input_budget::limit;
  struct handlers {
    std::function<void(interactive::event)> event;
    /// Ends a session that is hosted for another VM.
    std::function<void(interactive::session_id)> end_hosted;
  };

  caller_server(boost::asio::io_context& context,
                input_budget& budget,
                handlers handlers);

  /// @brief Open connections. Beyond, one that has not started a session is
  /// closed for each new one; without such, the new one is refused.
  void SetMaxConnections(size_t value) { max_connections_ = value; }

  /// @brief Listens on `address` (IP:port). Failure: `setting_invalid`.
  status Listen(const std::string& address);
  void StopListening();

  void Accept(interactive::session_id session);
  void Answer(const interactive::answer_caller& answer);
  /// @brief Closes a session. Statements that have arrived and were not read
  /// yet are refused as not run, unless an earlier one has no answer, for which
  /// the caller would take the refusal.
  void Close(interactive::session_id session);

  /// @brief To be called when more is held. Ends sessions that hold most, soon,
  /// if the budget is used up.
  void Relieve();

  size_t connections() const { return callers_.size() + ending_.size(); }

 private:
  struct caller {
    std::shared_ptr<line_connection> connection;
    bool started = false;   ///< It named a database.
    bool accepted = false;  ///< The broker took the session.
    /// Statements that the broker has received and not answered.
    size_t unanswered = 0;
    bool paused = false;  ///< Its statements wait for others' answers.
    time_point connected;
  };

  void Add(boost::asio::ip::tcp::socket socket);
  void OnLine(interactive::session_id session, const std::string& line);
  void OnClosed(interactive::session_id session);
  void OnUnread(interactive::session_id session, size_t bytes, bool completed);
  void OnWritten(interactive::session_id session);
  void PauseOrResume(interactive::session_id session, caller& of);
  void AddStatement(interactive::session_id session,
                    caller& from,
                    interactive::caller_statement statement);
  bool MakeRoom(boost::asio::ip::tcp::socket& refused);
  void EndLargest();
  void End(interactive::session_id session, limit reason);
  void Note(limit reason, const std::string& text);
  void Reject(interactive::session_id session, result_code code);
  static void RefuseArrived(const caller& from);
  void SweepSilent();

  boost::asio::io_context& context_;
  input_budget& budget_;
  handlers handlers_;
  listener listener_;
  boost::asio::steady_timer sweep_;
  std::unordered_map<interactive::session_id, caller> callers_;
  /// Connections that have not started a session, the oldest first.
  std::set<interactive::session_id> silent_;
  /// Connections whose sessions ended and whose last text is being written.
  std::unordered_map<interactive::session_id, std::weak_ptr<line_connection>>
      ending_;
  size_t max_connections_ = 3'000;
  bool relieves_ = false;
  std::array<time_point, input_budget::kLimits> next_note_;
  interactive::session_id last_ = 0;
};

}  // namespace tarragondale::runtime

#endif  // TARRAGONDALE_SRC_RUNTIME_LINE_CALLER_SERVER_H_
