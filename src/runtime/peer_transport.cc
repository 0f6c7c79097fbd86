// nng push/pull transport between VMs.
#include "src/runtime/peer_transport.h"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <arpa/inet.h>

#include <utility>
#include <vector>

namespace tarragondale::runtime {
namespace {

// Messages that wait in one link; a full buffer refuses the next message.
constexpr int kSendBufferMessages = 4096;
constexpr int kReceiveBufferMessages = 4096;
constexpr nng_duration kReceiveTimeoutMs = 100;
constexpr nng_duration kReconnectMinMs = 20;
constexpr nng_duration kReconnectMaxMs = 500;
// nng 1.5.2 now and then waits for ever for a pipe of a socket that is closed
// (seen under load, with all its task threads idle); nothing may wait for it.
constexpr duration kCloseLimit = seconds(2);

std::string Url(std::string_view address) {
  return "tcp://" + std::string(address);
}

}  // namespace

// Invariant: `connected` and `broken` are written by nng's callbacks only. A
// link that was connected once and lost its pipe is broken for good, so that
// buffered messages never reach a later process under the same address.
struct peer_transport::link {
  link() = default;
  link(const link&) = delete;
  link& operator=(const link&) = delete;
  ~link() {
    if (opened) {
      nng_close(socket);
    }
  }

  nng_socket socket = NNG_SOCKET_INITIALIZER;
  bool opened = false;
  std::string address;
  std::atomic<bool> connected{false};
  std::atomic<bool> broken{false};
  // Guarded by the transport's mutex.
  time_point dialled;
  std::optional<time_point> first_unanswered;
  time_point last_sent;
};

peer_transport::peer_transport(std::string self, receiver receive)
    : self_(std::move(self)), receive_(std::move(receive)) {}

peer_transport::~peer_transport() {
  Stop();
}

status peer_transport::Start(const std::string& address) {
  nng_socket socket;
  nng_listener listener;
  int error = nng_pull0_open(&socket);
  if (error == 0) {
    pull_ = nng_socket_id(socket);
    nng_socket_set_size(socket, NNG_OPT_RECVMAXSZ, wire::kMaxMessageBytes);
    nng_socket_set_int(socket, NNG_OPT_RECVBUF, kReceiveBufferMessages);
    nng_socket_set_ms(socket, NNG_OPT_RECVTIMEO, kReceiveTimeoutMs);
    error = nng_listen(socket, Url(address).c_str(), &listener, 0);
  }
  nng_sockaddr local;
  if (error == 0) {
    error = nng_listener_get_addr(listener, NNG_OPT_LOCADDR, &local);
  }
  if (error != 0) {
    return failure{result_code::kSettingInvalid,
                   "can't listen on " + address + ": " + nng_strerror(error)};
  }
  port_ = ntohs(local.s_in.sa_port);
  thread_ = std::thread([this] { ReceiveLoop(); });
  return std::nullopt;
}

bool peer_transport::Send(std::string_view vm,
                          std::string_view address,
                          wire::message_body body) {
  link_ptr link;
  {
    const std::lock_guard lock(mutex_);
    link_ptr& known = links_[std::string(vm)];
    if (!known || known->address != address || known->broken) {
      known = Dial(address);
    }
    link = known;
  }
  const std::string bytes = wire::Encode({self_, std::move(body)});
  if (!SendBytes(*link, bytes)) {
    metrics_.refused_sends.fetch_add(1, std::memory_order_relaxed);
    return false;
  }
  metrics_.sent.fetch_add(1, std::memory_order_relaxed);
  metrics_.sent_bytes.fetch_add(bytes.size(), std::memory_order_relaxed);
  const time_point now = std::chrono::steady_clock::now();
  const std::lock_guard lock(mutex_);
  link->last_sent = now;
  if (!link->first_unanswered) {
    link->first_unanswered = now;
  }
  return true;
}

void peer_transport::Maintain(time_point now, duration limit, duration idle) {
  const std::lock_guard lock(mutex_);
  for (auto next = links_.begin(); next != links_.end();) {
    link& link = *next->second;
    const bool unresponsive =
        link.first_unanswered && now - *link.first_unanswered > limit;
    // A dialler of nng may stop trying; a new one does not.
    const bool never_up = !link.connected && now - link.dialled > limit;
    const bool unused = now - std::max(link.last_sent, link.dialled) > idle;
    if (!unresponsive && !never_up && !unused) {
      ++next;
      continue;
    }
    if (unresponsive || never_up) {
      metrics_.relinked.fetch_add(1, std::memory_order_relaxed);
    }
    next = links_.erase(next);
  }
}

void peer_transport::Stop() {
  if (stopping_.exchange(true)) {
    return;
  }
  if (thread_.joinable()) {
    thread_.join();
  }
  {
    const std::lock_guard lock(mutex_);
    links_.clear();
  }
  if (pull_ >= 0) {
    closer_.Add(
        [pull = static_cast<uint32_t>(pull_)] { nng_close(nng_socket{pull}); });
  }
  if (!closer_.Wait(kCloseLimit)) {
    Log(log_level::kWarning, log_part::kPeer,
        "sockets did not close within {} ms and are left to the system.",
        ToMs(kCloseLimit));
  }
}

peer_transport::link_ptr peer_transport::Dial(std::string_view address) const {
  // Whoever drops a link must not wait until its socket is closed.
  const link_ptr created(new link, [closer = closer_](link* unused) {
    closer.Add([unused] { delete unused; });
  });
  created->address = std::string(address);
  created->dialled = std::chrono::steady_clock::now();
  if (nng_push0_open(&created->socket) != 0) {
    created->broken = true;
    return created;
  }
  created->opened = true;
  const nng_socket socket = created->socket;
  nng_socket_set_int(socket, NNG_OPT_SENDBUF, kSendBufferMessages);
  nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, kReconnectMinMs);
  nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, kReconnectMaxMs);
  nng_socket_set_bool(socket, NNG_OPT_TCP_NODELAY, true);
  nng_pipe_notify(
      socket, NNG_PIPE_EV_ADD_POST,
      [](nng_pipe, nng_pipe_ev, void* arg) {
        static_cast<link*>(arg)->connected = true;
      },
      created.get());
  nng_pipe_notify(
      socket, NNG_PIPE_EV_REM_POST,
      [](nng_pipe, nng_pipe_ev, void* arg) {
        static_cast<link*>(arg)->broken = true;
      },
      created.get());
  nng_dial(socket, Url(address).c_str(), nullptr, NNG_FLAG_NONBLOCK);
  return created;
}

void peer_transport::ReceiveLoop() {
  const nng_socket socket{static_cast<uint32_t>(pull_)};
  while (!stopping_) {
    nng_msg* message = nullptr;
    const int error = nng_recvmsg(socket, &message, 0);
    if (error == NNG_ECLOSED) {
      return;
    }
    if (error != 0) {
      continue;
    }
    OnMessage({static_cast<const char*>(nng_msg_body(message)),
               nng_msg_len(message)});
    nng_msg_free(message);
  }
}

void peer_transport::OnMessage(std::string_view bytes) {
  auto decoded = wire::Decode(bytes);
  if (!decoded) {
    // Any program can connect, so the line is limited to powers of two.
    const uint64_t count = metrics_.undecodable.fetch_add(1) + 1;
    if ((count & (count - 1)) == 0) {
      Log(log_level::kWarning, log_part::kPeer,
          "dropped message {} that does not decode: {}.", count,
          decoded.error().reason);
    }
    return;
  }
  metrics_.received.fetch_add(1, std::memory_order_relaxed);
  metrics_.received_bytes.fetch_add(bytes.size(), std::memory_order_relaxed);
  {
    const std::lock_guard lock(mutex_);
    const auto found = links_.find(decoded->sender);
    if (found != links_.end()) {
      found->second->first_unanswered.reset();
    }
  }
  receive_(std::move(*decoded));
}

bool peer_transport::SendBytes(link& link, const std::string& bytes) {
  if (!link.connected || link.broken) {
    return false;
  }
  nng_msg* message = nullptr;
  if (nng_msg_alloc(&message, 0) != 0) {
    return false;
  }
  if (nng_msg_append(message, bytes.data(), bytes.size()) != 0 ||
      nng_sendmsg(link.socket, message, NNG_FLAG_NONBLOCK) != 0) {
    nng_msg_free(message);
    return false;
  }
  return true;
}

}  // namespace tarragondale::runtime
