// Tests of the HTTP front end over loopback: bad callers get a numbered answer
// or a closed connection, never another caller's answer.
#include "src/runtime/http_server.h"

#include <gtest/gtest.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "tarragondale/base/ring.h"

namespace tarragondale::runtime {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr duration kLimit = seconds(20);
constexpr char kOperatorKey[] = "operator-key";

// A plain socket, so that tests can send anything.
class raw_client {
 public:
  explicit raw_client(uint16_t port) : socket_(context_) {
    socket_.connect({asio::ip::make_address("127.0.0.1"), port});
  }

  void Send(const std::string& text) {
    boost::system::error_code ignored;
    asio::write(socket_, asio::buffer(text), ignored);
  }

  // Reads one answer by its content-length; empty if the connection closed.
  std::string ReadAnswer() {
    while (true) {
      const size_t end = received_.find("\r\n\r\n");
      if (end != std::string::npos) {
        const size_t at = received_.find("Content-Length: ");
        const size_t length =
            at < end ? std::stoul(received_.substr(at + 16)) : 0;
        const size_t whole = end + 4 + length;
        if (received_.size() >= whole) {
          const std::string answer = received_.substr(0, whole);
          received_.erase(0, whole);
          return answer;
        }
      }
      if (!ReadSome()) {
        return {};
      }
    }
  }

  // True once the server has closed the connection.
  bool WaitForClose() {
    while (ReadSome()) {
    }
    return true;
  }

  void Close() { socket_.close(); }

 private:
  bool ReadSome() {
    char buffer[4096];
    boost::system::error_code error;
    const size_t count = socket_.read_some(asio::buffer(buffer), error);
    received_.append(buffer, count);
    return !error;
  }

  asio::io_context context_;
  tcp::socket socket_;
  std::string received_;
};

class HttpServerTest : public testing::Test {
 protected:
  void StartServer(http_options options = {}) {
    options.address = "127.0.0.1:0";
    options.operator_key_digest = Sha256(kOperatorKey);
    http_handlers handlers;
    handlers.submit = [this](entry::caller_request request) {
      return requests_.TryPush(std::move(request));
    };
    handlers.caller_gone = [this](uint64_t connection) {
      gone_.TryPush(connection);
    };
    handlers.answered = [](result_code, duration) {};
    handlers.is_ready = [] { return true; };
    handlers.metrics = [] { return std::string("up 1\n"); };
    handlers.status = [] { return std::string("{}\n"); };
    handlers.drain = [this] { drains_.TryPush(1); };
    handlers.switchover = [this](switchover_request request) {
      return request.group == "orders" &&
             switchovers_.TryPush(std::move(request));
    };
    server_ = std::make_unique<http_server>(options, std::move(handlers));
    ASSERT_FALSE(server_->Start());
  }

  static std::string Post(const std::string& path,
                          const std::string& body,
                          const std::string& headers = "") {
    return fmt::format(
        "POST {} HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n{}\r\n{}", path,
        body.size(), headers, body);
  }

  static std::string Read(const std::string& route) {
    return Post("/v1/execute", "{\"route\": \"" + route +
                                   "\", \"kind\": \"read\", \"statements\": "
                                   "[{\"sql\": \"SELECT 1\"}]}");
  }

  entry::caller_request NextRequest() {
    auto request =
        requests_.PopUntil(std::chrono::steady_clock::now() + kLimit);
    EXPECT_TRUE(request);
    return request.value_or(entry::caller_request{});
  }

  void AnswerWith(uint64_t exchange, const std::string& text) {
    entry::answer_caller answer;
    answer.exchange = exchange;
    answer.id = {1, exchange};
    answer.results = {{{{"value", 25}}, {{text}}, 1}};
    answer.session = "token-" + text;
    server_->Answer(std::move(answer));
  }

  // Sends bytes and expects a refusal with this code, then a closed connection.
  void ExpectRefusal(const std::string& bytes, result_code code) {
    raw_client client(server_->port());
    client.Send(bytes);
    const std::string answer = client.ReadAnswer();
    EXPECT_NE(answer.find(fmt::format("\"code\":{},", static_cast<int>(code))),
              std::string::npos)
        << answer;
    EXPECT_NE(answer.find("\"outcome\":\"not_run\""), std::string::npos);
    EXPECT_NE(answer.find("Tarragondale-Request-Id: "), std::string::npos);
  }

  ring<entry::caller_request> requests_{64};
  ring<uint64_t> gone_{64};
  ring<int> drains_{64};
  ring<switchover_request> switchovers_{64};
  std::unique_ptr<http_server> server_;
};

// Guards against an answer that reaches another request.
TEST_F(HttpServerTest, AnswersReachTheirOwnRequestInAnyOrder) {
  StartServer();
  raw_client a(server_->port());
  raw_client b(server_->port());
  a.Send(Read("a"));
  const uint64_t first = NextRequest().exchange;
  b.Send(Read("b"));
  const uint64_t second = NextRequest().exchange;
  AnswerWith(second, "for-b");
  AnswerWith(first, "for-a");
  AnswerWith(first, "late");
  const std::string answer = a.ReadAnswer();
  EXPECT_NE(answer.find("[[\"for-a\"]]"), std::string::npos) << answer;
  EXPECT_NE(answer.find("Tarragondale-Session: token-for-a"),
            std::string::npos);
  EXPECT_NE(b.ReadAnswer().find("[[\"for-b\"]]"), std::string::npos);
  // The late answer must not be taken for the next request.
  a.Send(Read("a2"));
  AnswerWith(first, "late");
  AnswerWith(NextRequest().exchange, "second");
  EXPECT_NE(a.ReadAnswer().find("[[\"second\"]]"), std::string::npos);
}

// Guards against two answers in one when requests are pipelined.
TEST_F(HttpServerTest, PipelinedRequestsAreServedOneByOne) {
  StartServer();
  raw_client client(server_->port());
  client.Send(Read("one") + Read("two"));
  const auto one = NextRequest();
  EXPECT_EQ(one.route, "one");
  AnswerWith(one.exchange, "1");
  EXPECT_NE(client.ReadAnswer().find("[[\"1\"]]"), std::string::npos);
  const auto two = NextRequest();
  EXPECT_EQ(two.route, "two");
  AnswerWith(two.exchange, "2");
  EXPECT_NE(client.ReadAnswer().find("[[\"2\"]]"), std::string::npos);
}

TEST_F(HttpServerTest, MalformedInputGetsANumberedRefusal) {
  http_options options;
  options.body_bytes = 1000;
  options.header_bytes = 2000;
  StartServer(options);
  ExpectRefusal("not http at all\r\n\r\n", result_code::kMalformedHttp);
  ExpectRefusal("GET / HTTP/9.9\r\n\r\n", result_code::kMalformedHttp);
  ExpectRefusal(Post("/v1/execute", std::string(1001, 'x')),
                result_code::kBodyTooLarge);
  ExpectRefusal(
      Post("/v1/execute", "", "X: " + std::string(3000, 'x') + "\r\n"),
      result_code::kHeaderTooLarge);
  ExpectRefusal(Post("/v1/execute", "{"), result_code::kMalformedJson);
  ExpectRefusal(Post("/v1/execute", "{}"), result_code::kInvalidField);
  ExpectRefusal(Post("/v1/nothing", "{}"), result_code::kUnknownPath);
  ExpectRefusal("GET /v1/execute HTTP/1.1\r\n\r\n",
                result_code::kMethodNotAllowed);
  ExpectRefusal(Post("/v1/execute", "{}",
                     "Authorization: Bearer a\r\nAuthorization: Bearer b\r\n"),
                result_code::kDuplicateHeader);
  EXPECT_FALSE(requests_.TryPop());
}

// Guards against callers that hold connections with headers that never end.
TEST_F(HttpServerTest, SlowCallersAreRefused) {
  http_options options;
  options.header_timeout = milliseconds(50);
  StartServer(options);
  ExpectRefusal("POST /v1/execute HTTP/1.1\r\nHost: ",
                result_code::kRequestTimeout);
  ExpectRefusal("POST /v1/execute HTTP/1.1\r\nContent-Length: 10\r\n\r\nab",
                result_code::kRequestTimeout);
}

TEST_F(HttpServerTest, IdleConnectionsAreClosed) {
  http_options options;
  options.idle_timeout = milliseconds(50);
  StartServer(options);
  raw_client client(server_->port());
  EXPECT_TRUE(client.WaitForClose());
}

// Guards against work for a caller that is gone.
TEST_F(HttpServerTest, DisconnectDuringARequestIsReported) {
  StartServer();
  uint64_t connection = 0;
  {
    raw_client client(server_->port());
    client.Send(Read("a"));
    connection = NextRequest().connection;
    client.Close();
  }
  EXPECT_EQ(gone_.PopUntil(std::chrono::steady_clock::now() + kLimit),
            connection);
}

TEST_F(HttpServerTest, ConnectionsOverTheLimitAreRefused) {
  http_options options;
  options.caller_connections = 1;
  StartServer(options);
  raw_client first(server_->port());
  first.Send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
  EXPECT_NE(first.ReadAnswer().find("200 OK"), std::string::npos);
  ExpectRefusal("", result_code::kTooManyConnections);
}

// Guards against a refusal that is a lie: a full ring runs nothing.
TEST_F(HttpServerTest, FullRingIsAnOverload) {
  StartServer();
  while (requests_.TryPush({})) {
  }
  ExpectRefusal(Read("a"), result_code::kOverloaded);
}

// Guards against a shutdown that cuts a request.
TEST_F(HttpServerTest, DrainLetsTheRunningRequestFinish) {
  StartServer();
  raw_client idle(server_->port());
  raw_client busy(server_->port());
  busy.Send(Read("a"));
  const auto request = NextRequest();
  server_->StartDrain();
  raw_client fresh(server_->port());
  fresh.Send("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n");
  EXPECT_NE(fresh.ReadAnswer().find("503"), std::string::npos);
  server_->StopAccepting();
  EXPECT_TRUE(idle.WaitForClose());
  AnswerWith(request.exchange, "whole");
  const std::string answer = busy.ReadAnswer();
  EXPECT_NE(answer.find("[[\"whole\"]]"), std::string::npos);
  EXPECT_NE(answer.find("Connection: close"), std::string::npos);
}

// Guards against an open administration interface.
TEST_F(HttpServerTest, AdministrationNeedsTheOperatorKey) {
  StartServer();
  const std::string body = R"({"group": "orders"})";
  ExpectRefusal(Post("/v1/admin/switchover", body), result_code::kKeyMissing);
  ExpectRefusal(
      Post("/v1/admin/switchover", body, "Authorization: Bearer wrong\r\n"),
      result_code::kKeyInvalid);
  EXPECT_FALSE(switchovers_.TryPop());
  raw_client client(server_->port());
  client.Send(Post("/v1/admin/switchover", body,
                   fmt::format("Authorization: Bearer {}\r\n", kOperatorKey)));
  EXPECT_NE(client.ReadAnswer().find("202"), std::string::npos);
  EXPECT_EQ(switchovers_.TryPop()->group, "orders");
  ExpectRefusal(Post("/v1/admin/switchover", R"({"group": "proofs"})",
                     fmt::format("Authorization: Bearer {}\r\n", kOperatorKey)),
                result_code::kNotOwner);
}

}  // namespace
}  // namespace tarragondale::runtime
