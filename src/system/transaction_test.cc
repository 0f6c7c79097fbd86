// System tests of interactive transactions and of callers that disconnect.
#include "src/system/fleet_fixture.h"

namespace tarragondale::system_test {
namespace {

// An interactive transaction; each step may go through any daemon.
class interactive {
 public:
  interactive(http_caller& caller, std::string key, const std::string& kind)
      : key_(std::move(key)) {
    begun_ = caller.Post("/v1/transactions",
                         {{"route", "orders"}, {"kind", kind}}, {key_, "", ""});
  }

  const http_reply& begun() const { return begun_; }

  http_reply Run(http_caller& caller, const json& statements) const {
    return caller.Post(Path("execute"), {{"statements", statements}},
                       {key_, "", ""});
  }

  http_reply End(http_caller& caller, const std::string& step) const {
    return caller.Post(Path(step), json::object(), {key_, "", ""});
  }

 private:
  std::string Path(const std::string& step) const {
    return "/v1/transactions/" + begun_.transaction() + "/" + step;
  }

  std::string key_;
  http_reply begun_;
};

// Guards against transactions that only their first daemon can continue or
// end, and against a rollback that leaves something behind.
TEST_F(SystemTest, TransactionRunsOverTwoDaemons) {
  ASSERT_NO_FATAL_FAILURE(StartFleet(2));
  http_caller first = Caller(0);
  http_caller second = Caller(1);
  const interactive committed(first, key_, "write");
  ASSERT_TRUE(committed.begun().done()) << committed.begun().text;
  ASSERT_TRUE(committed.Run(second, Insert("committed")).done());
  EXPECT_EQ(FirstCell(committed.Run(first, Count("committed"))), 1);
  EXPECT_EQ(Rows("committed"), 0);
  const http_reply commit = committed.End(second, "commit");
  ASSERT_TRUE(commit.done()) << commit.text;
  EXPECT_EQ(Rows("committed"), 1);
  const http_reply read = Execute(0, Body("orders", "read", Count("committed")),
                                  {key_, "", commit.session});
  EXPECT_EQ(FirstCell(read), 1) << read.text;

  const interactive undone(second, key_, "write");
  ASSERT_TRUE(undone.begun().done()) << undone.begun().text;
  ASSERT_TRUE(undone.Run(first, Insert("undone")).done());
  ASSERT_TRUE(undone.End(first, "rollback").done());
  const http_reply late = undone.Run(second, Insert("undone"));
  EXPECT_EQ(late.code(), static_cast<int>(result_code::kTransactionNotFound))
      << late.text;
  EXPECT_EQ(late.outcome(), "not_run");
  EXPECT_EQ(Rows("undone"), 0);
}

// Guards against an idle transaction that keeps its lock and its connection,
// or that can be committed after its end.
TEST_F(SystemTest, IdleTransactionIsRolledBack) {
  transaction_idle_ms_ = 500;
  ASSERT_NO_FATAL_FAILURE(StartFleet(2));
  http_caller caller = Caller(0);
  const interactive idle(caller, key_, "write");
  ASSERT_TRUE(idle.Run(caller, Insert("idle")).done());
  ASSERT_TRUE(WaitFor([&] { return Write(1, "next").done(); }));
  const http_reply late = idle.End(caller, "commit");
  EXPECT_TRUE(
      late.code() == static_cast<int>(result_code::kTransactionTimedOut) ||
      late.code() == static_cast<int>(result_code::kTransactionNotFound))
      << late.text;
  EXPECT_EQ(late.outcome(), "not_run");
  EXPECT_TRUE(RequestIdFromText(late.request_id));
  EXPECT_EQ(Rows("idle"), 0);
}

// Guards against statements of two transactions on one connection (I3).
TEST_F(SystemTest, TransactionsNeverMix) {
  ASSERT_NO_FATAL_FAILURE(StartFleet(2));
  http_caller first = Caller(0);
  http_caller second = Caller(1);
  for (int i = 0; i < 5; ++i) {
    const std::string kept = fmt::format("kept-{}", i);
    const std::string undone = fmt::format("undone-{}", i);
    const interactive a(first, key_, "write");
    const interactive b(second, other_key_, "write");
    ASSERT_TRUE(a.begun().done()) << a.begun().text;
    ASSERT_TRUE(b.begun().done()) << b.begun().text;
    ASSERT_TRUE(a.Run(first, Insert(kept)).done());
    EXPECT_EQ(FirstCell(b.Run(second, Count(kept))), 0);
    EXPECT_EQ(FirstCell(a.Run(first, Count(kept))), 1);
    ASSERT_TRUE(a.End(first, "commit").done());
    ASSERT_TRUE(b.Run(second, Insert(undone)).done());
    ASSERT_TRUE(b.End(second, "rollback").done());
    EXPECT_EQ(Rows(kept), 1);
    EXPECT_EQ(Rows(undone), 0);
  }
  // A transaction belongs to an organisation, whoever knows its id.
  const interactive a(first, key_, "write");
  const http_reply stolen =
      first.Post("/v1/transactions/" + a.begun().transaction() + "/execute",
                 {{"statements", Insert("stolen")}}, {other_key_, "", ""});
  EXPECT_EQ(stolen.outcome(), "not_run") << stolen.text;
  a.End(first, "commit");
  EXPECT_EQ(Rows("stolen"), 0);
}

// Guards against a transaction that outlives its caller's connection, and
// against its connection being reused with its changes in place.
TEST_F(SystemTest, DisconnectRollsTheTransactionBack) {
  ASSERT_NO_FATAL_FAILURE(StartFleet(2));
  for (int i = 0; i < 4; ++i) {
    const std::string id = fmt::format("dropped-{}", i);
    http_caller caller = Caller(0);
    const interactive open(caller, key_, "write");
    ASSERT_TRUE(open.begun().done()) << open.begun().text;
    ASSERT_TRUE(open.Run(caller, Insert(id)).done());
    caller.Close();
    const http_reply next = Write(1, fmt::format("next-{}", i));
    ASSERT_TRUE(next.done()) << next.text;
    http_caller other = Caller(1);
    const http_reply late = open.End(other, "commit");
    EXPECT_EQ(late.outcome(), "not_run") << late.text;
    EXPECT_EQ(Rows(id), 0);
  }
  // Seven connections of one gateway and two of coordination.
  EXPECT_LE(ControlGet("/v1/parts/orders-1/connections")["connections"].size(),
            9U);
}

// Guards against a caller that disconnects during its request and thereby
// leaves a row twice, a busy connection or a request in flight.
TEST_F(SystemTest, DisconnectDuringRequestLeavesNothingBehind) {
  ASSERT_NO_FATAL_FAILURE(StartFleet(2));
  Settings("statement_ms", 100);
  for (int i = 0; i < 6; ++i) {
    http_caller caller = Caller(i % 2);
    ASSERT_TRUE(caller.Send(
        "POST", "/v1/execute",
        Body("orders", "write", Insert(fmt::format("gone-{}", i))).dump(),
        {key_, "", ""}));
    caller.Close();
  }
  Settings("statement_ms", 1);
  ASSERT_TRUE(WaitFor([&] {
    return Metric(0, "entry_in_flight") == 0 &&
           Metric(1, "entry_in_flight") == 0;
  }));
  for (int i = 0; i < 20; ++i) {
    const http_reply next = Write(i % 2, fmt::format("next-{}", i));
    ASSERT_TRUE(next.done()) << next.text;
  }
  for (int i = 0; i < 6; ++i) {
    EXPECT_LE(Rows(fmt::format("gone-{}", i)), 1);
  }
}

}  // namespace
}  // namespace tarragondale::system_test
