#include "review/standin/door.h"

#include <poll.h>
#include <sys/socket.h>

#include <thread>
#include <utility>

namespace review {
namespace {

bool WasReset(int socket) {
  int error = 0;
  socklen_t size = sizeof error;
  getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size);
  return error != 0;
}

// The opener closed its side or reset the connection.
bool OpenerIsGone(int socket) {
  pollfd state{socket, POLLRDHUP, 0};
  return poll(&state, 1, 0) > 0 &&
         (static_cast<unsigned>(state.revents) &
          static_cast<unsigned>(POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

}  // namespace

door::door(const std::string& address, std::string target)
    : target_(std::move(target)),
      server_(address, [this](int socket) { Serve(socket); }) {}

bool door::Blocked(int generation) const {
  return cut_ || generation != generation_;
}

void door::Serve(int socket) {
  const int generation = generation_;
  if (cut_) {
    while (cut_) {
      SleepMs(5);
    }
    if (OpenerIsGone(socket)) {
      return;
    }
  }
  const int target = Connect(target_);
  if (target < 0) {
    return;
  }
  ++open_;
  std::thread back(
      [this, socket, target, generation] { Pump(target, socket, generation); });
  Pump(socket, target, generation);
  back.join();
  --open_;
  CloseSocket(target);
}

void door::Pump(int from, int to, int generation) const {
  char bytes[16384];
  while (true) {
    pollfd readable{from, POLLIN, 0};
    if (poll(&readable, 1, 20) == 0) {
      continue;
    }
    bool held = false;
    while (Blocked(generation)) {
      held = true;
      SleepMs(5);
      if (generation != generation_ && OpenerIsGone(from)) {
        shutdown(to, SHUT_RDWR);
        return;
      }
    }
    if (held && WasReset(from)) {
      shutdown(to, SHUT_RDWR);
      return;
    }
    const ssize_t count = recv(from, bytes, sizeof bytes, 0);
    if (count <= 0) {
      // After the end of one direction the other one ends too, as soon as
      // its bytes are through.
      shutdown(to, SHUT_WR);
      return;
    }
    if (!SendAll(to, {bytes, static_cast<size_t>(count)})) {
      shutdown(from, SHUT_RDWR);
      return;
    }
  }
}

}  // namespace review
