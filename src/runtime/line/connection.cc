// Line connection by Boost.Asio.
#include "src/runtime/line/connection.h"

#include <netinet/tcp.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace tarragondale::runtime {

namespace net = boost::asio;
using net::ip::tcp;

namespace {

// A peer that does not acknowledge for this long is gone. Longer than a lost
// packet takes to be sent again.
constexpr int kUserTimeoutMs = 4'000;
// With the longest line, bounds what is read from a caller that does not stop
// sending.
constexpr size_t kMaxTakenLines = 256;
using user_timeout =
    net::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

}  // namespace

line_connection::line_connection(tcp::socket socket)
    : socket_(std::move(socket)), limit_(socket_.get_executor()) {}

void line_connection::SetOptions() {
  boost::system::error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  socket_.set_option(user_timeout(kUserTimeoutMs), ignored);
}

void line_connection::Start() {
  connected_ = true;
  SetOptions();
  Read();
}

void line_connection::Connect(const tcp::endpoint& endpoint,
                              std::string greeting,
                              duration limit) {
  queued_ = std::move(greeting);
  limit_.expires_after(limit);
  limit_.async_wait(
      [self = shared_from_this()](boost::system::error_code error) {
        if (!error) {
          self->Fail("it did not open in time");
        }
      });
  socket_.async_connect(
      endpoint, [self = shared_from_this()](boost::system::error_code error) {
        if (self->closed_) {
          return;
        }
        if (error) {
          return self->Fail(error.message());
        }
        self->connected_ = true;
        self->SetOptions();
        self->WriteNext();
        self->Read();
      });
}

void line_connection::Write(std::string text) {
  if (closed_ || closing_) {
    return;
  }
  if (queued_.empty()) {
    queued_ = std::move(text);
  } else {
    queued_ += text;
  }
  if (queued_.size() > kMaxQueuedBytes) {
    return Fail("the other side reads too slowly");
  }
  if (connected_ && !writes_) {
    WriteNext();
  }
}

std::vector<std::string> line_connection::TakeArrivedLines() {
  std::vector<std::string> lines;
  std::array<char, kReadBytes> arrived;
  boost::system::error_code error;
  socket_.non_blocking(true, error);
  while (connected_ && !closed_ && !error && lines.size() < kMaxTakenLines &&
         !reader_.overflowed()) {
    // Not `input_`, which the pending read may have filled.
    const size_t count = socket_.read_some(net::buffer(arrived), error);
    reader_.Append({arrived.data(), count});
    while (auto line = reader_.Next()) {
      lines.push_back(std::move(*line));
    }
  }
  return lines;
}

void line_connection::CloseAfterWrites() {
  closing_ = true;
  handlers_ = {};
  if (!writes_ && queued_.empty()) {
    return Close();
  }
  limit_.expires_after(kCloseLimit);
  limit_.async_wait(
      [self = shared_from_this()](boost::system::error_code error) {
        if (!error) {
          self->Close();
        }
      });
}

void line_connection::Resume() {
  if (!std::exchange(paused_, false) || closed_ || closing_) {
    return;
  }
  // Not from within the caller, which may be handling a line.
  net::post(socket_.get_executor(),
            [self = shared_from_this()] { self->TakeLines(); });
}

void line_connection::Close() {
  if (std::exchange(closed_, true)) {
    return;
  }
  handlers_ = {};
  limit_.cancel();
  boost::system::error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_both, ignored);
  socket_.close(ignored);
  if (const auto hook = std::exchange(close_hook_, nullptr)) {
    hook();
  }
}

void line_connection::Read() {
  reads_ = true;
  socket_.async_read_some(
      net::buffer(input_), [self = shared_from_this()](
                               boost::system::error_code error, size_t count) {
        self->reads_ = false;
        if (self->closed_) {
          return;
        }
        if (error) {
          return self->Fail(error.message());
        }
        // What arrives at a connection that is being closed is dropped.
        if (!self->closing_) {
          self->reader_.Append({self->input_.data(), count});
        }
        self->TakeLines();
      });
}

void line_connection::TakeLines() {
  if (std::exchange(takes_, true)) {
    return;
  }
  // The handler may close this connection, which drops the handlers.
  const auto on_line = handlers_.line;
  bool completed = false;
  while (!closed_ && !closing_ && !paused_) {
    auto line = reader_.Next();
    if (!line) {
      break;
    }
    completed = true;
    on_line(std::move(*line));
  }
  takes_ = false;
  if (closed_) {
    return;
  }
  if (closing_) {
    reader_ = {};
  } else if (reader_.overflowed()) {
    Write(platform::EncodeTooLarge());
    return Fail("a line is too long");
  } else if (handlers_.unread && reader_.size() != reported_unread_) {
    reported_unread_ = reader_.size();
    handlers_.unread(reported_unread_, completed);
  }
  if (!closed_ && !reads_ && (!paused_ || closing_)) {
    Read();
  }
}

void line_connection::WriteNext() {
  if (queued_.empty()) {
    if (closing_) {
      Close();
    }
    return;
  }
  writes_ = true;
  writing_ = std::exchange(queued_, {});
  // Most writes fit into the socket's buffer; trying at once saves a wake-up.
  boost::system::error_code error;
  socket_.non_blocking(true, error);
  const size_t written = socket_.write_some(net::buffer(writing_), error);
  if (error && error != net::error::would_block) {
    writes_ = false;
    // Not from within the caller, which may hold state of this connection.
    net::post(socket_.get_executor(), [self = shared_from_this(), error] {
      self->Fail(error.message());
    });
    return;
  }
  if (written == writing_.size()) {
    writes_ = false;
    writing_ = {};
    return WriteNext();
  }
  net::async_write(
      socket_,
      net::buffer(writing_.data() + written, writing_.size() - written),
      [self = shared_from_this()](boost::system::error_code failed, size_t) {
        self->writes_ = false;
        if (self->closed_) {
          return;
        }
        if (failed) {
          return self->Fail(failed.message());
        }
        self->writing_ = {};
        self->WriteNext();
        if (self->handlers_.written) {
          self->handlers_.written();
        }
      });
}

void line_connection::Fail(const std::string& reason) {
  if (closed_) {
    return;
  }
  const auto closed = std::move(handlers_.closed);
  Close();
  if (closed) {
    closed(reason);
  }
}

}  // namespace tarragondale::runtime
