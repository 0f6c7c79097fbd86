// A whole system in one process: stand-ins of the outside systems and one to
// three daemons with a configuration, all on loopback.
#ifndef SRC_SYSTEM_FLEET_FIXTURE_H_
#define SRC_SYSTEM_FLEET_FIXTURE_H_

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "src/system/http_caller.h"
#include "tarragondale/runtime.h"
#include "tarragondale/standin.h"
#include "tarragondale/store.h"

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
#include <sanitizer/common_interface_defs.h>
#define TARRAGONDALE_SANITIZER_REPORTS
#endif

namespace tarragondale::system_test {

/// @brief Polls until the condition holds; false after `kPatience`.
inline bool WaitFor(const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + kPatience;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(5));
  }
  return true;
}

/// @brief Redirects standard error to a file while it exists.
class error_capture {
 public:
  error_capture() : file_(std::tmpfile()), saved_(dup(STDERR_FILENO)) {
    dup2(fileno(file_), STDERR_FILENO);
#ifdef TARRAGONDALE_SANITIZER_REPORTS
    // Reports must be seen even if the program ends at once.
    __sanitizer_set_report_fd(
        reinterpret_cast<void*>(static_cast<intptr_t>(saved_)));
#endif
  }
  ~error_capture() {
    dup2(saved_, STDERR_FILENO);
#ifdef TARRAGONDALE_SANITIZER_REPORTS
    __sanitizer_set_report_fd(reinterpret_cast<void*>(STDERR_FILENO));
#endif
    close(saved_);
    std::fclose(file_);
  }
  error_capture(const error_capture&) = delete;
  error_capture& operator=(const error_capture&) = delete;

  /// @brief Everything written so far.
  std::string Text() const {
    std::string text;
    std::string block(65'536, '\0');
    off_t offset = 0;
    ssize_t count = 0;
    while ((count = pread(fileno(file_), block.data(), block.size(), offset)) >
           0) {
      text.append(block, 0, static_cast<size_t>(count));
      offset += count;
    }
    return text;
  }

 private:
  std::FILE* file_;
  int saved_;
};

inline constexpr char kOperatorKey[] = "system-test-operator";
inline constexpr char kOrganisation[] = "north-office";
inline constexpr char kOtherOrganisation[] = "south-office";

/// @brief The statement that adds an order.
inline json Insert(const std::string& id) {
  return json::array({{{"sql", "INSERT INTO orders(id, item) VALUES ($1, $2)"},
                       {"params", {id, "parking disc"}}}});
}

/// @brief The statement that counts orders with this id.
inline json Count(const std::string& id) {
  return json::array({{{"sql", "SELECT count(*) FROM orders WHERE id = $1"},
                       {"params", {id}}}});
}

inline json Body(const std::string& route,
                 const std::string& kind,
                 json statements) {
  return {{"route", route},
          {"kind", kind},
          {"statements", std::move(statements)},
          {"timeout_ms", 9000}};
}

/// @brief The number in the first cell of an answer; -1 if there is none.
inline int64_t FirstCell(const http_reply& reply) {
  if (!reply.done() || reply.body["results"].empty() ||
      reply.body["results"][0]["rows"].empty()) {
    return -1;
  }
  return reply.body["results"][0]["rows"][0][0].get<int64_t>();
}

class SystemTest : public testing::Test {
 protected:
  static constexpr const char* kMembers[] = {"orders-1", "orders-2",
                                             "orders-3"};

  SystemTest() { SetLogLevel(log_level::kDebug); }

  ~SystemTest() override {
    daemons_.clear();
    if (HasFailure()) {
      std::fputs(errors_.Text().c_str(), stdout);
    }
  }

  /// @brief Starts the stand-ins, the daemons and the configuration, and waits
  /// until every daemon serves. Assert with `HasFatalFailure`.
  void StartFleet(int daemons) {
    standin::server_options options;
    options.store_port = 0;
    options.vm_list_port = 0;
    options.groups = {
        {"orders",
         {{kMembers[0]}, {kMembers[1]}, {kMembers[2]}},
         {},
         "CREATE TABLE orders(id TEXT NOT NULL, item TEXT NOT NULL)"}};
    auto parts = standin::server::Start(options);
    ASSERT_TRUE(parts) << parts.error().reason;
    parts_ = std::move(*parts);
    store_client_ = std::make_unique<store::client>(
        store::client_options{{parts_->Address("store")}});
    store_ = std::make_unique<store::configuration_store>(*store_client_);
    key_ = Grant(kOrganisation);
    other_key_ = Grant(kOtherOrganisation);
    ASSERT_NO_FATAL_FAILURE(Edit({Routes(), {Pool()}, {}, {}, {}, {}}));
    for (int i = 1; i <= daemons; ++i) {
      ASSERT_NO_FATAL_FAILURE(StartDaemon(i));
    }
    for (size_t i = 0; i < daemons_.size(); ++i) {
      ASSERT_TRUE(WaitFor([&] { return IsReady(i); })) << AdminStatus(i).dump();
    }
  }

  /// @brief Starts a daemon and publishes its addresses, so that the next ones
  /// find it at once.
  void StartDaemon(int number) {
    config::settings settings;
    settings.vm_name = fmt::format("vm-{}", number);
    settings.availability_zone = fmt::format("taoyuan-{}", number);
    settings.region = "north-tw";
    settings.http_address = "127.0.0.1:0";
    settings.peer_address = "127.0.0.1:0";
    settings.store_endpoints = {parts_->Address("store")};
    settings.store_region = "north-tw";
    settings.vm_list_url = "http://" + parts_->Address("vm_list") + "/v1/vms";
    settings.token_key = std::string(32, 'k');
    settings.operator_key_digest = Sha256(kOperatorKey);
    settings.transaction_idle_ms = transaction_idle_ms_;
    auto started = runtime::daemon::Start(settings);
    ASSERT_TRUE(started) << started.error().reason;
    daemons_.push_back(std::move(*started));
    const runtime::daemon& daemon = *daemons_.back();
    vms_.push_back(
        {{"name", settings.vm_name},
         {"http_address", fmt::format("127.0.0.1:{}", daemon.http_port())},
         {"peer_address", fmt::format("127.0.0.1:{}", daemon.peer_port())},
         {"availability_zone", settings.availability_zone},
         {"region", settings.region},
         {"state", "live"}});
    Control("/v1/vms", {{"vms", vms_}});
  }

  // --- Configuration ---

  std::vector<config::route_row> Routes() const {
    const config::organisation_limit limit{3000, 6000};
    std::vector<config::route_row> routes(3);
    routes[0].name = "orders";
    routes[0].allows_writes = true;
    routes[0].organisations = {{kOrganisation, limit},
                               {kOtherOrganisation, limit}};
    routes[1].name = "catalogue";
    routes[1].organisations = {{kOrganisation, limit}};
    routes[2].name = "south";
    routes[2].allows_writes = true;
    routes[2].organisations = {{kOtherOrganisation, limit}};
    for (config::route_row& route : routes) {
      route.pool = "orders";
    }
    return routes;
  }

  config::pool_row Pool() const {
    config::pool_row pool;
    pool.name = "orders";
    pool.group = "orders";
    pool.database = "orders";
    pool.slots = 2;
    pool.connections = 16;
    for (int i = 0; i < 3; ++i) {
      pool.members.push_back({kMembers[i], parts_->Address(kMembers[i]),
                              fmt::format("taoyuan-{}", i + 1), "north-tw"});
    }
    return pool;
  }

  /// @brief Grants a key to an organisation; the text for the caller.
  std::string Grant(const std::string& organisation) {
    auto granted = config::GrantKey(organisation);
    EXPECT_TRUE(granted);
    Edit({{}, {}, {granted->record}, {}, {}, {}});
    return granted->bearer;
  }

  void Edit(const store::edit_change& change) {
    const auto outcome = store_->Edit(change, "system-test");
    ASSERT_TRUE(outcome) << outcome.error().reason;
  }

  // --- Daemons ---

  http_caller Caller(size_t daemon) const {
    return http_caller(daemons_[daemon]->http_port());
  }

  http_reply Execute(size_t daemon,
                     const json& body,
                     http_headers headers = {}) const {
    http_caller caller = Caller(daemon);
    if (headers.key.empty()) {
      headers.key = key_;
    }
    return caller.Post("/v1/execute", body, headers);
  }

  http_reply Write(size_t daemon,
                   const std::string& id,
                   const std::string& idempotency = {}) const {
    return Execute(daemon, Body("orders", "write", Insert(id)),
                   {.key = {}, .idempotency = idempotency, .session = {}});
  }

  json AdminStatus(size_t daemon) const {
    http_caller caller = Caller(daemon);
    const json body = caller.Get("/v1/admin/status", kOperatorKey).body;
    return body.is_object() ? body : json::object();
  }

  /// @brief A counter of a daemon; -1 if there is none of this name.
  int64_t Metric(size_t daemon, const std::string& name) const {
    http_caller caller = Caller(daemon);
    const std::string text = "\n" + caller.Get("/metrics").text;
    const std::string line = "\ntarragondale_" + name + " ";
    const size_t at = text.find(line);
    return at == std::string::npos ? -1
                                   : std::stoll(text.substr(at + line.size()));
  }

  /// @brief True once a daemon knows all VMs, reaches all members and serves
  /// a request.
  bool IsReady(size_t daemon) const {
    // The read comes first: a VM hears of members in other VMs' care only while
    // it uses their group.
    if (!Execute(daemon, Body("orders", "read", Count("none"))).done()) {
      return false;
    }
    const json status = AdminStatus(daemon);
    if (status.value("configuration_version", 0) == 0 ||
        status["groups"].empty() || status["vms"].size() != daemons_.size()) {
      return false;
    }
    const json& group = status["groups"][0];
    const auto reachable = [](const json& member) {
      return member["reachable"].get<bool>();
    };
    return !group["primary"].get<std::string>().empty() &&
           group["members"].size() == 3 &&
           std::all_of(group["members"].begin(), group["members"].end(),
                       reachable);
  }

  // --- Members ---

  json Control(const std::string& path, const json& body = json::object()) {
    const auto answer = parts_->Control("POST", path, body.dump());
    EXPECT_EQ(answer.status, 200) << path << ": " << answer.body;
    return json::parse(answer.body, nullptr, false);
  }

  json ControlGet(const std::string& path) {
    const auto answer = parts_->Control("GET", path);
    EXPECT_EQ(answer.status, 200) << path << ": " << answer.body;
    return json::parse(answer.body, nullptr, false);
  }

  void Settings(const std::string& name, int value) {
    for (const char* const member : kMembers) {
      Control(fmt::format("/v1/parts/{}/settings", member), {{name, value}});
    }
  }

  /// @brief Ids of all orders of a member, with repetitions.
  std::vector<std::string> Orders(const std::string& member) {
    const json answer = Control("/v1/parts/" + member + "/select",
                                {{"sql", "SELECT id FROM orders"}});
    std::vector<std::string> ids;
    for (const json& row : answer["rows"]) {
      ids.push_back(row[0].get<std::string>());
    }
    return ids;
  }

  /// @brief Number of orders with this id on a member.
  int64_t Rows(const std::string& id, const std::string& member = "") {
    const auto ids = Orders(member.empty() ? Primary() : member);
    return std::count(ids.begin(), ids.end(), id);
  }

  /// @brief Number of log entries of a member.
  size_t LogLength(const std::string& member) {
    return ControlGet("/v1/parts/" + member + "/log")["log"].size();
  }

  /// @brief The member that is primary of the highest term.
  std::string Primary() {
    std::string primary;
    int64_t highest = 0;
    for (const char* const member : kMembers) {
      const json answer =
          ControlGet(fmt::format("/v1/parts/{}/status", member));
      const auto cell = [&](const char* name) {
        const json& columns = answer["columns"];
        const auto at = std::find(columns.begin(), columns.end(), name);
        return answer["rows"][0][at - columns.begin()];
      };
      const int64_t term = std::stoll(cell("term").get<std::string>());
      if (cell("role") == "primary" && term > highest) {
        highest = term;
        primary = member;
      }
    }
    return primary;
  }

  // Destroyed last, so that all lines are captured.
  error_capture errors_;
  std::unique_ptr<standin::server> parts_;
  std::unique_ptr<store::client> store_client_;
  std::unique_ptr<store::configuration_store> store_;
  std::vector<std::unique_ptr<runtime::daemon>> daemons_;
  json vms_ = json::array();
  int64_t transaction_idle_ms_ = 10'000;
  std::string key_;
  std::string other_key_;
};

}  // namespace tarragondale::system_test

#endif  // SRC_SYSTEM_FLEET_FIXTURE_H_
