#include "review/standin/client.h"

#include <algorithm>
#include <utility>

namespace review {
namespace {

// A client gives up a session that was not accepted by then.
constexpr int64_t kStartLimitMs = 2000;
std::atomic<int64_t> last_id{0};

}  // namespace

void outcomes::Add(const outcome& each) {
  record::Line("client at " + each.vm + ": " + each.id + " " + each.text +
               " sent at " + std::to_string(each.sent_ms) +
               " ms: " + each.result + " " + each.state);
  const std::lock_guard lock(mutex_);
  all_.push_back(each);
}

std::vector<outcome> outcomes::All() {
  const std::lock_guard lock(mutex_);
  return all_;
}

bool client::Open(const std::string& database, const std::string& key) {
  Close();
  socket_ = Connect(address_);
  if (socket_ < 0) {
    return false;
  }
  stream_ = std::make_unique<input>(socket_);
  SendAll(socket_, "START " + database + " " + key + "\r\n");
  const auto line = stream_->Line(kStartLimitMs);
  if (!line || !line->starts_with("READY ")) {
    Close();
    return false;
  }
  return true;
}

void client::Close() {
  CloseSocket(std::exchange(socket_, -1));
}

outcome client::Send(const std::string& text, int64_t limit_ms) {
  outcome result;
  result.vm = vm_;
  result.id = std::to_string(1'000'000 + ++last_id);
  result.text = text;
  result.sent_ms = NowMs();
  const int64_t until = NowMs() + limit_ms;
  SendAll(socket_, "QUERY " + result.id + " " + text + "\r\n");
  while (true) {
    const auto line = stream_->Line(std::max<int64_t>(1, until - NowMs()));
    if (!line) {
      result.result = stream_->ended() ? "closed" : "silent";
      result.state.clear();
      Close();
      break;
    }
    if (line->starts_with("DONE ")) {
      result.result = "DONE";
    } else if (line->starts_with("ERR ")) {
      result.result = line->substr(4, line->find(' ', 4) - 4);
    } else if (line->starts_with("READY ")) {
      result.state = line->substr(6, 1);
      break;
    }
  }
  result.ended_ms = NowMs();
  outcomes_.Add(result);
  return result;
}

}  // namespace review
