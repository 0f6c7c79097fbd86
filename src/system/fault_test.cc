// System tests of failing parts: store, messages between VMs, databases and
// daemons that leave.
#include <nng/nng.h>
#include <nng/protocol/pipeline0/push.h>

#include <atomic>
#include <map>
#include <mutex>

#include "src/system/fleet_fixture.h"

namespace tarragondale::system_test {
namespace {

// Writers that place orders through all daemons, each order with its own
// idempotency key and repeated until it is acknowledged.
class writer_group {
 public:
  using write_function =
      std::function<http_reply(size_t daemon, const std::string& id)>;

  writer_group(size_t daemons, int writers, write_function write)
      : daemons_(daemons), write_(std::move(write)) {
    threads_.reserve(writers);
    for (int i = 0; i < writers; ++i) {
      threads_.emplace_back([this, i] { Run(i); });
    }
  }
  ~writer_group() { Stop(); }
  writer_group(const writer_group&) = delete;
  writer_group& operator=(const writer_group&) = delete;

  /// @brief Lets each writer end its order.
  void Stop() {
    stop_ = true;
    for (std::thread& thread : threads_) {
      if (thread.joinable()) {
        thread.join();
      }
    }
  }

  /// @brief Waits until this many more orders are acknowledged.
  bool WaitForMore(size_t count) const {
    const size_t goal = acknowledged().size() + count;
    return WaitFor([&] { return acknowledged().size() >= goal; });
  }

  std::vector<std::string> acknowledged() const {
    const std::lock_guard lock(mutex_);
    return acknowledged_;
  }

  /// @brief Answers other than `done`, by name.
  std::string Refusals() const {
    const std::lock_guard lock(mutex_);
    return json(refusals_).dump();
  }

 private:
  void Run(int writer) {
    for (int order = 0; !stop_; ++order) {
      const std::string id = fmt::format("order-{}-{}", writer, order);
      // An order that nothing acknowledges is given up after the patience.
      WaitFor([&] {
        const http_reply reply = write_(next_++ % daemons_, id);
        const std::lock_guard lock(mutex_);
        if (reply.done()) {
          acknowledged_.push_back(id);
          return true;
        }
        ++refusals_[reply.body.is_object() ? reply.body.value("name", "?")
                                           : "no answer"];
        return stop_.load();
      });
    }
  }

  size_t daemons_;
  write_function write_;
  std::atomic<size_t> next_{0};
  std::atomic<bool> stop_{false};
  mutable std::mutex mutex_;
  std::vector<std::string> acknowledged_;
  std::map<std::string, int> refusals_;
  std::vector<std::thread> threads_;
};

class SystemFaultTest : public SystemTest {
 protected:
  static constexpr int kWriters = 3;
  static constexpr size_t kOrders = 15;

  writer_group::write_function Writer() const {
    return [this](size_t daemon, const std::string& id) {
      return Write(daemon, id, id);
    };
  }

  /// @brief Every acknowledged order is stored once, and none twice.
  void ExpectStoredOnce(const std::vector<std::string>& acknowledged) {
    std::map<std::string, int> stored;
    for (const std::string& id : Orders(Primary())) {
      EXPECT_EQ(++stored[id], 1) << id;
    }
    for (const std::string& id : acknowledged) {
      EXPECT_EQ(stored[id], 1) << id;
    }
  }

  /// @brief A fault of the first primary leads to a failover without loss.
  void ExpectFailover(const std::string& fault) {
    ASSERT_NO_FATAL_FAILURE(StartFleet(3));
    writer_group writers(3, kWriters, Writer());
    ASSERT_TRUE(writers.WaitForMore(kOrders)) << writers.Refusals();
    Control("/v1/parts/orders-1/" + fault);
    ASSERT_TRUE(WaitFor([&] { return Primary() != "orders-1"; }));
    ASSERT_TRUE(writers.WaitForMore(kOrders)) << writers.Refusals();
    writers.Stop();
    ExpectStoredOnce(writers.acknowledged());
    // The former primary rejoins and serves no write of its own.
    Control("/v1/parts/orders-1/heal");
    ASSERT_TRUE(Write(0, "after", "after").done());
    EXPECT_TRUE(WaitFor([&] { return Rows("after", "orders-1") == 1; }));
    ExpectStoredOnce(writers.acknowledged());
  }
};

// Guards against a garbage row that ends serving or hides the last good
// version, and against an edit that repairs it not taking effect.
TEST_F(SystemFaultTest, GarbageRowInTheStoreLeavesTheLastVersionInForce) {
  ASSERT_NO_FATAL_FAILURE(StartFleet(2));
  const auto base = store_->Load();
  ASSERT_TRUE(base);
  store::txn_request garbage;
  garbage.success = {
      store::put_request{std::string(store::kRoutesPrefix) + "orders",
                         "{not a route"},
      store::put_request{store::kVersionKey,
                         store::EncodeVersion({base->rows.version().version + 1,
                                               "someone", "now", "x"})}};
  ASSERT_TRUE(store_client_->Txn(garbage));
  ASSERT_TRUE(WaitFor([&] {
    return errors_.Text().find("store_row_invalid") != std::string::npos;
  }));
  for (size_t daemon = 0; daemon < 2; ++daemon) {
    EXPECT_TRUE(Write(daemon, "garbage").done());
    EXPECT_EQ(AdminStatus(daemon)["configuration_version"],
              base->rows.version().version);
  }
  Edit({Routes(), {}, {}, {}, {}, {}});
  const int64_t repaired = store_->Load()->rows.version().version;
  EXPECT_TRUE(WaitFor([&] {
    return AdminStatus(0)["configuration_version"] == repaired &&
           AdminStatus(1)["configuration_version"] == repaired;
  }));
  EXPECT_TRUE(Write(0, "repaired").done());
}

// Guards against an edit that silently overwrites a concurrent one.
TEST_F(SystemFaultTest, EditRaceHasOneWinner) {
  ASSERT_NO_FATAL_FAILURE(StartFleet(1));
  store::client other_client({{parts_->Address("store")}});
  store::configuration_store other(other_client);
  const auto base = store_->Load();
  ASSERT_TRUE(base);
  auto routes = Routes();
  routes[1].allows_writes = true;
  const std::vector<config::route_row> winning = {routes[1]};
  routes[1].open = true;
  routes[1].organisations.clear();
  const std::vector<config::route_row> losing = {routes[1]};
  const auto won =
      store_->EditFrom(*base, {winning, {}, {}, {}, {}, {}}, "first");
  const auto lost =
      other.EditFrom(*base, {losing, {}, {}, {}, {}, {}}, "second");
  ASSERT_TRUE(won) << won.error().reason;
  ASSERT_FALSE(lost);
  EXPECT_EQ(lost.error().code, result_code::kVersionConflict);
  EXPECT_NE(lost.error().reason.find("first"), std::string::npos)
      << lost.error().reason;
  EXPECT_TRUE(WaitFor([&] {
    return Execute(0, Body("catalogue", "write", Insert("won"))).done();
  }));
}

// Guards against daemons that stop serving when the store does: longer than
// the limit for a configuration that may be stale.
TEST_F(SystemFaultTest, ServingGoesOnWithoutTheStore) {
  ASSERT_NO_FATAL_FAILURE(StartFleet(3));
  Control("/v1/parts/store/stop");
  const auto end = std::chrono::steady_clock::now() + seconds(7);
  for (int i = 0; std::chrono::steady_clock::now() < end; ++i) {
    const http_reply written = Write(i % 3, fmt::format("order-{}", i));
    ASSERT_TRUE(written.done()) << written.text;
    const http_reply read =
        Execute((i + 1) % 3, Body("orders", "read", Count("none")),
                {key_, "", written.session});
    ASSERT_TRUE(read.done()) << read.text;
  }
}

// Guards against a message that does not decode ending a daemon.
TEST_F(SystemFaultTest, GarbageOnThePeerPortIsCounted) {
  ASSERT_NO_FATAL_FAILURE(StartFleet(2));
  const int64_t before = Metric(0, "peer_undecodable_total");
  nng_socket raw;
  ASSERT_EQ(nng_push0_open(&raw), 0);
  const std::string url =
      fmt::format("tcp://127.0.0.1:{}", daemons_[0]->peer_port());
  ASSERT_EQ(nng_dial(raw, url.c_str(), nullptr, 0), 0);
  std::string garbage = "\xc1garbage";
  // [99, 1, "x", []]: a message of an unknown version.
  std::string future("\x94\x63\x01\xc4\x01x\x90", 7);
  ASSERT_EQ(nng_send(raw, garbage.data(), garbage.size(), 0), 0);
  ASSERT_EQ(nng_send(raw, future.data(), future.size(), 0), 0);
  EXPECT_TRUE(WaitFor([&] {
    return Metric(0, "peer_undecodable_total") == before + 2;
  })) << Metric(0, "peer_undecodable_total");
  nng_close(raw);
  EXPECT_TRUE(Write(0, "after").done());
  EXPECT_TRUE(Write(1, "after").done());
}

// Guards against an untruthful outcome when the answer to COMMIT is lost.
TEST_F(SystemFaultTest, LostAnswerToCommitHasATruthfulOutcome) {
  ASSERT_NO_FATAL_FAILURE(StartFleet(2));
  const json once = {{"count", 1}, {"match", "COMMIT"}};
  for (int i = 0; i < 3; ++i) {
    const std::string repeatable = fmt::format("repeatable-{}", i);
    Control("/v1/parts/orders-1/drop_answers", once);
    const http_reply done = Write(i % 2, repeatable, repeatable);
    EXPECT_TRUE(done.done()) << done.text;
    EXPECT_EQ(Rows(repeatable), 1);

    const std::string single = fmt::format("single-{}", i);
    Control("/v1/parts/orders-1/drop_answers", once);
    const http_reply unknown = Write(i % 2, single);
    EXPECT_EQ(unknown.outcome(), "unknown") << unknown.text;
    EXPECT_EQ(unknown.code(),
              static_cast<int>(result_code::kUnknownConnectionLost));
    EXPECT_TRUE(RequestIdFromText(unknown.request_id));
    EXPECT_LE(Rows(single), 1);
  }
  EXPECT_EQ(Primary(), "orders-1");
  EXPECT_TRUE(Write(0, "after").done());
}

// Guards against acknowledged writes that a failover loses or doubles, and
// against writes that don't go on after it.
TEST_F(SystemFaultTest, StoppedPrimaryIsReplaced) {
  ExpectFailover("stop");
}

// Guards against the same with a primary that is cut off but lives on.
TEST_F(SystemFaultTest, IsolatedPrimaryIsReplaced) {
  ExpectFailover("cut");
}

// Guards against a failover or an outage when only the open connections became
// unresponsive.
TEST_F(SystemFaultTest, SilentConnectionsAreReplacedWithoutFailover) {
  ASSERT_NO_FATAL_FAILURE(StartFleet(3));
  writer_group writers(3, kWriters, Writer());
  ASSERT_TRUE(writers.WaitForMore(kOrders)) << writers.Refusals();
  Control("/v1/parts/orders-1/cut",
          {{"connections", "existing"}, {"replication", false}});
  ASSERT_TRUE(writers.WaitForMore(3 * kOrders)) << writers.Refusals();
  writers.Stop();
  EXPECT_EQ(Primary(), "orders-1") << writers.Refusals();
  ExpectStoredOnce(writers.acknowledged());
}

// Guards against a drain that cuts requests.
TEST_F(SystemFaultTest, DrainCutsNoRequest) {
  ASSERT_NO_FATAL_FAILURE(StartFleet(2));
  Settings("statement_ms", 20);
  constexpr int kCallers = 4;
  std::atomic<int> served{0};
  std::mutex mutex;
  std::vector<std::string> wrong;
  std::vector<std::thread> threads;
  threads.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    threads.emplace_back([&, i] {
      http_caller caller = Caller(0);
      // The balancer stops sending work when readiness fails; the daemon ends
      // each connection with its answer.
      for (int order = 0; order < 2000; ++order) {
        const std::string id = fmt::format("drain-{}-{}", i, order);
        const http_reply reply = caller.Post(
            "/v1/execute", Body("orders", "write", Insert(id)), {key_, "", ""});
        if (!reply.done()) {
          if (reply.code() != static_cast<int>(result_code::kDraining)) {
            const std::lock_guard lock(mutex);
            wrong.push_back(fmt::format("{} {}", reply.status, reply.text));
          }
          return;
        }
        ++served;
        if (!caller.is_open()) {
          return;
        }
      }
    });
  }
  EXPECT_TRUE(WaitFor([&] { return served >= 3 * kCallers; }));
  daemons_[0]->StartDrain();
  EXPECT_TRUE(WaitFor([&] { return daemons_[0]->IsDrained(); }));
  for (std::thread& thread : threads) {
    thread.join();
  }
  EXPECT_TRUE(wrong.empty()) << wrong.front();
  int rows = 0;
  for (const std::string& id : Orders(Primary())) {
    rows += id.starts_with("drain-") ? 1 : 0;
  }
  EXPECT_EQ(rows, served);
  daemons_.erase(daemons_.begin());
  EXPECT_TRUE(WaitFor([&] { return Write(0, "after").done(); }));
}

// Guards against writes that wait for their deadline, or are accepted, while
// no majority of members is left.
TEST_F(SystemFaultTest, NoPrimaryIsAnsweredWithoutAMajority) {
  ASSERT_NO_FATAL_FAILURE(StartFleet(2));
  Control("/v1/parts/orders-1/stop");
  Control("/v1/parts/orders-2/stop");
  http_reply refused;
  ASSERT_TRUE(WaitFor([&] {
    refused = Write(0, "refused");
    return refused.code() == static_cast<int>(result_code::kNoPrimary);
  })) << refused.text;
  EXPECT_EQ(refused.outcome(), "not_run");
  EXPECT_FALSE(refused.retry_after.empty());
  EXPECT_TRUE(RequestIdFromText(refused.request_id));
  const size_t entries = LogLength("orders-3");
  const http_reply second = Write(1, "refused");
  EXPECT_EQ(second.outcome(), "not_run") << second.text;
  EXPECT_EQ(LogLength("orders-3"), entries);
  Control("/v1/parts/orders-1/heal");
  Control("/v1/parts/orders-2/heal");
  EXPECT_TRUE(WaitFor([&] { return Write(1, "after", "after").done(); }));
  EXPECT_EQ(Rows("refused"), 0);
  EXPECT_EQ(Rows("after"), 1);
}

}  // namespace
}  // namespace tarragondale::system_test
