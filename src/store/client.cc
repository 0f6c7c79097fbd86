// Synchronous calls to the key-value service.
#include "tarragondale/store/client.h"

#include <fmt/format.h>

#include <mutex>

#include "src/store/connection.h"

namespace tarragondale::store {
namespace {

constexpr unsigned kHttpOk = 200;
constexpr unsigned kHttpServerError = 500;

// What a call may leave behind when its answer is lost.
enum class effect : uint8_t { kNone, kPossible };

std::string Shorten(std::string_view body) {
  constexpr size_t kShown = 200;
  return std::string(body.substr(0, kShown));
}

failure Lost(const failure& cause) {
  return {result_code::kStoreAnswerLost, cause.reason};
}

}  // namespace

class client::impl {
 public:
  explicit impl(client_options options) : options_(std::move(options)) {}

  template <typename Decode>
  auto Call(const char* path,
            const std::string& body,
            effect left,
            Decode decode) -> decltype(decode(std::string_view())) {
    const auto answer = Post(path, body, left);
    if (!answer) {
      return answer.error();
    }
    auto decoded = decode(*answer);
    if (!decoded) {
      return failure{left == effect::kNone ? result_code::kStoreUnavailable
                                           : result_code::kStoreAnswerLost,
                     fmt::format("{}: {}", path, decoded.error().reason)};
    }
    return decoded;
  }

  void Stop() { connection_.Stop(); }

 private:
  // Tries the endpoints in order, starting with the one that worked last. A
  // call that may leave an effect is sent to one endpoint only.
  result<std::string> Post(const std::string& path,
                           const std::string& body,
                           effect left) {
    const std::lock_guard lock(mutex_);
    const time_point end = std::chrono::steady_clock::now() + options_.timeout;
    failure last{result_code::kStoreUnavailable, "no endpoint is configured"};
    const size_t count = options_.endpoints.size();
    for (size_t tried = 0; tried < count && !connection_.stopped(); ++tried) {
      const std::string& endpoint = options_.endpoints[preferred_];
      const time_point now = std::chrono::steady_clock::now();
      // An endpoint that does not answer leaves time for the others.
      const time_point share =
          now + (end - now) / static_cast<int64_t>(count - tried);
      if (auto failed = connection_.Open(endpoint, share)) {
        last = *failed;
        preferred_ = (preferred_ + 1) % count;
        continue;
      }
      const auto answer =
          Exchange(path, body, left == effect::kNone ? share : end);
      if (answer && answer->status == kHttpOk) {
        return answer->body;
      }
      last = answer
                 ? failure{result_code::kStoreUnavailable,
                           fmt::format("{}: status {}: {}", endpoint,
                                       answer->status, Shorten(answer->body))}
                 : answer.error();
      if (answer && answer->status < kHttpServerError) {
        return last;  // The service refused the request itself.
      }
      preferred_ = (preferred_ + 1) % count;
      if (left == effect::kPossible) {
        return Lost(last);
      }
    }
    return last;
  }

  result<connection::http_answer> Exchange(const std::string& path,
                                           const std::string& body,
                                           time_point deadline) {
    if (auto failed = connection_.Send(path, body, deadline)) {
      return *failed;
    }
    return connection_.Receive(deadline);
  }

  const client_options options_;
  std::mutex mutex_;
  connection connection_;
  size_t preferred_ = 0;
};

client::client(client_options options)
    : impl_(std::make_unique<impl>(std::move(options))) {}

client::~client() = default;

result<range_answer> client::Range(const range_request& request) {
  return impl_->Call("/v3/kv/range", EncodeRange(request), effect::kNone,
                     DecodeRangeAnswer);
}

result<txn_answer> client::Txn(const txn_request& request) {
  bool writes = false;
  for (const auto* branch : {&request.success, &request.failure}) {
    for (const operation& each : *branch) {
      writes = writes || !std::holds_alternative<range_request>(each);
    }
  }
  return impl_->Call("/v3/kv/txn", EncodeTxn(request),
                     writes ? effect::kPossible : effect::kNone,
                     DecodeTxnAnswer);
}

result<lease_answer> client::GrantLease(int64_t ttl_s) {
  return impl_->Call("/v3/lease/grant", EncodeLeaseGrant(ttl_s),
                     effect::kPossible, DecodeLeaseAnswer);
}

result<lease_answer> client::KeepLeaseAlive(int64_t id) {
  auto answer = impl_->Call("/v3/lease/keepalive", EncodeLeaseId(id),
                            effect::kPossible, DecodeLeaseAnswer);
  if (answer && answer->ttl_s <= 0) {
    return failure{result_code::kRowNotFound,
                   fmt::format("lease {} has ended", id)};
  }
  return answer;
}

status client::RevokeLease(int64_t id) {
  const auto answer = impl_->Call("/v3/lease/revoke", EncodeLeaseId(id),
                                  effect::kPossible, DecodeLeaseAnswer);
  return answer ? status() : answer.error();
}

void client::Stop() {
  impl_->Stop();
}

}  // namespace tarragondale::store
