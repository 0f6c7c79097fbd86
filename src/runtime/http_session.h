// One caller connection of the HTTP front end.
#ifndef TARRAGONDALE_SRC_RUNTIME_HTTP_SESSION_H_
#define TARRAGONDALE_SRC_RUNTIME_HTTP_SESSION_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "src/runtime/answer_encoder.h"
#include "src/runtime/http_server.h"

namespace tarragondale::runtime {

class http_session;

/// @brief What all sessions share. Used on the HTTP thread only.
struct http_shared {
  const http_options& options;
  const http_handlers& handlers;
  http_metrics& metrics;
  // Sessions by connection number.
  std::unordered_map<uint64_t, std::shared_ptr<http_session>> sessions = {};
  // Connections that wait for an answer, by exchange number.
  std::unordered_map<uint64_t, uint64_t> exchanges = {};
  uint64_t last_connection = 0;
  uint64_t last_exchange = 0;
  uint64_t last_refusal = 0;
  bool draining = false;
};

/// @brief Reads requests, hands them to the entry and writes answers.
///
/// Invariants: one state at a time; at most one wait for readable data and one
/// timer are pending; `exchange_` names the request that is being served, and 0
/// none.
class http_session : public std::enable_shared_from_this<http_session> {
 public:
  http_session(boost::asio::ip::tcp::socket socket,
               uint64_t connection,
               http_shared& shared);

  void Start();

  /// @brief Answers `too_many_connections` and closes.
  void RefuseConnection();

  /// @brief Writes the answer if `exchange` is the present one.
  void OnAnswer(const entry::answer_caller& answer);

  /// @brief Closes if no request is in progress.
  void CloseIfIdle();

  void Close();

 private:
  enum class state : uint8_t {
    kIdle,     // Waits for the first byte of a request.
    kReading,  // Reads a header or body.
    kServing,  // Waits for the entry's answer.
    kWriting,
    kLingering,  // Reads until the peer closes, so that it gets the answer.
    kClosed,
  };
  using parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;
  using response =
      boost::beast::http::response<boost::beast::http::string_body>;

  void WaitReadable();
  void OnReadable(const boost::system::error_code& error);
  void BeginRead();
  void OnHeader(const boost::system::error_code& error);
  void ReadBody();
  void OnBody(const boost::system::error_code& error);
  void OnReadError(const boost::system::error_code& error);
  void Dispatch();
  void Submit(const http_request& request, const routed_path& path);
  void Administer(const http_request& request, const routed_path& path);
  bool IsOperator(const http_request& request) const;
  void WatchForClose();
  void Refuse(const failure& reason, bool close);
  void Write(http_answer answer, bool close);
  void OnWritten(const boost::system::error_code& error);
  void Linger();
  void SetTimer(duration limit);
  void OnTimer();
  void NoteCallerGone();
  void EndExchange();

  boost::asio::ip::tcp::socket socket_;
  const uint64_t connection_;
  http_shared& shared_;
  boost::asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  std::optional<parser> parser_;
  std::optional<response> response_;
  std::string linger_buffer_;
  uint64_t exchange_ = 0;
  time_point served_since_;  // When the present request was read.
  uint64_t timer_generation_ = 0;
  state state_ = state::kIdle;
  bool wait_pending_ = false;  // A wait for readable data is in progress.
  bool keep_alive_ = true;
  bool close_after_write_ = false;
  bool gone_noted_ = false;
  bool submitted_ = false;  // The entry knows this connection.
};

}  // namespace tarragondale::runtime

#endif  // TARRAGONDALE_SRC_RUNTIME_HTTP_SESSION_H_
