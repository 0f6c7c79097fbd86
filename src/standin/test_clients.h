// Clients for the tests of the stand-ins: libpq, HTTP and raw sockets.
#ifndef SRC_STANDIN_TEST_CLIENTS_H_
#define SRC_STANDIN_TEST_CLIENTS_H_

#include <gtest/gtest.h>
#include <libpq-fe.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "tarragondale/standin.h"

namespace tarragondale::standin {

using json = nlohmann::json;

/// Longest wait for a condition; far above any expected time, since tests run
/// beside others on a busy machine.
inline constexpr seconds kPatience{30};

/// Polls until the condition holds; false after `kPatience`.
inline bool WaitFor(const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + kPatience;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(2));
  }
  return true;
}

/// What a statement returned.
struct reply {
  std::string sqlstate;  ///< Empty: success.
  std::string tag;
  std::vector<std::string> names;
  std::vector<uint32_t> types;
  std::vector<std::vector<std::string>> rows;  ///< NULL is "<null>".
  bool lost = false;                           ///< The connection broke.

  bool ok() const { return sqlstate.empty() && !lost; }
  std::string Cell(const std::string& name) const {
    for (size_t i = 0; i < names.size(); ++i) {
      if (names[i] == name && !rows.empty()) {
        return rows[0][i];
      }
    }
    return "<missing>";
  }
};

/// A libpq connection.
class pq_client {
 public:
  pq_client(const server& parts, const std::string& member)
      : handle_(PQconnectdb(fmt::format("host=127.0.0.1 port={} dbname=test "
                                        "user=test connect_timeout=30",
                                        parts.Port(member))
                                .c_str()),
                PQfinish) {}

  bool ok() const { return PQstatus(handle_.get()) == CONNECTION_OK; }
  std::string error() const { return PQerrorMessage(handle_.get()); }
  PGconn* handle() const { return handle_.get(); }

  /// Runs one statement by an extended query.
  reply Run(const std::string& sql,
            const std::vector<std::string>& params = {}) {
    std::vector<const char*> values;
    values.reserve(params.size());
    for (const std::string& param : params) {
      values.push_back(param == "<null>" ? nullptr : param.c_str());
    }
    return Read(PQexecParams(handle_.get(), sql.c_str(),
                             static_cast<int>(values.size()), nullptr,
                             values.data(), nullptr, nullptr, 0));
  }
  /// Runs statements by a simple query; the reply of the last.
  reply Simple(const std::string& sql) {
    return Read(PQexec(handle_.get(), sql.c_str()));
  }
  /// Starts a statement without waiting for the reply.
  void Send(const std::string& sql) {
    ASSERT_EQ(PQsendQueryParams(handle_.get(), sql.c_str(), 0, nullptr, nullptr,
                                nullptr, nullptr, 0),
              1);
    PQflush(handle_.get());
  }
  /// True if the reply to `Send` has arrived.
  bool Arrived() {
    PQconsumeInput(handle_.get());
    return PQisBusy(handle_.get()) == 0;
  }
  /// Waits for the reply to `Send`.
  reply Receive() {
    reply last;
    while (PGresult* const part = PQgetResult(handle_.get())) {
      last = Read(part);
    }
    return last;
  }

  reply Read(PGresult* raw) const {
    const std::unique_ptr<PGresult, decltype(&PQclear)> part(raw, PQclear);
    reply answer;
    const char* const state = PQresultErrorField(raw, PG_DIAG_SQLSTATE);
    answer.sqlstate = state == nullptr ? "" : state;
    const ExecStatusType status = PQresultStatus(raw);
    answer.lost = PQstatus(handle_.get()) == CONNECTION_BAD ||
                  (status != PGRES_COMMAND_OK && status != PGRES_TUPLES_OK &&
                   status != PGRES_EMPTY_QUERY && answer.sqlstate.empty());
    answer.tag = PQcmdStatus(raw);
    for (int column = 0; column < PQnfields(raw); ++column) {
      answer.names.emplace_back(PQfname(raw, column));
      answer.types.push_back(PQftype(raw, column));
    }
    for (int row = 0; row < PQntuples(raw); ++row) {
      std::vector<std::string> cells;
      cells.reserve(static_cast<size_t>(PQnfields(raw)));
      for (int column = 0; column < PQnfields(raw); ++column) {
        cells.emplace_back(PQgetisnull(raw, row, column) != 0
                               ? "<null>"
                               : PQgetvalue(raw, row, column));
      }
      answer.rows.push_back(std::move(cells));
    }
    return answer;
  }

 private:
  std::unique_ptr<PGconn, decltype(&PQfinish)> handle_;
};

/// A blocking TCP connection.
class raw_client {
 public:
  raw_client(const server& parts, const std::string& part) : socket_(context_) {
    socket_.connect(
        {boost::asio::ip::make_address("127.0.0.1"), parts.Port(part)});
  }

  bool Write(const std::string& bytes) {
    boost::system::error_code error;
    boost::asio::write(socket_, boost::asio::buffer(bytes), error);
    return !error;
  }
  /// Reads until the server closes the connection.
  std::string ReadToEnd() {
    std::string bytes;
    boost::system::error_code error;
    boost::asio::read(socket_, boost::asio::dynamic_buffer(bytes), error);
    return bytes;
  }
  /// Reads up to and including `end`.
  std::string ReadUntil(const std::string& end) {
    boost::system::error_code error;
    const size_t count = boost::asio::read_until(
        socket_, boost::asio::dynamic_buffer(pending_), end, error);
    std::string bytes = pending_.substr(0, count);
    pending_.erase(0, count);
    return bytes;
  }
  /// Bytes that arrived and were not read.
  size_t Available() const { return socket_.available(); }

 private:
  boost::asio::io_context context_;
  boost::asio::ip::tcp::socket socket_;
  std::string pending_;
};

struct http_reply {
  int status = 0;  ///< 0: the connection ended without an answer.
  json body;
};

/// Sends one request on a new connection.
inline http_reply Call(const server& parts,
                       const std::string& part,
                       boost::beast::http::verb method,
                       const std::string& path,
                       const std::string& body) {
  namespace http = boost::beast::http;
  boost::asio::io_context context;
  boost::asio::ip::tcp::socket socket(context);
  boost::system::error_code error;
  socket.connect({boost::asio::ip::make_address("127.0.0.1"), parts.Port(part)},
                 error);
  http::request<http::string_body> request(method, path, 11);
  request.body() = body;
  request.prepare_payload();
  http::write(socket, request, error);
  boost::beast::flat_buffer buffer;
  http::response<http::string_body> response;
  http::read(socket, buffer, response, error);
  if (error) {
    return {};
  }
  return {static_cast<int>(response.result_int()),
          json::parse(response.body(), nullptr, false)};
}

inline http_reply Post(const server& parts,
                       const std::string& part,
                       const std::string& path,
                       const json& body = json::object()) {
  return Call(parts, part, boost::beast::http::verb::post, path, body.dump());
}

inline http_reply Get(const server& parts,
                      const std::string& part,
                      const std::string& path) {
  return Call(parts, part, boost::beast::http::verb::get, path, "");
}

/// A control request that must succeed.
inline json Control(server& parts,
                    const std::string& path,
                    const json& body = json::object()) {
  const control_answer answer = parts.Control("POST", path, body.dump());
  EXPECT_EQ(answer.status, 200) << path << " " << answer.body;
  return json::parse(answer.body, nullptr, false);
}

inline json ReadOut(server& parts, const std::string& path) {
  const control_answer answer = parts.Control("GET", path);
  EXPECT_EQ(answer.status, 200) << path << " " << answer.body;
  return json::parse(answer.body, nullptr, false);
}

/// Value of a member's counter.
inline int64_t Counter(server& parts,
                       const std::string& part,
                       const std::string& name) {
  return ReadOut(parts, "/v1/parts/" + part + "/counters")["counters"].value(
      name, int64_t{0});
}

/// Group `g` with members `a`, `b` and `c`, and table `t(id, s)`.
inline group_options ThreeMembers() {
  group_options group;
  group.name = "g";
  group.members = {{"a"}, {"b"}, {"c"}};
  group.limits.open_time = milliseconds(0);
  group.limits.statement_time = milliseconds(0);
  group.limits.replication_delay = milliseconds(0);
  group.initial_sql = "CREATE TABLE t(id INTEGER PRIMARY KEY, s TEXT, r REAL)";
  return group;
}

inline std::unique_ptr<server> StartServer(const server_options& options) {
  auto started = server::Start(options);
  EXPECT_TRUE(started) << started.error().reason;
  return started ? std::move(*started) : nullptr;
}

inline std::unique_ptr<server> StartGroup(
    const group_options& group = ThreeMembers()) {
  server_options options;
  options.groups = {group};
  return StartServer(options);
}

}  // namespace tarragondale::standin

#endif  // SRC_STANDIN_TEST_CLIENTS_H_
