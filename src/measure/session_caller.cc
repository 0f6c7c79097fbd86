// Requests and checks of one session.
#include "src/measure/session_caller.h"

#include <fmt/format.h>

#include <algorithm>

namespace tarragondale::measure {
namespace {

using nlohmann::json;

constexpr double kReadShare = 0.8;
constexpr int64_t kMaxAgeMs = 1000;
constexpr milliseconds kTimeout{3000};
constexpr milliseconds kCallMargin{1000};

double MsSince(time_point start) {
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now() - start)
      .count();
}

void Append(std::vector<double>& to, const std::vector<double>& from) {
  to.insert(to.end(), from.begin(), from.end());
}

}  // namespace

void read_figures::Add(const read_figures& other) {
  Append(replica_ms, other.replica_ms);
  Append(primary_ms, other.primary_ms);
  Append(write_ms, other.write_ms);
  Append(age_ms, other.age_ms);
  own_write_missed += other.own_write_missed;
  not_monotonic += other.not_monotonic;
  too_old += other.too_old;
  for (const auto& [name, count] : other.refused) {
    refused[name] += count;
  }
}

session_caller::session_caller(cluster& target,
                               int groups,
                               size_t session,
                               size_t sessions,
                               uint64_t seed)
    : target_(target),
      groups_(groups),
      session_(session),
      sessions_(sessions),
      random_(seed * sessions + session) {}

void session_caller::Step(read_mode mode, time_point scheduled) {
  if (std::uniform_real_distribution<>(0, 1)(random_) < kReadShare) {
    Read(mode, scheduled);
  } else {
    Write(scheduled);
  }
}

read_figures session_caller::Take() {
  return std::exchange(figures_, {});
}

call session_caller::Request(int group, std::string_view kind) const {
  call request;
  request.bearer = target_.bearer(session_);
  request.session = token_;
  request.body = {{"route", fmt::format("g{}", group)},
                  {"kind", kind},
                  {"timeout_ms", kTimeout.count()}};
  return request;
}

void session_caller::Read(read_mode mode, time_point scheduled) {
  const int group = static_cast<int>(random_() % static_cast<size_t>(groups_));
  // Half of the reads are of the session's own row.
  const size_t row = random_() % 2 == 0 ? session_ : random_() % sessions_;
  const std::string id = fmt::format("s{}", row);
  call request = Request(group, "read");
  request.port =
      target_.http_port(static_cast<int>(random_() % cluster::kDaemons));
  request.body["statements"] = {
      {{"sql", "SELECT value FROM counters WHERE id = $1"}, {"params", {id}}}};
  if (mode == read_mode::kMaxAge) {
    request.body["max_age_ms"] = kMaxAgeMs;
  } else if (mode == read_mode::kPrimaryOnly) {
    request.session = "lost";
  }
  const reply got = caller_.Execute(request, kTimeout + kCallMargin);
  if (!got.done()) {
    ++figures_.refused[got.name];
    return;
  }
  // The token of an answer to `lost` is incomplete and would send the later
  // reads of other phases to primaries too.
  if (mode != read_mode::kPrimaryOnly && !got.session.empty()) {
    token_ = got.session;
  }
  const bool replica = got.body.value("served_by", "") == "replica";
  (replica ? figures_.replica_ms : figures_.primary_ms)
      .push_back(MsSince(scheduled));
  const auto age = got.body.value("age_ms", int64_t{0});
  if (replica) {
    figures_.age_ms.push_back(static_cast<double>(age));
  }
  figures_.too_old += mode == read_mode::kMaxAge && age > kMaxAgeMs ? 1 : 0;
  CheckValue(fmt::format("{} {}", group, id), got.body);
}

void session_caller::CheckValue(const std::string& key, const json& body) {
  const json& rows = body["results"][0]["rows"];
  const int64_t value = rows.empty() ? 0 : rows[0][0].get<int64_t>();
  figures_.own_write_missed += value < written_[key] ? 1 : 0;
  figures_.not_monotonic += value < read_[key] ? 1 : 0;
  read_[key] = std::max(read_[key], value);
}

void session_caller::Write(time_point scheduled) {
  const int group = static_cast<int>(random_() % static_cast<size_t>(groups_));
  const std::string id = fmt::format("s{}", session_);
  const int64_t value = ++next_value_;
  call request = Request(group, "write");
  request.port =
      target_.http_port(static_cast<int>(random_() % cluster::kDaemons));
  request.body["statements"] = {
      {{"sql",
        "INSERT INTO counters(id, value) VALUES ($1, $2) "
        "ON CONFLICT(id) DO UPDATE SET value = excluded.value"},
       {"params", {id, value}}}};
  const reply got = caller_.Execute(request, kTimeout + kCallMargin);
  if (!got.done()) {
    ++figures_.refused[got.name];
    return;
  }
  if (!got.session.empty()) {
    token_ = got.session;
  }
  figures_.write_ms.push_back(MsSince(scheduled));
  written_[fmt::format("{} {}", group, id)] = value;
}

}  // namespace tarragondale::measure
