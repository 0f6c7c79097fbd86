// Tests of sessions that are closed, with callers on loopback.
#include "src/runtime/line/caller_server.h"

#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "src/base/port_lease.h"

namespace tarragondale::runtime {
namespace {

namespace net = boost::asio;
using net::ip::tcp;

class CallerServerTest : public testing::Test {
 protected:
  void SetUp() override {
    const tcp::endpoint address(net::ip::address_v4::loopback(), port_.Take());
    ASSERT_FALSE(server_.Listen("127.0.0.1:" + std::to_string(address.port()))
                     .has_value());
    caller_.connect(address);
    Send("START db key\r\n");
    RunUntil([&] { return session_ != 0; });
    server_.Accept(session_);
    ASSERT_TRUE(Receive().starts_with("READY "));
  }

  void Send(const std::string& text) { net::write(caller_, net::buffer(text)); }

  // Runs the server for two seconds at most.
  void RunUntil(const std::function<bool()>& done) {
    for (int i = 0; i < 200 && !done(); ++i) {
      context_.run_for(milliseconds(10));
    }
    ASSERT_TRUE(done());
  }

  // What the caller receives until its connection ends or nothing follows.
  std::string Receive() {
    std::string text;
    boost::system::error_code error;
    caller_.non_blocking(true);
    for (int i = 0; i < 20; ++i) {
      context_.run_for(milliseconds(10));
      char bytes[512];
      const size_t count = caller_.read_some(net::buffer(bytes), error);
      text.append(bytes, count);
      if (error && error != net::error::would_block) {
        ended_ = true;
        break;
      }
    }
    caller_.non_blocking(false);
    return text;
  }

  port_lease port_;
  net::io_context context_;
  interactive::session_id session_ = 0;
  std::vector<std::string> statements_;  ///< Ids that the server passed on.
  bool ended_ = false;                   ///< The caller's connection ended.
  input_budget budget_;
  caller_server server_{
      context_,
      budget_,
      {.event =
           [this](const interactive::event& event) {
             if (const auto* opened =
                     std::get_if<interactive::caller_opened>(&event)) {
               session_ = opened->session;
             } else if (const auto* sent =
                            std::get_if<interactive::caller_sent>(&event)) {
               statements_.push_back(sent->statement.id);
             }
           },
       .end_hosted = [](interactive::session_id) {}}};
  tcp::socket caller_{context_};
};

// Guards against requests that end without an answer during a shutdown: a VM
// that is short of processor time closes sessions whose requests have arrived
// but were not read yet.
TEST_F(CallerServerTest, ArrivedStatementsAreRefusedWhenTheSessionIsClosed) {
  Send("QUERY a READ 1\r\nQUERY b READ 2\r\n");
  server_.Close(session_);
  const std::string received = Receive();
  EXPECT_TRUE(received.starts_with("ERR BUSY ")) << received;
  EXPECT_NE(received.find("ERR BUSY ", 1), std::string::npos) << received;
  EXPECT_TRUE(received.ends_with("READY I -\r\n")) << received;
  EXPECT_TRUE(ended_);
  EXPECT_TRUE(statements_.empty());
}

// Guards against a caller that takes a refusal for the answer to an earlier
// statement, which may have run.
TEST_F(CallerServerTest, NothingIsRefusedBehindAnUnansweredStatement) {
  Send("QUERY a WRITE 1\r\n");
  RunUntil([&] { return !statements_.empty(); });
  Send("QUERY b READ 2\r\n");
  server_.Close(session_);
  EXPECT_EQ(Receive(), "");
  EXPECT_TRUE(ended_);
  EXPECT_EQ(statements_, std::vector<std::string>{"a"});
}

// The last answer of a session arrives, though another statement was sent.
TEST_F(CallerServerTest, ClosingAnswerComesBeforeTheRefusal) {
  Send("QUERY a READ 1\r\n");
  RunUntil([&] { return !statements_.empty(); });
  Send("QUERY b READ 2\r\n");
  server_.Answer({.session = session_, .signature = "s", .close = true});
  const std::string received = Receive();
  EXPECT_TRUE(received.starts_with("DONE s\r\nREADY I -\r\nERR BUSY "))
      << received;
  EXPECT_TRUE(ended_);
}

// Guards against a close that lasts as long as its caller sends.
TEST_F(CallerServerTest, ClosingReadsNoEndlessLine) {
  constexpr size_t kChunks = 1'024;
  size_t sent = 0;
  std::thread sender([&] {
    const std::string chunk(64 * 1'024, 'x');
    boost::system::error_code error;
    for (; sent < kChunks && !error; ++sent) {
      net::write(caller_, net::buffer(chunk), error);
    }
  });
  // Until the buffers of both sockets are full.
  std::this_thread::sleep_for(milliseconds(200));
  server_.Close(session_);
  context_.run_for(milliseconds(10));
  sender.join();
  EXPECT_LT(sent, kChunks);
}

// Guards against statements that pile up, and against a caller that is not read
// any more once its statements were answered.
TEST_F(CallerServerTest, StatementsBeyondTheLimitAreTakenAfterAnAnswer) {
  budget_.SetLimits({.waiting_statements = 2});
  Send("QUERY a READ 1\r\nQUERY b READ 1\r\nQUERY c READ 1\r\n");
  Receive();
  EXPECT_EQ(statements_, (std::vector<std::string>{"a", "b"}));
  EXPECT_EQ(budget_.pauses(), 1U);
  server_.Answer({.session = session_, .signature = "s"});
  RunUntil([&] { return statements_.size() == 3; });
  for (int i = 0; i < 2; ++i) {
    server_.Answer({.session = session_, .signature = "s"});
  }
  Send("QUERY d READ 1\r\n");
  RunUntil([&] { return statements_.size() == 4; });
}

// Guards against connections without a session that keep ordinary callers out.
TEST_F(CallerServerTest, OldestConnectionWithoutASessionMakesRoom) {
  server_.SetMaxConnections(2);
  const tcp::endpoint address = caller_.remote_endpoint();
  tcp::socket silent(context_);
  silent.connect(address);
  RunUntil([&] { return server_.connections() == 2; });
  tcp::socket later(context_);
  later.connect(address);
  RunUntil(
      [&] { return budget_.closed(input_budget::limit::kConnections) == 1; });
  EXPECT_EQ(server_.connections(), 2U);
  char byte = 0;
  boost::system::error_code error;
  silent.read_some(net::buffer(&byte, 1), error);
  EXPECT_TRUE(error);
  Send("QUERY a READ 1\r\n");
  RunUntil([&] { return !statements_.empty(); });
}

// Guards against callers that fill the memory with last answers that they do
// not read, while their connections are being closed.
TEST_F(CallerServerTest, LastAnswerOfAClosingConnectionCounts) {
  constexpr size_t kAnswerBytes = 6U << 20;
  interactive::answer_caller answer;
  answer.session = session_;
  answer.rows = {std::string(kAnswerBytes, 'x')};
  answer.close = true;
  server_.Answer(answer);
  const size_t held = budget_.total();
  // What the socket has not taken still counts.
  EXPECT_GT(held, kAnswerBytes / 2);
  EXPECT_LT(held, kAnswerBytes * 2);
  caller_.close();
  RunUntil([&] { return budget_.total() == 0; });
}

}  // namespace
}  // namespace tarragondale::runtime
