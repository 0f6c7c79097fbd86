// Accepts connections and applies faults to them.
#include "src/standin/endpoint.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace tarragondale::standin {
namespace {

// How often a cut connection is checked for a close by its client.
constexpr milliseconds kCloseCheckInterval{20};

// True if the client closed its side, even if unread bytes come before.
bool ClosedByPeer(tcp::socket& socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) !=
      0) {
    return true;
  }
  return info.tcpi_state == TCP_CLOSE_WAIT || info.tcpi_state == TCP_CLOSE;
}

void CloseSocket(tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.close(ignored);
}

[[noreturn]] void ThrowClosed() {
  throw boost::system::system_error(net::error::connection_reset);
}

}  // namespace

endpoint::endpoint(reactor& loop, std::string host, session_function session)
    : loop_(loop),
      host_(std::move(host)),
      session_(std::move(session)),
      healed_(loop) {
  loop_.OnShutdown([this] { Close(); });
}

void endpoint::Open(uint16_t port) {
  const tcp::endpoint address(net::ip::make_address(host_), port);
  acceptor_ = std::make_shared<tcp::acceptor>(loop_.context(), address,
                                              /*reuse_addr=*/true);
  if (port_ == 0) {
    // Written once, since other threads may read it.
    port_ = acceptor_->local_endpoint().port();
  }
  loop_.Spawn(Accept(acceptor_));
}

task<void> endpoint::Accept(std::shared_ptr<tcp::acceptor> acceptor) {
  while (acceptor->is_open()) {
    auto client = std::make_shared<connection>(
        connection{next_id_, tcp::socket(loop_.context())});
    boost::system::error_code error;
    co_await acceptor->async_accept(
        client->socket, net::redirect_error(net::use_awaitable, error));
    if (!error && acceptor->is_open()) {
      ++next_id_;
      ++accepted_;
      client->socket.set_option(tcp::no_delay(true), error);
      loop_.Spawn(Serve(std::move(client)));
    }
  }
}

task<void> endpoint::Serve(std::shared_ptr<connection> client) {
  connections_[client->id] = client.get();
  try {
    co_await session_(*client);
  } catch (const std::exception& error) {
    Log(log_level::kDebug, log_part::kStandin, "connection {} ended: {}",
        client->id, error.what());
  } catch (...) {
    Log(log_level::kError, log_part::kStandin,
        "connection {} ended by an unknown error", client->id);
  }
  connections_.erase(client->id);
  CloseSocket(client->socket);
}

void endpoint::Close() {
  if (acceptor_) {
    boost::system::error_code ignored;
    acceptor_->close(ignored);
  }
  for (const auto& [id, client] : connections_) {
    CloseSocket(client->socket);
  }
  healed_.NotifyAll();
}

std::vector<uint64_t> endpoint::ConnectionIds() const {
  std::vector<uint64_t> ids;
  for (const auto& [id, client] : connections_) {
    ids.push_back(id);
  }
  return ids;
}

void endpoint::Stop() {
  faults_.stopped = true;
  Close();
}

void endpoint::Cut(bool in, bool out) {
  faults_.cut_in = in;
  faults_.cut_out = out;
  healed_.NotifyAll();
}

int endpoint::CutConnections(const std::vector<uint64_t>& ids,
                             bool in,
                             bool out) {
  int count = 0;
  for (const auto& [id, client] : connections_) {
    if (ids.empty() || std::find(ids.begin(), ids.end(), id) != ids.end()) {
      client->cut_in = in;
      client->cut_out = out;
      ++count;
    }
  }
  healed_.NotifyAll();
  return count;
}

void endpoint::DropAnswers(int count, std::string match) {
  faults_.drops_left = count;
  faults_.drop_match = std::move(match);
}

void endpoint::Heal() {
  const bool was_stopped = faults_.stopped;
  faults_ = fault_set();
  for (const auto& [id, client] : connections_) {
    client->cut_in = false;
    client->cut_out = false;
  }
  healed_.NotifyAll();
  if (was_stopped) {
    Open(port_);
  }
}

task<void> endpoint::PassIn(connection& from) {
  while (faults_.cut_in || from.cut_in) {
    if (faults_.stopped || (from.cut_in && ClosedByPeer(from.socket))) {
      ThrowClosed();
    }
    co_await healed_.WaitUntil(std::chrono::steady_clock::now() +
                               kCloseCheckInterval);
  }
  if (faults_.delay.count() > 0) {
    co_await loop_.Sleep(faults_.delay);
  }
}

task<void> endpoint::PassOut(connection& to) {
  while (faults_.cut_out || to.cut_out) {
    if (faults_.stopped || (to.cut_out && ClosedByPeer(to.socket))) {
      ThrowClosed();
    }
    co_await healed_.WaitUntil(std::chrono::steady_clock::now() +
                               kCloseCheckInterval);
  }
}

bool endpoint::TakeDrop(std::string_view request) {
  if (faults_.drops_left == 0 ||
      request.find(faults_.drop_match) == std::string_view::npos) {
    return false;
  }
  if (faults_.drops_left > 0) {
    --faults_.drops_left;
  }
  return true;
}

}  // namespace tarragondale::standin
