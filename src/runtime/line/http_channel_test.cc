// Tests of calls over kept connections, against a small server on loopback.
#include "src/runtime/line/http_channel.h"

#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <memory>
#include <string>
#include <vector>

namespace tarragondale::runtime {
namespace {

namespace net = boost::asio;
using net::ip::tcp;

// Answers each request at once, unless its target is "/held" or its connection
// went silent.
class small_server {
 public:
  explicit small_server(net::io_context& context)
      : context_(context),
        acceptor_(context, {net::ip::address_v4::loopback(), 0}) {
    Accept();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  size_t accepted() const { return connections_.size(); }
  size_t received() const { return received_; }  ///< Requests.

  /// How each connection ended, in the order in which they were opened; empty
  /// while it is open.
  std::vector<boost::system::error_code> ends() const {
    std::vector<boost::system::error_code> found;
    found.reserve(connections_.size());
    for (const auto& each : connections_) {
      found.push_back(each->end);
    }
    return found;
  }

  /// Open connections stay open and answer nothing any more.
  void Silence() {
    for (const auto& each : connections_) {
      each->silent = true;
    }
  }

 private:
  struct connection {
    explicit connection(tcp::socket accepted) : socket(std::move(accepted)) {}
    tcp::socket socket;
    std::string received;
    boost::system::error_code end;
    bool silent = false;
  };

  void Accept() {
    acceptor_.async_accept([this](boost::system::error_code error,
                                  tcp::socket socket) {
      if (error) {
        return;
      }
      connections_.push_back(std::make_shared<connection>(std::move(socket)));
      Read(connections_.back());
      Accept();
    });
  }

  void Read(const std::shared_ptr<connection>& from) {
    net::async_read_until(
        from->socket, net::dynamic_buffer(from->received), "\r\n\r\n",
        [this, from](boost::system::error_code error, size_t size) {
          if (error) {
            from->end = error;
            return;
          }
          ++received_;
          const bool held = from->received.starts_with("GET /held ");
          from->received.erase(0, size);
          if (!from->silent && !held) {
            net::write(from->socket,
                       net::buffer(std::string(
                           "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")));
          }
          Read(from);
        });
  }

  net::io_context& context_;
  tcp::acceptor acceptor_;
  std::vector<std::shared_ptr<connection>> connections_;
  size_t received_ = 0;
};

class HttpChannelTest : public testing::Test {
 protected:
  // Starts a call; its outcome appears in the returned object.
  std::shared_ptr<std::optional<http_outcome>> Call(const std::string& target,
                                                    duration limit) {
    auto outcome = std::make_shared<std::optional<http_outcome>>();
    channel_.Call({"GET", target, {}, ""}, limit,
                  [outcome](const http_outcome& result) { *outcome = result; });
    return outcome;
  }

  net::io_context context_;
  small_server server_{context_};
  http_channel channel_{context_, server_.address()};
};

// Guards against calls that time out one after the other, each on another kept
// connection that went silent without a reset.
TEST_F(HttpChannelTest, SilenceOfOneConnectionEndsTheOthers) {
  const auto first = Call("/", seconds(1));
  const auto second = Call("/", seconds(1));
  const auto third = Call("/", seconds(1));
  const auto held = Call("/held", seconds(20));
  context_.run_for(milliseconds(200));
  ASSERT_TRUE(*first && *second && *third && !*held);
  ASSERT_EQ(server_.accepted(), 4U);
  server_.Silence();
  const auto lost = Call("/", milliseconds(100));
  context_.run_for(milliseconds(300));
  ASSERT_TRUE(*lost);
  EXPECT_EQ((*lost)->answer.status, 0U);
  ASSERT_TRUE(*held) << "a call on an older connection goes on";
  EXPECT_EQ((*held)->answer.status, 0U);
  const auto next = Call("/", milliseconds(200));
  context_.run_for(milliseconds(300));
  ASSERT_TRUE(*next);
  EXPECT_EQ((*next)->answer.status, 200U);
}

// A connection that answers in time stays in use.
TEST_F(HttpChannelTest, SlowNewConnectionEndsNoOther) {
  const auto held = Call("/held", seconds(20));
  const auto lost = Call("/held", milliseconds(100));
  context_.run_for(milliseconds(300));
  ASSERT_TRUE(*lost);
  EXPECT_FALSE(*held);
  const auto next = Call("/", milliseconds(200));
  context_.run_for(milliseconds(300));
  ASSERT_TRUE(*next);
  EXPECT_EQ((*next)->answer.status, 200U);
}

// Guards against a call that takes effect after its sender gave it up: a
// connection that is closed without a reset still delivers what a partition
// held up.
TEST_F(HttpChannelTest, CallThatIsGivenUpResetsItsConnection) {
  const auto first = Call("/", seconds(1));
  context_.run_for(milliseconds(100));
  ASSERT_TRUE(*first);
  const auto on_kept_connection = Call("/held", milliseconds(500));
  const auto on_new_connection = Call("/held", milliseconds(500));
  context_.run_for(milliseconds(800));
  ASSERT_TRUE(*on_kept_connection && *on_new_connection);
  EXPECT_TRUE((*on_kept_connection)->sent);
  ASSERT_EQ(server_.accepted(), 2U);
  for (const boost::system::error_code& end : server_.ends()) {
    EXPECT_EQ(end, net::error::connection_reset) << end.message();
  }
}

// The same for a call that is still running when its channel ends, and for one
// that was sent to a former address.
TEST_F(HttpChannelTest, CallInProgressIsResetWhenItsChannelEnds) {
  {
    net::io_context own;
    http_channel channel(own, server_.address());
    const auto call = [&] {
      channel.Call({"GET", "/held", {}, ""}, seconds(20),
                   [](const http_outcome&) {});
      const size_t expected = server_.received() + 1;
      for (int i = 0; i < 200 && server_.received() < expected; ++i) {
        own.run_for(milliseconds(10));
        context_.run_for(milliseconds(10));
      }
      ASSERT_EQ(server_.received(), expected);
    };
    call();
    channel.SetAddress("127.0.0.2:" + server_.address().substr(
                                          server_.address().find(':') + 1));
    channel.SetAddress(server_.address());
    call();
  }
  context_.run_for(milliseconds(100));
  ASSERT_EQ(server_.accepted(), 2U);
  for (const boost::system::error_code& end : server_.ends()) {
    EXPECT_EQ(end, net::error::connection_reset) << end.message();
  }
}

}  // namespace
}  // namespace tarragondale::runtime
